//! Handles placement outcomes, status reports and ends of attempts, and completes tasks and jobs.
//!
//! An attempt leaves the table and stops counting against the upper limit only on proof that it
//! does not run: a refusal, an end, or a `Void` report under the rack epoch that it was sent under.

use {
    super::{
        AttemptKey, JobKey, QueueContext,
        attempt::AttemptStage,
        gang,
        job::TaskStage,
        record::JournalRecord,
        team::{OrphanEnd, PendingAck, TeamPhase, TeamQueue},
    },
    damaskrack_model::{
        AnswerReason, AttemptId, CallId, Epoch, OutcomeKind, RackName, TaskResult, WorkAnswer,
        WorkKind,
    },
    damaskrack_ownership::{PieceName, VoidOutcome, resolve_void_attempt},
    damaskrack_policy::backoff_ms,
    damaskrack_wire::{AttemptPhase, EndedNotice, PeerMessage, PlaceOutcome, ReportedAttempt},
};

/// Number of failed attempts after which a task of an idempotent job fails.
const MAX_FAILURES: u32 = 3;
/// Interval at which the status of an unconfirmed attempt is polled, in milliseconds.
pub(super) const STATUS_POLL_MS: u64 = 1_000;
/// Time for which an ended job that a caller may query is retained, in milliseconds.
const RETAIN_MS: u64 = 3_600_000;
/// Time for which an answered request without an idempotency key is retained, in milliseconds.
const RETAIN_REQUEST_MS: u64 = 30_000;
/// Time for which an answered request is retained if its entry has not confirmed the answer, in
/// milliseconds.
const RETAIN_UNCONFIRMED_MS: u64 = 600_000;
/// Age from which a repeated submission may refer to a job that has been removed, in
/// milliseconds.
pub(super) const MAX_RESUBMIT_AGE_MS: u64 = RETAIN_UNCONFIRMED_MS / 2;
/// Maximum number of ended jobs that are retained after their answers were confirmed.
const MAX_RETAINED: usize = 5_000;
/// Maximum size of a retained output, in bytes; longer outputs are truncated.
const MAX_OUTPUT_BYTES: usize = 64 << 10;

/// Next step of a task whose attempt is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskStep {
    /// The task ends with this outcome.
    End(OutcomeKind),
    /// The task is retried immediately.
    Requeue,
    /// The task is retried after a backoff.
    Backoff,
}

/// Handles a rack owner's outcomes of placements.
pub(super) fn on_placed(
    queue: &mut TeamQueue,
    outcomes: Vec<(AttemptId, PlaceOutcome)>,
    context: &mut QueueContext<'_>,
) {
    for (id, outcome) in outcomes {
        let Some(&key) = queue.by_attempt.get(&id) else { continue };
        let rack = queue.attempts[key].rack.clone();
        context.free_capacity.record_response(&rack, context.view.now);
        match outcome {
            PlaceOutcome::Started(_) => mark_started(queue, key, context),
            PlaceOutcome::Held(_) => {
                if queue.attempts[key].stage == AttemptStage::Placing {
                    queue.set_attempt_stage(key, AttemptStage::Held);
                    queue.schedule_status_poll(key, None);
                }
                gang::start_if_complete(queue, key, context);
            }
            PlaceOutcome::Refused(_) => {
                context.free_capacity.record_refusal(&rack, context.view.now);
                context.out.count("queue.place_refused", 1);
                requeue_unstarted(queue, key, context);
            }
        }
    }
}

fn mark_started(queue: &mut TeamQueue, key: AttemptKey, context: &mut QueueContext<'_>) {
    let attempt = &queue.attempts[key];
    let is_stopping = attempt.stopping_at.is_some();
    if attempt.stage != AttemptStage::Running {
        if let Some(job) = attempt.job.and_then(|job| queue.jobs.get(job)) {
            let millis = context.view.now.since(job.accepted_at);
            context.out.timing("queue.wait", millis);
        }
        context.out.count("queue.started", 1);
        queue.set_attempt_stage(key, AttemptStage::Running);
        if is_stopping {
            // The attempt started before its release arrived, so it must be stopped instead.
            stop_attempts(queue, &[key], context);
        }
    }
    if !is_stopping {
        queue.schedule_status_poll(key, None);
    }
}

