//! Fencing of former owners by epoch.

use {damaskrack_model::Epoch, serde::Serialize};

/// Whether a receiver carries out a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The sender may be the current owner; the command is carried out.
    Admit,
    /// The sender is a former owner; the command is ignored.
    Stale,
}

/// The highest epoch that a receiver has seen for a unit of ownership; commands of lower epochs are
/// rejected.
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
    /// Checks a command sent under `epoch` and raises the fence to that epoch.
    pub fn admit(&mut self, epoch: Epoch) -> FenceOutcome {
        if epoch < self.highest {
            return FenceOutcome::Stale;
        }
        self.highest = epoch;
        FenceOutcome::Admit
    }

    /// Raises the fence without a command, for example to the epoch of the ownership record.
    pub fn raise(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(epoch);
    }

    /// Returns the highest epoch seen.
    #[must_use]
    pub fn highest(&self) -> Epoch {
        self.highest
    }
}
