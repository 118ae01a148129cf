//! Connections between nodes, one for each direction.
//!
//! As in the daemon, a silent connection is replaced after a timeout. Frames that were sent over
//! the old connection and have not arrived by then are lost.

use std::collections::BTreeMap;

/// Silence after which a connection is closed, in milliseconds.
pub(crate) const SILENCE_LIMIT_MS: u64 = 2_000;

/// State of a connection from one node to another.
#[derive(Debug, Clone, Default)]
pub(crate) struct LinkState {
    pub(crate) is_up: bool,
    /// Whether an injected fault drops its frames without closing it.
    pub(crate) is_silent: bool,
    /// Incremented each time the connection is opened.
    pub(crate) generation: u64,
    pub(crate) last_arrival_ms: u64,
    /// Time since when the peer has been unreachable, in milliseconds.
    pub(crate) blocked_since_ms: Option<u64>,
    /// Life of the peer's process when the connection was opened.
    pub(crate) peer_life: u64,
}

/// All connections that nodes requested, open or not.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    links: BTreeMap<(usize, usize), LinkState>,
}

impl LinkTable {
    pub(crate) fn request(&mut self, from: usize, to: usize) {
        self.links.entry((from, to)).or_default();
    }

    pub(crate) fn remove(&mut self, from: usize, to: usize) {
        self.links.remove(&(from, to));
    }

    pub(crate) fn remove_from(&mut self, node: usize) {
        self.links.retain(|(from, _), _| *from != node);
    }

    pub(crate) fn get_mut(&mut self, from: usize, to: usize) -> Option<&mut LinkState> {
        self.links.get_mut(&(from, to))
    }

    pub(crate) fn get(&self, from: usize, to: usize) -> Option<&LinkState> {
        self.links.get(&(from, to))
    }

    pub(crate) fn pairs(&self) -> Vec<(usize, usize)> {
        self.links.keys().copied().collect()
    }

    /// Returns the arrival time of a frame, at `at_ms` or later so that the frames of a connection
    /// stay in order; `None` if the connection is not open.
    pub(crate) fn reserve_arrival(&mut self, pair: (usize, usize), at_ms: u64) -> Option<u64> {
        let link = self.links.get_mut(&pair).filter(|link| link.is_up)?;
        link.last_arrival_ms = link.last_arrival_ms.max(at_ms);
        Some(link.last_arrival_ms)
    }
}
