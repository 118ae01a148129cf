//! Observer: a task that is not idempotent starts at most once across all submissions.

use {
    crate::observe::{BoundPlan, HistoryObserver, RunHistory, Violation},
    std::collections::BTreeMap,
};

/// Checks that a task that is not idempotent starts at most once across all submissions.
#[derive(Debug)]
pub struct AtMostOnce;

impl HistoryObserver for AtMostOnce {
    fn point(&self) -> &'static str {
        "at-most-once"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let mut starts: BTreeMap<(usize, u32), u64> = BTreeMap::new();
        let mut violations = Vec::new();
        for seen in &history.runs {
            let Some(work) = history.work_index(&seen.token) else { continue };
            if history.works[work].idempotent || history.works[work].is_service {
                continue;
            }
            let count = starts.entry((work, seen.run.attempt.task)).or_insert(0);
            *count += 1;
            if *count > 1 {
                let detail = format!("{} ({}) is start {count}", seen.run.attempt, seen.token);
                violations.push(self.violation(seen.run.start_ms, detail));
            }
        }
        violations
    }
}
