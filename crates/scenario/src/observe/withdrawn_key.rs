//! Observer: a withdrawn key is refused after its bound.

use {
    crate::observe::{
        BoundPlan, HistoryObserver, RunHistory, SeenConfig, SeenTry, SeenWork, Violation,
    },
    damaskrack_model::{AnswerReason, KeyName, OutcomeKind},
};

/// Checks that a withdrawn key is refused after its bound.
#[derive(Debug)]
pub struct WithdrawnKey;

fn is_key_valid(config: &SeenConfig, work: &SeenWork, key: &KeyName) -> bool {
    let mut keys = config.document.keys.iter();
    let mut queues = config.document.queues.iter();
    keys.any(|entry| entry.name == *key)
        || queues.any(|queue| queue.name == work.queue && queue.open)
}

/// Tells whether the key may have been valid at any time from the submission until `until_ms`.
fn may_be_valid(
    history: &RunHistory,
    bounds: &BoundPlan,
    work: &SeenWork,
    attempt: &SeenTry,
    until_ms: u64,
) -> bool {
    let Some(key) = &work.key else { return true };
    let is_later =
        |config: &&SeenConfig| config.written_ms >= attempt.at_ms && config.written_ms <= until_ms;
    let later = history.configs.iter().filter(is_later);
    history
        .configs_at(attempt.at_ms, bounds.key_ms)
        .chain(later)
        .any(|config| is_key_valid(config, work, key))
}

impl HistoryObserver for WithdrawnKey {
    fn point(&self) -> &'static str {
        "withdrawn-key"
    }

    fn check(&self, history: &RunHistory, bounds: &BoundPlan) -> Vec<Violation> {
        let mut violations = Vec::new();
        for seen in &history.runs {
            let Some((work, attempt)) = history.find_token(&seen.token) else { continue };
            if !may_be_valid(history, bounds, work, attempt, seen.run.start_ms) {
                let detail = format!("{} started with {:?}", seen.run.attempt, work.key);
                violations.push(self.violation(seen.run.start_ms, detail));
            }
        }
        for work in &history.works {
            for (attempt, answer) in work
                .tries
                .iter()
                .flat_map(|attempt| attempt.answers.iter().map(move |a| (attempt, a)))
            {
                let is_accepted =
                    answer.outcome == OutcomeKind::Done || answer.reason == AnswerReason::Accepted;
                if is_accepted && !may_be_valid(history, bounds, work, attempt, answer.at_ms) {
                    let detail = format!("{} was taken with {:?}", attempt.token, work.key);
                    violations.push(self.violation(answer.at_ms, detail));
                }
            }
        }
        violations
    }
}
