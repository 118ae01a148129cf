//! How work ends.
//!
//! Outcomes are values, not errors. `NotRun` is a promise: no worker was ever handed the work.

use {
    crate::{JobId, JobStatus},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// How a request or a task ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// It was provably never handed to a worker.
    NotRun,
    /// It may have run; its result is lost.
    Unknown,
}

/// Why an answer is what it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerReason {
    /// Nothing went wrong.
    Ok,
    /// The job was accepted and is durable.
    Accepted,
    /// No key, an unknown key, a key outside its validity, or a key of another team.
    KeyRefused,
    /// The queue does not exist.
    UnknownQueue,
    /// The job does not exist or has been forgotten.
    UnknownJob,
    /// The request breaks a rule; the detail names it.
    Invalid,
    /// No worker could ever hold a task of this size.
    TooLarge,
    /// The work exceeds the team's upper limit on its own.
    AboveLimit,
    /// The deadline passed.
    DeadlinePassed,
    /// The queue is full; the lowest class is shed first.
    Overloaded,
    /// The caller cancelled it.
    Cancelled,
    /// The daemon cannot prove that its configuration is current.
    Isolated,
    /// The daemon is shutting down and takes no new work.
    Leaving,
    /// The store did not take the write in time.
    StoreUnavailable,
    /// The task ended with an error of its own.
    TaskFailed,
    /// The worker or an owner was lost while the task may have been running.
    Lost,
    /// The manifest changed since the base version that the caller named.
    Conflict,
    /// The manifest is written; not every member has confirmed it yet.
    Spreading,
}

impl fmt::Display for AnswerReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Ok => "ok",
            Self::Accepted => "accepted",
            Self::KeyRefused => "key_refused",
            Self::UnknownQueue => "unknown_queue",
            Self::UnknownJob => "unknown_job",
            Self::Invalid => "invalid",
            Self::TooLarge => "too_large",
            Self::AboveLimit => "above_limit",
            Self::DeadlinePassed => "deadline_passed",
            Self::Overloaded => "overloaded",
            Self::Cancelled => "cancelled",
            Self::Isolated => "isolated",
            Self::Leaving => "leaving",
            Self::StoreUnavailable => "store_unavailable",
            Self::TaskFailed => "task_failed",
            Self::Lost => "lost",
            Self::Conflict => "conflict",
            Self::Spreading => "spreading",
        };
        f.write_str(text)
    }
}

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskResult {
    /// It ran to its end.
    Succeeded,
    /// It ended with an error.
    Failed,
    /// It was stopped by command; it may have done part of its work.
    Stopped,
    /// Its lease lapsed or its worker was lost.
    Lapsed,
    /// It was provably never started.
    NeverStarted,
}

/// The whole answer to a caller's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// How the work ended.
    pub outcome: OutcomeKind,
    /// Why.
    pub reason: AnswerReason,
    /// What the task returned, or an explanation for a person to read.
    pub detail: String,
    /// The job, where there is one.
    pub job: Option<JobId>,
    /// The job's status, where that was the question.
    pub status: Option<JobStatus>,
}

impl WorkAnswer {
    /// Makes an answer without a job.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_model::{AnswerReason, OutcomeKind, WorkAnswer};
    ///
    /// let answer = WorkAnswer::new(OutcomeKind::NotRun, AnswerReason::KeyRefused, "no key");
    /// assert_eq!(answer.job, None);
    /// ```
    #[must_use]
    pub fn new(outcome: OutcomeKind, reason: AnswerReason, detail: &str) -> Self {
        Self { outcome, reason, detail: detail.to_owned(), job: None, status: None }
    }

    /// Makes a refusal of work that was never handed to a worker.
    #[must_use]
    pub fn refused(reason: AnswerReason, detail: &str) -> Self {
        Self::new(OutcomeKind::NotRun, reason, detail)
    }

    /// Names the job that the answer is about.
    #[must_use]
    pub fn with_job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// Adds the status of the job.
    #[must_use]
    pub fn with_status(mut self, status: JobStatus) -> Self {
        self.status = Some(status);
        self
    }
}
