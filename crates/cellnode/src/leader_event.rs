//! Events that a leader's tasks send to its main loop.

use {damaskrack_cell::CellInput, tokio::sync::mpsc};

/// An input of the core, or the end of the leadership.
pub(crate) enum LeaderEvent {
    Input(Box<CellInput>),
    /// Another daemon has become the leader.
    Deposed,
}

impl From<CellInput> for LeaderEvent {
    fn from(input: CellInput) -> Self {
        Self::Input(Box::new(input))
    }
}

/// Sends an input to the core. Has no effect if the leader has stopped.
pub(crate) async fn send_input(events: &mpsc::Sender<LeaderEvent>, input: CellInput) {
    let _ = events.send(input.into()).await;
}
