//! Observer: cancelled work does not start.

use crate::observe::{BoundPlan, HistoryObserver, RunHistory, Violation};

/// Time for which a start request may stay in flight after the cancellation, in milliseconds.
const CANCEL_BOUND_MS: u64 = 1_000;

/// Checks that cancelled work does not start.
#[derive(Debug)]
pub struct CancelledWork;

impl HistoryObserver for CancelledWork {
    fn point(&self) -> &'static str {
        "cancelled-work"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let mut violations = Vec::new();
        for seen in &history.runs {
            let Some((work, _)) = history.find_token(&seen.token) else { continue };
            let is_late =
                work.cancelled_ms.is_some_and(|at_ms| seen.run.start_ms > at_ms + CANCEL_BOUND_MS);
            if is_late {
                let detail = format!("{} started after its cancellation", seen.run.attempt);
                violations.push(self.violation(seen.run.start_ms, detail));
            }
        }
        violations
    }
}
