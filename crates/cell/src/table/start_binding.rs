//! Tasks that may run on one worker only, because a start there may be carried out late.

/// The worker that may still carry out a start request of a task, which therefore runs nowhere else.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StartBinding {
    /// Id of the worker.
    pub(crate) worker: String,
    /// Time until which one of its incarnations may carry out the request.
    pub(crate) until_ms: u64,
    /// Lowest number of a fence from which on the incarnation that got the request refuses it.
    pub(crate) min_fence: u32,
    /// Number of attempts whose requests may be carried out late.
    pub(crate) attempts: u32,
}

impl StartBinding {
    /// Returns what holds of the task if it was bound before. Its former requests went to the same worker, or that
    /// is gone.
    pub(crate) fn after(self, former: Option<Self>) -> Self {
        match former {
            Some(former) if former.worker == self.worker => Self {
                until_ms: self.until_ms.max(former.until_ms),
                min_fence: self.min_fence.max(former.min_fence),
                attempts: self.attempts + former.attempts,
                ..self
            },
            Some(former) if former.until_ms > self.until_ms => former,
            _ => self,
        }
    }
}
