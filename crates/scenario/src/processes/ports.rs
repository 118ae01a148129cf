//! Ports below the system's range of ephemeral ports.

use {
    damaskrack_ports::PortReservation,
    rand::{Rng, rngs::SmallRng},
    std::{
        io::{self, ErrorKind},
        net::Ipv4Addr,
    },
};

#[cfg(test)]
mod tests;

/// Candidate ports; all have five digits, so that a relay can rewrite one to another in place.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Reserves a port that no other socket has. Scripts run concurrently, and a daemon listens on its
/// port later and again after a restart, so the port is not released in between.
pub(crate) fn reserve_port(rng: &mut SmallRng) -> io::Result<PortReservation> {
    loop {
        let address = (Ipv4Addr::LOCALHOST, rng.random_range(PORTS));
        match PortReservation::bind(address.into()) {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            reserved => return reserved,
        }
    }
}
