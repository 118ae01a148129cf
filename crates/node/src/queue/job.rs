//! Jobs and the state of their tasks.

use {
    super::{AttemptKey, record::AcceptRecord, record::JournalRecord},
    damaskrack_model::{
        CallId, ClockTime, JobId, JobState, JobStatus, MemberName, OutcomeKind, WorkKind, WorkSpec,
    },
    damaskrack_ownership::is_provably_unstarted,
    rustc_hash::{FxHashMap, FxHashSet},
    serde::Serialize,
    std::collections::VecDeque,
};

/// Stage of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) enum TaskStage {
    /// It is queued or in backoff.
    Waiting,
    /// It has an attempt.
    Active(AttemptKey),
    /// It ended with this outcome.
    Ended(OutcomeKind),
}

/// Stage of a gang as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) enum GangStage {
    /// No capacity is held.
    Idle,
    /// Capacity is being held; the holds are released at this time.
    Holding(ClockTime),
    /// Every task has been asked to start.
    Started,
    /// The run of the gang failed; its attempts are being stopped.
    Unwinding,
}

/// Number of tasks by stage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(super) struct TaskCounts {
    pub(super) waiting: u32,
    pub(super) active: u32,
    pub(super) done: u32,
    pub(super) failed: u32,
    pub(super) not_run: u32,
    pub(super) unknown: u32,
}

/// A job of a team.
#[derive(Debug)]
pub(super) struct JobEntry {
    pub(super) id: JobId,
    pub(super) spec: WorkSpec,
    pub(super) idempotency_key: Option<String>,
    /// Whether it is recorded in the journal.
    pub(super) is_journalled: bool,
    /// Journal position of its acceptance; 0 if it is not journalled or already durable.
    pub(super) accept_position: u64,
    pub(super) accepted_at: ClockTime,
    pub(super) deadline_at: Option<ClockTime>,
    /// Position in the order of arrival.
    pub(super) sequence: u64,
    tasks: Vec<TaskStage>,
    pub(super) counts: TaskCounts,
    /// Tasks that can be started, in starting order.
    pub(super) queued: VecDeque<u32>,
    /// Tasks in backoff, with the time at which it ends.
    pub(super) backoff: Vec<(ClockTime, u32)>,
    /// Number of failed attempts by task.
    pub(super) failures: FxHashMap<u32, u32>,
    /// Tasks of which an attempt may have run.
    pub(super) attempted: FxHashSet<u32>,
    /// Whether a former owner may have started tasks of it.
    pub(super) is_inherited: bool,
    /// Tasks below this index may be started, because their intent is durable or none is needed.
    pub(super) intent_below: u32,
    /// Journal position and upper index of an intent that is not durable yet.
    pub(super) pending_intent: Option<(u64, u32)>,
    /// Calls that wait for the acceptance or the end of the job.
    pub(super) callers: Vec<(MemberName, CallId)>,
    /// Highest copy number of the submission that arrived.
    pub(super) copy: u32,
    /// Answered calls whose entries have not confirmed the answer.
    pub(super) unconfirmed: Vec<CallId>,
    /// Whether the callers wait for the end rather than for the acceptance.
    pub(super) is_waiting: bool,
    pub(super) is_cancelled: bool,
    pub(super) gang: GangStage,
    /// Number of a former owner's attempts whose tasks have ended or run elsewhere.
    pub(super) redundant: u32,
    pub(super) next_attempt_number: u32,
    /// Output, or the reason for the outcome.
    pub(super) output: String,
    pub(super) ended_at: Option<ClockTime>,
    /// Reason why it is parked, if it is.
    pub(super) parked: Option<&'static str>,
    /// Earliest time of the next dispatch.
    pub(super) not_before: ClockTime,
}

