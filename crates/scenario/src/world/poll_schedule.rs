//! Time of the next poll of each stand-in.

use {super::PathEnd, std::collections::BTreeMap};

/// Next poll scheduled for each stand-in, which avoids duplicate poll events.
#[derive(Debug, Default)]
pub(crate) struct PollSchedule {
    planned: BTreeMap<PathEnd, u64>,
}

impl PollSchedule {
    /// Schedules a poll at `at_ms`. Returns whether the caller must queue an event for it; `false`
    /// if an earlier or equal poll is still due.
    pub(crate) fn schedule(&mut self, end: PathEnd, now_ms: u64, at_ms: u64) -> bool {
        let planned = self.planned.entry(end).or_insert(0);
        if *planned > now_ms && *planned <= at_ms {
            return false;
        }
        *planned = at_ms;
        true
    }
}
