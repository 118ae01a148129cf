//! Refusals of work that never reached a worker.

use damaskrack_model::{AnswerReason, WorkAnswer};

/// Refusal of work, with the reason for the caller.
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
