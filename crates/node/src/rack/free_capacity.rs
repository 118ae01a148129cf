//! Free capacity of the workers of a rack.

use {
    super::{RackShared, RackTable, WorkerEntry, WorkerKey},
    damaskrack_model::{ClockTime, Resources},
    damaskrack_outside::HostState,
    damaskrack_policy::{WorkerEligibility, WorkerFreeCapacity, choose_worker},
};

/// Returns whether a worker accepts new work.
pub(crate) fn is_worker_open(worker: &WorkerEntry, shared: &RackShared, now: ClockTime) -> bool {
    worker.listed == Some(HostState::Live)
        && worker.has_reported
        && !worker.is_expired
        && !worker.is_suspect
        && worker.is_heard_within(shared.intervals.max_silence_ms(), now)
        && shared.health.eligibility(&worker.name) != WorkerEligibility::Ineligible
}

/// Returns the free capacity of a worker. Resources reserved for pending attempts are not free.
pub(crate) fn worker_free_capacity(
    rack: &RackTable,
    worker: &WorkerEntry,
    shared: &RackShared,
    now: ClockTime,
) -> WorkerFreeCapacity {
    let load = rack.load(worker);
    let taken_slots = load.allocated_slots + load.pending_slots;
    let slots = match shared.health.eligibility(&worker.name) {
        WorkerEligibility::Eligible => worker.slots,
        WorkerEligibility::ProbeOnly => worker.slots.min(1),
        WorkerEligibility::Ineligible => 0,
    };
    WorkerFreeCapacity {
        capacity: worker.capacity,
        free: worker.capacity.saturating_sub(load.allocated).saturating_sub(load.pending),
        free_slots: slots.saturating_sub(taken_slots),
        is_open: is_worker_open(worker, shared, now),
    }
}

/// Chooses a worker for a task that needs `need`; `None` if it fits on none.
pub(crate) fn find_worker(
    rack: &RackTable,
    shared: &RackShared,
    need: Resources,
    now: ClockTime,
) -> Option<WorkerKey> {
    let (keys, free): (Vec<_>, Vec<_>) = rack
        .worker_keys
        .values()
        .filter_map(|&key| Some((key, rack.workers.get(key)?)))
        .map(|(key, worker)| (key, worker_free_capacity(rack, worker, shared, now)))
        .unzip();
    choose_worker(&free, need).map(|index| keys[index])
}
