//! Configuration of the cell.

use {
    crate::{AdviceTiming, ResourceSet},
    rustc_hash::{FxHashMap, FxHashSet},
};

/// Configuration of a queue.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QueueConfig {
    /// Name.
    pub name: String,
    /// Host name under which callers reach the queue.
    pub host: String,
    /// Path prefix of the queue's jobs, with a trailing slash.
    pub prefix: String,
    /// Service whose workers run the queue's jobs.
    pub service: String,
    /// Priority class; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of failed attempts per task.
    pub max_attempts: u32,
    /// Factor by which the latency objective exceeds the job's critical path.
    pub slack_factor: f64,
    /// Constant part of the latency objective, in milliseconds.
    pub latency_objective_ms: u64,
    /// The queue accepts jobs without a key.
    pub is_open: bool,
    /// Timing of the adviser, if one decides on which workers the queue's steps may run.
    pub advice: Option<AdviceTiming>,
}

/// Configuration of a team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamConfig {
    /// Name.
    pub name: String,
    /// Weight of the team's share of a full cell.
    pub weight: f64,
    /// Keys that identify the team.
    pub keys: Vec<String>,
    /// Limit on the resources of the team's running tasks; 0 means "no limit".
    pub limit: ResourceSet,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CellConfig {
    /// Version; 0 before the first one.
    pub version: u64,
    /// Queues by name.
    pub queues: FxHashMap<String, QueueConfig>,
    /// Teams by name.
    pub teams: FxHashMap<String, TeamConfig>,
    /// Names of teams by key.
    pub key_teams: FxHashMap<String, String>,
    /// Availability zones whose workers accept no new work.
    pub closed_zones: FxHashSet<String>,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Limits of the headers of a request and of idle connections.
    pub header_limits: HeaderLimits,
}

/// Limits of the headers of a request and of idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderLimits {
    /// Maximum size of all headers, in bytes.
    pub max_bytes: usize,
    /// Time from the first byte of a request to the end of its headers, in milliseconds.
    pub timeout_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for HeaderLimits {
    fn default() -> Self {
        Self { max_bytes: 16_384, timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    }
}

impl CellConfig {
    /// Finds the queue with the longest prefix that matches a host name and path.
    ///
    /// ```
    /// use damaskrack_cell::{CellConfig, QueueConfig};
    ///
    /// let mut config = CellConfig::default();
    /// let queue = QueueConfig { host: "a".into(), prefix: "/q/".into(), ..Default::default() };
    /// config.queues.insert("q".into(), queue);
    /// assert!(config.find_queue("a", "/q/1").is_some());
    /// assert!(config.find_queue("a", "/r/1").is_none());
    /// ```
    #[must_use]
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        self.queues
            .values()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
