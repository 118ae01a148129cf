//! Tasks.

use crate::AttemptKey;

/// A task of a phase.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskEntry {
    pub(crate) is_done: bool,
    /// Number of the last attempt; 0 for none.
    pub(crate) last_number: u32,
    pub(crate) failures: u32,
    /// Number of workers that crashed while they may have been running the task.
    pub(crate) crashes: u32,
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
