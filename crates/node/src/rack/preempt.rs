//! Room for entitled work when a rack is full.
//!
//! Lent share returns at once: borrowers on one worker are stopped, their room is kept for the
//! claimant, and it starts as soon as they have ended. A claim does not depend on one worker:
//! when that falls silent, the claim moves on.

use {
    super::{
        AttemptKey, LocalPhase, RackShared, RackTable, StopReason, TrackedAttempt, WorkerKey,
        WorkerLoad, WorkerRow,
        room::{find_room, is_worker_open},
    },
    crate::view::ClusterView,
    damaskrack_model::{ClockTime, PriorityClass, Resources, TeamName, WorkKind},
    damaskrack_policy::{PreemptionCandidate, WorkerEligibility, choose_victims},
    damaskrack_wire::{PlaceMode, PlaceVerdict, RefusalReason},
};

/// Time after which a claim whose victims do not end is refused, in milliseconds. With the way of
/// the refusal and another try it stays well within the bound for urgent work.
const PATIENCE_MS: u64 = 2_500;

/// Who asks for room, and how much.
#[derive(Debug, Clone, Copy)]
struct RoomClaim<'a> {
    team: &'a TeamName,
    class: PriorityClass,
    need: Resources,
}

/// A way to make room on one worker.
#[derive(Debug)]
struct EvictionPlan {
    worker: WorkerKey,
    victims: Vec<AttemptKey>,
    /// Whether accelerators are taken up by work that does not need them.
    is_stranding: bool,
    /// Highest class among the victims.
    class: PriorityClass,
    /// Work that is lost, in milliseconds.
    lost_ms: u64,
}

impl EvictionPlan {
    fn cost(&self) -> (bool, PriorityClass, usize, u64, WorkerKey) {
        (self.is_stranding, self.class, self.victims.len(), self.lost_ms, self.worker)
    }
}

/// Stops victims for a claim and returns the worker that will have room; `None` if no borrower
/// could make enough.
pub(crate) fn claim_room(
    rack: &mut RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    team: &TeamName,
    class: PriorityClass,
    need: Resources,
) -> Option<WorkerKey> {
    let claim = RoomClaim { team, class, need };
    let plan = rack
        .worker_keys
        .values()
        .filter_map(|&key| plan_eviction(rack, shared, view, key, claim))
        .min_by_key(EvictionPlan::cost)?;
    for &victim in &plan.victims {
        if let Some(attempt) = rack.attempts.get_mut(victim) {
            attempt.want_stop(StopReason::Displaced, view.now);
            let share = attempt.resources.dominant_share(view.cell_capacity);
            shared.note_displaced(attempt.team(), share, view.now);
        }
    }
    rack.is_dirty = true;
    Some(plan.worker)
}

fn plan_eviction(
    rack: &RackTable,
    shared: &RackShared,
    view: &ClusterView,
    key: WorkerKey,
    claim: RoomClaim<'_>,
) -> Option<EvictionPlan> {
    let worker = rack.workers.get(key)?;
    let is_trusted = shared.health.eligibility(&worker.name) == WorkerEligibility::Eligible;
    let is_open = is_trusted && is_worker_open(worker, shared, view.now);
    if !is_open || !worker.capacity.covers(claim.need) {
        return None;
    }
    let (resources, slots) = room_gap(worker, rack.load(worker), claim.need);
    let keys: Vec<AttemptKey> =
        worker.attempts.iter().copied().filter(|&key| may_displace(rack, key, claim)).collect();
    let rows = victim_rows(rack, shared, view, &keys);
    let chosen = choose_victims(&rows, resources, slots)?;
    let victims = || chosen.iter().map(|&index| &rows[index]);
    Some(EvictionPlan {
        worker: key,
        victims: chosen.iter().map(|&index| keys[index]).collect(),
        is_stranding: claim.need.accelerators == 0 && worker.capacity.accelerators > 0,
        class: victims().map(|row| row.class).max().unwrap_or_default(),
        lost_ms: victims().filter(|row| !row.is_checkpointable).map(|row| row.age_ms).sum(),
    })
}

/// Returns what is missing once everything that is being stopped has ended and every other claim
/// has its room.
fn room_gap(worker: &WorkerRow, load: WorkerLoad, need: Resources) -> (Resources, u32) {
    let taken = load
        .present
        .saturating_sub(load.stopping)
        .saturating_add(load.pending)
        .saturating_add(need);
    let slots = load.present_slots - load.stopping_slots + load.pending_slots + 1;
    (taken.saturating_sub(worker.capacity), slots.saturating_sub(worker.slots))
}

/// Tells whether an attempt may yield to the claim: borrowed urgent work yields to entitled
/// urgent work only.
fn may_displace(rack: &RackTable, key: AttemptKey, claim: RoomClaim<'_>) -> bool {
    rack.attempts.get(key).is_some_and(|attempt| {
        attempt.is_running()
            && attempt.stop.is_none()
            && attempt.is_preemptible
            && attempt.team() != claim.team
            && (attempt.class < PriorityClass::Urgent || claim.class == PriorityClass::Urgent)
    })
}

