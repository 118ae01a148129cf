//! Tasks.

use crate::AttemptKey;

/// A task of a phase.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskEntry {
    pub(crate) is_done: bool,
    /// Number of the last attempt; 0 for none.
    pub(crate) last_number: u32,
    pub(crate) failures: u32,
    /// Attempt that may be running.
    pub(crate) attempt: Option<AttemptKey>,
    pub(crate) checkpoint: String,
}
