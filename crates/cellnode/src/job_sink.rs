//! Passes the rows of accepted jobs to the leader.

use {
    crate::{StoreItem, follow::ItemSink, leader_event::LeaderEvent, stored_jobs::decode_job},
    damaskrack_cell::{CellInput, JobRecord},
    slog::Logger,
    std::collections::VecDeque,
    tokio::sync::mpsc,
};

/// Passes accepted jobs to the core.
pub(crate) struct JobSink {
    events: mpsc::Sender<LeaderEvent>,
    /// Jobs for which the queue of events had no space, oldest first.
    unsent: VecDeque<JobRecord>,
    logger: Logger,
}

impl JobSink {
    pub(crate) fn new(events: mpsc::Sender<LeaderEvent>, logger: Logger) -> Self {
        Self { events, unsent: VecDeque::new(), logger }
    }

    fn send_unsent(&mut self) {
        while !self.unsent.is_empty()
            && let Ok(permit) = self.events.try_reserve()
            && let Some(record) = self.unsent.pop_front()
        {
            permit.send(CellInput::Accepted(record).into());
        }
    }
}

impl ItemSink for JobSink {
    fn replace(&mut self, items: Vec<StoreItem>) {
        self.unsent.clear();
        items.into_iter().for_each(|item| self.update(item));
    }

    fn update(&mut self, item: StoreItem) {
        if item.is_deleted {
            return;
        }
        self.unsent.extend(decode_job(&item, &self.logger));
    }

    fn caught_up(&mut self, _sent_ms: u64) {
        self.send_unsent();
    }
}

#[cfg(test)]
mod tests;
