//! Observer: an accepted configuration reaches every node within its bound and never reverts.

use crate::observe::{BoundPlan, HistoryObserver, RunHistory, SeenConfig, Violation};

/// Checks that an accepted configuration reaches every node within its bound and never reverts.
///
/// It compares only the versions that processes hold. The observers of keys, zones and limits
/// check whether an older version still has effects.
#[derive(Debug)]
pub struct ConfigSpread;

/// Time for which the effects of a disturbance may outlast it, in milliseconds.
const DISTURBANCE_MARGIN_MS: u64 = 3_000;

impl ConfigSpread {
    fn check_reverts(&self, history: &RunHistory) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (index, seen) in history.versions.iter().enumerate() {
            let mut earlier = history.versions[..index].iter().rev();
            let last = earlier.find(|other| (other.node, other.life) == (seen.node, seen.life));
            if last.is_some_and(|last| last.version > seen.version) {
                let detail = format!("node-{} went back to {}", seen.node + 1, seen.version);
                violations.push(self.violation(seen.at_ms, detail));
            }
        }
        for pair in history.configs.windows(2) {
            if pair[1].version <= pair[0].version {
                let detail = format!("{} was written after {}", pair[1].version, pair[0].version);
                violations.push(self.violation(pair[1].written_ms, detail));
            }
        }
        violations
    }

    /// Checks that every undisturbed node holds a version by its deadline.
    fn check_spread(
        &self,
        history: &RunHistory,
        config: &SeenConfig,
        accepted_ms: u64,
        bounds: &BoundPlan,
    ) -> Vec<Violation> {
        let due_ms = accepted_ms + bounds.config_ms;
        let mut violations = Vec::new();
        if due_ms > history.end_ms || history.nodes < 2 {
            return violations;
        }
        for node in 0..history.nodes {
            let from_ms = accepted_ms.saturating_sub(DISTURBANCE_MARGIN_MS);
            if history.is_disturbed(node, from_ms, due_ms) {
                continue;
            }
            let seen = history.versions.iter();
            let mut held = seen.filter(|seen| seen.node == node && seen.at_ms <= due_ms);
            let held = held.next_back().map_or(0, |seen| seen.version);
            if held < config.version {
                let detail = format!("node-{} holds {held}, not {}", node + 1, config.version);
                violations.push(self.violation(due_ms, detail));
            }
        }
        violations
    }
}

impl HistoryObserver for ConfigSpread {
    fn point(&self) -> &'static str {
        "config-spread"
    }

    fn check(&self, history: &RunHistory, bounds: &BoundPlan) -> Vec<Violation> {
        let mut violations = self.check_reverts(history);
        for config in &history.configs {
            if let Some(accepted_ms) = config.accepted_ms {
                violations.extend(self.check_spread(history, config, accepted_ms, bounds));
            }
        }
        violations
    }
}
