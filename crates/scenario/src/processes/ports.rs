//! Free ports below those that the system hands out by itself.

use {
    rand::{Rng, rngs::SmallRng},
    std::net::{Ipv4Addr, SocketAddr, TcpListener},
};

/// Ports that are tried; all have five digits, so that one can stand in the place of another.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Binds a port that is free now.
pub(crate) fn bind_free(rng: &mut SmallRng) -> std::io::Result<TcpListener> {
    loop {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rng.random_range(PORTS)));
        match TcpListener::bind(address) {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            bound => return bound,
        }
    }
}

/// Returns an address that is free now.
pub(crate) fn free_address(rng: &mut SmallRng) -> std::io::Result<SocketAddr> {
    bind_free(rng)?.local_addr()
}
