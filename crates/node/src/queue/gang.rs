//! Places gangs: all tasks or none.
//!
//! Racks first hold capacity for every task; the tasks start only once all holds are granted. If a
//! hold is refused or takes too long, all holds of the gang are released, and the next attempt
//! follows after a random backoff. Since no gang keeps holds beyond that timeout, two gangs cannot
//! deadlock.

use {
    super::{
        AttemptKey, JobKey, QueueContext,
        attempt::AttemptStage,
        completion,
        dispatch::{self, PlaceBatch},
        job::{GangStage, TaskStage},
        team::TeamQueue,
    },
    damaskrack_model::{AttemptId, OutcomeKind, RackName, TaskResult},
    damaskrack_ownership::PieceName,
    damaskrack_policy::backoff_ms,
    damaskrack_wire::{PeerMessage, PlaceMode},
    std::collections::BTreeMap,
};

/// Maximum time to hold capacity for a gang, in milliseconds.
const HOLD_TIMEOUT_MS: u64 = 2_500;
/// Minimum backoff between two attempts to place a gang, in milliseconds.
const MIN_BACKOFF_MS: u64 = 100;
/// Number of failed runs after which an idempotent gang fails.
const MAX_FAILURES: u32 = 3;
/// Key of a gang's failure count in the map of failures by task.
const GANG_FAILURE_KEY: u32 = u32::MAX;

/// Tries to place a whole gang. Returns whether holds for all of its tasks were requested.
pub(super) fn place(
    queue: &mut TeamQueue,
    key: JobKey,
    batch: &mut PlaceBatch,
    context: &mut QueueContext<'_>,
) -> bool {
    let job = &queue.jobs[key];
    if job.queued.len() < job.spec.tasks as usize || context.view.now < job.not_before {
        return false;
    }
    let tasks: Vec<u32> = job.queued.iter().copied().collect();
    let choices = dispatch::choose_racks(queue, key, &tasks, context);
    if choices.len() < tasks.len() {
        let delay_ms = MIN_BACKOFF_MS + backoff_ms(1, context.out.draw());
        queue.jobs[key].not_before = context.view.now.plus(delay_ms);
        return false;
    }
    queue.jobs[key].queued.clear();
    for choice in choices {
        dispatch::send_task(queue, key, &choice, PlaceMode::Hold, batch, context);
    }
    queue.jobs[key].gang = GangStage::Holding(context.view.now.plus(HOLD_TIMEOUT_MS));
    queue.holding_gangs.insert(key);
    queue.update_indexes(key);
    true
}

/// Starts a gang once capacity is held for all of its tasks.
pub(super) fn start_if_complete(
    queue: &mut TeamQueue,
    key: AttemptKey,
    context: &mut QueueContext<'_>,
) {
    let Some(job_key) = queue.attempts[key].job else { return };
    let Some(job) = queue.jobs.get(job_key) else { return };
    if !matches!(job.gang, GangStage::Holding(_)) || job.is_cancelled {
        return;
    }
    let attempts: Vec<AttemptKey> = job.attempts().collect();
    let is_complete = attempts.len() == job.spec.tasks as usize
        && attempts
            .iter()
            .all(|&attempt_key| queue.attempts[attempt_key].stage == AttemptStage::Held);
    if !is_complete {
        return;
    }
    queue.jobs[job_key].gang = GangStage::Started;
    let mut by_rack: BTreeMap<RackName, Vec<AttemptId>> = BTreeMap::new();
    for attempt_key in attempts {
        let attempt = &queue.attempts[attempt_key];
        by_rack.entry(attempt.rack.clone()).or_default().push(attempt.id.clone());
        queue.set_attempt_stage(attempt_key, AttemptStage::Placing);
        queue.schedule_status_poll(
            attempt_key,
            Some(context.view.now.plus(completion::STATUS_POLL_MS)),
        );
    }
    for (rack, attempts) in by_rack {
        let (team, epoch) = (queue.team.clone(), queue.epoch);
        if let Some(owner) = context.view.owner(&PieceName::Rack(rack.clone())) {
            context.out.send(owner, PeerMessage::Commit { team, epoch, rack, attempts });
        }
    }
}

