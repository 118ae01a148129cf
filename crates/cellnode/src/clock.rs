//! The host's clocks.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Time since the host booted, in milliseconds. Unlike the monotonic clock it includes time for
/// which the host was suspended, so data that aged during a suspension does not count as fresh.
///
/// ```
/// assert!(damaskrack_cellnode::boot_ms() > 0);
/// ```
#[must_use]
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds * 1_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000
}

/// Unix time, in milliseconds.
///
/// ```
/// assert!(damaskrack_cellnode::unix_ms() > 1_700_000_000_000);
/// ```
#[must_use]
pub fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}
