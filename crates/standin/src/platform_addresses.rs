//! Listen addresses of the stand-ins in a process.

use {
    damaskrack_outside::HostRow,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Listen addresses of the stand-ins in a process, as printed by `damaskrack-standin`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformAddresses {
    /// The control server.
    pub control: SocketAddr,
    /// The store, if there is one.
    pub store: Option<SocketAddr>,
    /// The host list, if there is one.
    pub hosts: Option<SocketAddr>,
    /// The workers, as in the host list.
    pub workers: Vec<HostRow>,
}
