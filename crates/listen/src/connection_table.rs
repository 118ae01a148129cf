//! Decides which connections a listener admits and which one it closes for another.
//!
//! A pure type: times are passed in, and nothing is closed here.

use {
    crate::ConnectionLimits,
    std::{collections::BTreeMap, net::IpAddr},
};

/// Time that a client has for its request before its connection may be closed for another one, in
/// milliseconds: several round trips.
const MIN_WAITING_MS: u64 = 100;
/// The same for a body. A body of the largest size takes a second on a link of 2 Mbit/s.
const MIN_RECEIVING_MS: u64 = 1_000;

/// Identifies a connection of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It has no complete request: it is idle, or its headers are not complete.
    Waiting,
    /// A request's body is being received.
    Receiving,
    /// A request is being carried out. Such a connection is never closed for another one.
    Working,
    /// It has been chosen to be closed.
    Closing,
}

/// What to do with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionVerdict {
    /// Serve it.
    Admit(ConnectionId),
    /// Serve it, and close another one.
    Replace {
        /// The new connection.
        admitted: ConnectionId,
        /// The connection to close.
        cut: ConnectionId,
    },
    /// Close it.
    Refuse,
}

#[derive(Debug)]
struct ConnectionEntry {
    peer: IpAddr,
    phase: ConnectionPhase,
    since_ms: u64,
}

impl ConnectionEntry {
    /// Returns whether the connection may be closed for another one.
    fn is_replaceable(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        match self.phase {
            ConnectionPhase::Waiting => age_ms >= MIN_WAITING_MS,
            ConnectionPhase::Receiving => age_ms >= MIN_RECEIVING_MS,
            ConnectionPhase::Working | ConnectionPhase::Closing => false,
        }
    }
}

/// The open connections of a listener.
///
/// When all are taken, the peer that holds most gives up the one that has waited longest.
///
/// ```
/// use damaskrack_listen::{ConnectionLimits, ConnectionTable, ConnectionVerdict};
///
/// let limits = ConnectionLimits { connections: 3, headroom: 1, per_peer: 3 };
/// let mut table = ConnectionTable::new(limits);
/// let peer = [127, 0, 0, 1].into();
/// assert!(matches!(table.admit(peer, 0), ConnectionVerdict::Admit(_)));
/// assert!(matches!(table.admit(peer, 0), ConnectionVerdict::Admit(_)));
/// assert_eq!(table.admit(peer, 0), ConnectionVerdict::Refuse);
/// assert!(matches!(table.admit(peer, 500), ConnectionVerdict::Replace { .. }));
/// ```
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    entries: BTreeMap<ConnectionId, ConnectionEntry>,
    /// Number of each peer's connections that are not being closed.
    peers: BTreeMap<IpAddr, usize>,
    closing: usize,
    last_id: u64,
}

impl ConnectionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        let (entries, peers) = (BTreeMap::new(), BTreeMap::new());
        Self { limits, entries, peers, closing: 0, last_id: 0 }
    }

    /// Returns the number of open connections, including those that are being closed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.peers.is_empty() && self.closing == 0
    }

    /// Returns the number of a peer's connections that are not being closed.
    #[must_use]
    pub fn held_by(&self, peer: IpAddr) -> usize {
        self.peers.get(&peer).copied().unwrap_or(0)
    }

    /// Decides on a new connection.
    pub fn admit(&mut self, peer: IpAddr, now_ms: u64) -> ConnectionVerdict {
        if self.entries.len() >= self.limits.connections {
            return ConnectionVerdict::Refuse;
        }
        let is_peer_full = self.held_by(peer) >= self.limits.per_peer;
        let open = self.entries.len() - self.closing;
        let is_full = open >= self.limits.connections.saturating_sub(self.limits.headroom);
        if !is_peer_full && !is_full {
            return ConnectionVerdict::Admit(self.insert(peer, now_ms));
        }
        let Some(cut) = self.find_victim(is_peer_full.then_some(peer), now_ms) else {
            return ConnectionVerdict::Refuse;
        };
        self.close(cut);
        ConnectionVerdict::Replace { admitted: self.insert(peer, now_ms), cut }
    }

    /// Records what a connection does from now on.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.phase != ConnectionPhase::Closing
        {
            entry.phase = phase;
            entry.since_ms = now_ms;
        }
    }

    /// Records that a connection has been closed.
    pub fn remove(&mut self, id: ConnectionId) {
        match self.entries.remove(&id) {
            Some(entry) if entry.phase == ConnectionPhase::Closing => self.closing -= 1,
            Some(entry) => self.release(entry.peer),
            None => {}
        }
    }

    fn insert(&mut self, peer: IpAddr, now_ms: u64) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let phase = ConnectionPhase::Waiting;
        self.entries.insert(id, ConnectionEntry { peer, phase, since_ms: now_ms });
        *self.peers.entry(peer).or_default() += 1;
        id
    }

    /// Returns the connection to close for a new one, of `peer` alone if that is given: one of the peer
    /// that holds most, without a body if there is one, and then the one that has waited longest.
    fn find_victim(&self, peer: Option<IpAddr>, now_ms: u64) -> Option<ConnectionId> {
        let candidates = self.entries.iter().filter(|(_, entry)| {
            entry.is_replaceable(now_ms) && peer.is_none_or(|peer| peer == entry.peer)
        });
        let victim = candidates.max_by_key(|(_, entry)| {
            let is_waiting = entry.phase == ConnectionPhase::Waiting;
            (self.held_by(entry.peer), is_waiting, now_ms.saturating_sub(entry.since_ms))
        });
        victim.map(|(id, _)| *id)
    }

    fn close(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.phase = ConnectionPhase::Closing;
        let peer = entry.peer;
        self.closing += 1;
        self.release(peer);
    }

    fn release(&mut self, peer: IpAddr) {
        if let Some(held) = self.peers.get_mut(&peer) {
            *held -= 1;
            if *held == 0 {
                self.peers.remove(&peer);
            }
        }
    }
}
