//! Records of a team's journal.

use {
    damaskrack_model::{CallId, ClockTime, MemberName, OutcomeKind, QueueName, WorkSpec},
    serde::{Deserialize, Serialize},
};

/// What must survive the owner of a team's queues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "r")]
pub(super) enum JournalRecord {
    /// A new owner writes here; every earlier writer is fenced.
    Takeover,
    /// A job was accepted.
    Accept(Box<AcceptRecord>),
    /// Tasks below this index of a non-idempotent job may have been started.
    Intent { job: u64, below: u32 },
    /// Tasks `from..to` of a job ended in the same way.
    Ended { job: u64, from: u32, to: u32, outcome: OutcomeKind },
    /// What a request returned, or why it failed.
    Output { job: u64, text: String },
    /// A job was cancelled.
    Cancel { job: u64 },
    /// An ended job need not be remembered any longer.
    Forget { job: u64 },
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct AcceptRecord {
    /// Random number of the job's id.
    pub(super) job: u64,
    /// Queue that it entered by.
    pub(super) queue: QueueName,
    /// The caller's own name for it.
    pub(super) idempotency_key: Option<String>,
    /// Entry and call that wait for it.
    pub(super) caller: Option<(MemberName, CallId)>,
    /// When unstarted work is refused, in the clock of the accepting owner, which is anchored at
    /// the wall clock.
    pub(super) deadline_at: Option<ClockTime>,
    /// The work.
    pub(super) spec: WorkSpec,
}
