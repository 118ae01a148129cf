//! Tasks, and how often workers crashed under them.

use {
    super::StartBinding,
    crate::{AttemptKey, LostAttempt},
};

/// Shortest probation, in milliseconds. A task that was started as long before the loss of its worker
/// may be the cause.
pub(crate) const MIN_PROBATION_MS: u64 = 150;
/// Longest probation, in milliseconds.
pub(crate) const MAX_PROBATION_MS: u64 = 5_000;
/// Probation of a task of which it is not known how long it ran before the crash, in milliseconds.
const DEFAULT_PROBATION_MS: u64 = 1_000;
/// Factor by which a probation exceeds the time for which the task ran before the crash.
const PROBATION_FACTOR: u64 = 2;
/// Number of crashes under a task after which its job is given up if it was the only suspect at the
/// last one.
const MIN_CRASHES: u32 = 2;
/// Number of crashes under a task from which it is a suspect whenever it was started.
const SUSPECT_CRASHES: u32 = 3;
/// Number of crashes under a task after which its job is given up in any case.
const MAX_CRASHES: u32 = 5;

/// Time for which a task must have run after its first preemption to be preempted again, in milliseconds.
/// It doubles with each preemption.
const MIN_RUN_AFTER_PREEMPTION_MS: u64 = 1_000;
/// Number of preemptions after which a task is not preempted any more.
const MAX_PREEMPTIONS: u32 = 3;

/// A task of a phase.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskEntry {
    pub(crate) is_done: bool,
    /// Number of the last attempt; 0 for none.
    pub(crate) last_number: u32,
    pub(crate) failures: u32,
    /// Number of workers that crashed while they ran the task.
    pub(crate) crashes: u32,
    /// Number of workers that crashed after a start request of which it is not known whether it took
    /// effect.
    pub(crate) possible_crashes: u32,
    /// Number of workers that were lost with the task, and of which it is not known whether they crashed.
    pub(crate) unresolved_losses: u32,
    /// The last attempt that was lost with such a worker.
    pub(crate) lost: Option<LostAttempt>,
    /// Time for which the task's next attempt is on probation, because the task may have crashed a
    /// worker, in milliseconds; 0 if it is not suspected.
    pub(crate) probation_ms: u64,
    /// No other job was suspected of the last crash.
    pub(crate) is_accused_alone: bool,
    /// Number of times that the task was stopped for a more urgent step.
    pub(crate) preemptions: u32,
    /// Attempt that may be running.
    pub(crate) attempt: Option<AttemptKey>,
    pub(crate) checkpoint: String,
    /// The task may run on one worker only. Boxed, as nearly all tasks have none.
    pub(crate) binding: Option<Box<StartBinding>>,
}

impl TaskEntry {
    /// Returns whether the task has neither completed nor an attempt.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_done && self.attempt.is_none()
    }

    /// Returns whether the task waits and may run on one worker only.
    pub(crate) fn is_bound(&self) -> bool {
        self.is_waiting() && self.binding.is_some()
    }

    /// Returns the number of crashes under the task, with and without proof that it ran.
    fn total_crashes(&self) -> u32 {
        self.crashes.saturating_add(self.possible_crashes)
    }

    /// Returns whether workers were lost with the task.
    pub(crate) fn has_losses(&self) -> bool {
        self.is_suspected() || self.total_crashes() > 0
    }

    /// Returns whether the task may have crashed a worker.
    pub(crate) fn is_suspected(&self) -> bool {
        self.probation_ms > 0
    }

    /// Makes the task a suspect after it ran for some time on a worker that was lost.
    pub(crate) fn suspect(&mut self, ran_ms: Option<u64>) {
        let probation_ms = ran_ms.map_or(DEFAULT_PROBATION_MS, |ms| ms * PROBATION_FACTOR);
        let probation_ms = probation_ms.clamp(MIN_PROBATION_MS, MAX_PROBATION_MS);
        self.probation_ms = self.probation_ms.max(probation_ms);
    }

    /// Counts a crash of a worker that ran the task, or may have.
    pub(crate) fn add_crash(&mut self, ran_ms: Option<u64>, has_begun: bool) {
        match has_begun {
            true => self.crashes = self.crashes.saturating_add(1),
            false => self.possible_crashes = self.possible_crashes.saturating_add(1),
        }
        if self.total_crashes() >= SUSPECT_CRASHES {
            self.suspect(ran_ms);
        }
    }

    /// Returns whether so many workers crashed under the task, with and without proof that they ran it,
    /// that at least [`MIN_CRASHES`] of them did.
    pub(crate) fn has_crashed_workers(&self) -> bool {
        self.crashes >= MIN_CRASHES || self.total_crashes() > MIN_CRASHES
    }

    /// Returns whether too many workers crashed under the task, or may have, to start it again.
    pub(crate) fn has_crashed_too_often(&self) -> bool {
        self.total_crashes().saturating_add(self.unresolved_losses) >= MAX_CRASHES
    }

    /// Records that it is known whether a worker that was lost with the task has crashed.
    pub(crate) fn resolve_loss(&mut self) {
        self.lost = None;
        self.unresolved_losses = self.unresolved_losses.saturating_sub(1);
    }

    /// Returns whether the task may be stopped for a more urgent step after its attempt ran for some time.
    pub(crate) fn may_be_preempted(&self, ran_ms: u64) -> bool {
        match self.preemptions {
            0 => true,
            count if count >= MAX_PREEMPTIONS => false,
            count => ran_ms >= MIN_RUN_AFTER_PREEMPTION_MS << (count - 1),
        }
    }

    /// Counts a stop for a more urgent step.
    pub(crate) fn count_preemption(&mut self) {
        self.preemptions = self.preemptions.saturating_add(1);
    }

    /// Clears the task of all suspicion.
    pub(crate) fn clear(&mut self) {
        self.probation_ms = 0;
        self.crashes = 0;
        self.possible_crashes = 0;
        self.unresolved_losses = 0;
    }
}
