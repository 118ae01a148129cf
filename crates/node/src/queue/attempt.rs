//! An attempt as its queue owner sees it.

use {
    super::JobKey,
    damaskrack_model::{AttemptId, ClockTime, Epoch, RackName, Resources},
    serde::Serialize,
};

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) enum AttemptStage {
    /// Sent to a rack owner; no verdict yet.
    Placing,
    /// Room is held for it.
    Held,
    /// It runs, as far as is known.
    Running,
}

/// An attempt that counts against the team's upper limit.
#[derive(Debug, Serialize)]
pub(super) struct AttemptEntry {
    pub(super) id: AttemptId,
    /// Its job; `None` if the job is not known here.
    pub(super) job: Option<JobKey>,
    pub(super) resources: Resources,
    pub(super) rack: RackName,
    /// Epoch of the rack's owner that it was sent to or reported by.
    pub(super) rack_epoch: Epoch,
    pub(super) stage: AttemptStage,
    pub(super) idempotent: bool,
    /// When its rack is asked about it next; `None` while no question is due.
    pub(super) ask_at: Option<ClockTime>,
    /// When it was told to stop, if it was.
    pub(super) stopping_at: Option<ClockTime>,
    /// Order of placement, by which the newest is found.
    pub(super) sequence: u64,
}
