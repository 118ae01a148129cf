//! Expected run times of tasks and ends of attempts.
//!
//! Whoever compares estimates with time, as for deadlines, slack and admission, corrects them by
//! [`CellCore::run_ratio`], so that all decisions expect the same.

use {
    super::CellCore,
    crate::{
        AttemptKey, WorkerKey,
        message::PhaseRef,
        table::{AttemptEntry, AttemptState},
    },
};

/// Minimum progress from which it predicts the end of an attempt, in percent.
pub(super) const MIN_PERCENT: u32 = 10;

impl CellCore {
    /// Returns the ratio of run time to estimate in a queue on an average worker; 1 while learned run times
    /// decide nothing.
    pub(super) fn run_ratio(&self, queue: &str) -> f64 {
        match self.settings.features.worker_speed {
            true => self.run_times.of(queue).ratio(),
            false => 1.0,
        }
    }

    /// Returns the expected run time of a task of a step on an average worker, in milliseconds.
    pub(super) fn expected_run_ms(&self, phase: PhaseRef) -> f64 {
        let job = &self.jobs[phase.job];
        let step = &job.record.steps[job.phases[phase.phase].step];
        step.estimate_ms as f64 * self.run_ratio(&job.record.queue)
    }

    /// Returns by which factor a task takes longer on a worker than on an average one; 1 while learned
    /// speeds decide nothing.
    pub(super) fn slowness_of(&self, worker: WorkerKey) -> f64 {
        match self.settings.features.worker_speed {
            true => self.workers[worker].speed.slowness(),
            false => 1.0,
        }
    }

    /// Returns by which factor an attempt takes longer than on an average worker. The members of a gang advance together, at the speed of the slowest.
    fn slowness_for(&self, attempt: &AttemptEntry) -> f64 {
        let own = self.slowness_of(attempt.worker);
        if !attempt.is_gang_member {
            return own;
        }
        let tasks = &self.jobs[attempt.phase.job].phases[attempt.phase.phase].tasks;
        let members = tasks.iter().filter_map(|task| self.attempts.get(task.attempt?));
        members.map(|member| self.slowness_of(member.worker)).fold(own, f64::max)
    }

    /// Returns the expected run time of a task of a step on a worker, in milliseconds.
    pub(super) fn expected_run_on(&self, phase: PhaseRef, worker: WorkerKey) -> f64 {
        self.expected_run_ms(phase) * self.slowness_of(worker)
    }

    /// Returns the time at which an attempt is expected to end, in milliseconds since the host's boot.
    /// It is never in the past: an attempt that takes longer than expected may end at any moment.
    pub(super) fn expected_end_ms(&self, key: AttemptKey) -> u64 {
        let now_ms = self.time.now_ms;
        let attempt = &self.attempts[key];
        let expected_ms = self.expected_run_ms(attempt.phase) * self.slowness_for(attempt);
        let since_ms = match attempt.state {
            AttemptState::Running { since_ms } => since_ms,
            _ => now_ms,
        };
        let elapsed_ms = now_ms.saturating_sub(since_ms) as f64;
        let total_ms = match attempt.percent {
            percent if percent >= MIN_PERCENT && !attempt.has_partial_run_time => {
                elapsed_ms * 100.0 / f64::from(percent)
            }
            _ => expected_ms,
        };
        // A float-to-integer cast saturates.
        (since_ms + total_ms as u64).max(now_ms)
    }
}
