//! Applies the results of worker calls to the rack's table.
//!
//! A report lists everything that the worker knows, and the rack's table follows it. Unknown
//! attempts are adopted, which is how the table is rebuilt after a takeover.

use {
    super::{
        AttemptKey, CallEntry, CallKind, LocalPhase, RackShared, RackTable, ReplyOrigin,
        StopReason, TrackedAttempt, UnacknowledgedEnd, WorkerKey,
        shared::attributed_job,
        start::{confirm_start, on_not_delivered, on_response_lost, on_verdicts},
        stop::{stop_unknown, throttle},
        sync::{end_sync, expire_attempt},
    },
    crate::{LogLevel, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{AttemptId, ClockTime, Epoch, PriorityClass, Resources, TaskResult},
    damaskrack_outside::{
        EndedAttempt, RunningAttempt, WorkerBody, WorkerError, WorkerReply, WorkerReport,
    },
    damaskrack_wire::RefusalReason,
    std::collections::BTreeSet,
};

/// Tolerated usage above the declared resources, in percent, because usage reports are not exact.
const OVERUSE_TOLERANCE_PERCENT: u64 = 10;

/// Time after which a throttled attempt that still uses more than it declared is stopped, in
/// milliseconds.
const OVERUSE_STOP_MS: u64 = 5_000;

/// Handles the result of a worker call.
pub(crate) fn on_call_end(
    rack: &mut RackTable,
    shared: &mut RackShared,
    (number, call): (u64, &CallEntry),
    result: Result<WorkerReply, WorkerError>,
    view: &ClusterView,
    out: &mut ActionBuffer,
) {
    rack.is_dirty = true;
    let Some(worker) = rack.workers.get_mut(call.worker) else {
        return end_without_worker(rack, &call.kind, result.err());
    };
    end_sync(worker, number, result.is_ok(), view.now);
    let reply = match result {
        Ok(reply) => reply,
        Err(error) => return on_failure(rack, call, error),
    };
    if let WorkerBody::Stale { epoch } = reply.body {
        return on_stale(rack, call, epoch, out);
    }
    match worker.record_reply(reply.boot, reply.clock_ms, view.now) {
        ReplyOrigin::Former => return on_failure(rack, call, WorkerError::Lost),
        ReplyOrigin::Restarted => expire_former(rack, call.worker),
        ReplyOrigin::Current => {}
    }
    match (&call.kind, reply.body) {
        (CallKind::Sync, WorkerBody::Report(report)) => {
            let mut reader = ReportReader {
                worker: call.worker,
                clock_ms: reply.clock_ms,
                rack,
                shared,
                now: view.now,
            };
            reader.read(report, out);
        }
        (CallKind::Start(keys), WorkerBody::Starts { verdicts }) => {
            on_verdicts(rack, keys, &verdicts, reply.clock_ms);
        }
        (CallKind::Start(keys), _) => on_response_lost(rack, keys),
        (CallKind::Sync | CallKind::Command, _) => {}
    }
}

fn end_without_worker(rack: &mut RackTable, kind: &CallKind, error: Option<WorkerError>) {
    let CallKind::Start(keys) = kind else { return };
    match error {
        Some(WorkerError::Unreachable) => {
            on_not_delivered(rack, keys, RefusalReason::WorkerRefused);
        }
        _ => keys.iter().for_each(|&key| expire_attempt(rack, key)),
    }
}

fn on_failure(rack: &mut RackTable, call: &CallEntry, error: WorkerError) {
    if let Some(worker) = rack.workers.get_mut(call.worker) {
        worker.is_suspect = true;
    }
    match (&call.kind, error) {
        (CallKind::Start(keys), WorkerError::Unreachable) => {
            on_not_delivered(rack, keys, RefusalReason::WorkerRefused);
        }
        (CallKind::Start(keys), WorkerError::Lost) => on_response_lost(rack, keys),
        (CallKind::Sync | CallKind::Command, _) => {}
    }
}

/// Fences the rack: the worker has seen a higher epoch, so another daemon owns the rack now.
fn on_stale(rack: &mut RackTable, call: &CallEntry, epoch: Epoch, out: &mut ActionBuffer) {
    if !rack.is_fenced {
        out.log(
            LogLevel::Warning,
            "rack_fenced",
            &[("rack", &rack.name), ("epoch", &rack.epoch.0), ("seen", &epoch.0)],
        );
    }
    rack.is_fenced = true;
    if let CallKind::Start(keys) = &call.kind {
        on_not_delivered(rack, keys, RefusalReason::NotOwner);
    }
}

/// Ends the running attempts of a worker process that was replaced. An unconfirmed start may have
/// reached the new process, so it stays uncertain.
fn expire_former(rack: &mut RackTable, worker: WorkerKey) {
    let Some(entry) = rack.workers.get(worker) else { return };
    for key in entry.attempts.clone() {
        if rack.attempts.get(key).is_some_and(TrackedAttempt::is_running) {
            expire_attempt(rack, key);
        }
    }
}

/// What to do about an attempt that a report of its worker does not list.
#[derive(Debug, Clone, Copy)]
enum UnlistedStep {
    /// Nothing: a later report or the lease decides.
    Keep,
    /// End it as lapsed: it ran or may have run, and is gone.
    Expire,
    /// Refuse it: it was not started and cannot start any more.
    Void,
}

/// Applies a worker's report to the table.
#[derive(Debug)]
struct ReportReader<'a> {
    rack: &'a mut RackTable,
    shared: &'a mut RackShared,
    worker: WorkerKey,
    clock_ms: u64,
    now: ClockTime,
}