/// Removes an attempt that never started and requeues its task.
pub(super) fn requeue_unstarted(
    queue: &mut TeamQueue,
    key: AttemptKey,
    context: &mut QueueContext<'_>,
) {
    if queue.redundant.contains_key(&key) {
        return remove_redundant(queue, key, context);
    }
    let Some(attempt) = queue.remove_attempt(key) else { return };
    let result = TaskResult::NeverStarted;
    let end = AttemptEnd { task: attempt.id.task, result, output: "", is_unrequested: false };
    complete_attempt(queue, attempt.job, end, context);
}

/// Handles status reports of polled attempts.
pub(super) fn on_phases(
    queue: &mut TeamQueue,
    rack: &RackName,
    epoch: Epoch,
    rows: Vec<ReportedAttempt>,
    context: &mut QueueContext<'_>,
) {
    for row in rows {
        let Some(&key) = queue.by_attempt.get(&row.attempt) else { continue };
        match row.phase {
            AttemptPhase::Running => mark_started(queue, key, context),
            AttemptPhase::Held if queue.attempts[key].stage == AttemptStage::Placing => {
                queue.set_attempt_stage(key, AttemptStage::Held);
                queue.schedule_status_poll(key, None);
                gang::start_if_complete(queue, key, context);
            }
            AttemptPhase::Held | AttemptPhase::Pending | AttemptPhase::Starting => {}
            AttemptPhase::Ended { result, output } => {
                let notice =
                    EndedNotice { attempt: row.attempt, result, output, is_displaced: false };
                on_ended(queue, rack, notice, context);
            }
            AttemptPhase::Void => on_unknown_attempt(queue, key, epoch, context),
        }
    }
}

/// Handles the report that a rack does not know an attempt.
///
/// Under the rack epoch that the attempt was sent under, this proves that it never ran. Under a
/// later epoch it may have run on a worker that has been lost since.
fn on_unknown_attempt(
    queue: &mut TeamQueue,
    key: AttemptKey,
    epoch: Epoch,
    context: &mut QueueContext<'_>,
) {
    let attempt = &queue.attempts[key];
    let was_running = attempt.stage == AttemptStage::Running;
    let outcome = resolve_void_attempt(attempt.rack_epoch, epoch, was_running);
    if outcome == VoidOutcome::NeverRan || queue.redundant.contains_key(&key) {
        return requeue_unstarted(queue, key, context);
    }
    if let Some(attempt) = queue.remove_attempt(key) {
        let output = "its worker was lost";
        let result = TaskResult::Lapsed;
        let end = AttemptEnd { task: attempt.id.task, result, output, is_unrequested: true };
        complete_attempt(queue, attempt.job, end, context);
    }
}

/// Handles the end of an attempt.
pub(super) fn on_ended(
    queue: &mut TeamQueue,
    rack: &RackName,
    notice: EndedNotice,
    context: &mut QueueContext<'_>,
) {
    if !queue.knows_jobs() {
        return;
    }
    let EndedNotice { attempt: id, result, output, is_displaced } = notice;
    let mut job = queue.find_job(&id.job);
    let mut is_unrequested = !is_displaced;
    if let Some(&key) = queue.by_attempt.get(&id)
        && queue.redundant.contains_key(&key)
    {
        remove_redundant(queue, key, context);
        return acknowledge(queue, rack, id, context);
    } else if let Some(&key) = queue.by_attempt.get(&id)
        && let Some(attempt) = queue.remove_attempt(key)
    {
        is_unrequested &= attempt.stopping_at.is_none();
        job = attempt.job.or(job);
    } else if is_duplicate_end(queue, job, &id) {
        return acknowledge(queue, rack, id, context);
    }
    let Some(key) = job else {
        return keep_orphan_end(queue, rack, id, result, output, context);
    };
    if id.epoch < queue.epoch {
        queue.inherited_ends.insert(id.clone());
    }
    dequeue_task(queue, key, id.task);
    let end = AttemptEnd { task: id.task, result, output: &output, is_unrequested };
    complete_attempt(queue, Some(key), end, context);
    acknowledge(queue, rack, id, context);
}

