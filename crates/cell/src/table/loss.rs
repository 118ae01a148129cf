//! Attempts that were lost with workers of which it is not known whether they crashed.

use crate::{LostAttempt, message::TaskRef};

/// A lost attempt and its task.
#[derive(Debug)]
pub(crate) struct LossEntry {
    pub(crate) task: TaskRef,
    pub(crate) attempt: LostAttempt,
    pub(crate) recorded_ms: u64,
}
