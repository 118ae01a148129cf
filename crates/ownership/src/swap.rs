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
pub enum SwapVerdict {
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
/// use damaskrack_ownership::{VersionStamp, SwapVerdict, judge_swap};
///
/// let mine = VersionStamp { version: 4, change: 77 };
/// assert_eq!(judge_swap(mine, mine), SwapVerdict::Applied);
/// assert_eq!(judge_swap(mine, VersionStamp { version: 3, change: 5 }), SwapVerdict::Pending);
/// assert_eq!(judge_swap(mine, VersionStamp { version: 4, change: 5 }), SwapVerdict::Superseded);
/// ```
#[must_use]
pub fn judge_swap(mine: VersionStamp, found: VersionStamp) -> SwapVerdict {
    if found.change == mine.change {
        SwapVerdict::Applied
    } else if found.version < mine.version {
        SwapVerdict::Pending
    } else {
        SwapVerdict::Superseded
    }
}
