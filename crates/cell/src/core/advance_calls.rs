//! Calls to the adviser in advance.
//!
//! A step that has tickets starts as soon as a task ends elsewhere. One without asks first, and others take
//! the free capacity meanwhile. So the first steps of the backlog ask before there is capacity for them if
//! their calls take long; few do, as they would keep the adviser from steps that can start.

/// Number of steps that may make long calls in advance.
const LONG_STEPS: usize = 4;

/// Numbers of steps that may still ask in advance in a placement.
#[derive(Debug)]
pub(super) struct AdvanceCalls {
    long: usize,
}

impl Default for AdvanceCalls {
    fn default() -> Self {
        Self { long: LONG_STEPS }
    }
}

impl AdvanceCalls {
    /// Returns numbers that allow no calls in advance.
    pub(super) fn none() -> Self {
        Self { long: 0 }
    }

    /// Returns whether a step may ask in advance.
    pub(super) fn may_ask(&self, is_long: bool) -> bool {
        is_long && self.long > 0
    }

    /// Records that a step asks, or has a call in flight.
    pub(super) fn record_call(&mut self) {
        self.long = self.long.saturating_sub(1);
    }
}
