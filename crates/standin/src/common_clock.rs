//! The clock that all stand-ins share.

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
/// It is read from the wall clock once and advanced by the monotonic clock, so it never goes back
/// in one process and is comparable between the stand-ins of one machine.
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
