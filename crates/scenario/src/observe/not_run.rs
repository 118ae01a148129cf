//! Observer: what was answered with "not run" never starts, before or after.

use {
    crate::observe::{BoundPlan, HistoryObserver, RunHistory, Violation},
    damaskrack_model::OutcomeKind,
};

/// What was answered with "not run" never starts, before or after.
#[derive(Debug)]
pub struct NotRunTruth;

impl HistoryObserver for NotRunTruth {
    fn point(&self) -> &'static str {
        "not-run"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let mut violations = Vec::new();
        for seen in &history.runs {
            let Some((work, attempt)) = history.find_token(&seen.token) else { continue };
            let is_refused =
                attempt.answers.iter().any(|answer| answer.outcome == OutcomeKind::NotRun);
            let is_ended_not_run = matches!(work.ended, Some((_, Some(OutcomeKind::NotRun))));
            if is_refused || is_ended_not_run {
                let detail = format!("{} ({}) ran", seen.run.attempt, seen.token);
                violations.push(self.violation(seen.run.start_ms, detail));
            }
        }
        violations
    }
}
