//! Inputs and actions of the scheduler.

use {
    crate::{
        AdviceCallKey, AttemptKey, CellConfig, JobCaller, JobKey, JobRecord, JobState, LeaseBound,
        ProgressRecord, ResourceSet, WorkerKey, WorkerSpeedsRecord,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// A worker's registration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// Id, which a later incarnation may reuse.
    pub id: String,
    /// Incarnation: the time at which the process started, in Unix milliseconds.
    pub incarnation: u64,
    /// Service that the worker belongs to.
    pub service: String,
    /// Address, as `host:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Labels: the worker's kind and its rack, in this order.
    pub labels: Vec<String>,
    /// Total resources.
    pub capacity: ResourceSet,
    /// The worker is shutting down and accepts no new work.
    pub is_leaving: bool,
}

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The attempt failed, because of the task or of the worker.
    Failed,
    /// The attempt was stopped, its lease expired, or its gang was incomplete.
    Interrupted,
}

/// An attempt that a worker reports as running.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningAttempt {
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u32,
}

/// An attempt that a worker reports as ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedAttempt {
    /// Sequence number of the end on this worker, counting up by one.
    pub number: u64,
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// How the attempt ended.
    pub kind: EndKind,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's response to a renewal of its leases.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RenewResponse {
    /// Incarnation that responded.
    pub incarnation: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Attempts that run.
    pub running: Vec<RunningAttempt>,
    /// Ended attempts that the leader has not acknowledged, as many as a response has space for.
    pub ended: Vec<EndedAttempt>,
    /// Attempts may be missing: there are more ends than the response has space for, or an entry could
    /// not be read.
    pub is_partial: bool,
    /// Number of the first end that could not be read.
    pub unreadable_end: Option<u64>,
}

/// Why a worker refused to start an attempt; a refusal has no side effects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The attempt's number is not higher than that of an earlier attempt on the worker.
    Stale,
    /// The lease deadline had passed on the worker's clock.
    Late,
    /// The worker's free capacity is too small.
    Full,
    /// The ticket is not valid.
    Ticket,
    /// Another incarnation responded.
    Incarnation,
    /// The worker is unhealthy, or the request never reached it.
    Unavailable,
    /// The worker rejected the request as malformed.
    Invalid,
    /// The daemon that was to send the request did not: it received it too late, or it could not read
    /// the payload.
    Unsent,
}

/// Outcome of a start request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker confirmed the start.
    Started,
    /// The attempt was not started and never will be.
    Refused(StartRefusal),
    /// No usable response: the attempt may have started or may start later.
    Unknown,
}

/// What comes of a start request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartResponse {
    /// Outcome of the request.
    pub outcome: StartOutcome,
    /// Reading of the worker's clock when it responded, in milliseconds; `None` if the response has none. Each
    /// incarnation has a clock of its own.
    pub clock_ms: Option<u64>,
}

impl From<StartOutcome> for StartResponse {
    fn from(outcome: StartOutcome) -> Self {
        Self { outcome, clock_ms: None }
    }
}

/// A worker that the adviser allows to run a step, with its ticket.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTicket {
    /// Id of the worker.
    pub worker: String,
    /// Ticket to send with a start request.
    pub ticket: String,
}

/// Outcome of a lease renewal.
#[derive(Debug, Clone, PartialEq)]
pub enum RenewOutcome {
    /// The worker responded.
    Answered(RenewResponse),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another worker or incarnation has the address.
    Incarnation,
    /// No usable response.
    Unknown,
}

/// A job whose rows the store rejects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedJob {
    /// Id of the job.
    pub id: String,
    /// The job's own row is in the store, and only the others are rejected.
    pub is_stored: bool,
}

