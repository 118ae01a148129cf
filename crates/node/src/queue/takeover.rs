//! Takes over a team from its former owner.
//!
//! First, the journal is read and a takeover record is appended, which fences the former owner's
//! journal. Then running attempts are reconciled (the roll call): every rack raises the team's
//! epoch, so that the former owner can start nothing more, and reports the team's attempts, so
//! that they are counted. Only then is new work started.

use {
    super::{
        JobKey, QueueContext, accept,
        attempt::{AttemptEntry, AttemptStage},
        completion,
        job::{GangStage, JobEntry, TaskStage},
        record::{AcceptRecord, JournalRecord},
        team::{TeamPhase, TeamQueue},
    },
    crate::LogLevel,
    damaskrack_model::{Epoch, JobId, MemberName, OutcomeKind, RackName, WorkKind},
    damaskrack_outside::{StoreCall, StoreError, StoreReply},
    damaskrack_ownership::{
        JournalSegment, JournalWriter, MissingTaskStep, PieceName, resolve_missing_task,
    },
    damaskrack_wire::{AttemptPhase, EndedNotice, PeerMessage, ReportedAttempt},
    std::collections::{BTreeMap, BTreeSet},
};

/// Delay after a failed read, in milliseconds.
const RETRY_MS: u64 = 200;
/// Interval at which racks that have not responded are asked again, in milliseconds.
const RECONCILIATION_RETRY_MS: u64 = 500;

/// Advances the takeover.
pub(super) fn run(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let now = context.view.now;
    match &queue.phase {
        TeamPhase::Loading { call: 0, retry_at } if now >= *retry_at => {
            let request = StoreCall::List { prefix: queue.journal_prefix() };
            let call = context.out.store(request, context.config.store_timeout_ms);
            queue.phase = TeamPhase::Loading { call, retry_at: now };
        }
        TeamPhase::Fencing if queue.journal.durable_position() > 0 => {
            begin_reconciliation(queue, context);
        }
        TeamPhase::Fencing if queue.journal.is_fenced() => reload_journal(queue, context),
        TeamPhase::RollCall { missing, .. } if missing.is_empty() => activate(queue, context),
        TeamPhase::RollCall { ask_at, .. } if now >= *ask_at => {
            request_reconciliation(queue, context);
        }
        _ => {}
    }
}

/// Restarts the takeover because the former owner wrote another segment after the journal was read.
fn reload_journal(queue: &mut TeamQueue, context: &QueueContext<'_>) {
    let deferred = std::mem::take(&mut queue.deferred);
    *queue = TeamQueue::new(queue.team.clone(), queue.epoch);
    queue.deferred = deferred;
    queue.phase = TeamPhase::Loading { call: 0, retry_at: context.view.now };
}

/// Returns whether a store call is this team's read of its journal.
pub(super) fn is_loading_call(queue: &TeamQueue, wanted: u64) -> bool {
    matches!(queue.phase, TeamPhase::Loading { call, .. } if call == wanted)
}

/// Handles the result of reading the journal.
pub(super) fn on_journal_loaded(
    queue: &mut TeamQueue,
    result: Result<StoreReply, StoreError>,
    context: &mut QueueContext<'_>,
) {
    let Ok(StoreReply::Entries { entries, .. }) = result else {
        let retry_at = context.view.now.plus(RETRY_MS);
        queue.phase = TeamPhase::Loading { call: 0, retry_at };
        return;
    };
    let (mut last, mut epoch) = (0, Epoch::default());
    let mut records = Vec::new();
    for entry in entries {
        let number = entry.key.rsplit('/').next().and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let segment = JournalSegment::<JournalRecord>::from_json(&entry.value);
        let (Some(number), Ok(segment)) = (number, segment) else {
            context.out.log(LogLevel::Error, "journal_malformed", &[("key", &entry.key)]);
            continue;
        };
        last = last.max(number);
        if segment.epoch > epoch {
            epoch = segment.epoch;
            queue.epoch_segments.push(number);
        }
        if segment.is_snapshot {
            records.clear();
        }
        records.extend(segment.records);
    }
    for record in records {
        replay(queue, record, context);
    }
    queue.epoch_segments.push(last + 1);
    queue.journal = JournalWriter::new(queue.epoch, last + 1);
    queue.journal.append(JournalRecord::Takeover);
    queue.phase = TeamPhase::Fencing;
}