/// Handles the end of one task's attempt.
pub(super) fn complete_gang_task(
    queue: &mut TeamQueue,
    key: JobKey,
    task: u32,
    result: TaskResult,
    output: &str,
    context: &mut QueueContext<'_>,
) {
    match result {
        TaskResult::Succeeded => completion::end_task(queue, key, task, OutcomeKind::Done, output),
        TaskResult::NeverStarted => queue.jobs[key].set_stage(task, TaskStage::Waiting),
        _ if queue.jobs[key].spec.idempotent => {
            queue.jobs[key].set_stage(task, TaskStage::Waiting);
            count_failure(queue, key, result, output);
        }
        TaskResult::Lapsed => completion::end_task(queue, key, task, OutcomeKind::Unknown, output),
        TaskResult::Failed | TaskResult::Stopped => {
            completion::end_task(queue, key, task, OutcomeKind::Failed, output);
        }
    }
    if result != TaskResult::Succeeded {
        unwind(queue, key, context);
    }
    restart_if_unwound(queue, key, context);
}

fn count_failure(queue: &mut TeamQueue, key: JobKey, result: TaskResult, output: &str) {
    let job = &mut queue.jobs[key];
    // Tasks that are stopped because the gang unwinds are not further failures.
    if job.gang == GangStage::Unwinding || result == TaskResult::Stopped {
        return;
    }
    *job.failures.entry(GANG_FAILURE_KEY).or_default() += 1;
    output.clone_into(&mut job.output);
}

/// Stops or releases every active attempt of a gang.
pub(super) fn unwind(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) {
    let job = &mut queue.jobs[key];
    if job.gang == GangStage::Unwinding {
        return;
    }
    job.gang = GangStage::Unwinding;
    let attempts: Vec<AttemptKey> = job.attempts().collect();
    completion::stop_attempts(queue, &attempts, context);
}

/// Requeues a gang, or ends it, once none of its attempts is active.
pub(super) fn restart_if_unwound(
    queue: &mut TeamQueue,
    key: JobKey,
    context: &mut QueueContext<'_>,
) {
    let job = &mut queue.jobs[key];
    if job.gang != GangStage::Unwinding || job.counts.active > 0 || job.redundant > 0 {
        return;
    }
    job.gang = GangStage::Idle;
    let failures = job.failures.get(&GANG_FAILURE_KEY).copied().unwrap_or(0);
    let has_ended_tasks = job.counts.done + job.counts.failed + job.counts.unknown > 0;
    let may_repeat = job.spec.idempotent || !has_ended_tasks;
    if job.is_cancelled || failures >= MAX_FAILURES || !may_repeat {
        cancel_remaining(queue, key);
        return;
    }
    job.restart_all();
    let delay_ms = MIN_BACKOFF_MS + backoff_ms(failures + 1, context.out.draw());
    job.not_before = context.view.now.plus(delay_ms);
}

fn cancel_remaining(queue: &mut TeamQueue, key: JobKey) {
    let job = &mut queue.jobs[key];
    job.is_cancelled = true;
    job.end_waiting_tasks();
}

/// Unwinds gangs that have held capacity for too long.
pub(super) fn expire_holds(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let now = context.view.now;
    let late: Vec<JobKey> = queue
        .holding_gangs
        .iter()
        .copied()
        .filter(|&key| match queue.jobs.get(key).map(|job| (job.gang, job.is_cancelled)) {
            Some((GangStage::Holding(until), is_cancelled)) => until <= now || is_cancelled,
            _ => false,
        })
        .collect();
    for key in late {
        context.out.count("queue.gang_holds_expired", 1);
        unwind(queue, key, context);
        restart_if_unwound(queue, key, context);
        queue.update_indexes(key);
        completion::finish_if_ended(queue, key, context);
    }
    let jobs = &queue.jobs;
    queue
        .holding_gangs
        .retain(|&key| jobs.get(key).is_some_and(|job| matches!(job.gang, GangStage::Holding(_))));
}
