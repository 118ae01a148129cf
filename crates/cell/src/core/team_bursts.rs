//! Teams that ask for far more than their shares.
//!
//! A team with a few large jobs exceeds its share now and then. Only the average over some seconds
//! tells a burst from that.

use {super::shares::ServiceShares, rustc_hash::FxHashMap};

/// Time in which the weight of an old value falls to 37 %, in milliseconds. A gang or two end within it.
const FADE_MS: f64 = 5_000.0;
/// Multiple of its share that a team's demand must exceed to count as a burst, and that from which it
/// counts as far beyond the share. Teams that send as usual seldom exceed the first; a burst of five to
/// eight times the usual exceeds the second within some seconds.
const BURST_RANGE: (f64, f64) = (2.0, 4.0);

/// Average below which a team counts as gone.
const MIN_RATIO: f64 = 0.001;

/// Average demands of teams at services, as multiples of their shares.
#[derive(Debug, Default)]
pub(super) struct TeamBursts {
    measured_ms: Option<u64>,
    ratios: FxHashMap<(String, String), f64>,
}

impl TeamBursts {
    /// Adds the present demands to the averages.
    pub(super) fn measure<'a>(
        &mut self,
        now_ms: u64,
        services: impl Iterator<Item = (&'a str, &'a ServiceShares)>,
    ) {
        let elapsed_ms = now_ms.saturating_sub(self.measured_ms.unwrap_or(now_ms)) as f64;
        let keep = (-elapsed_ms / FADE_MS).exp();
        self.measured_ms = Some(now_ms);
        self.ratios.retain(|_, ratio| {
            *ratio *= keep;
            *ratio > MIN_RATIO
        });
        for (service, shares) in services {
            for (team, ratio) in shares.demand_ratios() {
                let key = (service.to_owned(), team.to_owned());
                *self.ratios.entry(key).or_default() += ratio * (1.0 - keep);
            }
        }
    }

    /// Returns how far a team's demand is beyond its share, from 0 (near or within it) to 1 (far).
    pub(super) fn degree(&self, service: &str, team: &str) -> f64 {
        let ratio = self.ratios.get(&(service.to_owned(), team.to_owned())).copied().unwrap_or(0.0);
        ((ratio - BURST_RANGE.0) / (BURST_RANGE.1 - BURST_RANGE.0)).clamp(0.0, 1.0)
    }
}
