//! The workers available to one placement pass.
//!
//! They are collected and sorted once per pass, not per step: with hundreds of workers and hundreds
//! of steps in the backlog, that is most of the work of a pass. The order may become stale as the
//! pass reserves capacity; free capacity is checked again for each step.

use {super::CellCore, crate::WorkerKey, rustc_hash::FxHashMap};

/// Available workers by service, sorted by free CPU in ascending order.
#[derive(Debug, Default)]
pub(super) struct AvailableWorkers {
    services: FxHashMap<String, Vec<WorkerKey>>,
}

impl AvailableWorkers {
    /// Returns the available workers of a service.
    pub(super) fn of(&self, service: &str) -> &[WorkerKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

impl CellCore {
    /// Collects the workers that may get new work now.
    pub(super) fn available_workers(&self) -> AvailableWorkers {
        let mut available = AvailableWorkers::default();
        for (key, worker) in &self.workers {
            if !self.is_available(key) {
                continue;
            }
            match available.services.get_mut(&worker.report.service) {
                Some(keys) => keys.push(key),
                None => {
                    available.services.insert(worker.report.service.clone(), vec![key]);
                }
            }
        }
        for keys in available.services.values_mut() {
            keys.sort_by_cached_key(|key| self.workers[*key].free().cpu_millis);
        }
        available
    }
}
