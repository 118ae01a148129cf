//! When each stand-in is next looked at.

use {super::PathEnd, std::collections::BTreeMap};

/// The next planned look at each stand-in, so that one moment is planned once.
#[derive(Debug, Default)]
pub(crate) struct PollSchedule {
    planned: BTreeMap<PathEnd, u64>,
}

impl PollSchedule {
    /// Notes a look at `at_ms`. Returns whether it has to be scheduled.
    pub(crate) fn schedule(&mut self, end: PathEnd, now_ms: u64, at_ms: u64) -> bool {
        let planned = self.planned.entry(end).or_insert(0);
        if *planned > now_ms && *planned <= at_ms {
            return false;
        }
        *planned = at_ms;
        true
    }
}
