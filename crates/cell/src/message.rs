//! What goes into the scheduler and what comes out of it.

use {
    crate::{
        AdviceCallKey, AttemptKey, CellConfig, JobKey, JobRecord, JobState, ProgressRecord,
        ResourceSet, WorkerKey,
    },
    std::sync::Arc,
};

/// A worker as it describes itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// Id, which another incarnation may take over.
    pub id: String,
    /// Start of this incarnation, in Unix milliseconds.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Address, as host and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Labels: its kind and its rack.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: ResourceSet,
    /// It is leaving and takes no new work.
    pub is_leaving: bool,
}

/// How an attempt ended at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped, its lease lapsed, or its gang was not whole.
    Interrupted,
}

/// An attempt that a worker lists as running.
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

/// An attempt that a worker lists as ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedAttempt {
    /// Number of the end, which grows by one with each.
    pub number: u64,
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's answer to the renewal of its leases.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RenewResponse {
    /// Incarnation that answered.
    pub incarnation: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningAttempt>,
    /// What has ended and is not acknowledged.
    pub ended: Vec<EndedAttempt>,
}

/// Why a worker did not start an attempt. It did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// The attempt's number is not higher than an earlier one there.
    Stale,
    /// The deadline of the leases had passed on its clock.
    Late,
    /// It has no room.
    Full,
    /// The ticket is not valid.
    Ticket,
    /// Another incarnation answered.
    Incarnation,
    /// It is unhealthy or could not be reached at all.
    Unavailable,
    /// It took the order for invalid.
    Invalid,
}

/// How an order to start ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The attempt is there.
    Started,
    /// It is not, and will not be.
    Refused(StartRefusal),
    /// It may be, or may come to be.
    Unknown,
}

/// A worker that may run a step, with its ticket.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTicket {
    /// Id of the worker.
    pub worker: String,
    /// Ticket that a start must carry.
    pub ticket: String,
}

/// What a renewal of leases told.
#[derive(Debug, Clone, PartialEq)]
pub enum RenewOutcome {
    /// The worker answered.
    Answered(RenewResponse),
    /// It has seen a higher fencing token.
    Fenced,
    /// Another incarnation has its address.
    Incarnation,
    /// No answer that tells anything.
    Unknown,
}

/// Something that has happened.
#[derive(Debug, Clone)]
pub enum CellInput {
    /// A configuration came into force.
    Config(Arc<CellConfig>),
    /// The workers that exist now.
    Workers(Vec<WorkerReport>),
    /// The daemons that can ask the adviser, by the order of their ids.
    Daemons(Vec<u64>),
    /// A job was accepted and its row is in the store.
    Accepted(JobRecord),
    /// A caller hands a job in that is not in the store yet; `reply` comes back once it is durable,
    /// or in [`CellAction::Refuse`].
    Submitted {
        /// The job.
        record: JobRecord,
        /// Handle of the answer.
        reply: u64,
    },
    /// A caller cancels a job; `reply` comes back once that is durable.
    Cancel {
        /// Id of the job.
        id: String,
        /// Handle of the answer.
        reply: u64,
    },
    /// An order to start was answered.
    StartFinished {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        outcome: StartOutcome,
        /// The worker's clock, in milliseconds, if it answered.
        clock_ms: Option<u64>,
    },
    /// An order to stop was answered, or not.
    StopFinished {
        /// The attempt.
        attempt: AttemptKey,
        /// The worker has taken note of it.
        is_acknowledged: bool,
    },
    /// A renewal of leases was answered, or not.
    RenewFinished {
        /// The worker.
        worker: WorkerKey,
        /// What it told.
        outcome: RenewOutcome,
    },
    /// The adviser answered; `None` if it did not.
    Advice {
        /// The call.
        call: AdviceCallKey,
        /// Workers that may run the step.
        allowed: Option<Vec<WorkerTicket>>,
    },
    /// The rows of the commit on this lane are durable.
    Committed {
        /// The lane.
        lane: usize,
    },
}

/// An order to start an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRequest {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Address of the worker.
    pub address: String,
    /// Id of the worker that is meant; another one may have its address by now.
    pub worker_id: String,
    /// Incarnation that is meant.
    pub incarnation: u64,
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub number: u32,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Deadline of the leases on the worker's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Ticket of the adviser; empty for none.
    pub ticket: String,
}

/// An order to stop an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct StopRequest {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Address of the worker.
    pub address: String,
    /// Id of the worker that is meant; another one may have its address by now.
    pub worker_id: String,
    /// Incarnation that is meant.
    pub incarnation: u64,
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub number: u32,
}

/// A renewal of a worker's leases.
#[derive(Debug, Clone, PartialEq)]
pub struct RenewRequest {
    /// The worker.
    pub worker: WorkerKey,
    /// Its address.
    pub address: String,
    /// Id of the worker that is meant; another one may have its address by now.
    pub worker_id: String,
    /// Incarnation that is meant.
    pub incarnation: u64,
    /// Deadline of the leases on the worker's clock, in milliseconds; `None` before it is known.
    pub deadline_ms: Option<u64>,
    /// Last end that is durable.
    pub last_durable_end: u64,
    /// How long the answer may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// A question to the adviser.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
    /// The call.
    pub call: AdviceCallKey,
    /// The daemon that asks.
    pub daemon: u64,
    /// Name of the step.
    pub phase: String,
    /// Ids of the workers in question.
    pub workers: Vec<String>,
    /// How long the adviser works on it, in milliseconds.
    pub expected_ms: u64,
}

/// Most commits that are on the way at a time.
pub const COMMIT_LANES: usize = 6;

/// Rows to write in one transaction.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CommitRequest {
    /// Lane that it is on; commits of a lane follow one another.
    pub lane: usize,
    /// Jobs that were accepted.
    pub jobs: Vec<JobRecord>,
    /// Progress rows by the job's id.
    pub progress: Vec<(String, ProgressRecord)>,
    /// Ids of jobs whose rows of what was accepted go.
    pub removed_jobs: Vec<String>,
    /// Ids of jobs whose rows of progress go.
    pub removed_progress: Vec<String>,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum CellAction {
    /// Send an order to start.
    Start(StartRequest),
    /// Send an order to stop.
    Stop(StopRequest),
    /// Renew a worker's leases.
    Renew(RenewRequest),
    /// Ask the adviser.
    RequestAdvice(AdviceRequest),
    /// Write rows; answered by [`CellInput::Committed`], however long it takes.
    Commit(CommitRequest),
    /// What a caller asked for is durable.
    Reply {
        /// Handle of the answer.
        reply: u64,
        /// State of the job, or `None` if there is no such job.
        state: Option<JobState>,
    },
    /// A job that a caller handed in is not taken: it could not be served in time.
    Refuse {
        /// Handle of the answer.
        reply: u64,
        /// Time after which there should be room, in milliseconds.
        retry_ms: u64,
    },
    /// A decision or a changed belief, for the log.
    Log(LogEntry),
}

/// A line for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogEntry {
    /// What happened.
    pub event: &'static str,
    /// Job, task or worker that it concerns.
    pub subject: String,
    /// What decided it.
    pub detail: String,
}

/// Where a job's key and a phase's index lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PhaseRef {
    pub(crate) job: JobKey,
    pub(crate) phase: usize,
}