/// An event that the scheduler reacts to.
#[derive(Debug, Clone)]
pub enum CellInput {
    /// A configuration took effect.
    Config(Arc<CellConfig>),
    /// The complete list of registered workers.
    Workers(Vec<WorkerReport>),
    /// The list of workers has all changes that had been made at a time.
    WorkersConfirmed {
        /// The time, in milliseconds since the host's boot.
        as_of_ms: u64,
    },
    /// Ids of the connected daemons, through which the adviser is called.
    Daemons(Vec<u64>),
    /// The daemon with this id has a new connection, so calls through the former one may have been lost.
    DaemonReconnected(u64),
    /// A job was accepted and is already in the store.
    Accepted(JobRecord),
    /// A job ended under a former leader.
    Ended {
        /// Id of the job.
        id: String,
        /// The row of the ended job.
        progress: ProgressRecord,
    },
    /// Every job that ended under a former leader is known.
    EndedKnown,
    /// A caller submits a job that is not in the store yet. `reply` is returned in
    /// [`CellAction::Reply`] once the job is durable, in [`CellAction::Refuse`], or in
    /// [`CellAction::ReportTaken`] if another owner's job has the id. As long as not every ended job is known,
    /// the input is treated as [`CellInput::Offered`].
    Submitted {
        /// The job.
        record: JobRecord,
        /// Handle of the reply.
        reply: u64,
    },
    /// A caller submits a job that a daemon writes if it is admitted. `reply` is returned in
    /// [`CellAction::Admit`] or [`CellAction::Refuse`], in [`CellAction::Reply`] if the job is known, or in
    /// [`CellAction::ReportTaken`] if another owner's job has the id.
    Offered {
        /// The job.
        record: JobRecord,
        /// Handle of the reply.
        reply: u64,
    },
    /// A caller cancels a job; `reply` is returned once the cancellation is durable, or without a state if
    /// the caller has no such job.
    Cancel {
        /// Id of the job.
        id: String,
        /// The caller; `None` if a daemon of a former version passes the call on, which does not tell.
        caller: Option<JobCaller>,
        /// Handle of the reply.
        reply: u64,
    },
    /// A start request finished.
    StartFinished {
        /// The attempt.
        attempt: AttemptKey,
        /// Outcome of the request, and the worker's clock.
        response: StartResponse,
    },
    /// A stop request finished, with or without a response.
    StopFinished {
        /// The attempt.
        attempt: AttemptKey,
        /// The worker acknowledged the request.
        is_acknowledged: bool,
    },
    /// A lease renewal finished, with or without a response.
    RenewFinished {
        /// The worker.
        worker: WorkerKey,
        /// Number of the fence that the renewal had.
        fence: u32,
        /// Outcome of the renewal.
        outcome: RenewOutcome,
    },
    /// A call to the adviser finished.
    Advice {
        /// The call.
        call: AdviceCallKey,
        /// Workers that may run the step; `None` if the adviser did not respond.
        allowed: Option<Vec<WorkerTicket>>,
    },
    /// The store rejects the rows of some jobs in the commit in flight on this lane, and would reject them
    /// again. [`CellInput::Committed`] follows for the others.
    RowsRejected {
        /// The lane.
        lane: usize,
        /// The jobs.
        jobs: Vec<RejectedJob>,
    },
    /// No former leader decides on requests any more. What they decided on before may still arrive.
    FormerLeadersEnded,
    /// The commit in flight on this lane is durable.
    Committed {
        /// The lane.
        lane: usize,
    },
}

/// A request to start an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRequest {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Address of the worker.
    pub address: String,
    /// Id of the intended worker; another worker may have taken over its address.
    pub worker_id: String,
    /// Intended incarnation of the worker.
    pub incarnation: u64,
    /// Number by which the worker orders this leader's requests; it does nothing for a lower one.
    pub fence: u32,
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub number: u32,
    /// Payload of the job; `None` if it is in a row of its own.
    pub payload: Option<Arc<str>>,
    /// Deadline of the worker's leases on its own clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// The adviser's ticket; empty for none.
    pub ticket: String,
}

/// A request to stop an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct StopRequest {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Address of the worker.
    pub address: String,
    /// Id of the intended worker; another worker may have taken over its address.
    pub worker_id: String,
    /// Intended incarnation of the worker.
    pub incarnation: u64,
    /// Number by which the worker orders this leader's requests; it does nothing for a lower one.
    pub fence: u32,
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub number: u32,
}

/// A request to renew a worker's leases.
#[derive(Debug, Clone, PartialEq)]
pub struct RenewRequest {
    /// The worker.
    pub worker: WorkerKey,
    /// Address of the worker.
    pub address: String,
    /// Id of the intended worker; another worker may have taken over its address.
    pub worker_id: String,
    /// Intended incarnation of the worker.
    pub incarnation: u64,
    /// Number by which the worker orders this leader's requests; it does nothing for a lower one.
    pub fence: u32,
    /// New deadline of the leases on the worker's clock, in milliseconds. `None` extends no lease:
    /// the clock is not known yet, or the worker did not respond to the last renewal.
    pub deadline_ms: Option<u64>,
    /// Sequence number of the last durable end, which this request acknowledges; 0 if it acknowledges
    /// none.
    pub last_durable_end: u64,
    /// How long the worker may delay its response until an attempt ends, in milliseconds.
    pub wait_ms: u64,
}

/// A request to the adviser: which of these workers may run a step.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
    /// The call.
    pub call: AdviceCallKey,
    /// Id of the daemon that makes the call.
    pub daemon: u64,
    /// Name of the step.
    pub phase: String,
    /// Ids of the workers to check.
    pub workers: Vec<String>,
    /// Expected duration of the call, in milliseconds.
    pub expected_ms: u64,
}

/// Maximum number of commits in flight.
pub const COMMIT_LANES: usize = 6;

