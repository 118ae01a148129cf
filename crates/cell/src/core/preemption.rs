//! Preemption: stops less urgent tasks so that a whole step can start.
//!
//! A gang needs many workers at a time that are allowed, free and covered by valid tickets, and a short call needs
//! one at once. While less urgent tasks start in every gap, neither comes by itself. So the leader stops the
//! cheapest of these tasks where that lets the whole step start, and keeps what becomes free for it. The mark of a
//! preempted task is durable before its stop request is sent, so that the next leader does not stop it again.

use {
    super::{
        CellCore,
        available::AvailableWorkers,
        backlog::URGENT_PRIORITY,
        reservations::Reservation,
        step_hosts::StepHosts,
        victims::{PreemptionDecision, PreemptionPlan, choose_victims},
    },
    crate::{message::PhaseRef, table::AfterCommit},
};

/// Maximum number of steps that a placement tries to make room for.
const MAX_STEPS: usize = 8;
/// Number of workers for each gang that room may be made for at a time.
const WORKERS_PER_GANG: usize = 20;
/// Number of gangs that room may be made for in any cell.
const MIN_RESERVED_GANGS: usize = 2;
/// Time between two tries to make room for a step, in milliseconds.
const RETRY_MS: u64 = 30;
/// Maximum number of times that room is made for a step before it starts.
const MAX_ROUNDS: u32 = 4;
/// Time from which a wait counts as noticeable to callers, in milliseconds: the latency target of deployments with
/// gangs.
const NOTICEABLE_WAIT_MS: f64 = 1_000.0;
/// Share of a step's slack from which a wait counts as noticeable, as a divisor.
const SLACK_SHARE: f64 = 4.0;
/// Time for which capacity is reserved for a step without tickets, in milliseconds.
const RESERVATION_MS: u64 = 1_500;

impl CellCore {
    /// Returns for how many gangs at a time room may be made.
    pub(super) fn max_reserved_gangs(&self) -> usize {
        (self.workers.len() / WORKERS_PER_GANG).max(MIN_RESERVED_GANGS)
    }

    /// Tries to make room for steps that could not be placed, in the order of the backlog.
    pub(super) fn make_room(&mut self, waiting: &[PhaseRef], available: &AvailableWorkers) {
        if !self.settings.features.gang_room {
            return;
        }
        let (now_ms, workers) = (self.time.now_ms, self.workers.len());
        let attempts = &self.attempts;
        self.preemption_limits.begin(now_ms, workers, |key| attempts.contains_key(key));
        for phase in waiting {
            if let Some(entry) = self.phase_mut(*phase) {
                entry.waits_since_ms.get_or_insert(now_ms);
            }
        }
        if self.request_window.is_delayed() {
            return;
        }
        let needs_room: Vec<PhaseRef> =
            waiting.iter().copied().filter(|phase| self.needs_room(*phase)).collect();
        for phase in needs_room.into_iter().take(MAX_STEPS) {
            self.make_room_for(phase, available);
        }
    }

    /// Returns whether a step may have others stopped: it is a gang or a short call, and still useful.
    pub(super) fn is_entitled_to_room(&self, phase: PhaseRef) -> bool {
        let job = &self.jobs[phase.job];
        let entry = &job.phases[phase.phase];
        let is_urgent = self.is_gang(phase) || self.priority_of(&job.record) == URGENT_PRIORITY;
        is_urgent
            && entry.room_rounds < MAX_ROUNDS
            && !job.record.steps[entry.step].is_service
            && !self.has_waiting_suspect(phase)
            && !self.cannot_meet_deadline(job)
    }

    /// Returns whether room should be made for a step now.
    fn needs_room(&self, phase: PhaseRef) -> bool {
        let entry = &self.jobs[phase.job].phases[phase.phase];
        entry.room_due_ms <= self.time.now_ms
            && !self.waits_for_late_starts(phase)
            && self.is_entitled_to_room(phase)
            && !self.reservations.is_freeing(phase)
            && self.has_waited_noticeably(phase)
    }