/// Removes a redundant attempt; a gang may have waited for its end.
fn remove_redundant(queue: &mut TeamQueue, key: AttemptKey, context: &mut QueueContext<'_>) {
    let job = queue.redundant.get(&key).copied();
    queue.remove_attempt(key);
    if let Some(job) = job.filter(|&job| queue.jobs.contains_key(job)) {
        gang::restart_if_unwound(queue, job, context);
        queue.update_indexes(job);
        finish_if_ended(queue, job, context);
    }
}

/// Returns whether the end of an attempt that is not in the table was handled before.
///
/// An attempt of this owner leaves the table only when its outcome is known. One of a former owner
/// may appear after the reconciliation of attempts, but only once, and never for a gang, which is
/// either complete by then or runs again as a whole.
fn is_duplicate_end(queue: &TeamQueue, job: Option<JobKey>, id: &AttemptId) -> bool {
    let is_waiting =
        job.is_none_or(|job| queue.jobs[job].stage(id.task) == Some(TaskStage::Waiting));
    let is_own = id.epoch == queue.epoch && job.is_some();
    let is_gang = job.is_some_and(|job| queue.jobs[job].spec.kind == WorkKind::Gang);
    let is_former_run = is_gang && matches!(queue.phase, TeamPhase::Active);
    !is_waiting || is_own || is_former_run || queue.inherited_ends.contains(id)
}

/// Removes a waiting task from its job's queue because it has an attempt.
fn dequeue_task(queue: &mut TeamQueue, key: JobKey, task: u32) {
    let job = &mut queue.jobs[key];
    if job.stage(task) == Some(TaskStage::Waiting) {
        job.queued.retain(|queued| *queued != task);
        job.backoff.retain(|(_, queued)| *queued != task);
    }
}

/// Keeps the end of an unknown job's attempt without acknowledging it, as long as the job's entry
/// may still submit the job again.
fn keep_orphan_end(
    queue: &mut TeamQueue,
    rack: &RackName,
    id: AttemptId,
    result: TaskResult,
    output: String,
    context: &mut QueueContext<'_>,
) {
    let nonce = id.job.nonce;
    let is_outdated = queue
        .orphan_ends
        .get(&nonce)
        .is_some_and(|known| (known.attempt.epoch, known.attempt.number) > (id.epoch, id.number));
    if is_outdated {
        return send_ack(rack, id, context);
    }
    let since = context.view.now;
    let end = OrphanEnd { attempt: id, rack: rack.clone(), result, output, since };
    queue.orphan_ends.insert(nonce, end);
}

/// Acknowledges the end of an attempt; for a journalled job, once the journal is durable up to
/// here.
fn acknowledge(
    queue: &mut TeamQueue,
    rack: &RackName,
    attempt: AttemptId,
    context: &mut QueueContext<'_>,
) {
    let is_journalled =
        queue.find_job(&attempt.job).is_some_and(|key| queue.jobs[key].is_journalled);
    if is_journalled {
        let position = queue.last_position();
        queue.pending_acks.push_back(PendingAck { position, rack: rack.clone(), attempt });
    } else {
        send_ack(rack, attempt, context);
    }
}

/// Sends the pending acknowledgements whose journal records are durable.
pub(super) fn send_durable_acks(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let durable = queue.journal.durable_position();
    while queue.pending_acks.front().is_some_and(|ack| ack.position <= durable) {
        let Some(ack) = queue.pending_acks.pop_front() else { break };
        send_ack(&ack.rack, ack.attempt, context);
    }
}

