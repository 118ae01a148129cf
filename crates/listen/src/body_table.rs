//! Decides which bodies are received and which one is cut for another.
//!
//! A pure type: times are passed in, and nothing is read here. A body is admitted with all the bytes that
//! it may need, so that bodies never wait for one another halfway.

use {
    crate::{BodyBudget, BodyLimits},
    std::{collections::BTreeMap, net::IpAddr},
};

/// Time without a byte after which a body may be cut for another one, in milliseconds: longer than the
/// retransmission of a lost packet (200 ms).
const STALL_MS: u64 = 250;
/// Longest time for which a body waits to be admitted, in milliseconds. It leaves time to receive the body
/// and to respond within a caller's default deadline of 3 s.
const MAX_WAIT_MS: u64 = 1_000;

/// Identifies a body of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// A body to be received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyRequest {
    /// Address of the client.
    pub peer: IpAddr,
    /// The most bytes that the body may have.
    pub bytes: usize,
    /// Time for which it has waited to be admitted, in milliseconds.
    pub waited_ms: u64,
}

/// What to do with a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyVerdict {
    /// Receive it.
    Admit(BodyId),
    /// Ask again once a body has ended or soon, and cut the named one now.
    Wait {
        /// The body to cut.
        cut: Option<BodyId>,
    },
    /// Refuse it: it has waited for too long, or could never be admitted.
    Refuse,
}

/// Which budget a body is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyClass {
    Small,
    Large,
}

/// How far a body has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyPhase {
    Receiving,
    /// It is being worked on, and is not cut any more.
    Complete,
    /// It has been chosen to be cut.
    Cut,
}

#[derive(Debug)]
struct BodyEntry {
    peer: IpAddr,
    class: BodyClass,
    bytes: usize,
    phase: BodyPhase,
    admitted_ms: u64,
    progress_ms: u64,
}

/// Bytes and bodies of a class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BodyUse {
    /// Reserved bytes.
    pub bytes: usize,
    /// Number of bodies.
    pub bodies: usize,
}

/// What is in use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BodyTotals {
    /// Small bodies.
    pub small: BodyUse,
    /// All others.
    pub large: BodyUse,
}

/// The bodies that are being received.
///
/// ```
/// use damaskrack_listen::{BodyBudget, BodyLimits, BodyRequest, BodyTable, BodyVerdict};
///
/// let small = BodyBudget { bytes: 100, peer_bytes: 100, slots: 10 };
/// let large = BodyBudget { bytes: 1_000, peer_bytes: 1_000, slots: 1 };
/// let mut table = BodyTable::new(BodyLimits { small_bytes: 50, small, large });
/// let request = BodyRequest { peer: [127, 0, 0, 1].into(), bytes: 800, waited_ms: 0 };
/// let BodyVerdict::Admit(first) = table.request(request, 0) else { panic!() };
/// assert_eq!(table.request(request, 0), BodyVerdict::Wait { cut: None });
/// let tiny = BodyRequest { bytes: 20, ..request };
/// assert!(matches!(table.request(tiny, 0), BodyVerdict::Admit(_)));
/// assert_eq!(table.request(request, 300), BodyVerdict::Wait { cut: Some(first) });
/// ```
#[derive(Debug)]
pub struct BodyTable {
    limits: BodyLimits,
    entries: BTreeMap<BodyId, BodyEntry>,
    totals: BodyTotals,
    last_id: u64,
}

