//! Connections between nodes, one for each direction.
//!
//! A connection that nobody hears from is replaced after a deadline, as the daemon does it. What
//! was sent over a former connection and has not arrived by then is lost.

use std::collections::BTreeMap;

/// Silence after which a connection is given up, in milliseconds.
pub(crate) const SILENCE_LIMIT_MS: u64 = 2_000;

/// A connection from one node to another.
#[derive(Debug, Clone, Default)]
pub(crate) struct LinkState {
    pub(crate) is_up: bool,
    pub(crate) is_silent: bool,
    pub(crate) generation: u64,
    pub(crate) last_arrival_ms: u64,
    pub(crate) blocked_since_ms: Option<u64>,
    pub(crate) peer_life: u64,
}

/// Every connection that a node asked for.
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

    /// Reserves the arrival time of a frame; frames of one connection stay in order.
    pub(crate) fn reserve_arrival(&mut self, pair: (usize, usize), at_ms: u64) -> Option<u64> {
        let link = self.links.get_mut(&pair).filter(|link| link.is_up)?;
        link.last_arrival_ms = link.last_arrival_ms.max(at_ms);
        Some(link.last_arrival_ms)
    }
}
