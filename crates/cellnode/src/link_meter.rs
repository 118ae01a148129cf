//! Counts the bytes that a daemon exchanges, by purpose.
//!
//! On a host with a narrow network link the link limits how much a leader can do, long before its
//! processor does. The counters show what uses it.

use {
    cadence::{Counted, StatsdClient},
    slog::{Logger, info},
    std::{
        fmt::Write,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Interval between two emissions of the counters, in seconds.
const EMIT_INTERVAL_S: u64 = 1;
/// Interval between two log entries, in seconds.
const LOG_INTERVAL_S: u64 = 10;
/// Average rate from which the bytes are logged, in bytes per second.
const MIN_LOGGED_RATE: u64 = 10_000;

/// What bytes are exchanged for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum LinkPurpose {
    /// Start requests to workers.
    WorkerStart,
    /// Stop requests to workers.
    WorkerStop,
    /// Lease renewals to workers.
    WorkerRenewal,
    /// Transactions of the store.
    StoreWrite,
    /// Reads of the store.
    StoreRead,
    /// Watches of the store.
    StoreWatch,
    /// Leases of the store.
    StoreLease,
    /// Calls to the adviser.
    Adviser,
    /// Jobs submitted to the leader.
    PeerSubmission,
    /// Advice that the leader requests from daemons.
    PeerAdvice,
    /// Requests to workers that daemons forward for the leader.
    PeerForwarding,
    /// All other messages between daemons.
    PeerOther,
    /// Everything else.
    Other,
}

/// Names of the counters of sent and received bytes and of log entries, by purpose.
const NAMES: [(&str, &str, &str); 13] = [
    ("link.sent.worker_start", "link.received.worker_start", "worker_start"),
    ("link.sent.worker_stop", "link.received.worker_stop", "worker_stop"),
    ("link.sent.worker_renewal", "link.received.worker_renewal", "worker_renewal"),
    ("link.sent.store_write", "link.received.store_write", "store_write"),
    ("link.sent.store_read", "link.received.store_read", "store_read"),
    ("link.sent.store_watch", "link.received.store_watch", "store_watch"),
    ("link.sent.store_lease", "link.received.store_lease", "store_lease"),
    ("link.sent.adviser", "link.received.adviser", "adviser"),
    ("link.sent.peer_submission", "link.received.peer_submission", "peer_submission"),
    ("link.sent.peer_advice", "link.received.peer_advice", "peer_advice"),
    ("link.sent.peer_forwarding", "link.received.peer_forwarding", "peer_forwarding"),
    ("link.sent.peer_other", "link.received.peer_other", "peer_other"),
    ("link.sent.other", "link.received.other", "other"),
];

#[derive(Debug, Default)]
struct ByteCount {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Counters of sent and received bytes. They hold requests and responses with their headers, without
/// the overhead of TCP and IP.
#[derive(Debug, Default)]
pub struct LinkMeter {
    counts: [ByteCount; NAMES.len()],
}

impl LinkMeter {
    /// Adds sent bytes.
    ///
    /// ```
    /// use damaskrack_cellnode::{LinkMeter, LinkPurpose};
    ///
    /// let meter = LinkMeter::default();
    /// meter.record_sent(LinkPurpose::StoreRead, 120);
    /// meter.record_received(LinkPurpose::StoreRead, 4_000);
    /// assert_eq!(meter.total(), 4_120);
    /// ```
    pub fn record_sent(&self, purpose: LinkPurpose, bytes: usize) {
        self.counts[purpose as usize].sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds received bytes.
    ///
    /// ```
    /// use damaskrack_cellnode::{LinkMeter, LinkPurpose};
    ///
    /// let meter = LinkMeter::default();
    /// meter.record_received(LinkPurpose::Adviser, 10);
    /// assert_eq!(meter.total(), 10);
    /// ```
    pub fn record_received(&self, purpose: LinkPurpose, bytes: usize) {
        self.counts[purpose as usize].received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of all bytes so far.
    ///
    /// ```
    /// assert_eq!(damaskrack_cellnode::LinkMeter::default().total(), 0);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.snapshot().iter().map(|(sent, received)| sent + received).sum()
    }

    fn snapshot(&self) -> [(u64, u64); NAMES.len()] {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        std::array::from_fn(|i| (load(&self.counts[i].sent), load(&self.counts[i].received)))
    }

    /// Emits the counters as metrics and logs them until the task is dropped.
    pub(crate) async fn report(self: Arc<Self>, metrics: Arc<StatsdClient>, logger: Logger) {
        let mut emitted = self.snapshot();
        let mut logged = emitted;
        let mut seconds = 0;
        loop {
            sleep(Duration::from_secs(EMIT_INTERVAL_S)).await;
            seconds += EMIT_INTERVAL_S;
            let now = self.snapshot();
            emit(&metrics, &emitted, &now);
            emitted = now;
            if seconds >= LOG_INTERVAL_S {
                log_rates(&logger, &logged, &now, seconds);
                logged = now;
                seconds = 0;
            }
        }
    }
}

fn emit(metrics: &StatsdClient, before: &[(u64, u64)], now: &[(u64, u64)]) {
    for ((names, before), now) in NAMES.iter().zip(before).zip(now) {
        for (name, bytes) in [(names.0, now.0 - before.0), (names.1, now.1 - before.1)] {
            if bytes > 0 {
                // The client's error handler reports failures.
                let _ = metrics.count(name, bytes);
            }
        }
    }
}

/// Logs the rates of sent and received bytes by purpose, in bytes per second.
fn log_rates(logger: &Logger, before: &[(u64, u64)], now: &[(u64, u64)], seconds: u64) {
    let (mut detail, mut total) = (String::new(), 0);
    for ((names, before), now) in NAMES.iter().zip(before).zip(now) {
        let (sent, received) = ((now.0 - before.0) / seconds, (now.1 - before.1) / seconds);
        total += sent + received;
        if sent + received > 0 {
            // Writing to a string cannot fail.
            let _ = write!(detail, "{}={sent}/{received} ", names.2);
        }
    }
    if total >= MIN_LOGGED_RATE {
        info!(logger, "link_bytes_per_s"; "total" => total, "detail" => detail);
    }
}
