//! Trait of the observers and the violations that they report.

use crate::observe::{BoundPlan, RunHistory};

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub point: &'static str,
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What violated it.
    pub detail: String,
}

/// Checks one invariant against the history of a run.
///
/// The history has the exact start and end of every run, so the check covers all times and not only
/// sampled ones.
pub trait HistoryObserver: Send + Sync {
    /// Returns the stable name of the invariant.
    fn point(&self) -> &'static str;

    /// Returns every violation of the invariant.
    fn check(&self, history: &RunHistory, bounds: &BoundPlan) -> Vec<Violation>;

    /// Makes a violation of this invariant.
    fn violation(&self, at_ms: u64, detail: String) -> Violation {
        Violation { point: self.point(), at_ms, detail }
    }
}
