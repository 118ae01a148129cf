//! What a caller asks for and how far it has come.

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

/// A piece of work as its queue owner keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkSpec {
    /// How the tasks relate to each other.
    pub kind: WorkKind,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// What each task takes.
    pub resources: Resources,
    /// Whether a task may run again after it may have run once.
    pub idempotent: bool,
    /// Order within the team.
    pub priority: PriorityClass,
    /// Run time the caller expects of each task, in milliseconds; 0 if unknown.
    pub expected_ms: u64,
    /// Time from acceptance after which unstarted work is refused, in milliseconds; 0 for none.
    pub deadline_ms: u64,
    /// What the worker is to run; opaque to the scheduler.
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
    /// The tasks fit no worker or exceed the team's upper limit; they wait for a change of either.
    Parked,
    /// Every task has ended.
    Ended,
}

/// Answer to a question about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Its stage.
    pub state: JobState,
    /// Tasks that are not started yet.
    pub queued: u32,
    /// Tasks that run or may run.
    pub running: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// Tasks that ended with an error.
    pub failed: u32,
    /// Tasks that were never handed to a worker and never will be.
    pub not_run: u32,
    /// Tasks that may have run and whose result is lost.
    pub unknown: u32,
    /// Outcome of the whole job once it has ended.
    pub outcome: Option<OutcomeKind>,
    /// Why the job waits or how it ended, for a person to read.
    pub detail: String,
}
