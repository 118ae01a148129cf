//! Preempts attempts of borrowing teams when a rack is full and entitled work waits.
//!
//! Attempts on one worker are stopped, their resources are reserved for the preemptor, and it
//! starts as soon as they have ended. The preemptor is not bound to that worker: if the worker
//! falls silent, the preemptor moves to another one.

use {
    super::{
        AttemptKey, LocalPhase, RackShared, RackTable, StopReason, TrackedAttempt, WorkerEntry,
        WorkerKey, WorkerLoad,
        free_capacity::{find_worker, is_worker_open},
    },
    crate::view::ClusterView,
    damaskrack_model::{ClockTime, PriorityClass, Resources, TeamName, WorkKind},
    damaskrack_policy::{PreemptionCandidate, WorkerEligibility, choose_victims},
    damaskrack_wire::{PlaceMode, PlaceOutcome, RefusalReason},
};

/// Time after which a preemptor whose victims have not ended is refused, in milliseconds. Even
/// with the delivery of the refusal and another placement, it stays well within the time bound for
/// urgent work.
const VICTIM_STOP_TIMEOUT_MS: u64 = 2_500;

/// The work that preempts, and what it needs.
#[derive(Debug, Clone, Copy)]
struct PreemptorTask<'a> {
    team: &'a TeamName,
    class: PriorityClass,
    need: Resources,
}

/// Attempts to preempt on one worker, and what that costs.
#[derive(Debug)]
struct PreemptionPlan {
    worker: WorkerKey,
    victims: Vec<AttemptKey>,
    /// Whether the worker has accelerators that the preemptor would strand because it needs none.
    strands_accelerators: bool,
    /// Highest priority class among the victims.
    class: PriorityClass,
    /// Total run time of the victims that cannot be checkpointed, in milliseconds.
    lost_ms: u64,
}

impl PreemptionPlan {
    fn cost(&self) -> (bool, PriorityClass, usize, u64, WorkerKey) {
        (self.strands_accelerators, self.class, self.victims.len(), self.lost_ms, self.worker)
    }
}

/// Stops the victims of the cheapest preemption and returns the worker on which the work will fit;
/// `None` if preempting borrowers frees enough on no worker.
pub(crate) fn preempt(
    rack: &mut RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    team: &TeamName,
    class: PriorityClass,
    need: Resources,
) -> Option<WorkerKey> {
    let task = PreemptorTask { team, class, need };
    let plan = rack
        .worker_keys
        .values()
        .filter_map(|&key| plan_preemption(rack, shared, view, key, task))
        .min_by_key(PreemptionPlan::cost)?;
    for &victim in &plan.victims {
        if let Some(attempt) = rack.attempts.get_mut(victim) {
            attempt.plan_stop(StopReason::Displaced, view.now);
            let share = attempt.resources.dominant_share(view.cell_capacity);
            shared.record_preemption(attempt.team(), share, view.now);
        }
    }
    rack.is_dirty = true;
    Some(plan.worker)
}

fn plan_preemption(
    rack: &RackTable,
    shared: &RackShared,
    view: &ClusterView,
    key: WorkerKey,
    task: PreemptorTask<'_>,
) -> Option<PreemptionPlan> {
    let worker = rack.workers.get(key)?;
    let is_trusted = shared.health.eligibility(&worker.name) == WorkerEligibility::Eligible;
    let is_open = is_trusted && is_worker_open(worker, shared, view.now);
    if !is_open || !worker.capacity.covers(task.need) {
        return None;
    }
    let (resources, slots) = capacity_shortfall(worker, rack.load(worker), task.need);
    let keys: Vec<AttemptKey> =
        worker.attempts.iter().copied().filter(|&key| can_preempt(rack, key, task)).collect();
    let candidates = preemption_candidates(rack, shared, view, &keys);
    let chosen = choose_victims(&candidates, resources, slots)?;
    let victims = || chosen.iter().map(|&index| &candidates[index]);
    Some(PreemptionPlan {
        worker: key,
        victims: chosen.iter().map(|&index| keys[index]).collect(),
        strands_accelerators: task.need.accelerators == 0 && worker.capacity.accelerators > 0,
        class: victims().map(|candidate| candidate.class).max().unwrap_or_default(),
        lost_ms: victims()
            .filter(|candidate| !candidate.is_checkpointable)
            .map(|candidate| candidate.age_ms)
            .sum(),
    })
}

