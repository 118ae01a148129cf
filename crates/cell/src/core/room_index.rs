//! What stops could free on each worker.
//!
//! Many steps may wait at a time, and each looks at all workers before it asks the adviser. So what could be
//! freed is summed up once in a while and not for each step; placement itself decides by exact figures.

use {
    super::CellCore,
    crate::{ResourceSet, WorkerKey},
    slotmap::SecondaryMap,
};

/// Time for which the sums are reused, in milliseconds. The shortest tasks run about ten times as long.
const REFRESH_MS: u64 = 50;

/// Resources of tasks of one priority class that may be stopped.
#[derive(Debug)]
struct PreemptibleClass {
    priority: u32,
    resources: ResourceSet,
}

/// What may become free on a worker.
#[derive(Debug, Default)]
struct FreeableCapacity {
    /// Resources of attempts that are about to end.
    ending: ResourceSet,
    classes: Vec<PreemptibleClass>,
}

impl FreeableCapacity {
    fn add(&mut self, priority: u32, resources: &ResourceSet) {
        match self.classes.iter_mut().find(|class| class.priority == priority) {
            Some(class) => class.resources = class.resources.plus(resources),
            None => self.classes.push(PreemptibleClass { priority, resources: *resources }),
        }
    }
}

/// What may become free on all workers.
#[derive(Debug, Default)]
pub(super) struct RoomIndex {
    /// Time from which the sums are outdated.
    due_ms: u64,
    workers: SecondaryMap<WorkerKey, FreeableCapacity>,
}

impl RoomIndex {
    /// Returns what may become free on a worker for a step of a priority class.
    pub(super) fn freeable(&self, worker: WorkerKey, priority: u32) -> ResourceSet {
        let Some(known) = self.workers.get(worker) else { return ResourceSet::default() };
        let classes = known.classes.iter().filter(|class| class.priority > priority);
        classes.fold(known.ending, |sum, class| sum.plus(&class.resources))
    }
}

impl CellCore {
    /// Sums up anew what may become free, if the last time was some time ago.
    pub(super) fn refresh_room_index(&mut self) {
        if !self.settings.features.gang_room || self.time.now_ms < self.room_index.due_ms {
            return;
        }
        let workers = self.workers.keys().map(|key| (key, self.freeable_capacity(key))).collect();
        self.room_index = RoomIndex { due_ms: self.time.now_ms + REFRESH_MS, workers };
    }

    fn freeable_capacity(&self, key: WorkerKey) -> FreeableCapacity {
        let stop_ms = self.preemption_limits.stop_ms();
        let mut freeable = FreeableCapacity::default();
        for attempt in self.workers[key].attempts.values() {
            let resources = self.attempts[*attempt].resources;
            if self.ends_within(*attempt, stop_ms) {
                freeable.ending = freeable.ending.plus(&resources);
            } else if self.is_preemptible(*attempt) {
                freeable.add(self.priority_of_attempt(*attempt), &resources);
            }
        }
        freeable
    }
}
