//! Configuration of the cell, as the scheduler uses it.

use {
    crate::{AdviceTiming, ResourceSet},
    rustc_hash::{FxHashMap, FxHashSet},
};

/// A queue.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QueueConfig {
    /// Name.
    pub name: String,
    /// Host name that callers use.
    pub host: String,
    /// Path that its jobs lie under, with a slash at the end.
    pub prefix: String,
    /// Service whose workers run its jobs.
    pub service: String,
    /// Priority class; 0 comes first.
    pub priority: u32,
    /// Most failed runs of a task.
    pub max_attempts: u32,
    /// Latency objective as a multiple of the longest chain of work.
    pub slack_factor: f64,
    /// Time that the latency objective grants besides, in milliseconds.
    pub latency_objective_ms: u64,
    /// Takes jobs without a key.
    pub is_open: bool,
    /// Timing of its adviser, if one must be asked where steps may run.
    pub advice: Option<AdviceTiming>,
}

/// A team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamConfig {
    /// Name.
    pub name: String,
    /// Its share when the cell is full.
    pub weight: f64,
    /// Keys that stand for it.
    pub keys: Vec<String>,
    /// Most that it may have running; zeros stand for "no limit".
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
    /// Team a key.
    pub key_teams: FxHashMap<String, String>,
    /// Availability zones that are taken out.
    pub closed_zones: FxHashSet<String>,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
}

impl CellConfig {
    /// Finds the queue of a host name and path: the one with the longest prefix.
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
