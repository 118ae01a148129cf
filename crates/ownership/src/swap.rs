//! How a compare-and-swap ended whose answer was lost.

/// A value that only compare-and-swap changes, as far as it matters here.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct VersionStamp {
    /// Number of changes so far; it only grows.
    pub version: u64,
    /// Random number of the last change.
    pub change: u64,
}

/// What the value in the store says about a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// It took effect.
    Applied,
    /// It has not taken effect and still may.
    Pending,
    /// Another change stands there. Whether this one was in force before cannot be told if its
    /// answer was lost.
    Superseded,
}

/// Judges by what stands in the store whether a swap took effect.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::{VersionStamp, SwapOutcome, classify_swap};
///
/// let mine = VersionStamp { version: 4, change: 77 };
/// assert_eq!(classify_swap(mine, mine), SwapOutcome::Applied);
/// assert_eq!(classify_swap(mine, VersionStamp { version: 3, change: 5 }), SwapOutcome::Pending);
/// assert_eq!(classify_swap(mine, VersionStamp { version: 4, change: 5 }), SwapOutcome::Superseded);
/// ```
#[must_use]
pub fn classify_swap(mine: VersionStamp, found: VersionStamp) -> SwapOutcome {
    if found.change == mine.change {
        SwapOutcome::Applied
    } else if found.version < mine.version {
        SwapOutcome::Pending
    } else {
        SwapOutcome::Superseded
    }
}
