//! Observer: work that was answered with "not run" never starts, before or after the answer.

use {
    crate::observe::{
        BoundPlan, HistoryObserver, RunHistory, SeenRun, SeenTry, SeenWork, Violation,
    },
    damaskrack_model::OutcomeKind,
};

/// Checks that work answered with "not run" never starts, before or after the answer.
///
/// Submissions under one idempotency key are the same work, so a later one may start what an
/// earlier one was refused. Until the next submission, none of it may have started.
#[derive(Debug)]
pub struct NotRunTruth;

fn is_refused(attempt: &SeenTry) -> bool {
    !attempt.is_broken
        && attempt.answers.first().is_some_and(|answer| answer.outcome == OutcomeKind::NotRun)
}

/// Tells whether a start contradicts an answer of "not run".
fn contradicts_refusal(work: &SeenWork, attempt: &SeenTry, seen: &SeenRun) -> bool {
    if matches!(work.ended, Some((_, Some(OutcomeKind::NotRun)))) {
        return true;
    }
    if !work.has_idempotency_key {
        return attempt.answers.iter().any(|answer| answer.outcome == OutcomeKind::NotRun);
    }
    let refused = work.tries.iter().take_while(|attempt| is_refused(attempt)).count();
    let next_ms = work.tries.get(refused).map(|attempt| attempt.at_ms);
    refused > 0 && next_ms.is_none_or(|next_ms| seen.run.start_ms < next_ms)
}

impl HistoryObserver for NotRunTruth {
    fn point(&self) -> &'static str {
        "not-run"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let mut violations = Vec::new();
        for seen in &history.runs {
            let Some((work, attempt)) = history.find_token(&seen.token) else { continue };
            if contradicts_refusal(work, attempt, seen) {
                let detail = format!("{} ({}) ran", seen.run.attempt, seen.token);
                violations.push(self.violation(seen.run.start_ms, detail));
            }
        }
        violations
    }
}
