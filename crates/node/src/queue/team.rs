//! State of one team's queues.

use {
    super::{
        AttemptKey, JobKey,
        attempt::{AttemptEntry, AttemptStage},
        job::{JobEntry, TaskStage},
        load::RequestLoad,
        record::JournalRecord,
    },
    damaskrack_model::{
        AttemptId, CallId, ClockTime, Epoch, JobId, MemberName, OutcomeKind, PriorityClass,
        QueueName, RackName, Resources, TaskResult, TeamName, WorkKind,
    },
    damaskrack_ownership::JournalWriter,
    damaskrack_wire::SubmitOrder,
    rustc_hash::{FxHashMap, FxHashSet},
    slotmap::SlotMap,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
    },
};

/// Progress of a team's takeover.
#[derive(Debug)]
pub(super) enum TeamPhase {
    /// The journal is being read.
    Loading { call: u64, retry_at: ClockTime },
    /// The takeover record is being written; it fences the former owner's journal.
    Fencing,
    /// Running attempts are being reconciled; the `missing` racks have not reported yet.
    RollCall { missing: BTreeSet<RackName>, ask_at: ClockTime, since: ClockTime },
    /// All running attempts are known, so work may be started.
    Active,
    /// Another owner has written to the journal; this one has stopped.
    Fenced,
}

/// Order in which ready jobs start: by class, then kind, then arrival.
pub(super) type ReadyOrder = (Reverse<PriorityClass>, u8, u64);

/// An ended attempt whose job is not known here yet.
#[derive(Debug)]
pub(super) struct OrphanEnd {
    pub(super) attempt: AttemptId,
    pub(super) rack: RackName,
    pub(super) result: TaskResult,
    pub(super) output: String,
    pub(super) since: ClockTime,
}

/// A submission that cannot be handled before the takeover has progressed.
#[derive(Debug)]
pub(super) struct DeferredSubmit {
    pub(super) from: MemberName,
    pub(super) call: CallId,
    pub(super) order: SubmitOrder,
}

/// The end of an attempt, to be acknowledged once the journal is durable up to `position`.
#[derive(Debug)]
pub(super) struct PendingAck {
    pub(super) position: u64,
    pub(super) rack: RackName,
    pub(super) attempt: AttemptId,
}

/// Jobs, attempts, indexes and journal of one team that this daemon owns.
#[derive(Debug)]
pub(super) struct TeamQueue {
    pub(super) team: TeamName,
    pub(super) epoch: Epoch,
    pub(super) phase: TeamPhase,
    /// Whether the team is about to be released.
    pub(super) is_frozen: bool,
    pub(super) journal: JournalWriter<JournalRecord>,
    /// Journal write in flight; 0 if none.
    pub(super) journal_call: u64,
    /// When a failed journal write is retried.
    pub(super) journal_retry_at: ClockTime,
    pub(super) jobs: SlotMap<JobKey, JobEntry>,
    pub(super) by_nonce: FxHashMap<u64, JobKey>,
    pub(super) by_idempotency_key: FxHashMap<(QueueName, String), JobKey>,
    /// Jobs with tasks that can be started.
    pub(super) ready: BTreeMap<ReadyOrder, JobKey>,
    /// Jobs with tasks in backoff.
    pub(super) backing_off: BTreeSet<JobKey>,
    pub(super) parked: BTreeSet<JobKey>,
    /// Gangs that hold capacity and have not started.
    pub(super) holding_gangs: BTreeSet<JobKey>,
    pub(super) deadlines: BTreeSet<(ClockTime, JobKey)>,
    /// Jobs whose acceptance is not durable yet, by journal position.
    pub(super) unaccepted: BTreeSet<(u64, JobKey)>,
    /// Cancellations to be answered once they are durable, with their journal positions.
    pub(super) pending_cancels: Vec<(u64, JobKey, MemberName, CallId)>,
    /// Ended jobs that are retained, oldest first, with the time until which they are.
    pub(super) retained: VecDeque<(ClockTime, JobKey)>,
    pub(super) attempts: SlotMap<AttemptKey, AttemptEntry>,
    pub(super) by_attempt: FxHashMap<AttemptId, AttemptKey>,
    /// Scheduled status polls of attempts.
    pub(super) status_polls: BTreeSet<(ClockTime, AttemptKey)>,
    pub(super) orphan_ends: FxHashMap<u64, OrphanEnd>,
    /// Attempts of former owners whose end has been handled.
    pub(super) inherited_ends: FxHashSet<AttemptId>,
    /// Attempts of a former owner whose jobs are not known here yet, by the job's nonce.
    pub(super) orphan_attempts: FxHashMap<u64, Vec<AttemptKey>>,
    /// Attempts whose tasks have ended or run elsewhere, with their jobs.
    pub(super) redundant: FxHashMap<AttemptKey, JobKey>,
    /// Answered calls whose entries have not confirmed the answer, with their jobs.
    pub(super) answered_calls: FxHashMap<CallId, JobKey>,
    /// Jobs that were returned to their entries, by nonce, with the highest copy that was returned.
    pub(super) returned: FxHashMap<u64, u32>,
    /// First segment of each epoch; trimming keeps these.
    pub(super) epoch_segments: Vec<u64>,
    /// Segments with lower numbers have been trimmed.
    pub(super) trimmed_below: u64,
    pub(super) deferred: Vec<DeferredSubmit>,
    pub(super) pending_acks: VecDeque<PendingAck>,
    /// Resources of all attempts.
    pub(super) running: Resources,
    pub(super) running_tasks: u32,
    pub(super) next_sequence: u64,
    /// Payload bytes of all journalled jobs.
    journalled_bytes: usize,
    /// Backlog and completion rate of requests.
    pub(super) request_load: RequestLoad,
}

