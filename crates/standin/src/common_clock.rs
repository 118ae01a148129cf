//! Clock shared by all stand-ins.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

struct ClockAnchor {
    wall_ms: u64,
    instant: Instant,
}

/// Returns the time since the Unix epoch, in milliseconds.
///
/// The wall clock is read once and advanced by the monotonic clock, so the time never goes back
/// within a process and is comparable between stand-ins on the same machine.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::common_now_ms;
///
/// assert!(common_now_ms() <= common_now_ms());
/// ```
#[must_use]
pub fn common_now_ms() -> u64 {
    static ANCHOR: OnceLock<ClockAnchor> = OnceLock::new();
    let anchor = ANCHOR.get_or_init(|| {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ClockAnchor { wall_ms: to_ms(elapsed.as_millis()), instant: Instant::now() }
    });
    anchor.wall_ms + to_ms(anchor.instant.elapsed().as_millis())
}

fn to_ms(millis: u128) -> u64 {
    u64::try_from(millis).unwrap_or(u64::MAX)
}
