//! Sends starts to workers and handles the responses.
//!
//! A start whose response is lost is neither repeated nor refused. It stays uncertain until the
//! worker's report lists it, or until the worker's clock has passed the time after which the worker
//! refuses the start.

use {
    super::{
        AttemptKey, CallEntry, CallKind, LocalPhase, RackShared, RackTable, UnconfirmedStart,
        WorkerKey, free_capacity::is_worker_open, place::rack_refusal,
    },
    crate::{buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, Epoch, TeamName},
    damaskrack_outside::{StartOutcome, StartRequest, WorkerCall},
    damaskrack_ownership::FenceOutcome,
    damaskrack_wire::{PlaceOutcome, RefusalReason},
    std::collections::BTreeMap,
};

/// Sends all admitted attempts to their workers, one batch per worker.
pub(crate) fn run_starts(
    rack: &mut RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    out: &mut ActionBuffer,
) {
    let mut batches: BTreeMap<WorkerKey, Vec<AttemptKey>> = BTreeMap::new();
    for key in rack.keys_where(|attempt| matches!(attempt.phase, LocalPhase::Ready)) {
        match start_refusal(rack, shared, view, key) {
            Some(reason) => rack.refuse(key, reason),
            None => {
                if let Some(attempt) = rack.attempts.get(key) {
                    batches.entry(attempt.worker).or_default().push(key);
                }
            }
        }
    }
    for (worker, keys) in batches {
        send_batch(rack, shared, worker, keys, view.now, out);
    }
}

/// Refuses unsent attempts that the rack may no longer start.
pub(crate) fn expire_unsent(rack: &mut RackTable, shared: &mut RackShared, view: &ClusterView) {
    let closed = rack_refusal(rack, view);
    for key in rack.keys_where(super::TrackedAttempt::is_unsent) {
        let Some(attempt) = rack.attempts.get(key) else { continue };
        let (team, epoch) = (attempt.team().clone(), attempt.epoch);
        let is_expired =
            matches!(attempt.phase, LocalPhase::Held { expires_at } if view.now >= expires_at);
        if let Some(reason) = closed {
            rack.refuse(key, reason);
        } else if is_stale(shared, view, &team, epoch) {
            rack.refuse(key, RefusalReason::StaleEpoch);
        } else if is_expired {
            rack.refuse(key, RefusalReason::HoldExpired);
        }
    }
}

fn is_stale(shared: &mut RackShared, view: &ClusterView, team: &TeamName, epoch: Epoch) -> bool {
    shared.check_epoch(team, epoch, view) == FenceOutcome::Stale
}

fn start_refusal(
    rack: &RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    key: AttemptKey,
) -> Option<RefusalReason> {
    let attempt = rack.attempts.get(key)?;
    if let Some(reason) = rack_refusal(rack, view) {
        return Some(reason);
    }
    if is_stale(shared, view, attempt.team(), attempt.epoch) {
        return Some(RefusalReason::StaleEpoch);
    }
    let is_open = rack
        .workers
        .get(attempt.worker)
        .is_some_and(|worker| is_worker_open(worker, shared, view.now));
    (!is_open).then_some(RefusalReason::WorkerRefused)
}

fn send_batch(
    rack: &mut RackTable,
    shared: &mut RackShared,
    worker: WorkerKey,
    keys: Vec<AttemptKey>,
    now: ClockTime,
    out: &mut ActionBuffer,
) {
    let Some(entry) = rack.workers.get(worker) else { return };
    let (address, boot) = (entry.address, entry.boot.unwrap_or_default());
    let lease_until_ms = entry.clock_ms.saturating_add(shared.intervals.lease_ms);
    let orders = keys.iter().filter_map(|&key| take_request(rack, key)).collect();
    let request =
        WorkerCall::Start { rack: rack.name.clone(), epoch: rack.epoch, orders, lease_until_ms };
    let call = out.worker(address, request, shared.intervals.timeout_ms);
    out.count("rack.starts", keys.len() as u64);
    for &key in &keys {
        if let Some(attempt) = rack.attempts.get_mut(key) {
            attempt.started_at = now;
            attempt.phase =
                LocalPhase::Starting(UnconfirmedStart { call: Some(call), lease_until_ms, boot });
        }
    }
    let kind = CallKind::Start(keys);
    let entry = CallEntry { rack: rack.name.clone(), epoch: rack.epoch, worker, kind };
    shared.calls.insert(call, entry);
}

fn take_request(rack: &mut RackTable, key: AttemptKey) -> Option<StartRequest> {
    let attempt = rack.attempts.get_mut(key)?;
    Some(StartRequest {
        attempt: attempt.id.clone(),
        resources: attempt.resources,
        payload: std::mem::take(&mut attempt.payload),
        preemptible: attempt.is_preemptible,
    })
}

/// Handles the outcomes of a batch of starts.
pub(crate) fn on_verdicts(
    rack: &mut RackTable,
    keys: &[AttemptKey],
    verdicts: &[StartOutcome],
    clock_ms: u64,
) {
    for (index, &key) in keys.iter().enumerate() {
        match verdicts.get(index) {
            Some(StartOutcome::Started) => confirm_start(rack, key, clock_ms),
            Some(StartOutcome::Full | StartOutcome::Expired) if is_starting(rack, key) => {
                rack.refuse(key, RefusalReason::WorkerRefused);
            }
            Some(_) => {}
            None => mark_response_lost(rack, key),
        }
    }
}

/// Marks an attempt as started by its worker and notifies its queue owner.
pub(crate) fn confirm_start(rack: &mut RackTable, key: AttemptKey, clock_ms: u64) {
    if is_starting(rack, key) {
        if let Some(attempt) = rack.attempts.get_mut(key) {
            attempt.phase = LocalPhase::Running { confirmed_ms: clock_ms };
        }
        rack.queue_worker_verdict(key, PlaceOutcome::Started);
    }
}

/// Handles a batch that was certainly not executed.
pub(crate) fn on_not_delivered(rack: &mut RackTable, keys: &[AttemptKey], reason: RefusalReason) {
    for &key in keys {
        if is_starting(rack, key) {
            rack.refuse(key, reason);
        }
    }
}

/// Handles a batch whose response is lost: later reports resolve its attempts.
pub(crate) fn on_response_lost(rack: &mut RackTable, keys: &[AttemptKey]) {
    for &key in keys {
        mark_response_lost(rack, key);
    }
}

fn mark_response_lost(rack: &mut RackTable, key: AttemptKey) {
    if let Some(attempt) = rack.attempts.get_mut(key)
        && let LocalPhase::Starting(start) = &mut attempt.phase
    {
        start.call = None;
    }
}

fn is_starting(rack: &RackTable, key: AttemptKey) -> bool {
    rack.attempts.get(key).is_some_and(|attempt| matches!(attempt.phase, LocalPhase::Starting(_)))
}
