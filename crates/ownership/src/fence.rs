//! Fences against former owners.

use {damaskrack_model::Epoch, serde::Serialize};

/// What a receiver does with a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The sender may be the owner; the command is carried out.
    Admit,
    /// The sender was the owner once; nothing is done.
    Stale,
}

/// The highest epoch that a receiver has seen for a piece.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Epoch, damaskrack_ownership::{EpochFence, FenceOutcome}};
///
/// let mut fence = EpochFence::default();
/// assert_eq!(fence.admit(Epoch(2)), FenceOutcome::Admit);
/// assert_eq!(fence.admit(Epoch(1)), FenceOutcome::Stale);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct EpochFence {
    highest: Epoch,
}

impl EpochFence {
    /// Judges a command under `epoch` and raises the fence to it.
    pub fn admit(&mut self, epoch: Epoch) -> FenceOutcome {
        if epoch < self.highest {
            return FenceOutcome::Stale;
        }
        self.highest = epoch;
        FenceOutcome::Admit
    }

    /// Raises the fence without a command, for example from the ownership record.
    pub fn raise(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(epoch);
    }

    /// Returns the highest epoch seen.
    #[must_use]
    pub fn highest(&self) -> Epoch {
        self.highest
    }
}
