//! Observer: a worker that is leaving starts no new task after its bound.

use crate::observe::{BoundPlan, HistoryObserver, RunHistory, SeenRun, Violation};

/// Checks that a worker that is leaving starts no new task after its bound.
#[derive(Debug)]
pub struct LeavingWorker;

impl HistoryObserver for LeavingWorker {
    fn point(&self) -> &'static str {
        "leaving-worker"
    }

    fn check(&self, history: &RunHistory, bounds: &BoundPlan) -> Vec<Violation> {
        let mut violations = Vec::new();
        for leaving in &history.leavings {
            let from_ms = leaving.shown_ms.saturating_add(bounds.leaving_ms);
            let is_late = |seen: &&SeenRun| {
                seen.run.worker == leaving.worker
                    && seen.run.start_ms > from_ms
                    && seen.run.start_ms < leaving.until_ms
            };
            for seen in history.runs.iter().filter(is_late) {
                let detail = format!("{} started on {}", seen.run.attempt, leaving.worker);
                violations.push(self.violation(seen.run.start_ms, detail));
            }
        }
        violations
    }
}
