//! State of an attempt at its queue owner.

use {
    super::JobKey,
    damaskrack_model::{AttemptId, ClockTime, Epoch, RackName, Resources},
    serde::Serialize,
};

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) enum AttemptStage {
    /// Sent to a rack owner that has not responded yet.
    Placing,
    /// The rack holds capacity for it.
    Held,
    /// The rack last reported it as running.
    Running,
}

/// An attempt that counts against the team's upper limit.
#[derive(Debug, Serialize)]
pub(super) struct AttemptEntry {
    pub(super) id: AttemptId,
    /// Its job; `None` if this owner does not know the job.
    pub(super) job: Option<JobKey>,
    pub(super) resources: Resources,
    pub(super) rack: RackName,
    /// Epoch of the rack owner to which it was sent or which reported it.
    pub(super) rack_epoch: Epoch,
    pub(super) stage: AttemptStage,
    pub(super) idempotent: bool,
    /// When its status is polled next; `None` if no poll is scheduled.
    pub(super) ask_at: Option<ClockTime>,
    /// When its rack was told to stop it.
    pub(super) stopping_at: Option<ClockTime>,
    /// Order of placement; the newest attempts are stopped first.
    pub(super) sequence: u64,
}