fn send_ack(rack: &RackName, attempt: AttemptId, context: &mut QueueContext<'_>) {
    let piece = PieceName::Rack(rack.clone());
    if let Some(owner) = context.view.owner(&piece) {
        let message = PeerMessage::EndedAck { rack: rack.clone(), attempts: vec![attempt] };
        context.out.send(owner, message);
    }
}

/// End of an attempt.
#[derive(Debug, Clone, Copy)]
struct AttemptEnd<'a> {
    task: u32,
    result: TaskResult,
    output: &'a str,
    /// Whether the scheduler neither stopped nor preempted the attempt.
    is_unrequested: bool,
}

/// Advances the task of an attempt that is over.
fn complete_attempt(
    queue: &mut TeamQueue,
    job: Option<JobKey>,
    end: AttemptEnd<'_>,
    context: &mut QueueContext<'_>,
) {
    let Some(key) = job.filter(|&key| queue.jobs.contains_key(key)) else { return };
    if end.result != TaskResult::NeverStarted {
        queue.jobs[key].attempted.insert(end.task);
    }
    if queue.jobs[key].spec.kind == WorkKind::Gang {
        gang::complete_gang_task(queue, key, end.task, end.result, end.output, context);
    } else {
        let step = next_task_step(queue, key, end.task, end.result, end.is_unrequested);
        apply_task_step(queue, key, end.task, step, end.output, context);
    }
    queue.update_indexes(key);
    finish_if_ended(queue, key, context);
}

fn next_task_step(
    queue: &mut TeamQueue,
    key: JobKey,
    task: u32,
    result: TaskResult,
    is_unrequested: bool,
) -> TaskStep {
    let job = &mut queue.jobs[key];
    let is_service = job.spec.kind == WorkKind::Service;
    let is_request = job.spec.kind == WorkKind::Request;
    if result == TaskResult::NeverStarted {
        let outcome = job.unstarted_outcome(task);
        return if job.is_cancelled { TaskStep::End(outcome) } else { TaskStep::Requeue };
    }
    if job.is_cancelled && result != TaskResult::Succeeded {
        return TaskStep::End(OutcomeKind::Failed);
    }
    match result {
        TaskResult::Succeeded if !is_service => return TaskStep::End(OutcomeKind::Done),
        TaskResult::Failed if is_request => return TaskStep::End(OutcomeKind::Failed),
        TaskResult::Failed if !job.spec.idempotent => return TaskStep::End(OutcomeKind::Failed),
        TaskResult::Stopped if !job.spec.idempotent => return TaskStep::End(OutcomeKind::Failed),
        TaskResult::Lapsed if !job.spec.idempotent => return TaskStep::End(OutcomeKind::Unknown),
        TaskResult::Stopped if !is_unrequested => return TaskStep::Requeue,
        _ => {}
    }
    if is_service {
        return TaskStep::Backoff;
    }
    let failures = job.failures.entry(task).or_default();
    *failures += 1;
    if *failures >= MAX_FAILURES {
        return TaskStep::End(OutcomeKind::Failed);
    }
    if result == TaskResult::Failed { TaskStep::Backoff } else { TaskStep::Requeue }
}

fn apply_task_step(
    queue: &mut TeamQueue,
    key: JobKey,
    task: u32,
    step: TaskStep,
    output: &str,
    context: &mut QueueContext<'_>,
) {
    match step {
        TaskStep::Requeue => queue.jobs[key].requeue(task),
        TaskStep::Backoff => {
            let failures = queue.jobs[key].failures.get(&task).copied().unwrap_or(1);
            let delay_ms = backoff_ms(failures, context.out.draw());
            queue.jobs[key].requeue_at(task, context.view.now.plus(delay_ms));
            context.out.count("queue.retries", 1);
        }
        TaskStep::End(outcome) => end_task(queue, key, task, outcome, output),
    }
}

