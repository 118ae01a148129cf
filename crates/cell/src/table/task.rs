//! Tasks.

use crate::{AttemptKey, LostAttempt};

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
    /// The last attempt that was lost with a worker of which it is not known whether it crashed.
    pub(crate) lost: Option<LostAttempt>,
    /// Time for which the task's next attempt is on probation, because the task may have crashed a
    /// worker, in milliseconds; 0 if it is not suspected.
    pub(crate) probation_ms: u64,
    /// Attempt that may be running.
    pub(crate) attempt: Option<AttemptKey>,
    pub(crate) checkpoint: String,
}

impl TaskEntry {
    /// Returns whether the task has neither completed nor an attempt.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_done && self.attempt.is_none()
    }
}
