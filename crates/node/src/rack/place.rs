//! Admits attempts and handles the other commands and inquiries of queue owners.
//!
//! The rack owner alone decides what its workers run, so it decides from its own table and responds
//! at once. An attempt that it knows is never admitted again; an attempt that was inquired about
//! before it arrived never starts.

use {
    super::{
        LocalPhase, RackShared, RackTable, RollCallEntry, StopReason, TrackedAttempt, WorkerKey,
        free_capacity::find_worker, preempt::preempt,
    },
    crate::view::ClusterView,
    damaskrack_model::{AttemptId, ClockTime, Epoch, MemberName, PriorityClass, TeamName},
    damaskrack_ownership::FenceOutcome,
    damaskrack_wire::{
        AttemptPhase, PlaceMode, PlaceOrder, PlaceOutcome, RefusalReason, ReportedAttempt,
    },
};

/// Time for which capacity is held for a gang, in milliseconds.
pub(crate) const HOLD_MS: u64 = 3_000;

/// The sender of a command, with the result of the epoch check.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CommandSender<'a> {
    /// The member that sent it.
    pub(crate) member: &'a MemberName,
    /// The team whose queues it claims to own.
    pub(crate) team: &'a TeamName,
    /// Epoch of that ownership.
    pub(crate) epoch: Epoch,
    /// Whether the epoch is current or stale.
    pub(crate) fence: FenceOutcome,
}

/// What to do with a place order.
#[derive(Debug)]
enum PlaceStep {
    /// The attempt is known: send its phase again.
    Repeat(super::AttemptKey),
    /// Refuse it.
    Refuse(RefusalReason),
    /// Admit it on this worker, which has enough free capacity.
    Admit(WorkerKey),
    /// Reserve capacity on this worker, where attempts are being preempted for it.
    AwaitVictims(WorkerKey),
}

/// Handles a place order.
pub(crate) fn place(
    rack: &mut RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    sender: CommandSender<'_>,
    order: PlaceOrder,
) {
    match classify_order(rack, shared, view, sender, &order) {
        PlaceStep::Repeat(key) => resend_phase(rack, key),
        PlaceStep::Refuse(reason) => {
            rack.queue_verdict(sender.member, order.attempt, PlaceOutcome::Refused(reason));
        }
        PlaceStep::Admit(worker) => {
            let (mode, entry) = (order.mode, new_attempt(order, sender, worker, view.now));
            let key = rack.insert(entry);
            if mode == PlaceMode::Hold {
                rack.queue_worker_verdict(key, PlaceOutcome::Held);
            }
        }
        PlaceStep::AwaitVictims(worker) => {
            let phase = LocalPhase::Pending { since: view.now, mode: order.mode };
            let entry = TrackedAttempt { phase, ..new_attempt(order, sender, worker, view.now) };
            rack.insert(entry);
        }
    }
}

fn classify_order(
    rack: &mut RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    sender: CommandSender<'_>,
    order: &PlaceOrder,
) -> PlaceStep {
    if let Some(key) = rack.find(&order.attempt) {
        return PlaceStep::Repeat(key);
    }
    if rack.voids.contains_key(&order.attempt) {
        return PlaceStep::Refuse(RefusalReason::Void);
    }
    if sender.fence == FenceOutcome::Stale || order.attempt.job.team != *sender.team {
        return PlaceStep::Refuse(RefusalReason::StaleEpoch);
    }
    if let Some(reason) = rack_refusal(rack, view) {
        return PlaceStep::Refuse(reason);
    }
    let is_urgent = order.is_entitled && order.priority == PriorityClass::Urgent;
    if !is_urgent && view.now < rack.ramp_until && !rack.ramp_budget.try_take(view.now) {
        return PlaceStep::Refuse(RefusalReason::Full);
    }
    if let Some(worker) = find_worker(rack, shared, order.resources, view.now) {
        return PlaceStep::Admit(worker);
    }
    let victims_of = order.is_entitled.then_some((&order.attempt.job.team, order.priority));
    match victims_of
        .and_then(|(team, class)| preempt(rack, shared, view, team, class, order.resources))
    {
        Some(worker) => PlaceStep::AwaitVictims(worker),
        None => PlaceStep::Refuse(RefusalReason::Full),
    }
}

