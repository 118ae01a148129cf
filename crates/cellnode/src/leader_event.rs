//! What the tasks of a leader tell its core.

use {damaskrack_cell::CellInput, tokio::sync::mpsc};

/// Inputs of the core, and the end of its time.
pub(crate) enum LeaderEvent {
    Input(CellInput),
    Deposed,
}

/// Sends an input to a core that may be gone by now.
pub(crate) async fn send_input(events: &mpsc::Sender<LeaderEvent>, input: CellInput) {
    let _ = events.send(LeaderEvent::Input(input)).await;
}