/// Ends a task with a final outcome.
pub(super) fn end_task(
    queue: &mut TeamQueue,
    key: JobKey,
    task: u32,
    outcome: OutcomeKind,
    output: &str,
) {
    let job = &mut queue.jobs[key];
    job.set_stage(task, TaskStage::Ended(outcome));
    if job.spec.kind == WorkKind::Request || outcome != OutcomeKind::Done {
        let mut end = output.len().min(MAX_OUTPUT_BYTES);
        while !output.is_char_boundary(end) {
            end -= 1;
        }
        output[..end].clone_into(&mut job.output);
    }
    // An idempotent gang may run again as a whole, so its tasks are journalled when all have
    // ended.
    let is_idempotent_gang = job.spec.kind == WorkKind::Gang && job.spec.idempotent;
    if !job.is_journalled || is_idempotent_gang {
        return;
    }
    let nonce = job.id.nonce;
    let text = job.output.clone();
    let is_request = job.spec.kind == WorkKind::Request;
    queue.append_ended(nonce, task, outcome);
    if is_request && !text.is_empty() {
        queue.journal.append(JournalRecord::Output { job: nonce, text });
    }
}

/// Completes a job whose tasks have all ended, and answers its callers.
pub(super) fn finish_if_ended(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) {
    let Some(job) = queue.jobs.get_mut(key) else { return };
    if !job.is_ended() || job.ended_at.is_some() {
        return;
    }
    job.ended_at = Some(context.view.now);
    if job.spec.kind == WorkKind::Request {
        queue.request_load.count_end();
    }
    if job.is_journalled {
        // Ends of started tasks were journalled as they happened; this adds tasks that never
        // started.
        for record in job.ended_ranges() {
            queue.journal.append(record);
        }
    }
    let is_retained = job.is_journalled || job.idempotency_key.is_some();
    let retain_ms = if is_retained { RETAIN_MS } else { RETAIN_REQUEST_MS };
    queue.retained.push_back((context.view.now.plus(retain_ms), key));
    context.out.count("queue.ended", 1);
    answer_callers(queue, key, context);
}

/// Answers the callers of a job if there is something to answer yet.
pub(super) fn answer_callers(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) {
    let Some(job) = queue.jobs.get_mut(key) else { return };
    let answer = match (job.is_waiting, job.outcome()) {
        (true, Some(outcome)) => end_answer(outcome, &job.output, job.is_cancelled),
        (true, None) => return,
        (false, Some(outcome)) if job.accept_position > 0 => {
            end_answer(outcome, &job.output, job.is_cancelled)
        }
        (false, _) if job.accept_position > 0 => return,
        (false, Some(OutcomeKind::NotRun)) if !job.is_journalled => {
            end_answer(OutcomeKind::NotRun, &job.output, job.is_cancelled)
        }
        (false, _) => {
            WorkAnswer::new(OutcomeKind::Done, AnswerReason::Accepted, "").with_status(job.status())
        }
    };
    let answer = answer.with_job(job.id.clone());
    let copy = job.copy;
    for (member, call) in std::mem::take(&mut job.callers) {
        job.unconfirmed.push(call);
        queue.answered_calls.insert(call, key);
        let message = PeerMessage::Answer { call, copy, answer: answer.clone() };
        context.out.send(&member, message);
    }
}

fn end_answer(outcome: OutcomeKind, output: &str, is_cancelled: bool) -> WorkAnswer {
    let reason = match outcome {
        OutcomeKind::Done => AnswerReason::Ok,
        OutcomeKind::Failed => AnswerReason::TaskFailed,
        OutcomeKind::NotRun if output.is_empty() && is_cancelled => AnswerReason::Cancelled,
        OutcomeKind::NotRun => AnswerReason::DeadlinePassed,
        OutcomeKind::Unknown => AnswerReason::Lost,
    };
    WorkAnswer::new(outcome, reason, output)
}