/// Returns the rank of a kind within a class; requests come first because their callers wait.
fn kind_rank(kind: WorkKind) -> u8 {
    match kind {
        WorkKind::Request => 0,
        WorkKind::Service => 1,
        WorkKind::Gang => 2,
        WorkKind::Batch => 3,
    }
}

impl TeamQueue {
    pub(super) fn new(team: TeamName, epoch: Epoch) -> Self {
        Self {
            team,
            epoch,
            phase: TeamPhase::Loading { call: 0, retry_at: ClockTime::default() },
            is_frozen: false,
            journal: JournalWriter::new(epoch, 1),
            journal_call: 0,
            journal_retry_at: ClockTime::default(),
            jobs: SlotMap::with_key(),
            by_nonce: FxHashMap::default(),
            by_idempotency_key: FxHashMap::default(),
            ready: BTreeMap::new(),
            backing_off: BTreeSet::new(),
            parked: BTreeSet::new(),
            holding_gangs: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            unaccepted: BTreeSet::new(),
            pending_cancels: Vec::new(),
            retained: VecDeque::new(),
            attempts: SlotMap::with_key(),
            by_attempt: FxHashMap::default(),
            status_polls: BTreeSet::new(),
            orphan_ends: FxHashMap::default(),
            inherited_ends: FxHashSet::default(),
            orphan_attempts: FxHashMap::default(),
            answered_calls: FxHashMap::default(),
            redundant: FxHashMap::default(),
            returned: FxHashMap::default(),
            epoch_segments: Vec::new(),
            trimmed_below: 0,
            deferred: Vec::new(),
            pending_acks: VecDeque::new(),
            running: Resources::ZERO,
            running_tasks: 0,
            next_sequence: 0,
            journalled_bytes: 0,
            request_load: RequestLoad::default(),
        }
    }

    /// Returns whether work may be placed.
    pub(super) fn is_active(&self) -> bool {
        matches!(self.phase, TeamPhase::Active) && !self.is_frozen
    }

    /// Returns whether the journal has been read and fenced, so that the team's jobs are known.
    pub(super) fn knows_jobs(&self) -> bool {
        matches!(self.phase, TeamPhase::RollCall { .. } | TeamPhase::Active)
    }

    /// Returns the journal position of the last appended record.
    pub(super) fn last_position(&self) -> u64 {
        self.journal.appended_position()
    }

    /// Appends the end of a task to the journal.
    pub(super) fn append_ended(&mut self, job: u64, task: u32, outcome: OutcomeKind) {
        self.journal.append(JournalRecord::Ended { job, from: task, to: task + 1, outcome });
    }

    /// Returns the payload bytes of all journalled jobs.
    pub(super) fn journalled_bytes(&self) -> usize {
        self.journalled_bytes
    }

    /// Returns the store key prefix of the team's journal.
    pub(super) fn journal_prefix(&self) -> String {
        format!("journal/{}/", self.team)
    }

    /// Returns the next number in the order of jobs and attempts.
    pub(super) fn take_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// Finds a job by its id.
    pub(super) fn find_job(&self, id: &JobId) -> Option<JobKey> {
        self.by_nonce.get(&id.nonce).copied().filter(|&key| self.jobs[key].id == *id)
    }

    /// Adds a job to every index.
    pub(super) fn insert_job(&mut self, job: JobEntry) -> JobKey {
        let nonce = job.id.nonce;
        let index = job.idempotency_key.clone().map(|key| (job.id.queue.clone(), key));
        let deadline = job.deadline_at;
        if job.is_journalled {
            self.journalled_bytes += job.spec.payload.len();
        }
        let key = self.jobs.insert(job);
        self.by_nonce.insert(nonce, key);
        if let Some(index) = index {
            self.by_idempotency_key.insert(index, key);
        }
        if let Some(at) = deadline {
            self.deadlines.insert((at, key));
        }
        self.update_indexes(key);
        key
    }

