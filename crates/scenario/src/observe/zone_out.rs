//! Observer: no task starts in a zone that was taken out, after its bound.

use {
    crate::observe::{BoundPlan, HistoryObserver, RunHistory, SeenRun, Violation},
    damaskrack_manifest::ZoneState,
};

/// Checks that no task starts in a zone that was taken out, after its bound.
#[derive(Debug)]
pub struct ZoneOut;

impl HistoryObserver for ZoneOut {
    fn point(&self) -> &'static str {
        "zone-out"
    }

    fn check(&self, history: &RunHistory, bounds: &BoundPlan) -> Vec<Violation> {
        let is_in = |seen: &SeenRun| {
            history.configs_at(seen.run.start_ms, bounds.zone_ms).any(|config| {
                let mut zones = config.document.zones.iter();
                zones.any(|zone| zone.name == seen.run.zone && zone.state == ZoneState::In)
            })
        };
        let late = history.runs.iter().filter(|seen| !is_in(seen));
        late.map(|seen| {
            let detail = format!("{} started in {}", seen.run.attempt, seen.run.zone);
            self.violation(seen.run.start_ms, detail)
        })
        .collect()
    }
}
