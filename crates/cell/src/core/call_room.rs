//! Workers that a step may name in a call to the adviser because others there can be stopped.

use {
    super::{CellCore, step_hosts::StepHosts},
    crate::{WorkerKey, message::PhaseRef},
    rustc_hash::FxHashMap,
};

/// Workers without free capacity on which a step may start once others have been stopped.
#[derive(Debug, Default)]
pub(super) struct CallRoom {
    /// The workers, those with the most places first.
    order: Vec<WorkerKey>,
    places: FxHashMap<WorkerKey, u64>,
}

impl CallRoom {
    /// Creates the set from the places that can be made on workers.
    fn new(mut places: Vec<(WorkerKey, u64)>) -> Self {
        places.sort_by_key(|(_, places)| std::cmp::Reverse(*places));
        let order = places.iter().map(|(key, _)| *key).collect();
        Self { order, places: places.into_iter().collect() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns whether others have to be stopped on a worker first.
    pub(super) fn contains(&self, key: WorkerKey) -> bool {
        self.places.contains_key(&key)
    }

    /// Returns the workers, those with the most places first.
    pub(super) fn workers(&self) -> impl Iterator<Item = WorkerKey> {
        self.order.iter().copied()
    }

    /// Returns how many tasks of the step may start on a worker, also after stops.
    pub(super) fn places(&self, hosts: &StepHosts<'_>, key: WorkerKey) -> u64 {
        match self.places.get(&key) {
            Some(places) => *places,
            None => hosts.places(key),
        }
    }
}

impl CellCore {
    /// Returns those of some workers on which room can be made for a step.
    pub(super) fn call_room(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        workers: &[WorkerKey],
    ) -> CallRoom {
        if !self.settings.features.gang_room || !self.is_entitled_to_room(phase) {
            return CallRoom::default();
        }
        let priority = self.priority_of(&self.jobs[phase.job].record);
        let places =
            |key: &WorkerKey| (*key, self.places_after_stops(phase, priority, hosts, *key));
        let places = workers.iter().map(places).filter(|(_, places)| *places > 0);
        CallRoom::new(places.collect())
    }
}
