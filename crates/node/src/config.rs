//! Settings of the core.

use {
    damaskrack_model::{MemberName, ZoneName},
    std::net::SocketAddr,
};

/// Identity and intervals of one daemon's core, in builder style.
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
    /// Time until a member's record lapses in the store, in milliseconds.
    pub member_lease_ms: u64,
    /// Time until a task whose lease is not renewed is stopped by its worker, in milliseconds.
    pub worker_lease_ms: u64,
    /// Time without current news of the store after which a daemon that misses half of its peers
    /// stops, in milliseconds.
    pub isolation_ms: u64,
    /// Interval of heartbeats and digests between peers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Deadline of a store call, in milliseconds.
    pub store_timeout_ms: u64,
    /// Deadline of a worker call beyond its waiting time, in milliseconds.
    pub worker_timeout_ms: u64,
    /// Store writes a second that this daemon may make for journals.
    pub journal_writes_per_s: u32,
    /// Pieces that this daemon takes or gives up a second to even out the load.
    pub moves_per_s: u32,
    /// Most jobs and requests that wait or run in one team.
    pub max_jobs_per_team: usize,
    /// Most tasks of one job.
    pub max_tasks_per_job: u32,
    /// Tasks of a non-idempotent job that may be recorded as started ahead of their start.
    pub intent_window: u32,
    /// Longest graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
}

impl NodeConfig {
    /// Makes a configuration with default intervals.
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

    /// Sets the journal's write budget, in store writes a second.
    #[must_use]
    pub fn with_journal_writes_per_s(mut self, writes: u32) -> Self {
        self.journal_writes_per_s = writes;
        self
    }
}
