//! Records of a team's journal, as stored.

use {
    damaskrack_model::{CallId, ClockTime, MemberName, OutcomeKind, QueueName, WorkSpec},
    serde::{Deserialize, Serialize},
};

/// A state change that a successor of the team's owner must be able to replay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "r")]
pub(super) enum JournalRecord {
    /// A new owner took over; this record fences every earlier writer.
    Takeover,
    /// A job was accepted.
    Accept(Box<AcceptRecord>),
    /// Tasks below this index of a non-idempotent job may have been started.
    Intent { job: u64, below: u32 },
    /// Tasks `from..to` of a job ended with the same outcome.
    Ended { job: u64, from: u32, to: u32, outcome: OutcomeKind },
    /// Output of a request, or the reason for its failure.
    Output { job: u64, text: String },
    /// A job was cancelled.
    Cancel { job: u64 },
    /// An ended job was removed after its retention time.
    Forget { job: u64 },
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct AcceptRecord {
    /// Nonce of the job's id.
    pub(super) job: u64,
    /// Queue that it was submitted to.
    pub(super) queue: QueueName,
    /// Idempotency key that the caller chose.
    pub(super) idempotency_key: Option<String>,
    /// Entry and call that wait for the result.
    pub(super) caller: Option<(MemberName, CallId)>,
    /// Deadline of the work, in the clock of the accepting owner, which is anchored at the wall
    /// clock.
    pub(super) deadline_at: Option<ClockTime>,
    /// Specification of the work.
    pub(super) spec: WorkSpec,
}