/// Returns why the rack starts no work now; `None` if it does.
pub(crate) fn rack_refusal(rack: &RackTable, view: &ClusterView) -> Option<RefusalReason> {
    if rack.is_frozen || rack.is_fenced {
        Some(RefusalReason::NotOwner)
    } else if !view.may_start() {
        Some(RefusalReason::Isolated)
    } else if rack.is_rebuilding {
        Some(RefusalReason::Rebuilding)
    } else if !rack.zone.as_ref().is_some_and(|zone| view.is_zone_in_service(zone)) {
        Some(RefusalReason::ZoneOut)
    } else {
        None
    }
}

fn new_attempt(
    order: PlaceOrder,
    sender: CommandSender<'_>,
    worker: WorkerKey,
    now: ClockTime,
) -> TrackedAttempt {
    let phase = match order.mode {
        PlaceMode::Start => LocalPhase::Ready,
        PlaceMode::Hold => LocalPhase::Held { expires_at: now.plus(HOLD_MS) },
    };
    TrackedAttempt {
        id: order.attempt,
        epoch: sender.epoch,
        requester: Some(sender.member.clone()),
        worker,
        resources: order.resources,
        kind: Some(order.kind),
        class: order.priority,
        is_entitled: order.is_entitled,
        is_preemptible: order.idempotent,
        payload: order.payload,
        started_at: now,
        phase,
        stop: None,
        over_since: None,
    }
}

/// Sends the phase of a known attempt again. Nothing is sent for an attempt that waits or is
/// starting: its verdict follows.
fn resend_phase(rack: &mut RackTable, key: super::AttemptKey) {
    match rack.attempts.get_mut(key).map(|attempt| &mut attempt.phase) {
        Some(LocalPhase::Running { .. }) => rack.queue_worker_verdict(key, PlaceOutcome::Started),
        Some(LocalPhase::Held { .. }) => rack.queue_worker_verdict(key, PlaceOutcome::Held),
        Some(LocalPhase::Ended(end)) => {
            end.notified = None;
            rack.next_notice_at = ClockTime::default();
        }
        _ => {}
    }
}

/// Handles a commit of held attempts.
pub(crate) fn commit(
    rack: &mut RackTable,
    view: &ClusterView,
    sender: CommandSender<'_>,
    attempts: Vec<AttemptId>,
) {
    for id in attempts {
        let key = rack.find(&id);
        let is_held = key
            .and_then(|key| rack.attempts.get(key))
            .is_some_and(|attempt| matches!(attempt.phase, LocalPhase::Held { .. }));
        match (key, is_held) {
            (Some(key), true) if sender.fence == FenceOutcome::Stale => {
                rack.refuse(key, RefusalReason::StaleEpoch);
            }
            (Some(key), true) => match rack_refusal(rack, view) {
                Some(reason) => rack.refuse(key, reason),
                None => start_held(rack, key),
            },
            (Some(key), false) => resend_phase(rack, key),
            (None, _) if rack.is_rebuilding => {}
            (None, _) => {
                rack.mark_void(id.clone(), view.now);
                let reason = RefusalReason::HoldExpired;
                rack.queue_verdict(sender.member, id, PlaceOutcome::Refused(reason));
            }
        }
    }
}

fn start_held(rack: &mut RackTable, key: super::AttemptKey) {
    if let Some(attempt) = rack.attempts.get_mut(key) {
        attempt.phase = LocalPhase::Ready;
        rack.is_dirty = true;
    }
}

/// Handles a release of attempts that have not started.
pub(crate) fn release(
    rack: &mut RackTable,
    now: ClockTime,
    sender: CommandSender<'_>,
    attempts: Vec<AttemptId>,
) {
    void_unsent(rack, now, sender, &attempts);
    queue_phases(rack, now, sender, attempts);
}

