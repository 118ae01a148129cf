//! Which workers may run the tasks of a step.

use {
    super::{
        CellCore,
        exclusion_set::ExclusionSet,
        host_outlook::HostOutlook,
        reservations::CapacityUser,
        speed_order::{SpeedOrder, SpeedRank},
        worker_exclusion::WorkerExclusion,
    },
    crate::{
        ResourceSet, StepSpec, WorkerKey,
        message::PhaseRef,
        table::{PhaseEntry, WorkerEntry},
    },
    rustc_hash::FxHashMap,
    std::{cell::OnceCell, iter},
};

/// Minimum remaining validity of a ticket when a task is placed, in milliseconds. It covers the
/// commit and the start request.
const TICKET_MARGIN_MS: u64 = 120;
/// Number of the adviser's responses that lead to no start, from which a suspect goes to any worker.
const MAX_CALM_CALLS: u32 = 3;

/// What decides which workers may run the tasks of a step, as of one moment of a placement.
#[derive(Debug)]
pub(super) struct StepHosts<'a> {
    core: &'a CellCore,
    /// The step as a user of reserved capacity.
    user: CapacityUser,
    /// Some steps have reservations.
    has_reservations: bool,
    entry: &'a PhaseEntry,
    step: &'a StepSpec,
    service: &'a str,
    need: ResourceSet,
    needs_ticket: bool,
    is_kept_apart: bool,
    phase: PhaseRef,
    /// Found out when a worker is first ranked: most steps that wait have no worker to rank.
    speed_order: OnceCell<SpeedOrder>,
    /// Attempts at tasks of the step by worker, if the step limits them.
    siblings: FxHashMap<WorkerKey, u64>,
    /// Number of attempts beside which a task should be placed at most.
    max_load: usize,
}

impl<'a> StepHosts<'a> {
    pub(super) fn new(core: &'a CellCore, phase: PhaseRef) -> Self {
        let job = &core.jobs[phase.job];
        let entry = &job.phases[phase.phase];
        let step = &job.record.steps[entry.step];
        let mut siblings = FxHashMap::default();
        if step.max_per_worker > 0 {
            for attempt in entry.tasks.iter().filter_map(|task| task.attempt) {
                *siblings.entry(core.attempts[attempt].worker).or_default() += 1;
            }
        }
        Self {
            core,
            user: core.capacity_user(phase),
            has_reservations: !core.reservations.is_empty(),
            entry,
            step,
            service: core.service_of(&job.record),
            need: step.resources(),
            needs_ticket: core.advice_timing(phase).is_some(),
            is_kept_apart: core.is_kept_apart(phase),
            phase,
            speed_order: OnceCell::new(),
            siblings,
            max_load: usize::MAX,
        }
    }

    /// Sets the number of attempts beside which a task should be placed at most.
    pub(super) fn with_max_load(self, max_load: usize) -> Self {
        Self { max_load, ..self }
    }