impl ReportReader<'_> {
    fn read(&mut self, report: WorkerReport, out: &mut ActionBuffer) {
        let listed: BTreeSet<AttemptId> = report
            .running
            .iter()
            .map(|reported| &reported.attempt)
            .chain(report.ended.iter().map(|reported| &reported.attempt))
            .cloned()
            .collect();
        self.update_worker(&report, &listed);
        let mut unwanted = Vec::new();
        let mut overusing = Vec::new();
        for reported in report.running {
            unwanted.extend(self.read_running(reported, &mut overusing));
        }
        for reported in report.ended {
            self.read_ended(reported);
        }
        self.resolve_unlisted(&listed);
        stop_unknown(self.rack, self.shared, self.worker, unwanted, out);
        throttle(self.rack, self.shared, self.worker, &overusing, out);
    }

    fn update_worker(&mut self, report: &WorkerReport, listed: &BTreeSet<AttemptId>) {
        if let Some(worker) = self.rack.workers.get_mut(self.worker) {
            worker.seen = report.number;
            worker.capacity = report.capacity;
            worker.slots = report.slots;
            worker.has_reported = true;
            worker.is_expired = false;
            worker.acks.retain(|attempt| listed.contains(attempt));
        }
    }

    /// Applies a running attempt; returns its id if it must be stopped.
    fn read_running(
        &mut self,
        reported: RunningAttempt,
        overusing: &mut Vec<AttemptKey>,
    ) -> Option<AttemptId> {
        let Some(key) = self.rack.find(&reported.attempt) else {
            return self.adopt_running(reported);
        };
        let attempt = self.rack.attempts.get(key)?;
        if attempt.is_ended() || attempt.worker != self.worker {
            return Some(reported.attempt);
        }
        confirm_start(self.rack, key, self.clock_ms);
        if self.update_overuse(key, reported.usage) {
            overusing.push(key);
        }
        None
    }

    fn adopt_running(&mut self, reported: RunningAttempt) -> Option<AttemptId> {
        let is_unwanted =
            self.is_acked(&reported.attempt) || self.rack.voids.contains_key(&reported.attempt);
        if is_unwanted {
            return Some(reported.attempt);
        }
        let started_at = ClockTime(self.now.0.saturating_sub(reported.age_ms));
        let phase = LocalPhase::Running { confirmed_ms: self.clock_ms };
        let entry = TrackedAttempt {
            resources: reported.resources,
            is_preemptible: reported.preemptible,
            ..self.adopted(reported.attempt, started_at, phase)
        };
        self.rack.insert(entry);
        None
    }

    fn read_ended(&mut self, reported: EndedAttempt) {
        let Some(key) = self.rack.find(&reported.attempt) else {
            if !self.is_acked(&reported.attempt) {
                let phase = LocalPhase::Ended(UnacknowledgedEnd {
                    result: reported.result,
                    output: reported.output,
                    notified: None,
                });
                let entry = self.adopted(reported.attempt, self.now, phase);
                self.rack.insert(entry);
                self.rack.next_notice_at = ClockTime::default();
            }
            return;
        };
        let Some(attempt) = self.rack.attempts.get(key) else { return };
        if attempt.is_ended() || attempt.worker != self.worker {
            return;
        }
        let job = attributed_job(&attempt.id.job, attempt.kind);
        confirm_start(self.rack, key, self.clock_ms);
        if let (Some(is_failed), Some(worker)) =
            (is_failure(reported.result), self.rack.workers.get(self.worker))
        {
            self.shared.has_new_failure |= is_failed;
            self.shared.health.record(worker.name.clone(), job, is_failed, self.now);
        }
        self.rack.end(key, reported.result, reported.output);
    }

    /// Resolves attempts on the worker that the report does not list. A report may be older than
    /// the response to a start, so only one that is later by the worker's clock counts.
    fn resolve_unlisted(&mut self, listed: &BTreeSet<AttemptId>) {
        let Some(worker) = self.rack.workers.get(self.worker) else { return };
        let worker_boot = worker.boot;
        for key in worker.attempts.clone() {
            let Some(attempt) = self.rack.attempts.get(key) else { continue };
            if listed.contains(&attempt.id) {
                continue;
            }
            match self.next_unlisted_step(attempt, worker_boot) {
                UnlistedStep::Keep => {}
                UnlistedStep::Expire => self.rack.end(key, TaskResult::Lapsed, String::new()),
                UnlistedStep::Void => {
                    let id = attempt.id.clone();
                    self.rack.mark_void(id, self.now);
                    self.rack.refuse(key, RefusalReason::WorkerRefused);
                }
            }
        }
    }

    fn next_unlisted_step(&self, attempt: &TrackedAttempt, boot: Option<u64>) -> UnlistedStep {
        match &attempt.phase {
            LocalPhase::Running { confirmed_ms } if self.clock_ms > *confirmed_ms => {
                UnlistedStep::Expire
            }
            LocalPhase::Starting(start) if Some(start.boot) == boot => {
                let is_refused_now = self.clock_ms > start.lease_until_ms;
                if is_refused_now { UnlistedStep::Void } else { UnlistedStep::Keep }
            }
            // The process that the start was sent to is gone, and its clock with it. Only this
            // daemon's own clock shows when the start can no longer take effect.
            LocalPhase::Starting(start) if start.call.is_none() => {
                let lease_expiry_ms = self.shared.intervals.lease_expiry_ms();
                let is_over = self.now.since(attempt.started_at) > lease_expiry_ms;
                if is_over { UnlistedStep::Expire } else { UnlistedStep::Keep }
            }
            _ => UnlistedStep::Keep,
        }
    }

    /// Updates the overuse of an attempt and plans a stop if it continues. Returns whether it has
    /// just begun, so that the attempt must be throttled.
    fn update_overuse(&mut self, key: AttemptKey, usage: Resources) -> bool {
        let Some(attempt) = self.rack.attempts.get_mut(key) else { return false };
        if !is_overuse(attempt.resources, usage) {
            attempt.over_since = None;
            return false;
        }
        match attempt.over_since {
            None => {
                attempt.over_since = Some(self.now);
                true
            }
            Some(since) => {
                if self.now.since(since) >= OVERUSE_STOP_MS {
                    attempt.plan_stop(StopReason::Overuse, self.now);
                }
                false
            }
        }
    }

    fn is_acked(&self, attempt: &AttemptId) -> bool {
        self.rack.workers.get(self.worker).is_some_and(|worker| worker.acks.contains(attempt))
    }

    fn adopted(&self, id: AttemptId, started_at: ClockTime, phase: LocalPhase) -> TrackedAttempt {
        TrackedAttempt {
            epoch: id.epoch,
            id,
            requester: None,
            worker: self.worker,
            resources: Resources::ZERO,
            kind: None,
            class: PriorityClass::Normal,
            is_entitled: false,
            is_preemptible: false,
            payload: String::new(),
            started_at,
            phase,
            stop: None,
            over_since: None,
        }
    }
}

fn is_failure(result: TaskResult) -> Option<bool> {
    match result {
        TaskResult::Succeeded => Some(false),
        TaskResult::Failed => Some(true),
        TaskResult::Stopped | TaskResult::Lapsed | TaskResult::NeverStarted => None,
    }
}

fn is_overuse(declared: Resources, usage: Resources) -> bool {
    let is_over = |declared: u64, used: u64| {
        used > declared.saturating_add(declared / 100 * OVERUSE_TOLERANCE_PERCENT)
    };
    is_over(declared.millicores, usage.millicores)
        || is_over(declared.memory_bytes, usage.memory_bytes)
        || usage.accelerators > declared.accelerators
}
