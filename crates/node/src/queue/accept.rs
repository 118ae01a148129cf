//! Handles submissions, status queries and cancellations from entries.

use {
    super::{
        JobKey, QueueContext, completion,
        job::JobEntry,
        record::JournalRecord,
        team::{DeferredSubmit, TeamPhase, TeamQueue},
    },
    crate::refusal::WorkRefusal,
    damaskrack_model::{
        AnswerReason, CallId, JobId, MemberName, OutcomeKind, WorkAnswer, WorkKind, WorkSpec,
    },
    damaskrack_ownership::{SubmissionInput, SubmissionStep, classify_submission, may_have_run},
    damaskrack_wire::{PeerMessage, SubmitOrder},
};

/// Maximum number of submissions that are deferred until the takeover is complete.
const MAX_DEFERRED: usize = 2_000;
/// Maximum number of journal records that wait to be written.
const MAX_PENDING_RECORDS: usize = 20_000;
/// Maximum payload bytes of one team's journalled jobs, so that a snapshot fits into one store
/// value.
const MAX_JOURNALLED_BYTES: usize = 512 << 10;

/// How a submission is handled.
enum SubmitStep {
    /// The job is known; the caller is added to it.
    Join(JobKey),
    /// The job is new.
    Accept,
    /// The submission is refused.
    Refuse(WorkRefusal),
    /// A former owner may have started the job, and its result is lost.
    Lost,
}

/// Handles a submission.
pub(super) fn on_submit(
    queue: &mut TeamQueue,
    from: &MemberName,
    call: CallId,
    order: SubmitOrder,
    context: &mut QueueContext<'_>,
) {
    let is_stale = order.first_epoch.is_some_and(|epoch| epoch > queue.epoch);
    // Returning a copy to the entry also returned all earlier copies, including those in flight.
    let is_returned = queue.returned.get(&order.nonce).is_some_and(|&copy| order.copy <= copy);
    let is_released =
        queue.is_frozen || is_stale || is_returned || matches!(queue.phase, TeamPhase::Fenced);
    if is_released && !queue.by_nonce.contains_key(&order.nonce) {
        context.out.send(
            from,
            PeerMessage::NotOwner { call, copy: order.copy, is_given_back: false, owner: None },
        );
        return;
    }
    if must_defer(queue, &order) {
        if queue.deferred.len() < MAX_DEFERRED {
            queue.deferred.push(DeferredSubmit { from: from.clone(), call, order });
        }
        return;
    }
    let reply_to = from.clone();
    match next_submit_step(queue, &order, context) {
        SubmitStep::Join(key) => {
            queue.jobs[key].copy = queue.jobs[key].copy.max(order.copy);
            join_job(queue, key, reply_to, call, context);
        }
        SubmitStep::Accept => accept_job(queue, reply_to, call, &order, context),
        SubmitStep::Refuse(refusal) => {
            context.out.count("queue.refused", 1);
            let answer = refusal.into_answer();
            context.out.send(from, PeerMessage::Answer { call, copy: order.copy, answer });
        }
        SubmitStep::Lost => {
            let id = job_id(queue, &order);
            let answer = lost_answer().with_job(id);
            context.out.send(from, PeerMessage::Answer { call, copy: order.copy, answer });
        }
    }
}

/// Returns whether a submission must be deferred: until the journal has been read or, for work that
/// a former owner may have started, until running attempts have been reconciled.
fn must_defer(queue: &TeamQueue, order: &SubmitOrder) -> bool {
    let is_active = matches!(queue.phase, TeamPhase::Active);
    let is_known = queue.by_nonce.contains_key(&order.nonce);
    !queue.knows_jobs() || (!is_active && !is_known && may_have_run(submission_input(queue, order)))
}

fn job_id(queue: &TeamQueue, order: &SubmitOrder) -> JobId {
    JobId { team: queue.team.clone(), queue: order.queue.clone(), nonce: order.nonce }
}

fn lost_answer() -> WorkAnswer {
    let detail = "a former owner may have started it and its result is lost";
    WorkAnswer::new(OutcomeKind::Unknown, AnswerReason::Lost, detail)
}

