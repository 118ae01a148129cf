//! Summary of a rack for other daemons, and its state dump for operators.

use {
    super::{LocalPhase, RackShared, RackTable, free_capacity::worker_free_capacity},
    crate::view::ClusterView,
    damaskrack_model::{Resources, TeamName, ZoneName},
    damaskrack_policy::WorkerFreeCapacity,
    damaskrack_wire::RackSummary,
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// Summarizes a rack; `None` until the host list has named its zone.
pub(crate) fn summarize(
    rack: &RackTable,
    shared: &RackShared,
    view: &ClusterView,
) -> Option<RackSummary> {
    let zone = rack.zone.clone()?;
    let workers: Vec<WorkerFreeCapacity> = rack
        .workers
        .values()
        .map(|worker| worker_free_capacity(rack, worker, shared, view.now))
        .filter(|worker| worker.is_open)
        .collect();
    let is_open = rack.is_serving()
        && view.may_start()
        && view.is_zone_in_service(&zone)
        && !workers.is_empty();
    Some(RackSummary { is_open, ..sum_capacities(rack, zone, &workers) })
}

fn sum_capacities(rack: &RackTable, zone: ZoneName, workers: &[WorkerFreeCapacity]) -> RackSummary {
    let with_slots = || workers.iter().filter(|worker| worker.free_slots > 0);
    let sum = |sum: Resources, amount: Resources| sum.saturating_add(amount);
    RackSummary {
        rack: rack.name.clone(),
        zone,
        epoch: rack.epoch,
        is_open: false,
        capacity: workers.iter().map(|worker| worker.capacity).fold(Resources::ZERO, sum),
        free: with_slots().map(|worker| worker.free).fold(Resources::ZERO, sum),
        free_slots: workers.iter().map(|worker| worker.free_slots).sum(),
        largest_free: largest(with_slots().map(|worker| (worker.free, worker.capacity))),
        largest_worker: largest(workers.iter().map(|worker| (worker.capacity, worker.capacity))),
        used: used_by_team(rack),
    }
}

/// Returns the amount with the largest product of processors and memory.
fn largest(amounts: impl Iterator<Item = (Resources, Resources)>) -> Resources {
    let size = |amount: Resources| {
        (u128::from(amount.millicores) + 1) * (u128::from(amount.memory_bytes) + 1)
    };
    amounts.map(|(amount, _)| amount).max_by_key(|&amount| size(amount)).unwrap_or_default()
}

fn used_by_team(rack: &RackTable) -> Vec<(TeamName, Resources)> {
    let mut used: BTreeMap<&TeamName, Resources> = BTreeMap::new();
    for attempt in rack.attempts.values() {
        if matches!(attempt.phase, LocalPhase::Pending { .. } | LocalPhase::Ended(_)) {
            continue;
        }
        let sum = used.entry(attempt.team()).or_default();
        *sum = sum.saturating_add(attempt.resources);
    }
    used.into_iter().map(|(team, sum)| (team.clone(), sum)).collect()
}

/// Returns a rack's table as JSON for the state dump.
pub(crate) fn dump_rack(rack: &RackTable) -> Value {
    let worker_name = |attempt: &super::TrackedAttempt| {
        rack.workers.get(attempt.worker).map(|worker| worker.name.clone())
    };
    let attempts: Vec<Value> = rack
        .attempts
        .values()
        .map(|attempt| json!({ "worker": worker_name(attempt), "attempt": attempt }))
        .collect();
    json!({
        "rack": rack.name,
        "zone": rack.zone,
        "epoch": rack.epoch,
        "taken_at": rack.taken_at,
        "is_rebuilding": rack.is_rebuilding,
        "is_frozen": rack.is_frozen,
        "is_fenced": rack.is_fenced,
        "zone_out_since": rack.zone_out_since,
        "voids": rack.voids.len(),
        "workers": rack.workers.values().collect::<Vec<_>>(),
        "attempts": attempts,
    })
}
