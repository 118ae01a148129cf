//! Passes the rows of accepted jobs to the leader.

use {
    crate::{StoreItem, follow::ItemSink, leader_event::LeaderEvent},
    damaskrack_cell::{CellInput, JobRecord},
    prost::Message,
    tokio::sync::mpsc,
};

/// Passes accepted jobs to the core.
pub(crate) struct JobSink {
    pub(crate) events: mpsc::Sender<LeaderEvent>,
}

impl ItemSink for JobSink {
    fn replace(&mut self, items: Vec<StoreItem>) {
        items.into_iter().for_each(|item| self.update(item));
    }

    fn update(&mut self, item: StoreItem) {
        if !item.is_deleted
            && let Ok(record) = JobRecord::decode(item.value.as_slice())
        {
            let _ = self.events.try_send(LeaderEvent::Input(CellInput::Accepted(record)));
        }
    }

    fn caught_up(&mut self, _sent_ms: u64) {}
}