/// Removes ended jobs and orphan ends whose retention time has passed.
pub(super) fn remove_expired(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    while let Some(&(until, key)) = queue.retained.front() {
        let is_crowded = queue.retained.len() > MAX_RETAINED;
        if until > context.view.now && !is_crowded {
            break;
        }
        queue.retained.pop_front();
        let Some(job) = queue.jobs.get(key) else { continue };
        let last = job.ended_at.unwrap_or(until).plus(RETAIN_UNCONFIRMED_MS);
        if !job.unconfirmed.is_empty() && context.view.now < last {
            queue.retained.push_back((context.view.now.plus(RETAIN_REQUEST_MS), key));
            if is_crowded {
                break;
            }
            continue;
        }
        if job.is_journalled {
            let nonce = job.id.nonce;
            queue.journal.append(JournalRecord::Forget { job: nonce });
        }
        queue.remove_job(key);
    }
    let now = context.view.now;
    let is_old = |end: &mut OrphanEnd| now.since(end.since) >= RETAIN_REQUEST_MS;
    let old: Vec<_> = queue.orphan_ends.extract_if(|_, end| is_old(end)).collect();
    for (_, end) in old {
        send_ack(&end.rack, end.attempt, context);
    }
}

/// Attaches the attempts and the end that a former owner left behind to a new job.
pub(super) fn adopt_orphans(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) {
    let nonce = queue.jobs[key].id.nonce;
    // Running attempts come first: an end next to one belongs to an earlier attempt.
    for attempt in queue.orphan_attempts.remove(&nonce).unwrap_or_default() {
        if queue.attempts.contains_key(attempt) {
            attach_attempt(queue, key, attempt);
        }
    }
    queue.update_indexes(key);
    if let Some(end) = queue.orphan_ends.remove(&nonce) {
        let OrphanEnd { attempt, rack, result, output, .. } = end;
        let notice = EndedNotice { attempt, result, output, is_displaced: false };
        on_ended(queue, &rack, notice, context);
    }
}

/// Handles an entry's confirmation that it received an answer.
pub(super) fn on_answer_ack(queue: &mut TeamQueue, call: CallId) {
    if let Some(job) = queue.answered_calls.remove(&call).and_then(|key| queue.jobs.get_mut(key)) {
        job.unconfirmed.retain(|known| *known != call);
    }
}

/// Attaches an attempt to its task if the task is waiting.
pub(super) fn attach_attempt(queue: &mut TeamQueue, job: JobKey, attempt: AttemptKey) {
    let task = queue.attempts[attempt].id.task;
    if queue.jobs[job].stage(task) != Some(TaskStage::Waiting) {
        return;
    }
    queue.attempts[attempt].job = Some(job);
    dequeue_task(queue, job, task);
    queue.jobs[job].set_stage(task, TaskStage::Active(attempt));
}

/// Asks racks to stop attempts, or to release those that have not started.
pub(super) fn stop_attempts(
    queue: &mut TeamQueue,
    attempts: &[AttemptKey],
    context: &mut QueueContext<'_>,
) {
    for &key in attempts {
        let now = context.view.now;
        let Some(attempt) = queue.attempts.get_mut(key) else { continue };
        attempt.stopping_at = Some(now);
        let rack = attempt.rack.clone();
        let ids = vec![attempt.id.clone()];
        let is_started = attempt.stage == AttemptStage::Running;
        queue.schedule_status_poll(key, Some(now.plus(STATUS_POLL_MS)));
        let (team, epoch) = (queue.team.clone(), queue.epoch);
        let piece = PieceName::Rack(rack.clone());
        let Some(owner) = context.view.owner(&piece) else { continue };
        let message = if is_started {
            PeerMessage::StopAttempts { team, epoch, rack, attempts: ids }
        } else {
            PeerMessage::Release { team, epoch, rack, attempts: ids }
        };
        context.out.send(owner, message);
    }
}
