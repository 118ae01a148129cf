//! The outgoing links of this daemon.

use {
    super::{LinkConfig, outgoing::OutgoingLink},
    crate::metrics::MetricRegistry,
    damaskrack_model::MemberName,
    damaskrack_node::NodeInput,
    damaskrack_wire::PeerMessage,
    slog::Logger,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::mpsc::{self, Sender, error::TrySendError},
        task::JoinHandle,
        time::timeout,
    },
};

/// Timeout for writing the last messages at exit, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 500;

/// Result of sending a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// The message waits to be written.
    Queued,
    /// There is no connection; the message is dropped, and the core sends a new one.
    Down,
    /// The queue is full; the message is dropped, and the core sends a new one.
    Full,
}

/// State and counters that a link's task shares with the table.
#[derive(Debug, Default)]
pub(crate) struct LinkStats {
    pub(crate) is_up: AtomicBool,
    pub(crate) generation: AtomicU64,
    pub(crate) sent: AtomicU64,
    pub(crate) acknowledged: AtomicU64,
    pub(crate) replaced: AtomicU64,
}

#[derive(Debug)]
struct LinkEntry {
    address: SocketAddr,
    queue: Sender<PeerMessage>,
    stats: Arc<LinkStats>,
    task: JoinHandle<()>,
}

/// The outgoing links, one per peer.
#[derive(Debug)]
pub(crate) struct LinkTable {
    config: LinkConfig,
    inbox: Sender<NodeInput>,
    metrics: Arc<MetricRegistry>,
    logger: Logger,
    /// Shared by all links, so that a later connection always has a higher generation.
    generations: Arc<AtomicU64>,
    incoming: Arc<super::IncomingTable>,
    entries: BTreeMap<MemberName, LinkEntry>,
}

impl LinkTable {
    /// Creates a table without links.
    pub(crate) fn new(
        config: LinkConfig,
        inbox: Sender<NodeInput>,
        incoming: Arc<super::IncomingTable>,
        metrics: Arc<MetricRegistry>,
        logger: Logger,
    ) -> Self {
        let generations = Arc::new(AtomicU64::new(0));
        Self { config, inbox, metrics, logger, generations, incoming, entries: BTreeMap::new() }
    }

    /// Starts a link to a peer, replacing one to another address.
    pub(crate) fn connect(&mut self, member: MemberName, address: SocketAddr) {
        if self.entries.get(&member).is_some_and(|entry| entry.address == address) {
            return;
        }
        self.disconnect(&member);
        let (queue, messages) = mpsc::channel(self.config.queue_capacity);
        let stats = Arc::new(LinkStats::default());
        let link = OutgoingLink {
            config: self.config.clone(),
            peer: member.clone(),
            address,
            messages,
            inbox: self.inbox.clone(),
            stats: stats.clone(),
            generations: self.generations.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
        };
        let task = tokio::spawn(link.run());
        self.entries.insert(member, LinkEntry { address, queue, stats, task });
    }

    /// Drops the link to a peer.
    pub(crate) fn disconnect(&mut self, member: &MemberName) {
        if let Some(entry) = self.entries.remove(member) {
            entry.task.abort();
        }
    }

    /// Queues a message if the link is up and its queue has space.
    pub(crate) fn send(&self, member: &MemberName, message: PeerMessage) -> SendOutcome {
        let up = self.entries.get(member).filter(|entry| entry.stats.is_up.load(Ordering::Acquire));
        let Some(entry) = up else { return SendOutcome::Down };
        match entry.queue.try_send(message) {
            Ok(()) => SendOutcome::Queued,
            Err(TrySendError::Full(_)) => SendOutcome::Full,
            Err(TrySendError::Closed(_)) => SendOutcome::Down,
        }
    }

    /// Writes the queued messages and closes every link.
    pub(crate) async fn close(&mut self) {
        let entries = std::mem::take(&mut self.entries);
        let mut tasks = Vec::new();
        for entry in entries.into_values() {
            if entry.stats.is_up.load(Ordering::Acquire) {
                tasks.push(entry.task);
            } else {
                entry.task.abort();
            }
        }
        let all = futures_util::future::join_all(tasks);
        let _ = timeout(Duration::from_millis(CLOSE_TIMEOUT_MS), all).await;
    }

    /// Returns the number of links that are up.
    pub(crate) fn count_up(&self) -> usize {
        self.entries.values().filter(|entry| entry.stats.is_up.load(Ordering::Acquire)).count()
    }

    /// Returns the table as JSON for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let entry = |(member, entry): (&MemberName, &LinkEntry)| {
            serde_json::json!({
                "member": member,
                "address": entry.address,
                "is_up": entry.stats.is_up.load(Ordering::Acquire),
                "generation": entry.stats.generation.load(Ordering::Acquire),
                "waiting": entry.queue.max_capacity() - entry.queue.capacity(),
                "sent": entry.stats.sent.load(Ordering::Acquire),
                "acknowledged": entry.stats.acknowledged.load(Ordering::Acquire),
                "replaced": entry.stats.replaced.load(Ordering::Acquire),
            })
        };
        let outgoing: Vec<_> = self.entries.iter().map(entry).collect();
        serde_json::json!({ "outgoing": outgoing, "incoming": self.incoming.dump() })
    }
}