/// Returns the resources and slots that are missing on a worker once everything that is being
/// stopped has ended and every other pending attempt has its resources.
fn capacity_shortfall(worker: &WorkerEntry, load: WorkerLoad, need: Resources) -> (Resources, u32) {
    let taken = load
        .allocated
        .saturating_sub(load.stopping)
        .saturating_add(load.pending)
        .saturating_add(need);
    let slots = load.allocated_slots - load.stopping_slots + load.pending_slots + 1;
    (taken.saturating_sub(worker.capacity), slots.saturating_sub(worker.slots))
}

/// Returns whether an attempt may be preempted. Borrowed urgent work is preempted only for entitled
/// urgent work.
fn can_preempt(rack: &RackTable, key: AttemptKey, task: PreemptorTask<'_>) -> bool {
    rack.attempts.get(key).is_some_and(|attempt| {
        attempt.is_running()
            && attempt.stop.is_none()
            && attempt.is_preemptible
            && attempt.team() != task.team
            && (attempt.class < PriorityClass::Urgent || task.class == PriorityClass::Urgent)
    })
}

fn preemption_candidates(
    rack: &RackTable,
    shared: &RackShared,
    view: &ClusterView,
    keys: &[AttemptKey],
) -> Vec<PreemptionCandidate> {
    let mut teams: Vec<(&TeamName, f64)> = Vec::new();
    let mut candidates = Vec::with_capacity(keys.len());
    for attempt in keys.iter().filter_map(|&key| rack.attempts.get(key)) {
        let team = teams.iter().position(|(team, _)| *team == attempt.team());
        let team = team.unwrap_or_else(|| {
            teams.push((attempt.team(), shared.borrowed_share(attempt.team(), view)));
            teams.len() - 1
        });
        candidates.push(preemption_candidate(attempt, team, teams[team].1, view));
    }
    candidates
}

fn preemption_candidate(
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

/// What to do about a pending attempt.
#[derive(Debug)]
enum PendingStep {
    /// Its worker has enough free capacity.
    Proceed,
    /// Another worker has enough free capacity.
    Move(WorkerKey),
    /// Its worker is no longer open; choose other victims.
    Replan,
    /// Its victims have not ended in time.
    TimeOut,
    /// Its victims are still stopping.
    Wait,
}

/// Starts pending attempts whose capacity has become free, the highest class first.
pub(crate) fn run_pending(rack: &mut RackTable, shared: &mut RackShared, view: &ClusterView) {
    let mut keys = rack.keys_where(|attempt| matches!(attempt.phase, LocalPhase::Pending { .. }));
    keys.sort_by_key(|&key| {
        rack.attempts.get(key).map(|attempt| (std::cmp::Reverse(attempt.class), attempt.started_at))
    });
    for key in keys {
        match next_pending_step(rack, shared, key, view.now) {
            PendingStep::Proceed => start_pending(rack, key, view.now),
            PendingStep::Move(worker) => {
                rack.move_to(key, worker);
                start_pending(rack, key, view.now);
            }
            PendingStep::Replan => replan(rack, shared, view, key),
            PendingStep::TimeOut => rack.refuse(key, RefusalReason::Full),
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
    if worker.is_some_and(|worker| fits_now(rack, worker, attempt.resources)) {
        return PendingStep::Proceed;
    }
    if let Some(other) = find_worker(rack, shared, attempt.resources, now) {
        return PendingStep::Move(other);
    }
    if now.since(since) > VICTIM_STOP_TIMEOUT_MS {
        return PendingStep::TimeOut;
    }
    if worker.is_none() { PendingStep::Replan } else { PendingStep::Wait }
}

fn fits_now(rack: &RackTable, worker: &WorkerEntry, need: Resources) -> bool {
    let load = rack.load(worker);
    load.allocated_slots < worker.slots
        && worker.capacity.saturating_sub(load.allocated).covers(need)
}

fn start_pending(rack: &mut RackTable, key: AttemptKey, now: ClockTime) {
    let Some(attempt) = rack.attempts.get_mut(key) else { return };
    let LocalPhase::Pending { mode, .. } = attempt.phase else { return };
    rack.is_dirty = true;
    match mode {
        PlaceMode::Start => attempt.phase = LocalPhase::Ready,
        PlaceMode::Hold => {
            attempt.phase = LocalPhase::Held { expires_at: now.plus(super::place::HOLD_MS) };
            rack.queue_worker_verdict(key, PlaceOutcome::Held);
        }
    }
}

fn replan(rack: &mut RackTable, shared: &mut RackShared, view: &ClusterView, key: AttemptKey) {
    let Some(attempt) = rack.attempts.get(key) else { return };
    let (team, class, need) = (attempt.team().clone(), attempt.class, attempt.resources);
    match preempt(rack, shared, view, &team, class, need) {
        Some(worker) => rack.move_to(key, worker),
        None => rack.refuse(key, RefusalReason::Full),
    }
}
