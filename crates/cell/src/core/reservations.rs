//! Capacity that is reserved for waiting steps.
//!
//! A step that stops others, or waits for several workers at a time, keeps what becomes free until it has
//! all that it needs. Others use reserved capacity only if they are more urgent. A reservation is
//! soft state of the leader: the next one makes its own.

use {
    super::CellCore,
    crate::{AttemptKey, ResourceSet, WorkerKey, message::PhaseRef, table::JobEntry},
    rustc_hash::FxHashMap,
};

/// Factor by which a task may exceed its expected run time and still count as ending before a start. The
/// estimates of most deployments are wrong by up to a fifth.
const RUN_MARGIN: f64 = 1.2;

/// Slack from which a job is about to miss its objective, in milliseconds: a reservation for a planned start lasts
/// about as long.
const ABOUT_TO_MISS_MS: f64 = 1_500.0;

/// Places for tasks of a step on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HostPlaces {
    pub(super) worker: WorkerKey,
    pub(super) places: u64,
}

/// Capacity that is reserved for a step.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) phase: PhaseRef,
    /// Priority class of the step.
    pub(super) priority: u32,
    /// Resources of a task.
    pub(super) need: ResourceSet,
    pub(super) hosts: Vec<HostPlaces>,
    /// Attempts that are stopped to free the capacity.
    pub(super) victims: Vec<AttemptKey>,
    /// Time before which the step cannot start. Tasks that end before may use the capacity.
    pub(super) start_ms: u64,
    /// The step waits for the ends of other tasks alone, and not for tickets.
    pub(super) is_freeing: bool,
    /// Time by which these should have ended.
    pub(super) ready_by_ms: u64,
    /// Time at which the reservation ends in any case.
    pub(super) until_ms: u64,
}

/// What became of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReservationState {
    /// The step still waits, and the capacity will be free in time.
    Held,
    /// The step waits no more.
    Used,
    /// The reservation has reached its end.
    Expired,
    /// An attempt has not ended in time after it was asked to stop.
    StopOverdue,
    /// A worker gets no new work any more, or none of the step.
    WorkerLost,
}

/// A step's share of a worker.
#[derive(Debug, Clone, Copy)]
struct Claim {
    phase: PhaseRef,
    priority: u32,
    amount: ResourceSet,
    start_ms: u64,
    is_freeing: bool,
}

/// A step that may use capacity which others have reserved.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityUser {
    pub(super) phase: PhaseRef,
    /// Priority class of the step.
    pub(super) priority: u32,
    /// Time at which its tasks are expected to end if they start now.
    pub(super) ends_ms: u64,
    /// Its job meets its objective only if it starts now.
    pub(super) is_about_to_miss: bool,
}

impl CapacityUser {
    /// Returns whether the step may use capacity that another one claims: it is more urgent, its tasks end
    /// before the other one can start, or it would be late while the other one still waits for tickets.
    fn may_use(&self, claim: &Claim) -> bool {
        self.priority < claim.priority
            || self.ends_ms <= claim.start_ms
            || (self.is_about_to_miss && !claim.is_freeing)
    }
}

/// The reservations of all steps.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    entries: Vec<Reservation>,
    claims: FxHashMap<WorkerKey, Vec<Claim>>,
}

impl Reservations {
    /// Adds a reservation in place of the step's former one.
    pub(super) fn insert(&mut self, reservation: Reservation) {
        self.remove(reservation.phase);
        for host in &reservation.hosts {
            self.claims.entry(host.worker).or_default().push(Claim {
                phase: reservation.phase,
                priority: reservation.priority,
                amount: reservation.need.times(host.places),
                start_ms: reservation.start_ms,
                is_freeing: reservation.is_freeing,
            });
        }
        self.entries.push(reservation);
    }

    /// Removes the reservation of a step.
    pub(super) fn remove(&mut self, phase: PhaseRef) -> Option<Reservation> {
        let index = self.entries.iter().position(|entry| entry.phase == phase)?;
        self.claims.retain(|_, claims| {
            claims.retain(|claim| claim.phase != phase);
            !claims.is_empty()
        });
        Some(self.entries.swap_remove(index))
    }

    /// Releases a place on a worker that a task of the step takes.
    pub(super) fn take_place(&mut self, phase: PhaseRef, worker: WorkerKey) {
        let Some(entry) = self.entries.iter().find(|entry| entry.phase == phase) else { return };
        let need = entry.need;
        let claims = self.claims.get_mut(&worker).into_iter().flatten();
        for claim in claims.filter(|claim| claim.phase == phase) {
            claim.amount = claim.amount.minus(&need);
        }
    }

