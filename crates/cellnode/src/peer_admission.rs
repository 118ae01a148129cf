//! Decides which connections and frames of other daemons are received.
//!
//! A pure type. Daemons do not authenticate themselves, so a connection counts as a daemon's once its first
//! frame has come; those without one are closed for new ones, and get no space for a large frame.

use std::collections::BTreeMap;

/// Largest frame that needs no reservation, in bytes. It holds a heartbeat and most submissions.
pub(crate) const SMALL_FRAME_BYTES: usize = 16_384;
/// Default of [`PeerLimits::connections`]: several times as many as a cell has daemons.
const DEFAULT_CONNECTIONS: usize = 256;
/// Default of [`PeerLimits::frame_bytes`]: an eighth of the memory of the smallest host.
const DEFAULT_FRAME_BYTES: usize = 15 << 20;

/// Limits of the connections of other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Maximum number of connections. Half of them are kept for those that have sent a frame.
    pub connections: usize,
    /// Maximum size of all large frames that are being received, in bytes.
    pub frame_bytes: usize,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self { connections: DEFAULT_CONNECTIONS, frame_bytes: DEFAULT_FRAME_BYTES }
    }
}

/// What to do with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerVerdict {
    /// Serve it.
    Admit(u64),
    /// Serve it, and close another one.
    Replace {
        /// The new connection.
        admitted: u64,
        /// The connection to close.
        cut: u64,
    },
    /// Close it.
    Refuse,
}

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerPhase {
    /// It has sent no frame yet.
    Unidentified,
    /// It has sent a frame.
    Identified,
    /// It has been chosen to be closed.
    Closing,
}

/// The open connections, and the space of the frames that are being received on them.
#[derive(Debug, Default)]
pub(crate) struct PeerAdmission {
    limits: PeerLimits,
    /// Connections by number, which grows, so that the oldest comes first.
    phases: BTreeMap<u64, PeerPhase>,
    frame_bytes: usize,
    last_id: u64,
}

impl PeerAdmission {
    pub(crate) fn new(limits: PeerLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Decides on a new connection. The oldest one without a frame is closed for it once these hold half of
    /// all.
    pub(crate) fn admit(&mut self) -> PeerVerdict {
        if self.phases.len() >= self.limits.connections {
            return PeerVerdict::Refuse;
        }
        let mut unidentified =
            self.phases.iter().filter(|(_, phase)| **phase == PeerPhase::Unidentified);
        let oldest = unidentified.next().map(|(id, _)| *id);
        let count = unidentified.count() + usize::from(oldest.is_some());
        let cut = oldest.filter(|_| count >= (self.limits.connections / 2).max(1));
        self.last_id += 1;
        let admitted = self.last_id;
        self.phases.insert(admitted, PeerPhase::Unidentified);
        match cut {
            Some(cut) => {
                self.phases.insert(cut, PeerPhase::Closing);
                PeerVerdict::Replace { admitted, cut }
            }
            None => PeerVerdict::Admit(admitted),
        }
    }

    /// Records that a connection has sent a frame.
    pub(crate) fn identify(&mut self, id: u64) {
        if let Some(phase) = self.phases.get_mut(&id)
            && *phase == PeerPhase::Unidentified
        {
            *phase = PeerPhase::Identified;
        }
    }

    /// Records that a connection has been closed.
    pub(crate) fn remove(&mut self, id: u64) {
        self.phases.remove(&id);
    }

    /// Reserves space for a large frame; `false` if there is none for this connection.
    pub(crate) fn reserve(&mut self, id: u64, bytes: usize) -> bool {
        let is_identified = self.phases.get(&id) == Some(&PeerPhase::Identified);
        let has_space = self.frame_bytes.saturating_add(bytes) <= self.limits.frame_bytes;
        if is_identified && has_space {
            self.frame_bytes += bytes;
        }
        is_identified && has_space
    }

    /// Frees the space of a frame.
    pub(crate) fn release(&mut self, bytes: usize) {
        self.frame_bytes -= bytes;
    }
}

#[cfg(test)]
mod tests;