    /// Returns the step.
    pub(super) fn step(&self) -> &'a StepSpec {
        self.step
    }

    /// Returns the resources that a task of the step needs.
    pub(super) fn need(&self) -> ResourceSet {
        self.need
    }

    /// Returns the step's phase.
    pub(super) fn entry(&self) -> &'a PhaseEntry {
        self.entry
    }

    /// Returns the service whose workers run the step.
    pub(super) fn service(&self) -> &'a str {
        self.service
    }

    /// Returns whether the step's queue has an adviser.
    pub(super) fn needs_ticket(&self) -> bool {
        self.needs_ticket
    }

    /// Returns whether a suspect of the step still goes to calm workers alone.
    pub(super) fn needs_calm(&self) -> bool {
        self.entry.fruitless_calls < MAX_CALM_CALLS
    }

    /// Returns whether the step's queue is kept apart from others.
    pub(super) fn is_kept_apart(&self) -> bool {
        self.is_kept_apart
    }

    /// Returns the rank of a worker by its speed.
    pub(super) fn speed_rank(&self, worker: WorkerKey) -> SpeedRank {
        self.speed_order().rank(&self.core.workers[worker].speed)
    }

    /// Returns whether the step's job would end late on a worker.
    fn is_too_slow(&self, worker: &WorkerEntry) -> bool {
        !self.speed_order().rank(&worker.speed).is_sufficient()
    }

    /// Returns which workers are fast enough for the step.
    pub(super) fn speed_order(&self) -> SpeedOrder {
        *self.speed_order.get_or_init(|| self.core.speed_order(self.phase))
    }

    /// Splits workers by their ranks, the preferred ones first. It keeps their order within a rank.
    pub(super) fn by_speed(&self, mut workers: Vec<WorkerKey>) -> Vec<Vec<WorkerKey>> {
        if self.speed_order() == SpeedOrder::Ignored {
            return vec![workers];
        }
        workers.sort_by_cached_key(|key| self.speed_rank(*key));
        workers.chunk_by(|a, b| self.is_alike(*a, *b)).map(<[WorkerKey]>::to_vec).collect()
    }

    /// Returns whether two workers have the same rank by their speeds.
    pub(super) fn is_alike(&self, one: WorkerKey, other: WorkerKey) -> bool {
        self.speed_rank(one) == self.speed_rank(other)
    }

    /// Returns whether none of some reasons holds for a worker.
    pub(super) fn allows(&self, worker: WorkerKey, reasons: ExclusionSet) -> bool {
        self.exclusion(worker, reasons).is_none()
    }

    /// Returns the first of some reasons that holds for a worker.
    pub(super) fn exclusion(
        &self,
        worker: WorkerKey,
        reasons: ExclusionSet,
    ) -> Option<WorkerExclusion> {
        let Some(entry) = self.core.workers.get(worker) else {
            return Some(WorkerExclusion::Registration);
        };
        let mut others = reasons.without_reservation();
        let found = others.find(|reason| self.is_excluded(worker, entry, *reason));
        match found {
            None if self.has_reservations && reasons.has_reservation() => {
                self.is_reserved(worker).then_some(WorkerExclusion::Reservation)
            }
            found => found,
        }
    }

    /// Returns whether a reason holds for a worker.
    pub(super) fn holds(&self, reason: WorkerExclusion, worker: WorkerKey) -> bool {
        let entry = self.core.workers.get(worker);
        entry.is_none_or(|entry| self.is_excluded(worker, entry, reason))
    }

    /// Returns those of some available workers of the step's service that may run a task now once they have
    /// tickets, and those that may later. It is here, and not with its caller, so that the compiler inlines the
    /// conditions: each placement checks them for all waiting steps and workers.
    pub(super) fn by_outlook(&self, workers: &[WorkerKey]) -> (Vec<WorkerKey>, Vec<WorkerKey>) {
        let (mut able, mut later) = (Vec::new(), Vec::new());
        for key in workers {
            match self.outlook(*key) {
                HostOutlook::Now => able.push(*key),
                HostOutlook::Later => later.push(*key),
                HostOutlook::Never => {}
            }
        }
        (able, later)
    }

    /// Returns when an available worker of the step's service may run a task once it has a ticket.
    fn outlook(&self, worker: WorkerKey) -> HostOutlook {
        let exclusion = self.exclusion(worker, ExclusionSet::TO_START_WITH_TICKET);
        HostOutlook::of(exclusion, self.step.is_service)
    }

    /// Returns whether a reason holds for a worker, which has this entry.
    fn is_excluded(&self, key: WorkerKey, worker: &WorkerEntry, reason: WorkerExclusion) -> bool {
        let step = self.step;
        match reason {
            WorkerExclusion::Registration | WorkerExclusion::Lease | WorkerExclusion::Backoff => {
                self.core.is_unavailable(worker, reason)
            }
            WorkerExclusion::Service => worker.report.service != self.service,
            WorkerExclusion::Label => {
                !step.required_label.is_empty() && !worker.is_labelled(&step.required_label)
            }
            WorkerExclusion::Capacity => !self.need.fits(&worker.report.capacity),
            WorkerExclusion::Denial => self.needs_ticket && self.entry.denied.contains(&key),
            WorkerExclusion::Ticket => self.needs_ticket && !self.has_ticket(key),
            WorkerExclusion::Probation => worker.probations > 0,
            WorkerExclusion::Limit => self.left_by_limit(key) == 0,
            WorkerExclusion::FreeCapacity => {
                !worker.used.plus(&self.need).fits(&worker.report.capacity)
            }
            WorkerExclusion::Reservation => self.is_reserved(key),
            WorkerExclusion::Segregation if self.is_kept_apart => worker.gang_members > 0,
            WorkerExclusion::Segregation => worker.kept_apart > 0,
            WorkerExclusion::LongLease => step.is_service && !self.core.has_bounded_leases(worker),
            WorkerExclusion::Rack => !step.data_rack.is_empty() && worker.rack() != step.data_rack,
            WorkerExclusion::Slowness => self.is_too_slow(worker),
            WorkerExclusion::Load => worker.attempts.len() > self.max_load,
        }
    }

    /// Returns whether what is free on a worker is reserved for other steps. Not inlined: nearly all placements have no
    /// reservations.
    #[inline(never)]
    fn is_reserved(&self, key: WorkerKey) -> bool {
        self.has_reservations && self.places_beside_reservations(key) == 0
    }

    /// Returns whether there is a ticket for a worker that is valid for long enough to start a task.
    pub(super) fn has_ticket(&self, worker: WorkerKey) -> bool {
        self.has_ticket_for(worker, 0)
    }

    /// Returns whether there is a ticket for a worker that is valid for long enough to start a task after
    /// some time.
    pub(super) fn has_ticket_for(&self, worker: WorkerKey, wait_ms: u64) -> bool {
        let min_valid_ms = self.core.time.now_ms + wait_ms + TICKET_MARGIN_MS;
        let held = self.entry.allowed.get(&worker);
        held.is_some_and(|held| held.times.valid_until_ms > min_valid_ms)
    }

    /// Returns how many more tasks of the step fit on a worker and are within its limit.
    pub(super) fn places(&self, key: WorkerKey) -> u64 {
        let worker = &self.core.workers[key];
        if worker.is_overcommitted() {
            return 0;
        }
        let fitting = match self.has_reservations {
            true => self.places_beside_reservations(key),
            false => worker.free().count_fitting(&self.need),
        };
        fitting.min(self.left_by_limit(key))
    }

    /// Returns how many more tasks of the step fit on a worker beside what is reserved for other steps. Not inlined:
    /// nearly all passes have no reservations.
    #[inline(never)]
    fn places_beside_reservations(&self, key: WorkerKey) -> u64 {
        let kept = self.core.reservations.kept_from(&self.user, key);
        self.core.workers[key].free().minus(&kept).count_fitting(&self.need)
    }

    /// Returns whether a task of the step would cost a less urgent one places that it has reserved.
    pub(super) fn takes_reserved(&self, key: WorkerKey) -> bool {
        if !self.has_reservations {
            return false;
        }
        let reserved = self.core.reservations.of_less_urgent(&self.user, key);
        let left = self.core.workers[key].free().minus(&self.need);
        reserved != ResourceSet::default() && !reserved.fits(&left)
    }

    /// Plans to place up to `count` tasks of the step on workers, as many as possible on the first ones.
    pub(super) fn plan_tasks(&self, workers: &[WorkerKey], count: usize) -> Vec<WorkerKey> {
        let mut plan = Vec::with_capacity(count);
        for key in workers {
            let left = count - plan.len();
            if left == 0 {
                break;
            }
            let places = usize::try_from(self.places(*key)).unwrap_or(usize::MAX);
            plan.extend(iter::repeat_n(*key, places.min(left)));
        }
        plan
    }

    /// Returns how many more tasks of the step its limit leaves on a worker.
    pub(super) fn left_by_limit(&self, worker: WorkerKey) -> u64 {
        match u64::from(self.step.max_per_worker) {
            0 => u64::MAX,
            limit => limit.saturating_sub(self.siblings.get(&worker).copied().unwrap_or(0)),
        }
    }
}

impl CellCore {
    /// Returns whether a reason that does not depend on the step keeps a worker from getting new work.
    fn is_unavailable(&self, worker: &WorkerEntry, reason: WorkerExclusion) -> bool {
        match reason {
            WorkerExclusion::Registration => !self.is_in_service(worker),
            WorkerExclusion::Lease => !self.is_schedulable(worker) || worker.is_silent,
            WorkerExclusion::Backoff => worker.backoff_until_ms > self.time.now_ms,
            _ => false,
        }
    }

    /// Returns whether a worker may get new work now; `false` if it has been removed.
    pub(super) fn is_available(&self, key: WorkerKey) -> bool {
        let is_unavailable = |worker: &WorkerEntry| {
            let mut reasons = WorkerExclusion::OF_WORKER.iter();
            reasons.any(|reason| self.is_unavailable(worker, *reason))
        };
        self.workers.get(key).is_some_and(|worker| !is_unavailable(worker))
    }
}