impl BodyTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: BodyLimits) -> Self {
        Self { limits, entries: BTreeMap::new(), totals: BodyTotals::default(), last_id: 0 }
    }

    /// Returns what is in use.
    #[must_use]
    pub fn totals(&self) -> BodyTotals {
        self.totals
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &BodyLimits {
        &self.limits
    }

    /// Decides on a body.
    pub fn request(&mut self, request: BodyRequest, now_ms: u64) -> BodyVerdict {
        let class = self.class_of(request.bytes);
        let budget = self.budget(class);
        if request.bytes > budget.peer_bytes {
            return BodyVerdict::Refuse;
        }
        let used = self.used(class);
        let peer_bytes = self.bytes_of(request.peer, class);
        let has_peer_space = peer_bytes + request.bytes <= budget.peer_bytes;
        let has_space = used.bytes + request.bytes <= budget.bytes && used.bodies < budget.slots;
        if has_space && has_peer_space {
            return BodyVerdict::Admit(self.insert(request, class, now_ms));
        }
        if request.waited_ms >= MAX_WAIT_MS {
            return BodyVerdict::Refuse;
        }
        let only_peer = (!has_peer_space).then_some(request.peer);
        let cut = match self.is_cut_pending(class, only_peer) {
            true => None,
            false => self.find_victim(class, only_peer, peer_bytes + request.bytes, now_ms),
        };
        if let Some(entry) = cut.and_then(|id| self.entries.get_mut(&id)) {
            entry.phase = BodyPhase::Cut;
        }
        BodyVerdict::Wait { cut }
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, id: BodyId, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progress_ms = now_ms;
        }
    }

    /// Records that a body is complete with so many bytes, and frees what it does not need. Returns whether
    /// it may be worked on; otherwise it has been chosen to be cut.
    pub fn complete(&mut self, id: BodyId, bytes: usize) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        if entry.phase == BodyPhase::Cut {
            return false;
        }
        entry.phase = BodyPhase::Complete;
        let unused = entry.bytes.saturating_sub(bytes);
        entry.bytes -= unused;
        let class = entry.class;
        self.used_mut(class).bytes -= unused;
        true
    }

    /// Records that the memory of a body has been freed.
    pub fn remove(&mut self, id: BodyId) {
        if let Some(entry) = self.entries.remove(&id) {
            let used = self.used_mut(entry.class);
            used.bytes -= entry.bytes;
            used.bodies -= 1;
        }
    }

    fn class_of(&self, bytes: usize) -> BodyClass {
        if bytes <= self.limits.small_bytes { BodyClass::Small } else { BodyClass::Large }
    }

    fn budget(&self, class: BodyClass) -> BodyBudget {
        match class {
            BodyClass::Small => self.limits.small,
            BodyClass::Large => self.limits.large,
        }
    }

    fn used(&self, class: BodyClass) -> BodyUse {
        match class {
            BodyClass::Small => self.totals.small,
            BodyClass::Large => self.totals.large,
        }
    }

    fn used_mut(&mut self, class: BodyClass) -> &mut BodyUse {
        match class {
            BodyClass::Small => &mut self.totals.small,
            BodyClass::Large => &mut self.totals.large,
        }
    }

    fn insert(&mut self, request: BodyRequest, class: BodyClass, now_ms: u64) -> BodyId {
        self.last_id += 1;
        let id = BodyId(self.last_id);
        let BodyRequest { peer, bytes, .. } = request;
        let phase = BodyPhase::Receiving;
        let entry =
            BodyEntry { peer, class, bytes, phase, admitted_ms: now_ms, progress_ms: now_ms };
        self.entries.insert(id, entry);
        let used = self.used_mut(class);
        used.bytes += bytes;
        used.bodies += 1;
        id
    }

    fn bytes_of(&self, peer: IpAddr, class: BodyClass) -> usize {
        let own = self.entries.values().filter(|entry| entry.peer == peer && entry.class == class);
        own.map(|entry| entry.bytes).sum()
    }

    fn is_cut_pending(&self, class: BodyClass, peer: Option<IpAddr>) -> bool {
        self.entries.values().any(|entry| {
            entry.class == class
                && entry.phase == BodyPhase::Cut
                && peer.is_none_or(|peer| peer == entry.peer)
        })
    }

    /// Returns the body to cut for one whose peer would then hold `wanted` bytes: that of the peer that
    /// holds most which has made no progress for longest, the oldest of these first. A body that makes
    /// progress is cut only if its peer holds more than that.
    fn find_victim(
        &self,
        class: BodyClass,
        peer: Option<IpAddr>,
        wanted: usize,
        now_ms: u64,
    ) -> Option<BodyId> {
        let mut held: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| entry.class == class) {
            *held.entry(entry.peer).or_default() += entry.bytes;
        }
        let held_by = |entry: &BodyEntry| held.get(&entry.peer).copied().unwrap_or(0);
        let stalled_ms = |entry: &BodyEntry| now_ms.saturating_sub(entry.progress_ms);
        let candidates = self.entries.iter().filter(|(_, entry)| {
            entry.class == class
                && entry.phase == BodyPhase::Receiving
                && peer.is_none_or(|peer| peer == entry.peer)
                && (stalled_ms(entry) >= STALL_MS || held_by(entry) > wanted)
        });
        let victim = candidates.max_by_key(|(_, entry)| {
            (held_by(entry), stalled_ms(entry), now_ms.saturating_sub(entry.admitted_ms))
        });
        victim.map(|(id, _)| *id)
    }
}
