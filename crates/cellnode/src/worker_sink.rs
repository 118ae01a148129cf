//! Passes the workers' entries to the leader.

use {
    crate::{
        PlatformCodec, StoreItem, boot_ms, follow::ItemSink, forward_router::ForwardRouter,
        leader_event::LeaderEvent, store_contact::StoreContact,
    },
    damaskrack_cell::{CellInput, WorkerReport},
    slog::{Logger, warn},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::mpsc,
};

/// Keeps the list of workers and passes it to the core after each change.
pub(crate) struct WorkerSink {
    codec: Arc<dyn PlatformCodec>,
    events: mpsc::Sender<LeaderEvent>,
    router: Arc<ForwardRouter>,
    contact: Arc<StoreContact>,
    /// Time at which the list was last read, in milliseconds since the host booted.
    read_ms: Arc<AtomicU64>,
    reports: BTreeMap<String, WorkerReport>,
    /// Keys of the entries that describe no usable worker.
    unusable: BTreeSet<String>,
    is_changed: bool,
    logger: Logger,
}

impl WorkerSink {
    pub(crate) fn new(
        codec: Arc<dyn PlatformCodec>,
        events: mpsc::Sender<LeaderEvent>,
        (router, contact, read_ms): (Arc<ForwardRouter>, Arc<StoreContact>, Arc<AtomicU64>),
        logger: Logger,
    ) -> Self {
        let (reports, unusable) = (BTreeMap::new(), BTreeSet::new());
        let is_changed = false;
        Self { codec, events, router, contact, read_ms, reports, unusable, is_changed, logger }
    }

    /// Records whether an entry exists but describes no usable worker.
    fn record_unusable(&mut self, key: &str, is_unusable: bool) {
        if !is_unusable {
            self.unusable.remove(key);
        } else if self.unusable.insert(key.to_owned()) {
            warn!(self.logger, "worker_entry_unusable"; "key" => key);
        }
    }
}

impl ItemSink for WorkerSink {
    fn replace(&mut self, items: Vec<StoreItem>) {
        self.reports.clear();
        self.unusable.clear();
        items.into_iter().for_each(|item| self.update(item));
        self.is_changed = true;
    }

    fn update(&mut self, item: StoreItem) {
        let report = match item.is_deleted {
            true => None,
            false => self.codec.read_worker(&item.key, &item.value),
        };
        self.record_unusable(&item.key, report.is_none() && !item.is_deleted);
        let is_same = self.reports.get(&item.key) == report.as_ref();
        self.is_changed |= !is_same;
        match report {
            Some(report) => self.reports.insert(item.key, report),
            None => self.reports.remove(&item.key),
        };
    }

    fn caught_up(&mut self, sent_ms: u64) {
        self.read_ms.store(boot_ms(), Ordering::Relaxed);
        let are_current = self.contact.record_entries(sent_ms);
        if std::mem::take(&mut self.is_changed) {
            let reports: Vec<WorkerReport> = self.reports.values().cloned().collect();
            self.router.update_workers(reports.clone());
            let input = CellInput::Workers(reports);
            // If the queue is full, the list is sent again after the next watch.
            self.is_changed = self.events.try_send(input.into()).is_err();
        }
        if !self.is_changed && are_current {
            let input = CellInput::WorkersConfirmed { as_of_ms: sent_ms };
            // If the queue is full, the next watch confirms the list.
            let _ = self.events.try_send(input.into());
        }
    }
}
