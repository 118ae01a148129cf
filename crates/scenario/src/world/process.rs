//! One node's process.

use {
    damaskrack_model::{ClockTime, MemberName, ZoneName},
    damaskrack_node::{NodeConfig, NodeInput, SchedulerNode},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Kind of a call that a node has made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallKind {
    Store,
    Worker,
}

/// A call of one life of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallOrigin {
    pub(crate) kind: CallKind,
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) call: u64,
}

/// Who waits for an answer of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallWaiter {
    /// A try of a piece of work.
    Work { work: usize, attempt: usize },
    /// A question about a job.
    Query { work: usize },
    /// A cancellation.
    Cancel { work: usize },
    /// An operator's change.
    Change { change: usize },
}

/// A node's process, its identity and what waits for it.
#[derive(Debug)]
pub(crate) struct NodeProcess {
    pub(crate) member: MemberName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) core: Option<SchedulerNode>,
    pub(crate) life: u64,
    pub(crate) boot: u64,
    pub(crate) clock_base_ms: u64,
    pub(crate) is_paused: bool,
    pub(crate) is_waking: bool,
    pub(crate) inbox: Vec<NodeInput>,
    pub(crate) pending: BTreeSet<CallOrigin>,
    pub(crate) late: Vec<CallOrigin>,
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
            late: Vec::new(),
            waiters: BTreeMap::new(),
            shutdown_ms: None,
        }
    }

    /// Starts a new life with a clock of its own.
    pub(crate) fn start(&mut self, boot: u64, clock_base_ms: u64) {
        let config = NodeConfig::new(self.member.clone(), self.zone.clone(), self.address, boot);
        self.core = Some(SchedulerNode::new(config));
        self.life += 1;
        self.boot = boot;
        self.clock_base_ms = clock_base_ms;
        self.is_paused = false;
        self.clear();
    }

    /// Ends the process; what waited for it is returned.
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
        self.late.clear();
        self.waiters.clear();
        self.is_waking = false;
        self.shutdown_ms = None;
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.core.is_some()
    }

    /// Tells whether the process runs, and is not stopped by a signal.
    pub(crate) fn is_running(&self) -> bool {
        self.is_alive() && !self.is_paused
    }

    pub(crate) fn clock(&self, now_ms: u64) -> ClockTime {
        ClockTime(self.clock_base_ms + now_ms)
    }
}
