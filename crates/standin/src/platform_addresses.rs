//! Where the stand-ins of a process listen.

use {
    damaskrack_outside::HostRow,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Where the stand-ins of a process listen; the line that `damaskrack-standin` prints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformAddresses {
    /// The switches and what observers saw.
    pub control: SocketAddr,
    /// The store, if there is one.
    pub store: Option<SocketAddr>,
    /// The host list, if there is one.
    pub hosts: Option<SocketAddr>,
    /// The workers, in the form of the host list.
    pub workers: Vec<HostRow>,
}
