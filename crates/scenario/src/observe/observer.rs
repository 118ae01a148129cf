//! What every observer is.

use crate::observe::{BoundPlan, RunHistory};

/// Something that must never be seen, and was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which point is violated.
    pub point: &'static str,
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What was seen.
    pub detail: String,
}

/// Judges one of the points that must always hold.
///
/// It gets the exact start and end of every run, so it judges every moment of the history and not
/// only those at which somebody looked.
pub trait HistoryObserver: Send + Sync {
    /// Returns the stable name of the point.
    fn point(&self) -> &'static str;

    /// Returns every violation of the point.
    fn check(&self, history: &RunHistory, bounds: &BoundPlan) -> Vec<Violation>;

    /// Makes a violation of this point.
    fn violation(&self, at_ms: u64, detail: String) -> Violation {
        Violation { point: self.point(), at_ms, detail }
    }
}