fn replay(queue: &mut TeamQueue, record: JournalRecord, context: &QueueContext<'_>) {
    match record {
        JournalRecord::Takeover => {}
        JournalRecord::Accept(record) => replay_accept(queue, *record, context),
        JournalRecord::Intent { job, below } => {
            if let Some(job) = find_by_nonce(queue, job) {
                job.intent_below = job.intent_below.max(below);
            }
        }
        JournalRecord::Ended { job, from, to, outcome } => {
            if let Some(job) = find_by_nonce(queue, job) {
                for task in from..to {
                    job.set_stage(task, TaskStage::Ended(outcome));
                }
            }
        }
        JournalRecord::Output { job, text } => {
            if let Some(job) = find_by_nonce(queue, job) {
                job.output = text;
            }
        }
        JournalRecord::Cancel { job } => {
            if let Some(job) = find_by_nonce(queue, job) {
                job.is_cancelled = true;
            }
        }
        JournalRecord::Forget { job } => {
            if let Some(key) = queue.by_nonce.get(&job).copied() {
                queue.remove_job(key);
            }
        }
    }
}

fn find_by_nonce(queue: &mut TeamQueue, nonce: u64) -> Option<&mut JobEntry> {
    queue.by_nonce.get(&nonce).copied().and_then(|key| queue.jobs.get_mut(key))
}

fn replay_accept(queue: &mut TeamQueue, record: AcceptRecord, context: &QueueContext<'_>) {
    let id = JobId { team: queue.team.clone(), queue: record.queue, nonce: record.job };
    let sequence = queue.take_sequence();
    let mut job = JobEntry::new(id, record.spec, sequence, context.view.now);
    job.deadline_at = record.deadline_at;
    job.idempotency_key = record.idempotency_key;
    job.is_journalled = true;
    job.is_inherited = true;
    job.callers.extend(record.caller.filter(|_| job.is_waiting));
    if job.spec.kind == WorkKind::Request {
        job.intent_below = u32::MAX;
    }
    queue.insert_job(job);
}

/// Starts the reconciliation of attempts with every rack.
fn begin_reconciliation(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let missing: BTreeSet<RackName> = context
        .view
        .owners
        .keys()
        .filter_map(|piece| match piece {
            PieceName::Rack(rack) => Some(rack.clone()),
            PieceName::Team(_) => None,
        })
        .collect();
    let since = context.view.now;
    queue.phase = TeamPhase::RollCall { missing, ask_at: since, since };
    request_reconciliation(queue, context);
    resume_deferred(queue, context);
}

/// Handles deferred submissions again; some may be deferred once more.
fn resume_deferred(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    for deferred in std::mem::take(&mut queue.deferred) {
        accept::on_submit(queue, &deferred.from, deferred.call, deferred.order, context);
    }
}

fn request_reconciliation(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let TeamPhase::RollCall { missing, ask_at, .. } = &mut queue.phase else { return };
    *ask_at = context.view.now.plus(RECONCILIATION_RETRY_MS);
    let mut by_owner: BTreeMap<&MemberName, Vec<RackName>> = BTreeMap::new();
    for rack in missing.iter() {
        if let Some(owner) = context.view.owner(&PieceName::Rack(rack.clone())) {
            by_owner.entry(owner).or_default().push(rack.clone());
        }
    }
    for (owner, racks) in by_owner {
        let (team, epoch) = (queue.team.clone(), queue.epoch);
        context.out.send(owner, PeerMessage::RollCall { team, epoch, racks });
    }
}

/// Handles a rack's report of its attempts.
pub(super) fn on_reconciliation_response(
    queue: &mut TeamQueue,
    epoch: Epoch,
    rack: &RackName,
    rows: Vec<ReportedAttempt>,
    context: &mut QueueContext<'_>,
) {
    if epoch != queue.epoch {
        return;
    }
    let TeamPhase::RollCall { missing, .. } = &mut queue.phase else { return };
    if !missing.remove(rack) {
        return;
    }
    for row in rows {
        adopt_attempt(queue, rack, row, context);
    }
}

