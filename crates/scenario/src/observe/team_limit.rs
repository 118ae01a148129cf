//! Observer: no team exceeds its limit across the fleet.

use {
    crate::observe::{BoundPlan, HistoryObserver, RunHistory, SeenRun, Violation},
    damaskrack_manifest::TeamLimit,
    damaskrack_model::{Resources, TeamName},
    std::collections::{BTreeMap, BTreeSet},
};

/// Checks that no team exceeds its limit across the fleet.
///
/// A lowered limit applies to running tasks only after its bound.
#[derive(Debug)]
pub struct TeamLimits;

/// Returns the highest limit that may be in force.
fn loosest_limit_at(
    history: &RunHistory,
    bounds: &BoundPlan,
    team: &TeamName,
    at_ms: u64,
) -> Option<TeamLimit> {
    let limits = history.configs_at(at_ms, bounds.limit_ms).filter_map(|config| {
        let mut teams = config.document.teams.iter();
        teams.find(|entry| entry.name == *team).map(|entry| entry.limit)
    });
    limits.reduce(|a, b| TeamLimit {
        tasks: a.tasks.max(b.tasks),
        resources: Resources {
            millicores: a.resources.millicores.max(b.resources.millicores),
            memory_bytes: a.resources.memory_bytes.max(b.resources.memory_bytes),
            accelerators: a.resources.accelerators.max(b.resources.accelerators),
        },
    })
}

/// Returns the times at which a team's usage can begin to exceed its limit.
fn check_times(history: &RunHistory, bounds: &BoundPlan, runs: &[&SeenRun]) -> BTreeSet<u64> {
    let starts = runs.iter().map(|seen| seen.run.start_ms);
    let due = history.configs.iter().filter_map(|config| config.accepted_ms);
    let due = due.map(|at_ms| at_ms + bounds.limit_ms + 1).filter(|&at_ms| at_ms <= history.end_ms);
    starts.chain(due).collect()
}

fn usage_at(runs: &[&SeenRun], at_ms: u64) -> (u32, Resources) {
    let is_running = |seen: &&&SeenRun| {
        seen.run.start_ms <= at_ms && seen.run.end_ms.is_none_or(|end_ms| end_ms > at_ms)
    };
    runs.iter().filter(is_running).fold((0, Resources::ZERO), |(tasks, sum), seen| {
        (tasks + 1, sum.saturating_add(seen.run.resources))
    })
}

impl HistoryObserver for TeamLimits {
    fn point(&self) -> &'static str {
        "team-limit"
    }

    fn check(&self, history: &RunHistory, bounds: &BoundPlan) -> Vec<Violation> {
        let mut teams: BTreeMap<&TeamName, Vec<&SeenRun>> = BTreeMap::new();
        for seen in &history.runs {
            teams.entry(&seen.run.attempt.job.team).or_default().push(seen);
        }
        let mut violations = Vec::new();
        for (team, runs) in teams {
            for at_ms in check_times(history, bounds, &runs) {
                let (tasks, resources) = usage_at(&runs, at_ms);
                let Some(limit) = loosest_limit_at(history, bounds, team, at_ms) else { continue };
                if tasks > limit.tasks || !limit.resources.covers(resources) {
                    let detail = format!(
                        "{team} has {tasks} tasks and {resources:?} running with {limit:?}"
                    );
                    violations.push(self.violation(at_ms, detail));
                }
            }
        }
        violations
    }
}
