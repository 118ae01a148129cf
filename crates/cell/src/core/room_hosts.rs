//! What a step could have of workers if less urgent tasks there were stopped, and what that costs.

use {
    super::{
        CellCore,
        available::AvailableWorkers,
        exclusion_set::ExclusionSet,
        step_hosts::StepHosts,
        victims::{HostRoom, PreemptionCandidate},
    },
    crate::{
        AttemptKey, StepSpec, WorkerKey,
        message::PhaseRef,
        table::{AttemptEntry, AttemptState, JobEntry},
    },
};

/// Time since its start within which a task that saves no checkpoints may be stopped, in milliseconds.
const RECENT_START_MS: u64 = 300;
/// Time that a task takes to go on from its checkpoint, in milliseconds.
const RESTORE_MS: u64 = 300;
/// Time that a preempted task waits for another place, in milliseconds.
const REPLACE_MS: f64 = 1_000.0;
/// Factor of the cost of a stop that makes a job miss its objective. A late job has a fifth of its value.
const LATE_FACTOR: f64 = 5.0;
/// Factor of the cost of a stop of a job that can no longer be useful.
const USELESS_FACTOR: f64 = 0.1;

impl CellCore {
    /// Returns the workers on which a step could start once others have been stopped.
    pub(super) fn rooms(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        available: &AvailableWorkers,
    ) -> Vec<HostRoom> {
        let workers: Vec<WorkerKey> = match hosts.needs_ticket() {
            true => hosts.entry().allowed.keys().copied().collect(),
            false => available.of(hosts.service()).to_vec(),
        };
        let stop_ms = self.preemption_limits.stop_ms();
        let may_start = |key: &WorkerKey| {
            hosts.allows(*key, ExclusionSet::TO_START_AFTER_STOPS)
                && (!hosts.needs_ticket() || hosts.has_ticket_for(*key, stop_ms))
                && !self.workers[*key].is_overcommitted()
        };
        let able = workers.into_iter().filter(may_start);
        able.map(|key| self.room(phase, hosts, key, stop_ms)).collect()
    }

    /// Returns how many tasks of a step could start on a worker if all were stopped there that may be, as of the
    /// last time that this was summed up.
    pub(super) fn places_after_stops(
        &self,
        phase: PhaseRef,
        priority: u32,
        hosts: &StepHosts<'_>,
        key: WorkerKey,
    ) -> u64 {
        let is_able = hosts.allows(key, ExclusionSet::TO_START_WITH_TICKET_AFTER_STOPS);
        if !is_able || self.workers[key].is_overcommitted() {
            return 0;
        }
        let free = self.workers[key].free().plus(&self.room_index.freeable(key, priority));
        let left = free.minus(&self.reservations.of_others(phase, key));
        left.count_fitting(&hosts.need()).min(hosts.left_by_limit(key))
    }

    /// Returns what a step could have of a worker after some time.
    pub(super) fn room(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        key: WorkerKey,
        wait_ms: u64,
    ) -> HostRoom {
        let worker = &self.workers[key];
        let priority = self.priority_of(&self.jobs[phase.job].record);
        let mut free = worker.free();
        let mut candidates = Vec::new();
        for attempt in worker.attempts.values() {
            if self.ends_within(*attempt, wait_ms) {
                free = free.plus(&self.attempts[*attempt].resources);
            } else if self.is_preemptible(*attempt) && self.priority_of_attempt(*attempt) > priority
            {
                candidates.push(self.candidate(*attempt));
            }
        }
        let reserved = self.reservations.of_others(phase, key);
        HostRoom { worker: key, free, reserved, limit: hosts.left_by_limit(key), candidates }
    }

    /// Returns whether an attempt is expected to end within some time without a further stop.
    pub(super) fn ends_within(&self, key: AttemptKey, wait_ms: u64) -> bool {
        let now_ms = self.time.now_ms;
        let attempt = &self.attempts[key];
        if let Some(preempted_ms) = attempt.preempted_ms {
            return now_ms < preempted_ms + self.preemption_limits.overdue_ms();
        }
        match attempt.state {
            AttemptState::Stopping => attempt.stop_tries <= 1,
            AttemptState::StopAcknowledged { .. } => true,
            AttemptState::Running { .. } => {
                let end_ms = self.expected_end_ms(key);
                // An attempt that takes longer than expected may go on for long.
                end_ms > now_ms && end_ms <= now_ms + wait_ms
            }
            _ => false,
        }
    }

    /// Returns the priority class of an attempt's job.
    pub(super) fn priority_of_attempt(&self, key: AttemptKey) -> u32 {
        self.priority_of(&self.jobs[self.attempts[key].phase.job].record)
    }

    /// Returns whether an attempt may be stopped for more urgent steps.
    pub(super) fn is_preemptible(&self, key: AttemptKey) -> bool {
        let attempt = &self.attempts[key];
        let AttemptState::Running { since_ms } = attempt.state else { return false };
        let job = &self.jobs[attempt.phase.job];
        let Some(entry) = job.phases.get(attempt.phase.phase) else { return false };
        let task = &entry.tasks[attempt.index];
        let ran_ms = self.time.now_ms - since_ms;
        let is_protected = attempt.is_gang_member
            || attempt.is_on_probation
            || attempt.preempted_ms.is_some()
            || job.state.is_final()
            || job.record.steps[entry.step].is_service
            || task.is_suspected();
        !is_protected
            && task.may_be_preempted(ran_ms)
            && self.discarded_ms(attempt, &job.record.steps[entry.step]).is_some()
    }

    /// Returns the work that a stop of an attempt discards, in milliseconds; `None` if it is too much.
    fn discarded_ms(&self, attempt: &AttemptEntry, step: &StepSpec) -> Option<u64> {
        if step.has_checkpoints {
            return Some(RESTORE_MS);
        }
        let ran_ms = attempt.ran_until(self.time.now_ms)?;
        (ran_ms <= RECENT_START_MS).then_some(ran_ms)
    }

    fn candidate(&self, key: AttemptKey) -> PreemptionCandidate {
        let attempt = &self.attempts[key];
        let job = &self.jobs[attempt.phase.job];
        let step = &job.record.steps[job.phases[attempt.phase.phase].step];
        let discarded_ms = self.discarded_ms(attempt, step).unwrap_or(u64::MAX) as f64;
        let cores = attempt.resources.cpu_millis as f64 / 1_000.0;
        let cost = discarded_ms.max(1.0) * cores * self.delay_factor(job, discarded_ms);
        PreemptionCandidate { attempt: key, resources: attempt.resources, cost }
    }

    /// Returns the factor by which a stop costs more or less because of what it means for the job.
    fn delay_factor(&self, job: &JobEntry, discarded_ms: f64) -> f64 {
        if self.cannot_meet_deadline(job) {
            return USELESS_FACTOR;
        }
        let slack_ms = self.slack_ms(job);
        match slack_ms >= 0.0 && slack_ms < discarded_ms + REPLACE_MS {
            true => LATE_FACTOR,
            false => 1.0,
        }
    }
}
