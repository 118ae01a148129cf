//! Configuration of the core.

use {
    damaskrack_model::{MemberName, ZoneName},
    std::net::SocketAddr,
};

/// Identity, intervals and limits of one daemon's core.
///
/// # Examples
///
/// ```
/// use damaskrack_node::NodeConfig;
///
/// let config = NodeConfig::new("entry-1".parse()?, "zone-a".parse()?, "127.0.0.1:7001".parse()?, 42)
///     .with_worker_lease_ms(3_000);
/// assert_eq!(config.worker_lease_ms, 3_000);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of this daemon.
    pub member: MemberName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address at which peers reach it.
    pub peer_address: SocketAddr,
    /// Random number drawn at start; also seeds the core's jitter.
    pub boot: u64,
    /// Lease of the member record in the store, in milliseconds.
    pub member_lease_ms: u64,
    /// Lease of a task; its worker stops the task if the lease is not renewed, in milliseconds.
    pub worker_lease_ms: u64,
    /// Time without a confirmed read of the store after which a daemon that does not hear from half
    /// of its peers stops, in milliseconds.
    pub isolation_ms: u64,
    /// Interval of heartbeats and digests between peers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Timeout of a store call, in milliseconds.
    pub store_timeout_ms: u64,
    /// Timeout of a worker call in addition to its waiting time, in milliseconds.
    pub worker_timeout_ms: u64,
    /// Maximum number of journal writes per second by this daemon.
    pub journal_writes_per_s: u32,
    /// Maximum number of pieces per second that this daemon starts to release for load balancing.
    pub moves_per_s: u32,
    /// Maximum number of jobs and requests that wait or run in one team.
    pub max_jobs_per_team: usize,
    /// Maximum number of tasks of one job.
    pub max_tasks_per_job: u32,
    /// Number of tasks of a non-idempotent job whose intent to start is journalled in one record.
    pub intent_window: u32,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
}

impl NodeConfig {
    /// Creates a configuration with default intervals and limits.
    #[must_use]
    pub fn new(member: MemberName, zone: ZoneName, peer_address: SocketAddr, boot: u64) -> Self {
        Self {
            member,
            zone,
            peer_address,
            boot,
            member_lease_ms: 4_000,
            worker_lease_ms: 4_000,
            isolation_ms: 2_000,
            heartbeat_ms: 500,
            store_timeout_ms: 1_000,
            worker_timeout_ms: 1_000,
            journal_writes_per_s: 30,
            moves_per_s: 4,
            max_jobs_per_team: 20_000,
            max_tasks_per_job: 10_000,
            intent_window: 32,
            shutdown_ms: 600_000,
        }
    }

    /// Sets the lease of tasks on workers, in milliseconds.
    #[must_use]
    pub fn with_worker_lease_ms(mut self, millis: u64) -> Self {
        self.worker_lease_ms = millis;
        self
    }

    /// Sets the lease of the member record, in milliseconds.
    #[must_use]
    pub fn with_member_lease_ms(mut self, millis: u64) -> Self {
        self.member_lease_ms = millis;
        self
    }

    /// Sets the interval of heartbeats, in milliseconds.
    #[must_use]
    pub fn with_heartbeat_ms(mut self, millis: u64) -> Self {
        self.heartbeat_ms = millis;
        self
    }

    /// Sets the journal's write budget, in store writes per second.
    #[must_use]
    pub fn with_journal_writes_per_s(mut self, writes: u32) -> Self {
        self.journal_writes_per_s = writes;
        self
    }
}
