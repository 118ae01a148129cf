//! When each stand-in is next looked at.

use {super::NetPlace, std::collections::BTreeMap};

/// The next planned look at each stand-in, so that one moment is planned once.
#[derive(Debug, Default)]
pub(crate) struct SweepPlan {
    planned: BTreeMap<NetPlace, u64>,
}

impl SweepPlan {
    /// Notes a look at `at_ms`. Returns whether it has to be scheduled.
    pub(crate) fn plan(&mut self, place: NetPlace, now_ms: u64, at_ms: u64) -> bool {
        let planned = self.planned.entry(place).or_insert(0);
        if *planned > now_ms && *planned <= at_ms {
            return false;
        }
        *planned = at_ms;
        true
    }
}
