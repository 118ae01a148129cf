//! Specification of work and the status of jobs.

use {
    crate::{JobId, OutcomeKind, Resources},
    serde::{Deserialize, Serialize},
};

/// How the tasks of a job relate to each other and to time.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// One short task whose caller waits for the answer.
    Request,
    /// Tasks that run until they are cancelled and are restarted when they end.
    Service,
    /// Tasks that run once each, in any order.
    #[default]
    Batch,
    /// Tasks that must all run at the same time.
    Gang,
}

/// Order in which work of one team starts, and what may displace it.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Starts last and is shed first.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Starts at once within the team's entitlement, displacing borrowers.
    Urgent,
}

/// Specification of a job as its queue owner stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkSpec {
    /// How the tasks relate to each other.
    pub kind: WorkKind,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Whether a task that may have run already may be run again.
    pub idempotent: bool,
    /// Priority class, which orders the work of the team.
    pub priority: PriorityClass,
    /// Run time that the caller expects of each task, in milliseconds; 0 if unknown.
    pub expected_ms: u64,
    /// Time after acceptance at which work that has not started is refused, in milliseconds; 0 for
    /// no deadline.
    pub deadline_ms: u64,
    /// Description of what the worker runs; opaque to the scheduler.
    pub payload: String,
}

/// Stage of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started and not all have ended.
    Running,
    /// The tasks fit on no worker or exceed the team's upper limit, and wait for either to change.
    Parked,
    /// Every task has ended.
    Ended,
}

/// Status of a job as reported to callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Stage of the job.
    pub state: JobState,
    /// Number of tasks that have not started yet.
    pub queued: u32,
    /// Number of tasks that are running or may be running.
    pub running: u32,
    /// Number of tasks that ran to completion.
    pub done: u32,
    /// Number of tasks that failed.
    pub failed: u32,
    /// Number of tasks that were never sent to a worker and never will be.
    pub not_run: u32,
    /// Number of tasks that may have run and whose result is lost.
    pub unknown: u32,
    /// Outcome of the whole job once it has ended.
    pub outcome: Option<OutcomeKind>,
    /// Why the job is waiting or how it ended, for a human reader.
    pub detail: String,
}
