//! Observer: a caller gets exactly one answer, complete and to its own request.

use {
    crate::observe::{BoundPlan, HistoryObserver, RunHistory, SeenTry, SeenWork, Violation},
    damaskrack_model::{OutcomeKind, TaskResult},
    std::collections::BTreeSet,
};

/// Checks that a caller gets exactly one answer, complete and to its own request.
#[derive(Debug)]
pub struct WholeAnswer;

/// Describes what is wrong with the answers to a submission.
fn describe_violation(
    work: &SeenWork,
    attempt: &SeenTry,
    succeeded: &BTreeSet<&str>,
) -> Option<String> {
    if attempt.answers.len() > 1 {
        return Some(format!("{} got {} answers", attempt.token, attempt.answers.len()));
    }
    let answer = attempt.answers.first()?;
    if work.is_job || answer.outcome != OutcomeKind::Done {
        return None;
    }
    let is_own = if work.has_idempotency_key {
        work.tries.iter().any(|other| other.token == answer.detail)
    } else {
        attempt.token == answer.detail
    };
    if !is_own {
        return Some(format!("{} was answered {:?}", attempt.token, answer.detail));
    }
    let has_run = succeeded.contains(answer.detail.as_str());
    (!has_run).then(|| format!("{} is done, but no worker ended it well", attempt.token))
}

impl HistoryObserver for WholeAnswer {
    fn point(&self) -> &'static str {
        "whole-answer"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let succeeded: BTreeSet<&str> = history
            .runs
            .iter()
            .filter(|seen| seen.run.result == Some(TaskResult::Succeeded))
            .map(|seen| seen.token.as_str())
            .collect();
        let stray = history.stray_answers.iter().map(|call| {
            self.violation(history.end_ms, format!("an answer to call {call}, which is not open"))
        });
        let mut violations: Vec<_> = stray.collect();
        for work in &history.works {
            for attempt in &work.tries {
                if let Some(detail) = describe_violation(work, attempt, &succeeded) {
                    let at_ms = attempt.answers.last().map_or(attempt.at_ms, |answer| answer.at_ms);
                    violations.push(self.violation(at_ms, detail));
                }
            }
        }
        violations
    }
}
