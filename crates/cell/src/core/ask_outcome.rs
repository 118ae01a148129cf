//! What becomes of steps that ask the adviser.

/// What became of a step that asks the adviser.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AskOutcome {
    /// A call is in flight.
    Asked,
    /// No daemon is free for a call.
    Busy,
    /// There is no worker to ask about.
    Pointless,
}