/// Handles a stop of attempts, started or not.
pub(crate) fn stop_attempts(
    rack: &mut RackTable,
    now: ClockTime,
    sender: CommandSender<'_>,
    attempts: Vec<AttemptId>,
) {
    if sender.fence == FenceOutcome::Stale {
        return;
    }
    void_unsent(rack, now, sender, &attempts);
    let mut gone = Vec::new();
    for id in attempts {
        match rack.find(&id).and_then(|key| rack.attempts.get_mut(key)) {
            Some(attempt) if attempt.is_ended() => gone.push(id),
            Some(attempt) => {
                attempt.plan_stop(StopReason::Requested, now);
                rack.is_dirty = true;
            }
            None => gone.push(id),
        }
    }
    queue_phases(rack, now, sender, gone);
}

/// Handles an inquiry about attempts. An unknown attempt becomes void, so that the response remains
/// true.
pub(crate) fn inquire(
    rack: &mut RackTable,
    now: ClockTime,
    sender: CommandSender<'_>,
    attempts: Vec<AttemptId>,
) {
    queue_phases(rack, now, sender, attempts);
}

fn void_unsent(
    rack: &mut RackTable,
    now: ClockTime,
    sender: CommandSender<'_>,
    attempts: &[AttemptId],
) {
    if sender.fence == FenceOutcome::Stale {
        return;
    }
    for id in attempts {
        let Some(key) = rack.find(id) else { continue };
        if rack.attempts.get(key).is_some_and(TrackedAttempt::is_unsent) {
            rack.remove(key);
            rack.mark_void(id.clone(), now);
        }
    }
}

/// Queues the phases of attempts. During the rebuild nothing is reported about an unknown attempt,
/// because a worker that has not reported yet may run it.
fn queue_phases(
    rack: &mut RackTable,
    now: ClockTime,
    sender: CommandSender<'_>,
    attempts: Vec<AttemptId>,
) {
    let mut rows = Vec::with_capacity(attempts.len());
    for id in attempts {
        match rack.find(&id).and_then(|key| rack.attempts.get(key)) {
            Some(attempt) => rows.push(attempt.row()),
            None if rack.is_rebuilding || rack.is_fenced => {}
            None => {
                rack.mark_void(id.clone(), now);
                rows.push(void_row(id));
            }
        }
    }
    if !rows.is_empty() {
        rack.phases.entry(sender.member.clone()).or_default().extend(rows);
        rack.is_dirty = true;
    }
}

fn void_row(attempt: AttemptId) -> ReportedAttempt {
    ReportedAttempt {
        attempt,
        resources: damaskrack_model::Resources::ZERO,
        phase: AttemptPhase::Void,
    }
}

/// Handles acknowledgements of ended attempts.
pub(crate) fn acknowledge(rack: &mut RackTable, attempts: Vec<AttemptId>) {
    for id in attempts {
        let Some(key) = rack.find(&id) else { continue };
        if !rack.attempts.get(key).is_some_and(TrackedAttempt::is_ended) {
            continue;
        }
        if let Some(attempt) = rack.remove(key)
            && let Some(worker) = rack.workers.get_mut(attempt.worker)
        {
            worker.acks.insert(id);
        }
    }
}

/// Handles a roll call, by which a new queue owner reconciles its team's attempts. Attempts of a
/// former owner that were not sent to a worker become void. The response is sent once the rack is
/// rebuilt.
pub(crate) fn roll_call(rack: &mut RackTable, now: ClockTime, sender: CommandSender<'_>) {
    if sender.fence == FenceOutcome::Stale {
        return;
    }
    let outdated = rack.keys_where(|attempt| {
        attempt.team() == sender.team && attempt.is_unsent() && attempt.epoch < sender.epoch
    });
    for key in outdated {
        if let Some(attempt) = rack.remove(key) {
            rack.mark_void(attempt.id, now);
        }
    }
    for attempt in rack.attempts.values_mut().filter(|attempt| attempt.team() == sender.team) {
        attempt.requester = Some(sender.member.clone());
    }
    let entry = RollCallEntry { epoch: sender.epoch, requester: sender.member.clone() };
    rack.roll_calls.insert(sender.team.clone(), entry);
    rack.is_dirty = true;
}
