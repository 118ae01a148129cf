//! Clock readings, the time on which all decisions are based.

use serde::{Deserialize, Serialize};

/// A reading of one process's clock, in milliseconds.
///
/// A daemon sets the clock to the wall-clock time when it starts and advances it by the monotonic
/// clock, so it never goes back and continues while the process is paused. Readings of two
/// processes are not comparable.
///
/// # Examples
///
/// ```
/// use damaskrack_model::ClockTime;
///
/// let start = ClockTime(1_000);
/// assert_eq!(start.plus(500).since(start), 500);
/// assert_eq!(start.since(start.plus(500)), 0);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Returns the reading `millis` milliseconds later, saturating at the greatest value.
    #[must_use]
    pub fn plus(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// Returns the milliseconds since `earlier`, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
