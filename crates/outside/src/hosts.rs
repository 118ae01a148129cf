//! The platform's list of hosts, which lags behind the truth.

use {
    damaskrack_model::{RackName, Resources, WorkerName, ZoneName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether a host takes work, as far as the list knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It is in service.
    Live,
    /// It is about to go: it keeps what runs and must get nothing new.
    Leaving,
}

/// One worker of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// The worker.
    pub worker: WorkerName,
    /// Rack that it stands in; a worker never changes its rack.
    pub rack: RackName,
    /// Availability zone of the rack.
    pub zone: ZoneName,
    /// Where its interface listens.
    pub address: SocketAddr,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is in service.
    pub state: HostState,
}

/// A client of the host list.
#[async_trait::async_trait]
pub trait HostList: Send + Sync {
    /// Reads the whole list; `None` if it cannot be had within `timeout_ms` milliseconds.
    async fn read(&self, timeout_ms: u64) -> Option<Vec<HostRow>>;
}
