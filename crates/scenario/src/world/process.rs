//! Simulated process of a node.

use {
    damaskrack_model::{ClockTime, MemberName, ZoneName},
    damaskrack_node::{NodeConfig, NodeInput, SchedulerNode},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Recipient of a node's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallKind {
    Store,
    Worker,
}

/// Identity of a call, with the node and the life that made it.
///
/// A life is the period between two starts or stops of a node's process; events of a former life
/// are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallOrigin {
    pub(crate) kind: CallKind,
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) call: u64,
}

/// What waits for a node's response to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallWaiter {
    /// Attempt to submit a work item.
    Work { work: usize, attempt: usize },
    /// Query of a job's status.
    Query { work: usize },
    /// Cancellation of a job.
    Cancel { work: usize },
    /// Operator's change of the manifest.
    Change { change: usize },
}

/// A node's process, its identity, queued inputs and open calls.
#[derive(Debug)]
pub(crate) struct NodeProcess {
    pub(crate) member: MemberName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    /// Node logic; `None` while no process runs.
    pub(crate) core: Option<SchedulerNode>,
    /// Incremented at each start and stop.
    pub(crate) life: u64,
    pub(crate) boot: u64,
    pub(crate) clock_base_ms: u64,
    pub(crate) is_paused: bool,
    /// Whether a wake event is queued.
    pub(crate) is_waking: bool,
    pub(crate) inbox: Vec<NodeInput>,
    /// Calls without a result yet.
    pub(crate) pending: BTreeSet<CallOrigin>,
    /// Calls that timed out while the process was paused.
    pub(crate) overdue: Vec<CallOrigin>,
    pub(crate) waiters: BTreeMap<u64, CallWaiter>,
    pub(crate) shutdown_ms: Option<u64>,
}

impl NodeProcess {
    pub(crate) fn new(member: MemberName, zone: ZoneName, address: SocketAddr) -> Self {
        Self {
            member,
            zone,
            address,
            core: None,
            life: 0,
            boot: 0,
            clock_base_ms: 0,
            is_paused: false,
            is_waking: false,
            inbox: Vec::new(),
            pending: BTreeSet::new(),
            overdue: Vec::new(),
            waiters: BTreeMap::new(),
            shutdown_ms: None,
        }
    }

    /// Starts the process with a new boot number and clock base.
    pub(crate) fn start(&mut self, boot: u64, clock_base_ms: u64) {
        let config = NodeConfig::new(self.member.clone(), self.zone.clone(), self.address, boot);
        self.core = Some(SchedulerNode::new(config));
        self.life += 1;
        self.boot = boot;
        self.clock_base_ms = clock_base_ms;
        self.is_paused = false;
        self.clear();
    }

    /// Ends the process and returns the calls that waited for its responses.
    pub(crate) fn stop(&mut self) -> BTreeMap<u64, CallWaiter> {
        self.core = None;
        self.life += 1;
        self.is_paused = false;
        let waiters = std::mem::take(&mut self.waiters);
        self.clear();
        waiters
    }

    fn clear(&mut self) {
        self.inbox.clear();
        self.pending.clear();
        self.overdue.clear();
        self.waiters.clear();
        self.is_waking = false;
        self.shutdown_ms = None;
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.core.is_some()
    }

    /// Returns whether the process exists and is not paused.
    pub(crate) fn is_running(&self) -> bool {
        self.is_alive() && !self.is_paused
    }

    pub(crate) fn clock(&self, now_ms: u64) -> ClockTime {
        ClockTime(self.clock_base_ms + now_ms)
    }
}
