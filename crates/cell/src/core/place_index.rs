//! The workers of each service by speed and rack.
//!
//! A step that could wait for a better worker looks at the few that come first here, so that the time of a
//! placement does not grow with the number of workers. The order may be some time old: each worker is
//! checked again before a step waits for it.

use {super::CellCore, crate::WorkerKey, rustc_hash::FxHashMap};

/// Time after which the workers are collected again, in milliseconds. Collecting and sorting 23,000
/// workers takes as long as a placement, which is done up to 250 times a second.
const REBUILD_MS: u64 = 1_000;

/// Workers of a service, the fastest first.
#[derive(Debug, Default)]
struct ServicePlaces {
    fastest: Vec<WorkerKey>,
    racks: FxHashMap<String, Vec<WorkerKey>>,
}

/// The workers of each service by speed and rack.
#[derive(Debug, Default)]
pub(super) struct PlaceIndex {
    /// Time from which the index is outdated.
    due_ms: u64,
    services: FxHashMap<String, ServicePlaces>,
}

impl PlaceIndex {
    /// Returns the workers of a service, the fastest first.
    pub(super) fn fastest(&self, service: &str) -> &[WorkerKey] {
        self.services.get(service).map_or(&[], |places| places.fastest.as_slice())
    }

    /// Returns the workers of a service in a rack, the fastest first.
    pub(super) fn rack(&self, service: &str, rack: &str) -> &[WorkerKey] {
        let places = self.services.get(service).and_then(|places| places.racks.get(rack));
        places.map_or(&[], Vec::as_slice)
    }
}

impl CellCore {
    /// Collects the workers anew if the index is outdated.
    pub(super) fn refresh_place_index(&mut self) {
        if self.time.now_ms < self.place_index.due_ms {
            return;
        }
        let mut workers: Vec<WorkerKey> = self.workers.keys().collect();
        workers.sort_by(|a, b| self.slowness_of(*a).total_cmp(&self.slowness_of(*b)));
        let mut services: FxHashMap<String, ServicePlaces> = FxHashMap::default();
        for key in workers {
            let report = &self.workers[key].report;
            let places = services.entry(report.service.clone()).or_default();
            places.fastest.push(key);
            let rack = self.workers[key].rack().to_owned();
            places.racks.entry(rack).or_default().push(key);
        }
        self.place_index = PlaceIndex { due_ms: self.time.now_ms + REBUILD_MS, services };
    }
}