/// Rows to write in one transaction.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CommitRequest {
    /// Lane of the commit; commits on one lane run one after another.
    pub lane: usize,
    /// Job rows to write.
    pub jobs: Vec<JobRecord>,
    /// Progress rows to write, by job id.
    pub progress: Vec<(String, ProgressRecord)>,
    /// Rows of ended jobs to write, by job id.
    pub ended: Vec<(String, ProgressRecord)>,
    /// Ids of jobs whose job rows to remove.
    pub removed_jobs: Vec<String>,
    /// Ids of jobs whose payload rows to remove.
    pub removed_payloads: Vec<String>,
    /// Ids of jobs whose progress rows to remove.
    pub removed_progress: Vec<String>,
    /// Ids of ended jobs whose rows to remove.
    pub removed_ended: Vec<String>,
    /// Complete list of the bounds on the leases of workers that do not respond, if its row is to
    /// be written.
    pub lease_bounds: Option<Vec<LeaseBound>>,
    /// Learned speeds and run times, if their row is to be written.
    pub worker_speeds: Option<WorkerSpeedsRecord>,
}

impl CommitRequest {
    /// Splits the rows of jobs into one request a job, by the job's id.
    ///
    /// ```
    /// use damaskrack_cell::{CommitRequest, ProgressRecord};
    ///
    /// let row = |id: &str| (id.to_owned(), ProgressRecord::default());
    /// let request = CommitRequest {
    ///     progress: vec![row("1"), row("2")],
    ///     removed_jobs: vec!["1".into()],
    ///     ..CommitRequest::default()
    /// };
    /// let parts = request.split_by_job();
    /// assert_eq!(parts.len(), 2);
    /// assert_eq!((parts["1"].progress.len(), parts["1"].removed_jobs.len()), (1, 1));
    /// ```
    #[must_use]
    pub fn split_by_job(&self) -> BTreeMap<String, Self> {
        let mut parts = JobParts { lane: self.lane, requests: BTreeMap::new() };
        for record in &self.jobs {
            parts.of(&record.id).jobs.push(record.clone());
        }
        for row in &self.progress {
            parts.of(&row.0).progress.push(row.clone());
        }
        for row in &self.ended {
            parts.of(&row.0).ended.push(row.clone());
        }
        for id in &self.removed_jobs {
            parts.of(id).removed_jobs.push(id.clone());
        }
        for id in &self.removed_payloads {
            parts.of(id).removed_payloads.push(id.clone());
        }
        for id in &self.removed_progress {
            parts.of(id).removed_progress.push(id.clone());
        }
        for id in &self.removed_ended {
            parts.of(id).removed_ended.push(id.clone());
        }
        parts.requests
    }
}

/// Requests of one job each.
struct JobParts {
    lane: usize,
    requests: BTreeMap<String, CommitRequest>,
}

impl JobParts {
    /// Returns the request of a job.
    fn of(&mut self, id: &str) -> &mut CommitRequest {
        let part = self.requests.entry(id.to_owned()).or_default();
        part.lane = self.lane;
        part
    }
}

/// An action for the leader to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum CellAction {
    /// Send a start request.
    Start(StartRequest),
    /// Send a stop request.
    Stop(StopRequest),
    /// Renew a worker's leases.
    Renew(RenewRequest),
    /// Call the adviser.
    RequestAdvice(AdviceRequest),
    /// Write rows. Must be followed by [`CellInput::Committed`], however long the write takes.
    Commit(CommitRequest),
    /// Tell a caller that its submission or cancellation is durable.
    Reply {
        /// Handle of the reply.
        reply: u64,
        /// State of the job, or `None` if there is no such job.
        state: Option<JobState>,
    },
    /// Tell a daemon to write the job that it offered.
    Admit {
        /// Handle of the reply.
        reply: u64,
        /// The job.
        record: JobRecord,
    },
    /// Tell a caller that the id of its job is that of another owner's job.
    ReportTaken {
        /// Handle of the reply.
        reply: u64,
    },
    /// Refuse a submitted job because it could not complete in time.
    Refuse {
        /// Handle of the reply.
        reply: u64,
        /// Delay after which the caller should retry, in milliseconds.
        retry_ms: u64,
    },
    /// Stop leading: a worker has seen the fencing token of a later leader.
    Resign,
    /// Log a decision or a state change.
    Log(LogEntry),
}

/// An entry for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogEntry {
    /// Name of the event.
    pub event: &'static str,
    /// Job, task or worker that the event concerns.
    pub subject: String,
    /// Details, as `key=value` pairs or a sentence.
    pub detail: String,
}

/// Reference to a phase by its job's key and its index in the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PhaseRef {
    pub(crate) job: JobKey,
    pub(crate) phase: usize,
}

/// Reference to a task by its phase and its index in the phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskRef {
    pub(crate) phase: PhaseRef,
    pub(crate) index: usize,
}