fn victim_rows(
    rack: &RackTable,
    shared: &RackShared,
    view: &ClusterView,
    keys: &[AttemptKey],
) -> Vec<PreemptionCandidate> {
    let mut teams: Vec<(&TeamName, f64)> = Vec::new();
    let mut rows = Vec::with_capacity(keys.len());
    for attempt in keys.iter().filter_map(|&key| rack.attempts.get(key)) {
        let team = teams.iter().position(|(team, _)| *team == attempt.team());
        let team = team.unwrap_or_else(|| {
            teams.push((attempt.team(), shared.borrowed_share(attempt.team(), view)));
            teams.len() - 1
        });
        rows.push(victim_row(attempt, team, teams[team].1, view));
    }
    rows
}

fn victim_row(
    attempt: &TrackedAttempt,
    team: usize,
    borrowed_share: f64,
    view: &ClusterView,
) -> PreemptionCandidate {
    PreemptionCandidate {
        team,
        borrowed_share,
        share: attempt.resources.dominant_share(view.cell_capacity),
        resources: attempt.resources,
        class: attempt.class,
        is_preemptible: attempt.is_preemptible,
        is_checkpointable: attempt.kind != Some(WorkKind::Request),
        age_ms: view.now.since(attempt.started_at),
    }
}

/// What to do about a claim that waits.
#[derive(Debug)]
enum PendingStep {
    /// Its room is free.
    Proceed,
    /// Room is free on another worker.
    Move(WorkerKey),
    /// Its worker fell silent; look for other victims.
    Replan,
    /// Its victims do not end.
    GiveUp,
    /// Wait.
    Wait,
}

/// Starts claims whose room has become free, the most urgent first.
pub(crate) fn run_pending(rack: &mut RackTable, shared: &mut RackShared, view: &ClusterView) {
    let mut keys = rack.keys_where(|attempt| matches!(attempt.phase, LocalPhase::Pending { .. }));
    keys.sort_by_key(|&key| {
        rack.attempts.get(key).map(|attempt| (std::cmp::Reverse(attempt.class), attempt.started_at))
    });
    for key in keys {
        match next_pending_step(rack, shared, key, view.now) {
            PendingStep::Proceed => proceed(rack, key, view.now),
            PendingStep::Move(worker) => {
                rack.move_to(key, worker);
                proceed(rack, key, view.now);
            }
            PendingStep::Replan => replan(rack, shared, view, key),
            PendingStep::GiveUp => rack.refuse(key, RefusalReason::Full),
            PendingStep::Wait => {}
        }
    }
}

fn next_pending_step(
    rack: &RackTable,
    shared: &RackShared,
    key: AttemptKey,
    now: ClockTime,
) -> PendingStep {
    let Some(attempt) = rack.attempts.get(key) else { return PendingStep::Wait };
    let LocalPhase::Pending { since, .. } = attempt.phase else { return PendingStep::Wait };
    let worker =
        rack.workers.get(attempt.worker).filter(|worker| is_worker_open(worker, shared, now));
    if worker.is_some_and(|worker| has_room_now(rack, worker, attempt.resources)) {
        return PendingStep::Proceed;
    }
    if let Some(other) = find_room(rack, shared, attempt.resources, now) {
        return PendingStep::Move(other);
    }
    if now.since(since) > PATIENCE_MS {
        return PendingStep::GiveUp;
    }
    if worker.is_none() { PendingStep::Replan } else { PendingStep::Wait }
}

fn has_room_now(rack: &RackTable, worker: &WorkerRow, need: Resources) -> bool {
    let load = rack.load(worker);
    load.present_slots < worker.slots && worker.capacity.saturating_sub(load.present).covers(need)
}

fn proceed(rack: &mut RackTable, key: AttemptKey, now: ClockTime) {
    let Some(attempt) = rack.attempts.get_mut(key) else { return };
    let LocalPhase::Pending { mode, .. } = attempt.phase else { return };
    rack.is_dirty = true;
    match mode {
        PlaceMode::Start => attempt.phase = LocalPhase::Ready,
        PlaceMode::Hold => {
            attempt.phase = LocalPhase::Held { expires_at: now.plus(super::place::HOLD_MS) };
            rack.confirm(key, PlaceVerdict::Held);
        }
    }
}

fn replan(rack: &mut RackTable, shared: &mut RackShared, view: &ClusterView, key: AttemptKey) {
    let Some(attempt) = rack.attempts.get(key) else { return };
    let (team, class, need) = (attempt.team().clone(), attempt.class, attempt.resources);
    match claim_room(rack, shared, view, &team, class, need) {
        Some(worker) => rack.move_to(key, worker),
        None => rack.refuse(key, RefusalReason::Full),
    }
}
