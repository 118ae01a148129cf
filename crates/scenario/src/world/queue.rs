//! Event queue ordered by simulated time.

use std::collections::BTreeMap;

/// Events ordered by time; events of the same millisecond keep their order of insertion.
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

    /// Removes and returns the next event that is due at or before `until_ms`.
    pub(crate) fn pop(&mut self, until_ms: u64) -> Option<(u64, E)> {
        let entry = self.events.first_entry()?;
        let at_ms = entry.key().0;
        (at_ms <= until_ms).then(|| (at_ms, entry.remove()))
    }
}
