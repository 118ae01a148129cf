//! Determines the outcome of a compare-and-swap whose response was lost.

use std::fmt;

/// Version stamp of a value that is changed only by compare-and-swap.
///
/// Its debug output names it `SwapMark`, because printed states of the protocol's model checker
/// contain that name.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct VersionStamp {
    /// Number of changes so far; it never decreases.
    pub version: u64,
    /// Random number of the last change.
    pub change: u64,
}

impl fmt::Debug for VersionStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SwapMark")
            .field("version", &self.version)
            .field("change", &self.change)
            .finish()
    }
}

/// Outcome of a compare-and-swap, as far as the value in the store shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The write took effect.
    Applied,
    /// The write has not taken effect, but still may.
    Pending,
    /// The value holds another change. If the response to this write was lost, it cannot be known
    /// whether the write was in effect before.
    Superseded,
}

/// Determines from the value found in the store whether a compare-and-swap took effect.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::{VersionStamp, SwapOutcome, classify_swap};
///
/// let mine = VersionStamp { version: 4, change: 77 };
/// assert_eq!(classify_swap(mine, mine), SwapOutcome::Applied);
/// let older = VersionStamp { version: 3, change: 5 };
/// assert_eq!(classify_swap(mine, older), SwapOutcome::Pending);
/// let other = VersionStamp { version: 4, change: 5 };
/// assert_eq!(classify_swap(mine, other), SwapOutcome::Superseded);
/// assert_eq!(format!("{mine:?}"), "SwapMark { version: 4, change: 77 }");
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