fn next_submit_step(
    queue: &TeamQueue,
    order: &SubmitOrder,
    context: &QueueContext<'_>,
) -> SubmitStep {
    if let Some(&key) = queue.by_nonce.get(&order.nonce) {
        return SubmitStep::Join(key);
    }
    if let Some(step) = match_idempotency_key(queue, order) {
        return step;
    }
    let input = submission_input(queue, order);
    match classify_submission(input) {
        SubmissionStep::Adopt => return SubmitStep::Accept,
        SubmissionStep::Lost => return SubmitStep::Lost,
        SubmissionStep::Start => {}
    }
    match check_submit(queue, order, context) {
        Ok(()) => SubmitStep::Accept,
        Err(_) if may_have_run(input) => SubmitStep::Lost,
        Err(refusal) => SubmitStep::Refuse(refusal),
    }
}

fn submission_input(queue: &TeamQueue, order: &SubmitOrder) -> SubmissionInput {
    SubmissionInput {
        first_epoch: order.first_epoch,
        epoch: queue.epoch,
        age_ms: order.age_ms,
        remembered_ms: completion::MAX_RESUBMIT_AGE_MS,
        is_found: queue.orphan_ends.contains_key(&order.nonce)
            || queue.orphan_attempts.contains_key(&order.nonce),
        is_idempotent: order.spec.idempotent,
        is_journalled: is_journalled(order),
    }
}

fn match_idempotency_key(queue: &TeamQueue, order: &SubmitOrder) -> Option<SubmitStep> {
    let name = order.idempotency_key.clone()?;
    let &key = queue.by_idempotency_key.get(&(order.queue.clone(), name))?;
    if is_same_work(&queue.jobs[key].spec, &order.spec) {
        return Some(SubmitStep::Join(key));
    }
    let detail = "the Idempotency-Key was used for other work";
    Some(SubmitStep::Refuse(WorkRefusal::new(AnswerReason::Invalid, detail)))
}

/// Returns whether two submissions are for the same work; their deadlines may differ.
fn is_same_work(left: &WorkSpec, right: &WorkSpec) -> bool {
    left.kind == right.kind
        && left.tasks == right.tasks
        && left.resources == right.resources
        && left.payload == right.payload
}

fn check_submit(
    queue: &TeamQueue,
    order: &SubmitOrder,
    context: &QueueContext<'_>,
) -> Result<(), WorkRefusal> {
    let view = context.view;
    let refuse = |reason, detail: &str| Err(WorkRefusal::new(reason, detail));
    if !view.may_start() {
        return refuse(AnswerReason::Isolated, "the owner cannot prove that it is current");
    }
    let Some(entry) = view.queue(&order.queue).filter(|entry| entry.team == queue.team) else {
        return refuse(AnswerReason::UnknownQueue, "the queue does not exist");
    };
    let is_key_valid = match &order.key {
        Some(key) => view.manifest.keys.is_key_valid(key, &queue.team, view.now.0),
        None => entry.open,
    };
    if !is_key_valid {
        return refuse(AnswerReason::KeyRefused, "the key is not valid any more");
    }
    let Some(team) = view.team(&queue.team) else {
        return refuse(AnswerReason::UnknownQueue, "the team does not exist");
    };
    let spec = &order.spec;
    let needed_tasks = if spec.kind == WorkKind::Gang { spec.tasks } else { 1 };
    let needed = spec.resources.checked_mul(needed_tasks.into()).unwrap_or(spec.resources);
    if needed_tasks > team.limit.tasks || !team.limit.resources.covers(needed) {
        return refuse(AnswerReason::AboveLimit, "it exceeds the team's upper limit on its own");
    }
    if !context.free_capacity.fits_any_worker(spec.resources) {
        return refuse(AnswerReason::TooLarge, "no worker could ever hold a task of this size");
    }
    check_overload(queue, order, context)
}

