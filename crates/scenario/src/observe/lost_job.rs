//! Observer: an acknowledged job is never lost.

use crate::observe::{BoundPlan, HistoryObserver, RunHistory, Violation};

/// Checks that an acknowledged job is never lost.
#[derive(Debug)]
pub struct LostJob;

impl HistoryObserver for LostJob {
    fn point(&self) -> &'static str {
        "lost-job"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let forgotten = history.works.iter().enumerate();
        let forgotten =
            forgotten.filter_map(|(work, seen)| seen.forgotten_ms.map(|at_ms| (work, at_ms)));
        forgotten
            .map(|(work, at_ms)| {
                self.violation(at_ms, format!("the job of work {work} is unknown"))
            })
            .collect()
    }
}
