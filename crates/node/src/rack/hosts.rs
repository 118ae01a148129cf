//! Applies the host list to the workers of the racks.
//!
//! The list lags behind, so a worker that has vanished from it is kept while anything is known to
//! run there. A leaving worker keeps what it runs.

use {
    super::{RackShared, RackTable, WorkerEntry},
    crate::view::ClusterView,
    damaskrack_model::{ClockTime, RackName, WorkerName},
    damaskrack_outside::HostRow,
    std::collections::BTreeMap,
};

/// Updates the workers of all racks from the host list. An empty list has not been read yet and
/// changes nothing.
pub(crate) fn apply_hosts(
    racks: &mut BTreeMap<RackName, RackTable>,
    shared: &mut RackShared,
    view: &ClusterView,
) {
    if view.hosts.is_empty() {
        return;
    }
    for worker in racks.values_mut().flat_map(|rack| rack.workers.values_mut()) {
        worker.listed = None;
    }
    for host in &view.hosts {
        if let Some(rack) = racks.get_mut(&host.rack) {
            apply_host(rack, host, view.now);
        }
    }
    for rack in racks.values_mut() {
        remove_vanished(rack, shared);
    }
}

fn apply_host(rack: &mut RackTable, host: &HostRow, now: ClockTime) {
    if rack.zone.is_none() {
        rack.zone = Some(host.zone.clone());
    }
    let key = match rack.worker_keys.get(&host.worker) {
        Some(&key) => key,
        None => {
            let worker = WorkerEntry::new(host.worker.clone(), host.address, now);
            rack.is_dirty = true;
            let key = rack.workers.insert(worker);
            rack.worker_keys.insert(host.worker.clone(), key);
            key
        }
    };
    if let Some(worker) = rack.workers.get_mut(key) {
        worker.listed = Some(host.state);
        worker.address = host.address;
    }
}

fn remove_vanished(rack: &mut RackTable, shared: &mut RackShared) {
    let vanished: Vec<WorkerName> = rack
        .workers
        .values()
        .filter(|worker| is_removable(worker))
        .map(|w| w.name.clone())
        .collect();
    for name in vanished {
        if let Some(key) = rack.worker_keys.remove(&name) {
            rack.workers.remove(key);
        }
        shared.health.forget(&name);
        rack.is_dirty = true;
    }
}

fn is_removable(worker: &WorkerEntry) -> bool {
    worker.listed.is_none()
        && worker.attempts.is_empty()
        && (worker.is_expired || (worker.has_reported && worker.acks.is_empty()))
}
