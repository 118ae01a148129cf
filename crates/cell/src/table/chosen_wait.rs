//! Waits by choice.

use crate::WorkerKey;

/// A wait of a step that could start, for a better place.
#[derive(Debug, Clone)]
pub(crate) struct ChosenWait {
    /// The awaited worker of each task that waits.
    pub(crate) workers: Vec<WorkerKey>,
    /// Run time of a task there, in milliseconds.
    pub(crate) run_ms: f64,
    /// Time at which the wait ends.
    pub(crate) until_ms: u64,
    /// Time from which it is decided anew whether the step waits.
    pub(crate) review_ms: u64,
    /// Time from which the adviser has to be asked about the awaited workers, if they have no tickets that
    /// are valid until then.
    pub(crate) ask_ms: Option<u64>,
}

impl ChosenWait {
    /// Returns the wait of the tasks of two waits.
    pub(crate) fn and(mut self, other: &Self) -> Self {
        self.workers.extend(&other.workers);
        Self {
            workers: self.workers,
            run_ms: self.run_ms.max(other.run_ms),
            until_ms: self.until_ms.max(other.until_ms),
            review_ms: self.review_ms.min(other.review_ms),
            ask_ms: self.ask_ms.into_iter().chain(other.ask_ms).min(),
        }
    }
}
