//! Renews the leases of tasks, expires workers and ends the rebuild after a takeover.
//!
//! At most one sync per worker is outstanding at any time: it renews the leases, acknowledges ended
//! attempts and waits for a new report. A renewed lease runs from the last clock reading that the
//! worker itself sent, so a worker that is silent for a lease and a margin has certainly stopped
//! everything it ran.

use {
    super::{CallEntry, CallKind, LocalPhase, RackShared, RackTable, WorkerEntry, WorkerKey},
    crate::{LogLevel, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, TaskResult},
    damaskrack_outside::WorkerCall,
    damaskrack_ownership::{MemberStanding, SilenceInput, lease_expiry},
    damaskrack_wire::RefusalReason,
};

/// Delay before a failed sync is retried, in milliseconds.
const RETRY_MS: u64 = 250;

/// Time beyond its deadline after which a sync without a result counts as lost, in milliseconds.
const OVERDUE_MS: u64 = 1_000;

/// Sends the syncs that are due.
pub(crate) fn run_syncs(
    rack: &mut RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    out: &mut ActionBuffer,
) {
    if rack.is_fenced {
        return;
    }
    let is_renewing = view.standing != MemberStanding::Isolated;
    let wait_ms = shared.intervals.sync_wait_ms();
    let overdue_ms = wait_ms + shared.intervals.timeout_ms + OVERDUE_MS;
    for (key, worker) in &mut rack.workers {
        if worker.sync.is_some_and(|(_, sent_at)| view.now.since(sent_at) > overdue_ms) {
            worker.sync = None;
        }
        let is_due = worker.sync.is_none() && view.now >= worker.sync_at;
        if !is_due || !worker.sync_budget.try_take(view.now) {
            continue;
        }
        let lease_until_ms = match is_renewing && worker.has_reported {
            true => worker.clock_ms.saturating_add(shared.intervals.lease_ms),
            false => 0,
        };
        let request = WorkerCall::Sync {
            rack: rack.name.clone(),
            epoch: rack.epoch,
            lease_until_ms,
            acks: worker.acks.iter().cloned().collect(),
            seen: worker.seen,
            wait_ms: if worker.has_reported && !worker.is_suspect { wait_ms } else { 0 },
        };
        let call = out.worker(worker.address, request, shared.intervals.timeout_ms);
        worker.sync = Some((call, view.now));
        let kind = CallKind::Sync;
        let entry = CallEntry { rack: rack.name.clone(), epoch: rack.epoch, worker: key, kind };
        shared.calls.insert(call, entry);
    }
}

/// Schedules the next sync if `call` is the outstanding one.
pub(crate) fn end_sync(worker: &mut WorkerEntry, call: u64, has_response: bool, now: ClockTime) {
    if let Some((outstanding, _)) = worker.sync
        && outstanding == call
    {
        worker.sync = None;
        worker.sync_at = if has_response { now } else { now.plus(RETRY_MS) };
    }
}

/// Expires the leases of workers that nobody can have renewed, and ends the rebuild once every
/// worker is accounted for.
///
/// An isolated daemon expires nothing, because another owner may be renewing the leases.
pub(crate) fn run_expiry(
    rack: &mut RackTable,
    shared: &RackShared,
    view: &ClusterView,
    out: &mut ActionBuffer,
) {
    if rack.is_fenced || view.standing == MemberStanding::Isolated {
        return;
    }
    let expired: Vec<WorkerKey> = rack
        .workers
        .iter()
        .filter(|(_, worker)| !worker.is_expired && are_leases_expired(worker, shared, view))
        .map(|(key, _)| key)
        .collect();
    for key in expired {
        expire_worker(rack, key, out);
    }
    let takeover_ms = shared.intervals.isolation_ms + shared.intervals.lease_expiry_ms();
    let is_listed = !rack.workers.is_empty() || view.now.since(rack.taken_at) > takeover_ms;
    if rack.is_rebuilding && is_listed && rack.workers.values().all(WorkerEntry::is_accounted_for) {
        rack.is_rebuilding = false;
        rack.is_dirty = true;
        out.log(
            LogLevel::Info,
            "rack_rebuilt",
            &[("rack", &rack.name), ("epoch", &rack.epoch.0), ("attempts", &rack.attempts.len())],
        );
    }
}

/// Returns whether all leases on a worker have certainly expired.
///
/// That is certain only if no successor can have renewed a lease before it expired.
fn are_leases_expired(worker: &WorkerEntry, shared: &RackShared, view: &ClusterView) -> bool {
    let end = lease_expiry(SilenceInput {
        heard_at: worker.heard_at,
        added_at: worker.added_at,
        resumed_at: shared.resumed_at,
        expiry_ms: shared.intervals.lease_expiry_ms(),
        isolation_ms: shared.intervals.isolation_ms,
    });
    view.now > end && view.was_owner_at(end, shared.intervals.isolation_ms)
}

fn expire_worker(rack: &mut RackTable, key: WorkerKey, out: &mut ActionBuffer) {
    let Some(worker) = rack.workers.get_mut(key) else { return };
    worker.is_expired = true;
    worker.has_reported = false;
    worker.seen = 0;
    let attempts = worker.attempts.clone();
    out.log(
        LogLevel::Warning,
        "worker_lapsed",
        &[("rack", &rack.name), ("worker", &worker.name), ("attempts", &attempts.len())],
    );
    out.count("rack.lapses", attempts.len() as u64);
    for attempt in attempts {
        expire_attempt(rack, attempt);
    }
}

/// Ends an attempt whose worker is lost. One whose start was never sent is refused, since it
/// certainly did not run.
pub(crate) fn expire_attempt(rack: &mut RackTable, key: super::AttemptKey) {
    match rack.attempts.get(key).map(|attempt| &attempt.phase) {
        Some(LocalPhase::Starting(_) | LocalPhase::Running { .. }) => {
            rack.end(key, TaskResult::Lapsed, String::new());
        }
        Some(LocalPhase::Held { .. } | LocalPhase::Pending { .. } | LocalPhase::Ready) => {
            rack.refuse(key, RefusalReason::WorkerRefused);
        }
        Some(LocalPhase::Ended(_)) | None => {}
    }
}