impl JobEntry {
    pub(super) fn new(id: JobId, spec: WorkSpec, sequence: u64, now: ClockTime) -> Self {
        let tasks = spec.tasks;
        let intent_below = if spec.idempotent { u32::MAX } else { 0 };
        let deadline_at = (spec.deadline_ms > 0).then(|| now.plus(spec.deadline_ms));
        Self {
            id,
            is_waiting: spec.kind == WorkKind::Request,
            spec,
            idempotency_key: None,
            is_journalled: false,
            accept_position: 0,
            accepted_at: now,
            deadline_at,
            sequence,
            tasks: vec![TaskStage::Waiting; tasks as usize],
            counts: TaskCounts { waiting: tasks, ..TaskCounts::default() },
            queued: (0..tasks).collect(),
            backoff: Vec::new(),
            failures: FxHashMap::default(),
            attempted: FxHashSet::default(),
            is_inherited: false,
            intent_below,
            pending_intent: None,
            callers: Vec::new(),
            copy: 0,
            unconfirmed: Vec::new(),
            is_cancelled: false,
            gang: GangStage::Idle,
            redundant: 0,
            next_attempt_number: 0,
            output: String::new(),
            ended_at: None,
            parked: None,
            not_before: now,
        }
    }

    /// Returns the stage of a task; `None` if the job has no such task.
    pub(super) fn stage(&self, task: u32) -> Option<TaskStage> {
        self.tasks.get(task as usize).copied()
    }

    /// Moves a task to another stage and updates the counts.
    pub(super) fn set_stage(&mut self, task: u32, stage: TaskStage) {
        let Some(slot) = self.tasks.get_mut(task as usize) else { return };
        let previous = std::mem::replace(slot, stage);
        *self.count_mut(previous) -= 1;
        *self.count_mut(stage) += 1;
    }

    fn count_mut(&mut self, stage: TaskStage) -> &mut u32 {
        match stage {
            TaskStage::Waiting => &mut self.counts.waiting,
            TaskStage::Active(_) => &mut self.counts.active,
            TaskStage::Ended(OutcomeKind::Done) => &mut self.counts.done,
            TaskStage::Ended(OutcomeKind::Failed) => &mut self.counts.failed,
            TaskStage::Ended(OutcomeKind::NotRun) => &mut self.counts.not_run,
            TaskStage::Ended(OutcomeKind::Unknown) => &mut self.counts.unknown,
        }
    }

    /// Puts a task that is to be retried at the front of the queue.
    pub(super) fn requeue(&mut self, task: u32) {
        self.set_stage(task, TaskStage::Waiting);
        self.queued.push_front(task);
    }

    /// Puts a task into backoff until `at`.
    pub(super) fn requeue_at(&mut self, task: u32, at: ClockTime) {
        self.set_stage(task, TaskStage::Waiting);
        self.backoff.push((at, task));
    }

    /// Requeues the tasks whose backoff has passed; returns whether there were any.
    pub(super) fn requeue_due(&mut self, now: ClockTime) -> bool {
        let (due, rest): (Vec<_>, Vec<_>) = self.backoff.drain(..).partition(|(at, _)| *at <= now);
        self.backoff = rest;
        self.queued.extend(due.iter().map(|(_, task)| *task));
        !due.is_empty()
    }

    /// Ends every waiting task, as `NotRun` if that is provably true.
    pub(super) fn end_waiting_tasks(&mut self) {
        self.queued.clear();
        self.backoff.clear();
        for task in 0..self.spec.tasks {
            if self.stage(task) == Some(TaskStage::Waiting) {
                self.set_stage(task, TaskStage::Ended(self.unstarted_outcome(task)));
            }
        }
    }

    /// Returns the outcome of a waiting task that will not be started any more.
    ///
    /// `NotRun` guarantees that no worker ever received the task. It is not used for a task that
    /// was attempted or that a former owner may have attempted.
    pub(super) fn unstarted_outcome(&self, task: u32) -> OutcomeKind {
        let was_attempted = self.attempted.contains(&task);
        let has_intent = !self.lacks_intent(task);
        let (is_inherited, is_idempotent) = (self.is_inherited, self.spec.idempotent);
        if is_provably_unstarted(was_attempted, is_inherited, is_idempotent, has_intent) {
            OutcomeKind::NotRun
        } else if was_attempted {
            OutcomeKind::Failed
        } else {
            OutcomeKind::Unknown
        }
    }

    /// Rebuilds the queue from the task stages after the journal has been replayed.
    pub(super) fn requeue_waiting(&mut self) {
        self.backoff.clear();
        self.queued = (0..self.spec.tasks)
            .filter(|&task| self.stage(task) == Some(TaskStage::Waiting))
            .collect();
    }