    /// Returns whether a step has a reservation and waits for the ends of other tasks alone.
    pub(super) fn is_freeing(&self, phase: PhaseRef) -> bool {
        self.entries.iter().any(|entry| entry.phase == phase && entry.is_freeing)
    }

    /// Returns the number of steps that wait for tickets.
    pub(super) fn planned(&self) -> usize {
        self.entries.iter().filter(|entry| !entry.is_freeing).count()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the reservations in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Reservation> {
        self.entries.iter()
    }

    /// Returns what a step must leave on a worker to other steps that are at least as urgent.
    pub(super) fn kept_from(&self, user: &CapacityUser, worker: WorkerKey) -> ResourceSet {
        let claims = self.claims_of_others(user.phase, worker);
        total(claims.filter(|claim| !user.may_use(claim)))
    }

    /// Returns what is reserved on a worker for steps other than this one.
    pub(super) fn of_others(&self, phase: PhaseRef, worker: WorkerKey) -> ResourceSet {
        total(self.claims_of_others(phase, worker))
    }

    /// Returns what less urgent steps have reserved on a worker, and a step may use all the same.
    pub(super) fn of_less_urgent(&self, user: &CapacityUser, worker: WorkerKey) -> ResourceSet {
        let claims = self.claims_of_others(user.phase, worker);
        total(claims.filter(|claim| claim.priority > user.priority))
    }

    fn claims_of_others(&self, phase: PhaseRef, worker: WorkerKey) -> impl Iterator<Item = &Claim> {
        let claims = self.claims.get(&worker).into_iter().flatten();
        claims.filter(move |claim| claim.phase != phase)
    }
}

fn total<'a>(claims: impl Iterator<Item = &'a Claim>) -> ResourceSet {
    claims.fold(ResourceSet::default(), |sum, claim| sum.plus(&claim.amount))
}

impl CellCore {
    /// Returns a step as a user of reserved capacity.
    pub(super) fn capacity_user(&self, phase: PhaseRef) -> CapacityUser {
        let now_ms = self.time.now_ms;
        if self.reservations.is_empty() {
            // Nobody asks for the rest.
            return CapacityUser { phase, priority: 0, ends_ms: now_ms, is_about_to_miss: false };
        }
        let job = &self.jobs[phase.job];
        let priority = self.priority_of(&job.record);
        let slack_ms = self.slack_ms(job);
        // A float-to-integer cast saturates.
        let run_ms = (self.expected_run_ms(phase) * RUN_MARGIN) as u64;
        CapacityUser {
            phase,
            priority,
            ends_ms: now_ms.saturating_add(run_ms),
            is_about_to_miss: (0.0..ABOUT_TO_MISS_MS).contains(&slack_ms),
        }
    }

    /// Ends the reservations that have served their purpose, or cannot any more.
    pub(super) fn review_reservations(&mut self) {
        if self.reservations.is_empty() {
            return;
        }
        let states: Vec<(PhaseRef, ReservationState)> = self
            .reservations
            .iter()
            .map(|entry| (entry.phase, self.reservation_state(entry)))
            .filter(|(_, state)| *state != ReservationState::Held)
            .collect();
        for (phase, state) in states {
            self.reservations.remove(phase);
            if state != ReservationState::Used {
                let name = self.jobs[phase.job].phase_name(phase.phase);
                self.log("gang_reservation_dropped", name, format!("reason={state:?}"));
            }
        }
    }

    fn reservation_state(&self, reservation: &Reservation) -> ReservationState {
        let now_ms = self.time.now_ms;
        let is_over = |job: &JobEntry| job.state.is_final();
        let is_over = self.jobs.get(reservation.phase.job).is_none_or(is_over);
        let entry = self.phase(reservation.phase).filter(|entry| entry.unassigned > 0);
        let Some(entry) = entry.filter(|_| !is_over) else { return ReservationState::Used };
        if now_ms >= reservation.until_ms {
            return ReservationState::Expired;
        }
        let is_lost = |host: &HostPlaces| {
            !self.is_available(host.worker) || entry.denied.contains(&host.worker)
        };
        if reservation.hosts.iter().any(is_lost) {
            return ReservationState::WorkerLost;
        }
        let mut victims = reservation.victims.iter();
        match victims.any(|key| self.attempts.contains_key(*key)) {
            true if now_ms >= reservation.ready_by_ms => ReservationState::StopOverdue,
            _ => ReservationState::Held,
        }
    }
}