    fn has_waited_noticeably(&self, phase: PhaseRef) -> bool {
        let job = &self.jobs[phase.job];
        let since_ms = job.phases[phase.phase].waits_since_ms.unwrap_or(self.time.now_ms);
        let waited_ms = (self.time.now_ms - since_ms) as f64;
        let slack_ms = self.slack_ms(job).max(0.0);
        waited_ms >= NOTICEABLE_WAIT_MS.min(slack_ms / SLACK_SHARE)
    }

    /// Stops other tasks, if that lets a whole step start, and reserves the capacity.
    fn make_room_for(&mut self, phase: PhaseRef, available: &AvailableWorkers) {
        let now_ms = self.time.now_ms;
        let count = self.jobs[phase.job].phases[phase.phase].unassigned;
        self.jobs[phase.job].phases[phase.phase].room_due_ms = now_ms + RETRY_MS;
        if self.placeable_tasks(phase, count) < count {
            return;
        }
        let hosts = StepHosts::new(self, phase);
        let (need, rooms) = (hosts.need(), self.rooms(phase, &hosts, available));
        match choose_victims(&need, count as u64, rooms) {
            PreemptionDecision::Impossible => {}
            PreemptionDecision::Reserve(plan) => self.reserve(phase, &plan),
            PreemptionDecision::Stop(plan) => {
                if plan.victims.len() <= self.preemption_limits.left(self.workers.len()) {
                    self.reserve(phase, &plan);
                    self.preempt(phase, &plan);
                }
            }
        }
    }

    fn reserve(&mut self, phase: PhaseRef, plan: &PreemptionPlan) {
        let now_ms = self.time.now_ms;
        let priority = self.priority_of(&self.jobs[phase.job].record);
        let reservation = Reservation {
            phase,
            priority,
            need: StepHosts::new(self, phase).need(),
            hosts: plan.hosts.clone(),
            victims: plan.victims.iter().map(|victim| victim.attempt).collect(),
            start_ms: now_ms,
            is_freeing: true,
            ready_by_ms: now_ms + self.preemption_limits.overdue_ms(),
            until_ms: self.reserved_until_ms(phase, plan),
        };
        self.reservations.insert(reservation);
        let entry = &mut self.jobs[phase.job].phases[phase.phase];
        entry.room_rounds += u32::from(!plan.victims.is_empty());
        let tasks = entry.unassigned;
        let name = self.jobs[phase.job].phase_name(phase.phase);
        let detail =
            format!("tasks={tasks} workers={} stops={}", plan.hosts.len(), plan.victims.len());
        self.log("gang_reserved", name, detail);
    }

    /// Returns the time at which the first ticket for a planned worker expires.
    fn reserved_until_ms(&self, phase: PhaseRef, plan: &PreemptionPlan) -> u64 {
        let entry = &self.jobs[phase.job].phases[phase.phase];
        let until_ms = self.time.now_ms + RESERVATION_MS;
        if self.advice_timing(phase).is_none() {
            return until_ms;
        }
        let tickets = plan.hosts.iter().filter_map(|host| entry.allowed.get(&host.worker));
        tickets.map(|held| held.times.valid_until_ms).min().unwrap_or(until_ms)
    }

    /// Stops the victims of a plan once their marks are durable.
    fn preempt(&mut self, phase: PhaseRef, plan: &PreemptionPlan) {
        let now_ms = self.time.now_ms;
        let step = self.jobs[phase.job].phase_name(phase.phase);
        for victim in &plan.victims {
            let key = victim.attempt;
            let attempt = &mut self.attempts[key];
            attempt.preempted_ms = Some(now_ms);
            let (own, index) = (attempt.phase, attempt.index);
            self.jobs[own.job].phases[own.phase].tasks[index].count_preemption();
            self.preemption_limits.record(key, now_ms);
            self.mark_dirty(own.job, Some(AfterCommit::Stop(key)));
            let detail = format!("for={step} cost_core_ms={:.0}", victim.cost);
            self.log_attempt("task_preempted", key, &detail);
        }
    }
}
