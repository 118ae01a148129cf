//! Observer: no worker runs more than its resources and slots allow.

use {
    crate::observe::{BoundPlan, HistoryObserver, RunHistory, Violation},
    damaskrack_standin::{ObservedRun, find_overcommits},
};

/// Checks that no worker runs more than its resources and slots allow.
#[derive(Debug)]
pub struct WorkerCapacity;

impl HistoryObserver for WorkerCapacity {
    fn point(&self) -> &'static str {
        "worker-capacity"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let mut violations = Vec::new();
        for worker in &history.workers {
            let runs: Vec<ObservedRun> = history
                .runs
                .iter()
                .filter(|seen| seen.run.worker == worker.worker)
                .map(|seen| seen.run.clone())
                .collect();
            for run in find_overcommits(&runs, worker.capacity, worker.slots) {
                let detail = format!("{} on {} when it was full", run.attempt, run.worker);
                violations.push(self.violation(run.start_ms, detail));
            }
        }
        violations
    }
}
