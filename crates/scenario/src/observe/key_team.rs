//! Observer: outside open queues, work runs only for the team whose key was presented.

use {
    crate::observe::{BoundPlan, HistoryObserver, RunHistory, SeenRun, SeenWork, Violation},
    damaskrack_model::TeamName,
};

/// Checks that work outside open queues runs only for the team whose key was presented.
#[derive(Debug)]
pub struct KeyTeam;

/// Tells whether any manifest of the run allows this work to run for this team.
fn is_allowed(history: &RunHistory, work: &SeenWork, team: &TeamName) -> bool {
    history.configs.iter().any(|config| {
        let Some(queue) = config.document.queues.iter().find(|queue| queue.name == work.queue)
        else {
            return false;
        };
        let mut keys = config.document.keys.iter();
        let is_key_of_team = work.key.is_some()
            && keys.any(|key| Some(&key.name) == work.key.as_ref() && key.team == *team);
        queue.team == *team && (queue.open || is_key_of_team)
    })
}

impl HistoryObserver for KeyTeam {
    fn point(&self) -> &'static str {
        "key-team"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let check_run = |seen: &SeenRun| {
            let job = &seen.run.attempt.job;
            let detail = match history.find_token(&seen.token) {
                None => format!("{} runs work that nobody handed in", seen.run.attempt),
                Some((work, _)) if !is_allowed(history, work, &job.team) => {
                    format!("{} runs for {} with key {:?}", seen.run.attempt, job.team, work.key)
                }
                Some((work, _)) if work.queue != job.queue => {
                    format!("{} runs in a queue other than {}", seen.run.attempt, work.queue)
                }
                Some(_) => return None,
            };
            Some(self.violation(seen.run.start_ms, detail))
        };
        history.runs.iter().filter_map(check_run).collect()
    }
}