/// Refuses work that exceeds a load limit. Lower classes are shed earlier: `Low` from half of the
/// maximum number of jobs, `Normal` from nine tenths.
fn check_overload(
    queue: &TeamQueue,
    order: &SubmitOrder,
    context: &QueueContext<'_>,
) -> Result<(), WorkRefusal> {
    let max = context.config.max_jobs_per_team;
    let allowed = match order.spec.priority {
        damaskrack_model::PriorityClass::Low => max / 2,
        damaskrack_model::PriorityClass::Normal => max / 10 * 9,
        damaskrack_model::PriorityClass::Urgent => max,
    };
    if queue.jobs.len() - queue.retained.len() >= allowed {
        let detail = "the team has too many jobs waiting; try again later";
        return Err(WorkRefusal::new(AnswerReason::Overloaded, detail));
    }
    let is_request = order.spec.kind == WorkKind::Request;
    if is_request && queue.request_load.is_overloaded(order.spec.priority, order.spec.deadline_ms) {
        let detail = "the team's requests would wait too long; try again later";
        return Err(WorkRefusal::new(AnswerReason::Overloaded, detail));
    }
    let is_durable = is_journalled(order);
    if is_durable && queue.journal.pending_len() >= MAX_PENDING_RECORDS {
        let detail = "too many writes wait for the store";
        return Err(WorkRefusal::new(AnswerReason::StoreUnavailable, detail));
    }
    if is_durable && queue.journalled_bytes() + order.spec.payload.len() > MAX_JOURNALLED_BYTES {
        let detail = "the team's accepted jobs hold too many payload bytes";
        return Err(WorkRefusal::new(AnswerReason::Overloaded, detail));
    }
    Ok(())
}

/// Returns whether the acceptance of the work must be journalled first.
fn is_journalled(order: &SubmitOrder) -> bool {
    let is_request = order.spec.kind == WorkKind::Request;
    !is_request || (!order.spec.idempotent && order.idempotency_key.is_some())
}

/// Adds a caller to a known job.
fn join_job(
    queue: &mut TeamQueue,
    key: JobKey,
    from: MemberName,
    call: CallId,
    context: &mut QueueContext<'_>,
) {
    let job = &mut queue.jobs[key];
    job.callers.retain(|(_, known)| *known != call);
    job.callers.push((from, call));
    completion::answer_callers(queue, key, context);
}

fn accept_job(
    queue: &mut TeamQueue,
    from: MemberName,
    call: CallId,
    order: &SubmitOrder,
    context: &mut QueueContext<'_>,
) {
    let sequence = queue.take_sequence();
    let mut job =
        JobEntry::new(job_id(queue, order), order.spec.clone(), sequence, context.view.now);
    job.idempotency_key.clone_from(&order.idempotency_key);
    job.is_waiting = order.is_waiting;
    job.copy = order.copy;
    job.callers.push((from, call));
    job.is_inherited = may_have_run(submission_input(queue, order));
    job.is_journalled = is_journalled(order);
    if order.spec.kind == WorkKind::Request {
        // A request has a single task, so a journalled acceptance also serves as its intent.
        job.intent_below = u32::MAX;
    }
    if job.is_journalled {
        let record = JournalRecord::Accept(Box::new(job.accept_record()));
        job.accept_position = queue.journal.append(record);
    }
    let position = job.accept_position;
    let key = queue.insert_job(job);
    if position > 0 {
        queue.unaccepted.insert((position, key));
    }
    context.out.count("queue.accepted", 1);
    completion::adopt_orphans(queue, key, context);
}

/// Answers the callers of jobs whose acceptance or cancellation has become durable.
pub(super) fn confirm_accepted(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let durable = queue.journal.durable_position();
    while let Some(&(position, key)) = queue.unaccepted.first() {
        if position > durable {
            break;
        }
        queue.unaccepted.pop_first();
        if let Some(job) = queue.jobs.get_mut(key) {
            job.accept_position = 0;
        }
        queue.update_indexes(key);
        completion::answer_callers(queue, key, context);
    }
    let due = queue.pending_cancels.extract_if(.., |(position, ..)| *position <= durable);
    for (_, key, member, call) in due.collect::<Vec<_>>() {
        answer_status(queue, key, &member, call, AnswerReason::Cancelled, context);
    }
}