    /// Removes a job from every index.
    pub(super) fn remove_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.is_journalled {
            self.journalled_bytes = self.journalled_bytes.saturating_sub(job.spec.payload.len());
        }
        let order = ready_order(job);
        let is_request = job.spec.kind == WorkKind::Request;
        let nonce = job.id.nonce;
        let index = job.idempotency_key.clone().map(|name| (job.id.queue.clone(), name));
        let deadline = job.deadline_at;
        self.by_nonce.remove(&nonce);
        if let Some(index) = index {
            self.by_idempotency_key.remove(&index);
        }
        if let Some(at) = deadline {
            self.deadlines.remove(&(at, key));
        }
        for call in &job.unconfirmed {
            self.answered_calls.remove(call);
        }
        self.remove_ready(order, is_request);
        self.backing_off.remove(&key);
        self.parked.remove(&key);
        self.unaccepted.retain(|(_, job)| *job != key);
        self.jobs.remove(key);
    }

    /// Updates the indexes of a job after a change of its tasks.
    pub(super) fn update_indexes(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        let order = ready_order(job);
        let is_accepted = job.accept_position == 0;
        let is_gang_idle =
            job.spec.kind != WorkKind::Gang || job.gang == super::job::GangStage::Idle;
        let is_ready =
            !job.queued.is_empty() && job.parked.is_none() && is_accepted && is_gang_idle;
        let is_backing_off = !job.backoff.is_empty();
        let is_request = job.spec.kind == WorkKind::Request;
        if is_ready {
            let is_new = self.ready.insert(order, key).is_none();
            self.request_load.waiting += usize::from(is_new && is_request);
        } else {
            self.remove_ready(order, is_request);
        }
        if is_backing_off {
            self.backing_off.insert(key);
        } else {
            self.backing_off.remove(&key);
        }
    }

    fn remove_ready(&mut self, order: ReadyOrder, is_request: bool) {
        let was_ready = self.ready.remove(&order).is_some();
        self.request_load.waiting -= usize::from(was_ready && is_request);
    }

    /// Adds an attempt, which counts against the upper limit.
    pub(super) fn insert_attempt(&mut self, attempt: AttemptEntry) -> AttemptKey {
        self.running = self.running.saturating_add(attempt.resources);
        self.running_tasks += 1;
        let id = attempt.id.clone();
        let (job, task, ask_at) = (attempt.job, attempt.id.task, attempt.ask_at);
        let key = self.attempts.insert(attempt);
        self.by_attempt.insert(id, key);
        if let Some(at) = ask_at {
            self.status_polls.insert((at, key));
        }
        if let Some(job) = job.and_then(|job| self.jobs.get_mut(job)) {
            job.set_stage(task, TaskStage::Active(key));
        }
        key
    }

    /// Removes an attempt, which no longer counts against the upper limit. The caller must update
    /// its task.
    pub(super) fn remove_attempt(&mut self, key: AttemptKey) -> Option<AttemptEntry> {
        let attempt = self.attempts.remove(key)?;
        self.by_attempt.remove(&attempt.id);
        if let Some(job) = self.redundant.remove(&key).and_then(|job| self.jobs.get_mut(job)) {
            job.redundant -= 1;
        }
        self.running = self.running.saturating_sub(attempt.resources);
        self.running_tasks -= 1;
        if let Some(at) = attempt.ask_at {
            self.status_polls.remove(&(at, key));
        }
        Some(attempt)
    }

    /// Marks an attempt as redundant: its task has ended or runs elsewhere.
    pub(super) fn add_redundant(&mut self, job: JobKey, attempt: AttemptKey) {
        self.redundant.insert(attempt, job);
        self.jobs[job].redundant += 1;
    }

    /// Schedules the next status poll of an attempt, or none.
    pub(super) fn schedule_status_poll(&mut self, key: AttemptKey, at: Option<ClockTime>) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if let Some(former) = std::mem::replace(&mut attempt.ask_at, at) {
            self.status_polls.remove(&(former, key));
        }
        if let Some(at) = at {
            self.status_polls.insert((at, key));
        }
    }

    /// Moves an attempt to another stage.
    pub(super) fn set_attempt_stage(&mut self, key: AttemptKey, stage: AttemptStage) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.stage = stage;
        }
    }
}

/// Returns the position of a job among the ready ones.
pub(super) fn ready_order(job: &JobEntry) -> ReadyOrder {
    (Reverse(job.spec.priority), kind_rank(job.spec.kind), job.sequence)
}
