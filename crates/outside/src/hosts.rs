//! The platform's list of hosts, which may be outdated.

use {
    damaskrack_model::{RackName, Resources, WorkerName, ZoneName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether a host accepts work, according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It is in service.
    Live,
    /// It is about to leave: running tasks continue and no new ones may start.
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// The worker.
    pub worker: WorkerName,
    /// Rack of the worker, which never changes.
    pub rack: RackName,
    /// Availability zone of the rack.
    pub zone: ZoneName,
    /// Address of the worker's interface.
    pub address: SocketAddr,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is in service.
    pub state: HostState,
}

/// A client of the host list.
#[async_trait::async_trait]
pub trait HostList: Send + Sync {
    /// Reads the whole list; `None` if this fails or takes longer than `timeout_ms` milliseconds.
    async fn read(&self, timeout_ms: u64) -> Option<Vec<HostRow>>;
}
