//! Turns of steps to ask the adviser.
//!
//! Steps ask in the order of the backlog. A few that ask in vain again and again, for example because
//! other steps take the workers meanwhile, could use up an adviser that takes half a second a call. So now
//! and then it is the turn of the step that has waited for the most calls of others, wherever it is
//! in the backlog: each step asks within a bounded number of calls.

/// One in this many calls is made by the step whose turn it is.
const TURN_SHARE: usize = 4;

/// Calls to the adviser, and the next turn.
#[derive(Debug, Default)]
pub(super) struct AdviceTurns {
    /// Number of calls so far.
    calls: usize,
    /// Number of calls from which a turn is due.
    due_at_call: usize,
}

impl AdviceTurns {
    /// Returns the number of calls so far.
    pub(super) fn calls(&self) -> usize {
        self.calls
    }

    /// Records a call.
    pub(super) fn record_call(&mut self) {
        self.calls += 1;
    }

    /// Returns whether a turn is due.
    pub(super) fn is_due(&self) -> bool {
        self.calls >= self.due_at_call
    }

    /// Records that the step whose turn it was has asked.
    pub(super) fn end_turn(&mut self) {
        self.due_at_call = self.calls + TURN_SHARE - 1;
    }
}