    /// Resets every task to waiting, including those that succeeded, since a gang runs as a whole.
    pub(super) fn restart_all(&mut self) {
        for stage in &mut self.tasks {
            *stage = TaskStage::Waiting;
        }
        self.counts = TaskCounts { waiting: self.spec.tasks, ..TaskCounts::default() };
        self.queued = (0..self.spec.tasks).collect();
        self.backoff.clear();
    }

    /// Returns the attempts of the active tasks.
    pub(super) fn attempts(&self) -> impl Iterator<Item = AttemptKey> {
        self.tasks.iter().filter_map(|stage| match stage {
            TaskStage::Active(key) => Some(*key),
            _ => None,
        })
    }

    /// Returns whether every task has ended.
    pub(super) fn is_ended(&self) -> bool {
        self.counts.waiting == 0 && self.counts.active == 0
    }

    /// Returns the outcome of the job, or `None` while it has not ended.
    pub(super) fn outcome(&self) -> Option<OutcomeKind> {
        if !self.is_ended() {
            return None;
        }
        let counts = self.counts;
        Some(match counts {
            TaskCounts { unknown: 1.., .. } => OutcomeKind::Unknown,
            TaskCounts { failed: 1.., .. } => OutcomeKind::Failed,
            TaskCounts { done: 0, not_run: 1.., .. } => OutcomeKind::NotRun,
            TaskCounts { not_run: 1.., .. } => OutcomeKind::Failed,
            _ => OutcomeKind::Done,
        })
    }

    /// Returns the job's status for its callers.
    pub(super) fn status(&self) -> JobStatus {
        let state = match (self.is_ended(), self.parked) {
            (true, _) => JobState::Ended,
            (_, Some(_)) => JobState::Parked,
            _ if self.counts.waiting == self.spec.tasks => JobState::Queued,
            _ => JobState::Running,
        };
        let detail = self.parked.map_or_else(|| self.output.clone(), str::to_owned);
        JobStatus {
            job: self.id.clone(),
            state,
            queued: self.counts.waiting,
            running: self.counts.active,
            done: self.counts.done,
            failed: self.counts.failed,
            not_run: self.counts.not_run,
            unknown: self.counts.unknown,
            outcome: self.outcome(),
            detail,
        }
    }

    /// Returns whether the intent to start a task must be journalled but is not durable yet.
    pub(super) fn lacks_intent(&self, task: u32) -> bool {
        task >= self.intent_below
    }

    /// Returns the job's records for a snapshot.
    pub(super) fn snapshot_records(&self) -> Vec<JournalRecord> {
        let job = self.id.nonce;
        let mut records = vec![JournalRecord::Accept(Box::new(self.accept_record()))];
        let intent = self.pending_intent.map_or(self.intent_below, |(_, below)| below);
        if !self.spec.idempotent && intent > 0 {
            records.push(JournalRecord::Intent { job, below: intent });
        }
        if self.is_cancelled {
            records.push(JournalRecord::Cancel { job });
        }
        let is_idempotent_gang = self.spec.kind == WorkKind::Gang && self.spec.idempotent;
        if !is_idempotent_gang || self.is_ended() {
            records.extend(self.ended_ranges());
        }
        if self.is_ended() && !self.output.is_empty() {
            records.push(JournalRecord::Output { job, text: self.output.clone() });
        }
        records
    }

    /// Returns the record of the job's acceptance.
    pub(super) fn accept_record(&self) -> AcceptRecord {
        AcceptRecord {
            job: self.id.nonce,
            queue: self.id.queue.clone(),
            idempotency_key: self.idempotency_key.clone(),
            caller: self.callers.first().cloned(),
            deadline_at: self.deadline_at,
            spec: self.spec.clone(),
        }
    }

    /// Returns one record per range of ended tasks with the same outcome.
    pub(super) fn ended_ranges(&self) -> Vec<JournalRecord> {
        let job = self.id.nonce;
        let mut runs: Vec<(u32, u32, OutcomeKind)> = Vec::new();
        for (task, stage) in (0u32..).zip(&self.tasks) {
            let TaskStage::Ended(outcome) = *stage else { continue };
            match runs.last_mut() {
                Some((_, to, known)) if *to == task && *known == outcome => *to += 1,
                _ => runs.push((task, task + 1, outcome)),
            }
        }
        runs.into_iter()
            .map(|(from, to, outcome)| JournalRecord::Ended { job, from, to, outcome })
            .collect()
    }
}
