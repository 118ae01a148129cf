//! Connections to other daemons.
//!
//! Each daemon opens one connection to every peer and sends only on that one; the peer's messages
//! arrive on the connection that the peer opened. So the two sides need not agree on which of two
//! simultaneous connections to keep. A connection can stop passing data for good while new ones
//! work, so both ends send keepalives and replace a connection on which none arrive.

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

/// A connection to another daemon, framed by the peer protocol.
pub(crate) type PeerStream = Framed<TcpStream, PeerCodec>;

/// Keepalives sent within one idle timeout.
const KEEPALIVES_PER_IDLE_TIMEOUT: u64 = 4;

/// This daemon's identity, and the timeouts and limits of its links.
#[derive(Debug, Clone)]
pub(crate) struct LinkConfig {
    /// Name of this daemon.
    pub(crate) member: MemberName,
    /// Random number that identifies this run of the daemon's process.
    pub(crate) boot: u64,
    /// Time without a frame after which a connection is replaced, in milliseconds.
    pub(crate) idle_timeout_ms: u64,
    /// Timeout for establishing a connection, in milliseconds.
    pub(crate) connect_timeout_ms: u64,
    /// Maximum number of messages that wait to be written to one peer.
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
