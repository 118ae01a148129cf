//! The workers that take work, as one pass over the line sees them.
//!
//! They are found and sorted once a pass, not once a step: with hundreds of workers and hundreds of
//! steps in line, that is most of the work of a pass. Room that the pass gives away is looked up
//! again where it counts.

use {
    super::CellCore,
    crate::{StepSpec, WorkerKey},
    rustc_hash::FxHashMap,
};

/// Workers that take work, by service, the least room first.
#[derive(Debug, Default)]
pub(super) struct AvailableWorkers {
    services: FxHashMap<String, Vec<WorkerKey>>,
}

impl AvailableWorkers {
    /// Returns the workers of a service.
    pub(super) fn of(&self, service: &str) -> &[WorkerKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

impl CellCore {
    /// Finds the workers that take work now.
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

    /// Tells whether a worker may get new work now; one that is gone may not.
    pub(super) fn is_available(&self, key: WorkerKey) -> bool {
        let worker = self.workers.get(key);
        worker.is_some_and(|w| w.backoff_until_ms <= self.time.now_ms && self.is_schedulable(w))
    }

    /// Tells whether a worker could run a task of a step if it ran nothing else.
    pub(super) fn could_host(&self, key: WorkerKey, step: &StepSpec) -> bool {
        let worker = &self.workers[key];
        step.resources().fits(&worker.report.capacity)
            && (step.required_label.is_empty() || worker.is_labelled(&step.required_label))
    }
}
