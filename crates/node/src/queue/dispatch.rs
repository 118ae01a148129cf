//! Dispatches waiting tasks to racks.
//!
//! Ready jobs are considered in order of class, kind and arrival. A job that cannot be placed now
//! does not block the jobs behind it. The number of jobs per tick is bounded, so the cost of a
//! tick does not grow with the length of the queue.

use {
    super::{
        JobKey, QueueContext,
        attempt::{AttemptEntry, AttemptStage},
        completion::{self, STATUS_POLL_MS},
        free_capacity::RackChoice,
        gang,
        job::{GangStage, TaskStage},
        record::JournalRecord,
        team::TeamQueue,
    },
    damaskrack_model::{AttemptId, Epoch, RackName, Resources, WorkKind},
    damaskrack_ownership::PieceName,
    damaskrack_wire::{PeerMessage, PlaceMode, PlaceOrder},
    std::collections::BTreeMap,
};

/// Maximum number of jobs that are considered in one tick.
const MAX_JOBS_PER_TICK: usize = 32;
/// Maximum number of tasks that are sent in one tick.
const MAX_TASKS_PER_TICK: usize = 256;
/// Waiting time after which a gang gets a reservation, in milliseconds.
const GANG_RESERVATION_DELAY_MS: u64 = 5_000;
/// Duration of a gang's reservation, in milliseconds.
const GANG_RESERVATION_MS: u64 = 10_000;
/// Time from the start of one reservation to the start of the next, in milliseconds.
const GANG_RESERVATION_PERIOD_MS: u64 = 25_000;
/// Tolerated rounding error when shares are compared.
const SHARE_EPSILON: f64 = 1e-9;

/// Placement orders of one tick, by rack.
#[derive(Debug, Default)]
pub(super) struct PlaceBatch {
    orders: BTreeMap<RackName, Vec<PlaceOrder>>,
    count: usize,
}

/// A task and the rack chosen for it.
#[derive(Debug, Clone)]
pub(super) struct TaskChoice {
    task: u32,
    rack: RackName,
    is_entitled: bool,
    /// Whether the rack should have enough free capacity without preemption, so that it responds
    /// immediately.
    has_free_capacity: bool,
}

/// How the next task of a job is handled.
enum DispatchStep {
    Send(TaskChoice),
    /// An intent to start the task must become durable first.
    AwaitIntent,
    /// The task cannot be placed now.
    Skip,
}

/// Dispatches as many ready tasks as can be placed.
pub(super) fn run(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    requeue_backed_off(queue, context);
    if !queue.is_active() || !context.view.may_start() || queue.ready.is_empty() {
        return;
    }
    let mut batch = PlaceBatch::default();
    let ready: Vec<JobKey> = queue.ready.values().take(MAX_JOBS_PER_TICK).copied().collect();
    for key in ready {
        if batch.count >= MAX_TASKS_PER_TICK {
            break;
        }
        dispatch_job(queue, key, &mut batch, context);
        queue.update_indexes(key);
        if has_reservation(queue, key, context) {
            break;
        }
    }
    batch.send(queue, context);
}

/// Returns whether a job is a gang with a reservation, during which no job behind it may start.
///
/// Single tasks take every slot that becomes free, so without reservations a gang would start in a
/// full cell only by chance. Reservations are interrupted periodically, since the gang may be
/// waiting for a host to return.
fn has_reservation(queue: &TeamQueue, key: JobKey, context: &QueueContext<'_>) -> bool {
    let job = &queue.jobs[key];
    let is_waiting = job.spec.kind == WorkKind::Gang && job.gang == GangStage::Idle;
    let waited_ms = context.view.now.since(job.accepted_at);
    let reserved_ms =
        waited_ms.saturating_sub(GANG_RESERVATION_DELAY_MS) % GANG_RESERVATION_PERIOD_MS;
    is_waiting
        && job.parked.is_none()
        && waited_ms > GANG_RESERVATION_DELAY_MS
        && reserved_ms < GANG_RESERVATION_MS
}

fn requeue_backed_off(queue: &mut TeamQueue, context: &QueueContext<'_>) {
    let due: Vec<JobKey> = queue.backing_off.iter().copied().collect();
    for key in due {
        if queue.jobs[key].requeue_due(context.view.now) {
            queue.update_indexes(key);
        }
    }
}

