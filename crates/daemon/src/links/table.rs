//! The links that this daemon keeps up.

use {
    super::{LinkIdentity, outgoing::OutgoingLink},
    crate::metrics::MetricTable,
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

/// Longest wait for the last messages to be written at exit, in milliseconds.
const CLOSE_MS: u64 = 500;

/// What became of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendEnd {
    /// It waits to be written.
    Queued,
    /// There is no connection; it is dropped, and the core asks again.
    Down,
    /// Too many wait already; it is dropped, and the core asks again.
    Full,
}

/// What a link's task tells the table.
#[derive(Debug, Default)]
pub(crate) struct LinkStats {
    pub(crate) is_up: AtomicBool,
    pub(crate) generation: AtomicU64,
    pub(crate) sent: AtomicU64,
    pub(crate) acknowledged: AtomicU64,
    pub(crate) replaced: AtomicU64,
}

#[derive(Debug)]
struct LinkRow {
    address: SocketAddr,
    queue: Sender<PeerMessage>,
    stats: Arc<LinkStats>,
    task: JoinHandle<()>,
}

/// One outgoing link a peer.
#[derive(Debug)]
pub(crate) struct LinkTable {
    identity: LinkIdentity,
    inbox: Sender<NodeInput>,
    metrics: Arc<MetricTable>,
    logger: Logger,
    /// Shared by all links, so that a later connection always has the higher number.
    generations: Arc<AtomicU64>,
    incoming: Arc<super::IncomingTable>,
    rows: BTreeMap<MemberName, LinkRow>,
}

impl LinkTable {
    /// Makes a table without links.
    pub(crate) fn new(
        identity: LinkIdentity,
        inbox: Sender<NodeInput>,
        incoming: Arc<super::IncomingTable>,
        metrics: Arc<MetricTable>,
        logger: Logger,
    ) -> Self {
        let generations = Arc::new(AtomicU64::new(0));
        Self { identity, inbox, metrics, logger, generations, incoming, rows: BTreeMap::new() }
    }

    /// Keeps a link to a peer at this address.
    pub(crate) fn connect(&mut self, member: MemberName, address: SocketAddr) {
        if self.rows.get(&member).is_some_and(|row| row.address == address) {
            return;
        }
        self.disconnect(&member);
        let (queue, messages) = mpsc::channel(self.identity.queue);
        let stats = Arc::new(LinkStats::default());
        let link = OutgoingLink {
            identity: self.identity.clone(),
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
        self.rows.insert(member, LinkRow { address, queue, stats, task });
    }

    /// Drops the link to a peer.
    pub(crate) fn disconnect(&mut self, member: &MemberName) {
        if let Some(row) = self.rows.remove(member) {
            row.task.abort();
        }
    }

    /// Sends a message if there is a connection and room.
    pub(crate) fn send(&self, member: &MemberName, message: PeerMessage) -> SendEnd {
        let up = self.rows.get(member).filter(|row| row.stats.is_up.load(Ordering::Acquire));
        let Some(row) = up else { return SendEnd::Down };
        match row.queue.try_send(message) {
            Ok(()) => SendEnd::Queued,
            Err(TrySendError::Full(_)) => SendEnd::Full,
            Err(TrySendError::Closed(_)) => SendEnd::Down,
        }
    }

    /// Writes what waits and closes every link.
    pub(crate) async fn close(&mut self) {
        let rows = std::mem::take(&mut self.rows);
        let mut tasks = Vec::new();
        for row in rows.into_values() {
            if row.stats.is_up.load(Ordering::Acquire) {
                tasks.push(row.task);
            } else {
                row.task.abort();
            }
        }
        let all = futures_util::future::join_all(tasks);
        let _ = timeout(Duration::from_millis(CLOSE_MS), all).await;
    }

    /// Returns the number of links that are up.
    pub(crate) fn count_up(&self) -> usize {
        self.rows.values().filter(|row| row.stats.is_up.load(Ordering::Acquire)).count()
    }

    /// Returns the table, as JSON for a person.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let row = |(member, row): (&MemberName, &LinkRow)| {
            serde_json::json!({
                "member": member,
                "address": row.address,
                "is_up": row.stats.is_up.load(Ordering::Acquire),
                "generation": row.stats.generation.load(Ordering::Acquire),
                "waiting": row.queue.max_capacity() - row.queue.capacity(),
                "sent": row.stats.sent.load(Ordering::Acquire),
                "acknowledged": row.stats.acknowledged.load(Ordering::Acquire),
                "replaced": row.stats.replaced.load(Ordering::Acquire),
            })
        };
        let outgoing: Vec<_> = self.rows.iter().map(row).collect();
        serde_json::json!({ "outgoing": outgoing, "incoming": self.incoming.dump() })
    }
}
