//! Limits of what clients may hold of a process, derived from its host.

use std::fmt::{self, Display, Formatter};

/// Memory of the smallest host in service, in megabytes.
pub const SMALLEST_MEMORY_MB: u64 = 120;
/// Descriptors of the smallest host in service.
pub const SMALLEST_MAX_FDS: u64 = 3_075;
/// Descriptors kept for files.
pub const FILE_FDS: u64 = 200;
/// Connections of callers for each megabyte. One costs up to 33 KB (buffers and tasks), so that all of
/// them hold a third of the memory.
const CONNECTIONS_PER_MB: u64 = 10;
/// Largest body that counts as small, in bytes. Ordinary submissions have 0.2 to 5 KB.
const SMALL_BODY_BYTES: usize = 16_384;
/// The part of the memory for large bodies, as a divisor.
const LARGE_BODY_DIVISOR: u64 = 8;
/// The part of the memory for small bodies, as a divisor.
const SMALL_BODY_DIVISOR: u64 = 32;
/// The part of the memory for jobs that a leader keeps, in eighths.
const JOB_EIGHTHS: u64 = 3;
/// Bytes of the budget of large bodies for each of its slots: smaller bodies end before their number
/// matters.
const BYTES_PER_LARGE_SLOT: usize = 65_536;
/// Bytes of the budget of small bodies for each of its slots.
const BYTES_PER_SMALL_SLOT: usize = 2_048;
/// Least memory that limits are derived for, in megabytes. It allows 160 connections and 2 MB of large
/// bodies.
const MIN_MEMORY_MB: u64 = 16;
/// Least descriptors that limits are derived for. Besides those for files, they allow 50 connections of
/// callers and as many others.
const MIN_FDS: u64 = 300;
/// Bytes in a megabyte.
const BYTES_PER_MB: u64 = 1 << 20;
/// Largest number of connections, a bound for hosts with very much memory.
const MAX_CONNECTIONS: u64 = 20_000;

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostResources {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Largest number of open descriptors.
    pub max_fds: u64,
}

impl Default for HostResources {
    /// Returns those of the smallest host in service.
    fn default() -> Self {
        Self { memory_mb: SMALLEST_MEMORY_MB, max_fds: SMALLEST_MAX_FDS }
    }
}

/// A limit that contradicts another one or the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitFault {
    /// Name of the limit.
    pub limit: &'static str,
    /// What is wrong with it.
    pub message: String,
}

impl Display for LimitFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.limit, self.message)
    }
}

impl std::error::Error for LimitFault {}

/// Limits of the connections of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest number of open connections, including those that are being closed.
    pub connections: usize,
    /// Part of [`Self::connections`] that is used only while others are being closed.
    pub headroom: usize,
    /// Largest number of open connections of one peer.
    pub per_peer: usize,
}

impl ConnectionLimits {
    /// Returns limits with a sixteenth as headroom and an eighth kept for other peers.
    ///
    /// ```
    /// use damaskrack_listen::ConnectionLimits;
    ///
    /// let limits = ConnectionLimits::of(1_200);
    /// assert_eq!((limits.headroom, limits.per_peer), (75, 1_050));
    /// ```
    #[must_use]
    pub fn of(connections: usize) -> Self {
        let per_peer = (connections - connections / 8).max(1);
        Self { connections, headroom: connections / 16, per_peer }
    }
}

/// Limits of the bodies of one class that are being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyBudget {
    /// Bytes reserved for all bodies together.
    pub bytes: usize,
    /// Bytes reserved for the bodies of one peer.
    pub peer_bytes: usize,
    /// Number of bodies.
    pub slots: usize,
}

impl BodyBudget {
    /// Returns a budget of which a quarter is kept for other peers.
    #[must_use]
    pub fn of(bytes: usize, slots: usize) -> Self {
        Self { bytes, peer_bytes: bytes - bytes / 4, slots }
    }
}

/// Limits of bodies. Small ones have a budget of their own, so that they get through while large ones
/// have used up theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Largest body that counts as small, in bytes.
    pub small_bytes: usize,
    /// Budget of small bodies.
    pub small: BodyBudget,
    /// Budget of all others.
    pub large: BodyBudget,
}

/// Limits of a process with listeners for callers, readiness checks, metrics and other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Connections of callers.
    pub callers: ConnectionLimits,
    /// Bodies of callers.
    pub bodies: BodyLimits,
    /// Largest number of connections of other daemons.
    pub peer_connections: usize,
    /// Bytes of frames of other daemons that are being received.
    pub peer_frame_bytes: usize,
    /// Bytes of the jobs that the process keeps while it leads.
    pub job_bytes: usize,
}

impl ClientLimits {
    /// Derives the limits from the host. Half of the descriptors that are not for files are for callers;
    /// the rest is for workers, the store and other daemons.
    ///
    /// # Errors
    ///
    /// Names the setting with which the process could not serve.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_listen::{ClientLimits, HostResources};
    ///
    /// let limits = ClientLimits::for_host(HostResources::default())?;
    /// assert_eq!(limits.callers.connections, 1_200);
    /// assert_eq!(limits.bodies.large.bytes, 15 << 20);
    /// assert_eq!(limits.job_bytes, 45 << 20);
    /// let host = HostResources { max_fds: 200, ..HostResources::default() };
    /// assert_eq!(ClientLimits::for_host(host).unwrap_err().limit, "max_fds");
    /// # Ok::<(), damaskrack_listen::LimitFault>(())
    /// ```
    pub fn for_host(host: HostResources) -> Result<Self, LimitFault> {
        check_at_least("memory_mb", host.memory_mb, MIN_MEMORY_MB)?;
        check_at_least("max_fds", host.max_fds, MIN_FDS)?;
        Ok(Self::derive(host))
    }

    fn derive(host: HostResources) -> Self {
        let fds = (host.max_fds - FILE_FDS) / 2;
        let connections = fds.min(host.memory_mb.saturating_mul(CONNECTIONS_PER_MB));
        let bytes = host.memory_mb.saturating_mul(BYTES_PER_MB);
        let large = saturate(bytes / LARGE_BODY_DIVISOR);
        let small = saturate(bytes / SMALL_BODY_DIVISOR);
        Self {
            callers: ConnectionLimits::of(saturate(connections.min(MAX_CONNECTIONS))),
            bodies: BodyLimits {
                small_bytes: SMALL_BODY_BYTES,
                small: BodyBudget::of(small, small / BYTES_PER_SMALL_SLOT),
                large: BodyBudget::of(large, large / BYTES_PER_LARGE_SLOT),
            },
            peer_connections: saturate((fds / 4).clamp(16, 256)),
            peer_frame_bytes: large,
            job_bytes: saturate(bytes / 8 * JOB_EIGHTHS),
        }
    }
}

impl Default for ClientLimits {
    /// Returns those of the smallest host in service.
    fn default() -> Self {
        Self::derive(HostResources::default())
    }
}

fn saturate(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

fn check_at_least(limit: &'static str, value: u64, least: u64) -> Result<(), LimitFault> {
    if value >= least {
        return Ok(());
    }
    Err(LimitFault { limit, message: format!("must be at least {least}, not {value}") })
}
