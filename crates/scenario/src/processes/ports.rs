//! Free ports below the system's range of ephemeral ports.

use {
    rand::{Rng, rngs::SmallRng},
    std::net::{Ipv4Addr, SocketAddr, TcpListener},
};

/// Candidate ports; all have five digits, so that a relay can rewrite one to another in place.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Binds a free port.
pub(crate) fn bind_free(rng: &mut SmallRng) -> std::io::Result<TcpListener> {
    loop {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rng.random_range(PORTS)));
        match TcpListener::bind(address) {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            bound => return bound,
        }
    }
}

/// Returns the address of a port that was free when checked.
pub(crate) fn free_address(rng: &mut SmallRng) -> std::io::Result<SocketAddr> {
    bind_free(rng)?.local_addr()
}