fn dispatch_job(
    queue: &mut TeamQueue,
    key: JobKey,
    batch: &mut PlaceBatch,
    context: &mut QueueContext<'_>,
) {
    if park_if_impossible(queue, key, context) {
        return;
    }
    if queue.jobs[key].spec.kind == WorkKind::Gang {
        if !await_intent(queue, key, queue.jobs[key].spec.tasks - 1, context) {
            gang::place(queue, key, batch, context);
        }
        return;
    }
    while batch.count < MAX_TASKS_PER_TICK {
        match next_step(queue, key, context) {
            DispatchStep::Send(choice) => {
                queue.jobs[key].queued.pop_front();
                send_task(queue, key, &choice, PlaceMode::Start, batch, context);
            }
            DispatchStep::AwaitIntent | DispatchStep::Skip => break,
        }
    }
}

fn next_step(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) -> DispatchStep {
    let Some(&task) = queue.jobs[key].queued.front() else { return DispatchStep::Skip };
    debug_assert_eq!(queue.jobs[key].stage(task), Some(TaskStage::Waiting));
    if await_intent(queue, key, task, context) {
        return DispatchStep::AwaitIntent;
    }
    match choose_racks(queue, key, &[task], context).pop() {
        Some(choice) => DispatchStep::Send(choice),
        None => DispatchStep::Skip,
    }
}

/// Ensures that the journal holds the intent to start a task. Returns whether the intent is not
/// durable yet.
fn await_intent(queue: &mut TeamQueue, key: JobKey, task: u32, context: &QueueContext<'_>) -> bool {
    let durable = queue.journal.durable_position();
    let job = &mut queue.jobs[key];
    if let Some((position, below)) = job.pending_intent
        && position <= durable
    {
        job.intent_below = below;
        job.pending_intent = None;
    }
    if !job.lacks_intent(task) {
        return false;
    }
    if job.pending_intent.is_none() {
        let window = context.config.intent_window.max(1);
        let below = task.saturating_add(window).min(job.spec.tasks);
        let record = JournalRecord::Intent { job: job.id.nonce, below };
        let position = queue.journal.append(record);
        queue.jobs[key].pending_intent = Some((position, below));
    }
    true
}

/// Chooses racks for tasks. The result is shorter than `tasks` if not all can be placed.
pub(super) fn choose_racks(
    queue: &TeamQueue,
    key: JobKey,
    tasks: &[u32],
    context: &mut QueueContext<'_>,
) -> Vec<TaskChoice> {
    let need = queue.jobs[key].spec.resources;
    let mut choices = Vec::with_capacity(tasks.len());
    let (mut used, mut used_tasks) = (queue.running, queue.running_tasks);
    let start = context.free_capacity.checkpoint();
    for &task in tasks {
        used = used.saturating_add(need);
        used_tasks += 1;
        let Some(choice) = choose_rack(queue, key, task, used, used_tasks, context) else { break };
        context.free_capacity.reserve(&choice.rack, need);
        choices.push(choice);
    }
    if choices.len() < tasks.len() {
        context.free_capacity.restore(start);
    }
    choices
}

fn choose_rack(
    queue: &TeamQueue,
    key: JobKey,
    task: u32,
    used: Resources,
    used_tasks: u32,
    context: &mut QueueContext<'_>,
) -> Option<TaskChoice> {
    let view = context.view;
    let limit = view.team(&queue.team)?.limit;
    if used_tasks > limit.tasks || !limit.resources.covers(used) {
        return None;
    }
    let is_entitled = is_entitled(queue, used, context);
    if !is_entitled && view.is_other_team_starved(&queue.team) {
        return None;
    }
    let spec = &queue.jobs[key].spec;
    let draw = context.out.draw();
    match context.free_capacity.choose(spec.resources, is_entitled, draw, view.now) {
        RackChoice::Free(rack) => {
            Some(TaskChoice { task, rack, is_entitled, has_free_capacity: true })
        }
        RackChoice::Preempting(rack) => {
            Some(TaskChoice { task, rack, is_entitled, has_free_capacity: false })
        }
        RackChoice::Unavailable => None,
    }
}

/// Returns whether the team stays within its entitlement while it uses `used`.
///
/// The guaranteed part of the entitlement needs no exchange of demand: a team is always entitled
/// to its weight among all teams.
fn is_entitled(queue: &TeamQueue, used: Resources, context: &QueueContext<'_>) -> bool {
    let share = used.dominant_share(context.view.cell_capacity);
    let entitlement = context.view.entitlement(&queue.team);
    share <= entitlement + SHARE_EPSILON
}

