//! Workers in the table of a rack owner.

use {
    super::AttemptKey,
    damaskrack_model::{AttemptId, ClockTime, Resources, WorkerName},
    damaskrack_outside::HostState,
    damaskrack_ownership::TokenBucket,
    serde::Serialize,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Maximum number of former boot numbers kept, by which late replies of replaced processes are
/// recognized.
const MAX_FORMER_BOOTS: usize = 4;

/// Maximum number of syncs of a worker per second.
const SYNCS_PER_S: u32 = 50;

/// Maximum number of syncs in a burst after a quiet time.
const SYNC_BURST: u32 = 10;

/// Worker process that sent a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyOrigin {
    /// The known process, or the first one.
    Current,
    /// A process that has replaced the known one.
    Restarted,
    /// A process that has been replaced.
    Former,
}

/// A worker and what is known about it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct WorkerEntry {
    /// Name of the worker.
    pub(crate) name: WorkerName,
    /// Address at which it listens.
    pub(crate) address: SocketAddr,
    /// When it was first listed under this epoch.
    pub(crate) added_at: ClockTime,
    /// State in the host list; `None` once it has vanished from the list.
    pub(crate) listed: Option<HostState>,
    /// Total resources, by its own report.
    pub(crate) capacity: Resources,
    /// Maximum number of tasks that it runs at once.
    pub(crate) slots: u32,
    /// Boot number of its process; `None` until it replied under this epoch.
    pub(crate) boot: Option<u64>,
    /// Boot numbers of processes that were replaced.
    pub(crate) former_boots: Vec<u64>,
    /// Latest reading of its clock, in milliseconds.
    pub(crate) clock_ms: u64,
    /// When that reading arrived.
    pub(crate) heard_at: Option<ClockTime>,
    /// Whether it has reported under this epoch since its leases last expired.
    pub(crate) has_reported: bool,
    /// Whether its leases have certainly expired.
    #[serde(rename = "is_lapsed")]
    pub(crate) is_expired: bool,
    /// Whether the last call to it failed.
    pub(crate) is_suspect: bool,
    /// Number of its last report.
    pub(crate) seen: u64,
    /// The outstanding sync, and when it was sent.
    pub(crate) sync: Option<(u64, ClockTime)>,
    /// Earliest time of the next sync.
    pub(crate) sync_at: ClockTime,
    /// Rate limit for the syncs of a worker whose tasks start and end all the time.
    #[serde(skip)]
    pub(crate) sync_budget: TokenBucket,
    /// Attempts whose end the queue owner has acknowledged, so that the worker may discard them.
    pub(crate) acks: BTreeSet<AttemptId>,
    /// Attempts that are allocated resources on it.
    #[serde(skip)]
    pub(crate) attempts: Vec<AttemptKey>,
}

impl WorkerEntry {
    /// Makes an entry for a worker that has not replied yet.
    pub(crate) fn new(name: WorkerName, address: SocketAddr, now: ClockTime) -> Self {
        Self {
            name,
            address,
            added_at: now,
            listed: None,
            capacity: Resources::ZERO,
            slots: 0,
            boot: None,
            former_boots: Vec::new(),
            clock_ms: 0,
            heard_at: None,
            has_reported: false,
            is_expired: false,
            is_suspect: false,
            seen: 0,
            sync: None,
            sync_at: now,
            sync_budget: TokenBucket::new(SYNCS_PER_S, SYNC_BURST),
            acks: BTreeSet::new(),
            attempts: Vec::new(),
        }
    }

    /// Records the header of a reply.
    pub(crate) fn record_reply(&mut self, boot: u64, clock_ms: u64, now: ClockTime) -> ReplyOrigin {
        if self.former_boots.contains(&boot) {
            return ReplyOrigin::Former;
        }
        let step = match self.boot {
            Some(known) if known != boot => {
                self.retire_boot(known);
                ReplyOrigin::Restarted
            }
            _ => ReplyOrigin::Current,
        };
        self.boot = Some(boot);
        self.is_suspect = false;
        if clock_ms >= self.clock_ms {
            self.clock_ms = clock_ms;
            self.heard_at = Some(now);
        }
        step
    }

    fn retire_boot(&mut self, boot: u64) {
        if self.former_boots.len() == MAX_FORMER_BOOTS {
            self.former_boots.remove(0);
        }
        self.former_boots.push(boot);
        self.clock_ms = 0;
        self.seen = 0;
        self.acks.clear();
    }

    /// Returns whether a reply arrived within the last `millis` milliseconds.
    pub(crate) fn is_heard_within(&self, millis: u64, now: ClockTime) -> bool {
        self.heard_at.is_some_and(|then| now.since(then) <= millis)
    }

    /// Returns whether it is known what the worker runs: it has reported, or its leases have
    /// expired.
    pub(crate) fn is_accounted_for(&self) -> bool {
        self.has_reported || self.is_expired
    }
}
