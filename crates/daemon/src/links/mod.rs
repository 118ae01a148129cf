//! Connections to other daemons.
//!
//! Each daemon keeps one connection of its own to every peer and sends only on that one; what
//! the peer sends comes in on the peer's connection. Neither side has to agree on which of two
//! crossed connections survives. A connection can go silent for good while new ones work, so
//! both ends send signs of life and replace a connection without any.

mod backoff;
mod connection;
mod incoming;
mod listener;
mod outgoing;
mod table;

pub(crate) use {
    incoming::IncomingTable,
    listener::PeerListener,
    table::{LinkTable, SendOutcome},
};

use {
    damaskrack_model::MemberName, damaskrack_wire::PeerCodec, std::time::Duration,
    tokio::net::TcpStream, tokio_util::codec::Framed,
};

/// A connection that carries frames.
pub(crate) type PeerStream = Framed<TcpStream, PeerCodec>;

/// Signs of life sent in the time after which a silent connection is replaced.
const KEEPALIVES_PER_IDLE_TIMEOUT: u64 = 4;

/// Who this daemon is, and the times of its links.
#[derive(Debug, Clone)]
pub(crate) struct LinkConfig {
    /// This daemon.
    pub(crate) member: MemberName,
    /// Random number that it drew when it started.
    pub(crate) boot: u64,
    /// Time without a sign of life after which a connection is replaced, in milliseconds.
    pub(crate) idle_timeout_ms: u64,
    /// Longest time to establish a connection, in milliseconds.
    pub(crate) connect_timeout_ms: u64,
    /// Most messages that wait to be written to one peer.
    pub(crate) queue_capacity: usize,
}

impl LinkConfig {
    fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    fn keepalive_interval(&self) -> Duration {
        Duration::from_millis((self.idle_timeout_ms / KEEPALIVES_PER_IDLE_TIMEOUT).max(1))
    }

    fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }
}