/// Adds one task to the batch and counts its attempt.
pub(super) fn send_task(
    queue: &mut TeamQueue,
    key: JobKey,
    choice: &TaskChoice,
    mode: PlaceMode,
    batch: &mut PlaceBatch,
    context: &mut QueueContext<'_>,
) {
    let sequence = queue.take_sequence();
    let epoch = queue.epoch;
    let job = &mut queue.jobs[key];
    let number = job.next_attempt_number;
    job.next_attempt_number += 1;
    let spec = &job.spec;
    let id = AttemptId { job: job.id.clone(), task: choice.task, epoch, number };
    let order = PlaceOrder {
        attempt: id.clone(),
        resources: spec.resources,
        kind: spec.kind,
        priority: spec.priority,
        is_entitled: choice.is_entitled,
        idempotent: spec.idempotent,
        expected_ms: spec.expected_ms,
        payload: spec.payload.clone(),
        mode,
    };
    let attempt = AttemptEntry {
        id,
        job: Some(key),
        resources: order.resources,
        rack: choice.rack.clone(),
        rack_epoch: rack_epoch(&choice.rack, context),
        stage: AttemptStage::Placing,
        idempotent: order.idempotent,
        ask_at: Some(context.view.now.plus(STATUS_POLL_MS)),
        stopping_at: None,
        sequence,
    };
    queue.insert_attempt(attempt);
    if choice.has_free_capacity {
        context.free_capacity.record_sent(&choice.rack, context.view.now);
    }
    batch.orders.entry(choice.rack.clone()).or_default().push(order);
    batch.count += 1;
}

fn rack_epoch(rack: &RackName, context: &QueueContext<'_>) -> Epoch {
    context.view.epoch(&PieceName::Rack(rack.clone()))
}

impl PlaceBatch {
    /// Sends one message per rack. Tasks that cannot be sent have not started and are requeued.
    fn send(self, queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
        for (rack, orders) in self.orders {
            context.out.count("queue.placed", orders.len() as u64);
            let Some(owner) = context.view.reachable_owner(&rack) else {
                requeue_unsent(queue, &orders, context);
                continue;
            };
            let (team, epoch) = (queue.team.clone(), queue.epoch);
            context.out.send(owner, PeerMessage::Place { team, epoch, rack, orders });
        }
    }
}

fn requeue_unsent(queue: &mut TeamQueue, orders: &[PlaceOrder], context: &mut QueueContext<'_>) {
    for order in orders {
        if let Some(&key) = queue.by_attempt.get(&order.attempt) {
            completion::requeue_unstarted(queue, key, context);
        }
    }
}

/// Parks a job that cannot run under the current limits and workers; returns whether it did.
fn park_if_impossible(queue: &mut TeamQueue, key: JobKey, context: &QueueContext<'_>) -> bool {
    let reason = impossible_reason(queue, key, context);
    queue.jobs[key].parked = reason;
    if reason.is_some() {
        queue.parked.insert(key);
    }
    reason.is_some()
}

fn impossible_reason(
    queue: &TeamQueue,
    key: JobKey,
    context: &QueueContext<'_>,
) -> Option<&'static str> {
    let spec = &queue.jobs[key].spec;
    let Some(team) = context.view.team(&queue.team) else {
        return Some("the team is not in the manifest");
    };
    let tasks = if spec.kind == WorkKind::Gang { spec.tasks } else { 1 };
    let needed = spec.resources.checked_mul(tasks.into()).unwrap_or(spec.resources);
    if tasks > team.limit.tasks || !team.limit.resources.covers(needed) {
        return Some("it exceeds the team's upper limit on its own");
    }
    if !context.free_capacity.fits_any_worker(spec.resources) {
        return Some("no worker could ever hold a task of this size");
    }
    None
}

/// Checks parked jobs again and unparks those that can run now.
pub(super) fn recheck_parked(queue: &mut TeamQueue, context: &QueueContext<'_>) {
    let parked: Vec<JobKey> = queue.parked.iter().copied().collect();
    for key in parked {
        let is_parked = queue.jobs.contains_key(key)
            && queue.jobs[key].parked.is_some()
            && park_if_impossible(queue, key, context);
        if !is_parked {
            queue.parked.remove(&key);
            queue.update_indexes(key);
        }
    }
}