/// Handles a status query.
pub(super) fn on_query(
    queue: &mut TeamQueue,
    from: &MemberName,
    call: CallId,
    id: &JobId,
    context: &mut QueueContext<'_>,
) {
    if !queue.knows_jobs() {
        return;
    }
    match queue.find_job(id) {
        Some(key) => answer_status(queue, key, from, call, AnswerReason::Ok, context),
        None => answer_unknown_job(from, call, context),
    }
}

/// Handles a cancellation. Its cost is proportional to the number of the job's tasks.
pub(super) fn on_cancel(
    queue: &mut TeamQueue,
    from: &MemberName,
    call: CallId,
    id: &JobId,
    context: &mut QueueContext<'_>,
) {
    if !queue.knows_jobs() {
        return;
    }
    let Some(key) = queue.find_job(id) else {
        return answer_unknown_job(from, call, context);
    };
    let position = cancel_job(queue, key, context);
    if position > queue.journal.durable_position() {
        queue.pending_cancels.push((position, key, from.clone(), call));
    } else {
        answer_status(queue, key, from, call, AnswerReason::Cancelled, context);
    }
}

/// Cancels a job. Returns the position of its journal record, or 0 if there is none.
fn cancel_job(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) -> u64 {
    let job = &mut queue.jobs[key];
    if job.is_cancelled || job.is_ended() {
        return 0;
    }
    job.is_cancelled = true;
    job.parked = None;
    job.end_waiting_tasks();
    let nonce = job.id.nonce;
    let position = if job.is_journalled {
        queue.journal.append(JournalRecord::Cancel { job: nonce })
    } else {
        0
    };
    context.out.count("queue.cancelled", 1);
    let attempts: Vec<_> = queue.jobs[key].attempts().collect();
    completion::stop_attempts(queue, &attempts, context);
    queue.update_indexes(key);
    completion::finish_if_ended(queue, key, context);
    position
}

fn answer_status(
    queue: &TeamQueue,
    key: JobKey,
    to: &MemberName,
    call: CallId,
    reason: AnswerReason,
    context: &mut QueueContext<'_>,
) {
    let Some(job) = queue.jobs.get(key) else {
        return answer_unknown_job(to, call, context);
    };
    let answer = WorkAnswer::new(OutcomeKind::Done, reason, "")
        .with_job(job.id.clone())
        .with_status(job.status());
    context.out.send(to, PeerMessage::Answer { call, copy: 0, answer });
}

fn answer_unknown_job(to: &MemberName, call: CallId, context: &mut QueueContext<'_>) {
    let answer = WorkAnswer::refused(AnswerReason::UnknownJob, "there is no such job");
    context.out.send(to, PeerMessage::Answer { call, copy: 0, answer });
}

/// Ends jobs whose deadline has passed.
pub(super) fn expire(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    while let Some(&(at, key)) = queue.deadlines.first() {
        if at > context.view.now {
            break;
        }
        queue.deadlines.pop_first();
        expire_job(queue, key, context);
    }
}

fn expire_job(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) {
    let Some(job) = queue.jobs.get_mut(key) else { return };
    if job.is_ended() || job.spec.kind == WorkKind::Service {
        return;
    }
    let position = job.accept_position;
    job.output = "the deadline passed".to_owned();
    job.is_cancelled = true;
    let nonce = job.id.nonce;
    if position > 0 && queue.journal.withdraw(position) {
        job.is_journalled = false;
        job.accept_position = 0;
    } else if position > 0 {
        // The acceptance is being written to the store. A successor may read it there and start
        // the job, so `NotRun` is not certain.
        job.is_inherited = true;
    }
    job.end_waiting_tasks();
    if job.is_journalled {
        queue.journal.append(JournalRecord::Cancel { job: nonce });
    }
    queue.unaccepted.retain(|(_, job)| *job != key);
    queue.update_indexes(key);
    completion::finish_if_ended(queue, key, context);
}
