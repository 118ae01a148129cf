//! The clock that supplies the core with its time.

use {
    damaskrack_model::ClockTime,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Anchored at the wall clock when the process starts, advanced by the monotonic clock.
///
/// It never goes back when the wall clock is set, and it keeps counting while the process is
/// suspended, so that a resumed process sees that its leases have expired.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DaemonClock {
    anchor_ms: u64,
    started: Instant,
}

impl DaemonClock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let anchor_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        Self { anchor_ms, started: Instant::now() }
    }

    /// Reads the clock.
    pub(crate) fn now(&self) -> ClockTime {
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        ClockTime(self.anchor_ms).plus(elapsed)
    }
}
