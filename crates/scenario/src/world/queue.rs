//! Events in the order of simulated time.

use std::collections::BTreeMap;

/// Events by time; events of the same millisecond keep the order in which they were added.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    events: BTreeMap<(u64, u64), E>,
    serial: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self { events: BTreeMap::new(), serial: 0 }
    }

    pub(crate) fn push(&mut self, at_ms: u64, event: E) {
        self.serial += 1;
        self.events.insert((at_ms, self.serial), event);
    }

    /// Takes the next event that is due until `until_ms`.
    pub(crate) fn pop(&mut self, until_ms: u64) -> Option<(u64, E)> {
        let entry = self.events.first_entry()?;
        let at_ms = entry.key().0;
        (at_ms <= until_ms).then(|| (at_ms, entry.remove()))
    }
}
