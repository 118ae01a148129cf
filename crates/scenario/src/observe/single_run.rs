//! Observer: no task has two runs at the same time.

use {
    crate::observe::{BoundPlan, HistoryObserver, RunHistory, Violation},
    damaskrack_standin::{ObservedRun, find_double_runs},
};

/// Checks that no task has two runs at the same time.
#[derive(Debug)]
pub struct SingleRun;

impl HistoryObserver for SingleRun {
    fn point(&self) -> &'static str {
        "single-run"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let runs: Vec<ObservedRun> = history.runs.iter().map(|seen| seen.run.clone()).collect();
        let overlaps = find_double_runs(&runs).into_iter();
        let describe = |(first, second): (&ObservedRun, &ObservedRun)| {
            let detail = format!(
                "{} on {} until {:?} and {} on {} from {}",
                first.attempt,
                first.worker,
                first.end_ms,
                second.attempt,
                second.worker,
                second.start_ms
            );
            self.violation(second.start_ms, detail)
        };
        overlaps.map(describe).collect()
    }
}