fn adopt_attempt(
    queue: &mut TeamQueue,
    rack: &RackName,
    row: ReportedAttempt,
    context: &mut QueueContext<'_>,
) {
    let stage = match row.phase {
        AttemptPhase::Void => return,
        AttemptPhase::Ended { result, output } => {
            let notice = EndedNotice { attempt: row.attempt, result, output, is_displaced: false };
            return completion::on_ended(queue, rack, notice, context);
        }
        AttemptPhase::Running => AttemptStage::Running,
        AttemptPhase::Held | AttemptPhase::Pending | AttemptPhase::Starting => {
            AttemptStage::Placing
        }
    };
    if queue.by_attempt.contains_key(&row.attempt) {
        return;
    }
    let is_unstarted = matches!(row.phase, AttemptPhase::Held | AttemptPhase::Pending);
    let job = queue.find_job(&row.attempt.job);
    let sequence = queue.take_sequence();
    let attempt = AttemptEntry {
        id: row.attempt,
        job: None,
        resources: row.resources,
        rack: rack.clone(),
        rack_epoch: context.view.epoch(&PieceName::Rack(rack.clone())),
        stage,
        idempotent: job.is_none_or(|job| queue.jobs[job].spec.idempotent),
        ask_at: (stage == AttemptStage::Placing)
            .then(|| context.view.now.plus(completion::STATUS_POLL_MS)),
        stopping_at: None,
        sequence,
    };
    let (nonce, task) = (attempt.id.job.nonce, attempt.id.task);
    let key = queue.insert_attempt(attempt);
    match job {
        Some(job) if queue.jobs[job].stage(task) == Some(TaskStage::Waiting) => {
            completion::attach_attempt(queue, job, key);
        }
        Some(job) => {
            queue.add_redundant(job, key);
            completion::stop_attempts(queue, &[key], context);
        }
        None => queue.orphan_attempts.entry(nonce).or_default().push(key),
    }
    if is_unstarted {
        completion::stop_attempts(queue, &[key], context);
    }
}

/// Completes the takeover once every rack has reported.
fn activate(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    if let TeamPhase::RollCall { since, .. } = queue.phase {
        let millis = context.view.now.since(since);
        context.out.timing("queue.roll_call", millis);
    }
    queue.phase = TeamPhase::Active;
    let fields: &[(&'static str, &dyn std::fmt::Display)] =
        &[("team", &queue.team), ("epoch", &queue.epoch.0), ("jobs", &queue.jobs.len())];
    context.out.log(LogLevel::Info, "team_active", fields);
    let keys: Vec<JobKey> = queue.jobs.keys().collect();
    for key in keys {
        resolve_inherited(queue, key, context);
        queue.update_indexes(key);
        completion::finish_if_ended(queue, key, context);
    }
    resume_deferred(queue, context);
}

/// Resolves the tasks of an inherited job that a former owner may have started but no rack knows.
fn resolve_inherited(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) {
    let job = &mut queue.jobs[key];
    if !job.is_inherited {
        return;
    }
    job.requeue_waiting();
    if job.is_ended() {
        return;
    }
    if job.is_cancelled {
        job.end_waiting_tasks();
        let attempts: Vec<_> = job.attempts().collect();
        return completion::stop_attempts(queue, &attempts, context);
    }
    if job.spec.kind == WorkKind::Gang {
        return resolve_gang(queue, key, context);
    }
    let is_lost = |task: &u32| {
        let step = resolve_missing_task(job.spec.idempotent, !job.lacks_intent(*task));
        job.stage(*task) == Some(TaskStage::Waiting) && step == MissingTaskStep::EndUnknown
    };
    let lost: Vec<u32> = (0..job.spec.tasks).filter(is_lost).collect();
    let output = "a former owner may have started it and its result is lost";
    for task in lost {
        completion::end_task(queue, key, task, OutcomeKind::Unknown, output);
    }
    queue.jobs[key].requeue_waiting();
}

/// Resolves an inherited gang. If some of its tasks are missing, an idempotent gang is stopped and
/// runs again; otherwise the missing tasks end as `Unknown`.
fn resolve_gang(queue: &mut TeamQueue, key: JobKey, context: &mut QueueContext<'_>) {
    let job = &mut queue.jobs[key];
    let is_whole = job.counts.active == job.spec.tasks && job.redundant == 0;
    let is_untouched = job.counts.waiting == job.spec.tasks && job.redundant == 0;
    let output = "a former owner may have started it and its result is lost";
    if is_whole {
        job.gang = GangStage::Started;
        job.queued.clear();
    } else if is_untouched && (job.spec.idempotent || job.intent_below == 0) {
        job.gang = GangStage::Idle;
    } else if job.spec.idempotent {
        job.queued.clear();
        super::gang::unwind(queue, key, context);
        super::gang::restart_if_unwound(queue, key, context);
    } else {
        job.queued.clear();
        job.gang = GangStage::Started;
        let waiting: Vec<u32> = (0..job.spec.tasks)
            .filter(|&task| job.stage(task) == Some(TaskStage::Waiting))
            .collect();
        for task in waiting {
            completion::end_task(queue, key, task, OutcomeKind::Unknown, output);
        }
    }
}
