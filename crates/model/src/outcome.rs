//! Outcomes of work and the responses to callers.
//!
//! Outcomes are values, not errors. `NotRun` guarantees that the work was never sent to a worker.

use {
    crate::{JobId, JobStatus},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// How a request or a task ended, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// It ran to completion.
    Done,
    /// It ran and failed.
    Failed,
    /// It was provably never sent to a worker.
    NotRun,
    /// It may have run, and its result is lost.
    Unknown,
}

/// Reason for the outcome in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerReason {
    /// The request succeeded.
    Ok,
    /// The job was accepted and is durable.
    Accepted,
    /// The key is missing, unknown, outside its period of validity, or of another team.
    KeyRefused,
    /// The queue does not exist.
    UnknownQueue,
    /// The job does not exist or has been deleted.
    UnknownJob,
    /// The request is invalid; the detail says why.
    Invalid,
    /// No worker is large enough for a task of this size.
    TooLarge,
    /// The work by itself exceeds the team's upper limit.
    AboveLimit,
    /// The deadline passed.
    DeadlinePassed,
    /// The queue is full; work of the lowest priority class is shed first.
    Overloaded,
    /// The caller cancelled it.
    Cancelled,
    /// The daemon cannot prove that its configuration is current.
    Isolated,
    /// The daemon is shutting down and accepts no new work.
    Leaving,
    /// The store did not confirm the write in time.
    StoreUnavailable,
    /// The task itself failed.
    TaskFailed,
    /// The worker or an owner was lost while the task may have been running.
    Lost,
    /// The manifest changed since the base version that the caller named.
    Conflict,
    /// The manifest is written, but not every member has confirmed it yet.
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
    /// It ran to completion.
    Succeeded,
    /// It ended with an error.
    Failed,
    /// It was stopped on request and may have done part of its work.
    Stopped,
    /// Its lease expired or its worker was lost.
    Lapsed,
    /// It was provably never started.
    NeverStarted,
}

/// Response to a caller's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// Outcome of the request or of the work.
    pub outcome: OutcomeKind,
    /// Reason for the outcome.
    pub reason: AnswerReason,
    /// Output of the task, or an explanation for a human reader.
    pub detail: String,
    /// The job that the response is about, if any.
    pub job: Option<JobId>,
    /// Status of the job, if the request asked for it.
    pub status: Option<JobStatus>,
}

impl WorkAnswer {
    /// Creates a response without a job.
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

    /// Creates a response that refuses work that was never sent to a worker.
    #[must_use]
    pub fn refused(reason: AnswerReason, detail: &str) -> Self {
        Self::new(OutcomeKind::NotRun, reason, detail)
    }

    /// Sets the job that the response is about.
    #[must_use]
    pub fn with_job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// Sets the status of the job.
    #[must_use]
    pub fn with_status(mut self, status: JobStatus) -> Self {
        self.status = Some(status);
        self
    }
}
