//! Sends stops and throttles to workers.
//!
//! Both are idempotent. A stop is repeated until the worker's report shows its effect. The first
//! stop of preemptible work requests a checkpoint; repeated stops do not.

use {
    super::{AttemptKey, CallEntry, CallKind, RackShared, RackTable, WorkerKey},
    crate::buffer::ActionBuffer,
    damaskrack_model::{AttemptId, ClockTime},
    damaskrack_outside::WorkerCall,
    std::collections::BTreeMap,
};

/// Interval at which a stop without effect is repeated, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// Sends the stops that are due, in batches per worker.
pub(crate) fn run_stops(
    rack: &mut RackTable,
    shared: &mut RackShared,
    now: ClockTime,
    out: &mut ActionBuffer,
) {
    let mut batches: BTreeMap<(WorkerKey, bool), Vec<AttemptId>> = BTreeMap::new();
    for attempt in rack.attempts.values_mut().filter(|attempt| attempt.is_stopping()) {
        let Some(stop) = &mut attempt.stop else { continue };
        if stop.sent_at.is_some_and(|then| now.since(then) < REPEAT_MS) {
            continue;
        }
        let wants_checkpoint = stop.sent_at.is_none() && attempt.is_preemptible;
        stop.sent_at = Some(now);
        batches.entry((attempt.worker, wants_checkpoint)).or_default().push(attempt.id.clone());
    }
    for ((worker, checkpoint), attempts) in batches {
        let (name, epoch) = (rack.name.clone(), rack.epoch);
        let request = WorkerCall::Stop { rack: name, epoch, attempts, checkpoint };
        send_command(rack, shared, worker, request, out);
    }
}

/// Stops attempts that the worker must not run and that have no running entry on it from which the
/// stop would be repeated.
pub(crate) fn stop_unknown(
    rack: &RackTable,
    shared: &mut RackShared,
    worker: WorkerKey,
    attempts: Vec<AttemptId>,
    out: &mut ActionBuffer,
) {
    if attempts.is_empty() {
        return;
    }
    let (name, epoch) = (rack.name.clone(), rack.epoch);
    let request = WorkerCall::Stop { rack: name, epoch, attempts, checkpoint: false };
    send_command(rack, shared, worker, request, out);
}

/// Limits attempts to their declared resources.
pub(crate) fn throttle(
    rack: &RackTable,
    shared: &mut RackShared,
    worker: WorkerKey,
    keys: &[AttemptKey],
    out: &mut ActionBuffer,
) {
    let attempts: Vec<AttemptId> =
        keys.iter().filter_map(|&key| rack.attempts.get(key)).map(|a| a.id.clone()).collect();
    if attempts.is_empty() {
        return;
    }
    let request = WorkerCall::Throttle { rack: rack.name.clone(), epoch: rack.epoch, attempts };
    send_command(rack, shared, worker, request, out);
}

fn send_command(
    rack: &RackTable,
    shared: &mut RackShared,
    worker: WorkerKey,
    request: WorkerCall,
    out: &mut ActionBuffer,
) {
    let Some(entry) = rack.workers.get(worker) else { return };
    let call = out.worker(entry.address, request, shared.intervals.timeout_ms);
    let kind = CallKind::Command;
    let entry = CallEntry { rack: rack.name.clone(), epoch: rack.epoch, worker, kind };
    shared.calls.insert(call, entry);
}
