//! Refusals of work that was never handed to a worker.

use damaskrack_model::{AnswerReason, WorkAnswer};

/// Why work is refused.
#[derive(Debug)]
pub(crate) struct WorkRefusal {
    reason: AnswerReason,
    detail: String,
}

impl WorkRefusal {
    pub(crate) fn new(reason: AnswerReason, detail: &str) -> Self {
        Self { reason, detail: detail.to_owned() }
    }

    /// Returns the answer for the caller.
    pub(crate) fn into_answer(self) -> WorkAnswer {
        WorkAnswer::refused(self.reason, &self.detail)
    }
}
