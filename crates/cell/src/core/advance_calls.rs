//! Calls to the adviser in advance.
//!
//! A step that has tickets starts as soon as a task ends elsewhere. One without asks first, and others take
//! the free capacity meanwhile. So the first steps of the backlog ask before there is capacity for them:
//! few of those whose calls take long, as they would keep the adviser from steps that can start, and more of
//! the others.

/// Number of steps that may make long calls in advance.
const LONG_STEPS: usize = 4;
/// Number of steps that may make short calls in advance.
const SHORT_STEPS: usize = 16;

/// Numbers of steps that may still ask in advance in a placement.
#[derive(Debug)]
pub(super) struct AdvanceCalls {
    long: usize,
    short: usize,
    /// Number of steps with long calls that may name workers on which room has to be made.
    room: usize,
}

impl AdvanceCalls {
    /// Returns the numbers for a placement, with one of the steps for which room may be made.
    pub(super) fn new(room: usize) -> Self {
        Self { long: LONG_STEPS, short: SHORT_STEPS, room }
    }

    /// Returns numbers that allow no calls in advance.
    pub(super) fn none() -> Self {
        Self { long: 0, short: 0, room: 0 }
    }

    /// Returns whether a step may name workers on which room has to be made. Short calls to the adviser cost
    /// others little.
    pub(super) fn may_make_room(&self, is_long: bool) -> bool {
        !is_long || self.room > 0
    }

    /// Returns whether a step may ask in advance.
    pub(super) fn may_ask(&self, is_long: bool) -> bool {
        let left = if is_long { self.long } else { self.short };
        left > 0
    }

    /// Records that a step asks, or has a call in flight.
    pub(super) fn record_call(&mut self, is_long: bool) {
        let left = if is_long { &mut self.long } else { &mut self.short };
        *left = left.saturating_sub(1);
        self.room = self.room.saturating_sub(usize::from(is_long));
    }
}
