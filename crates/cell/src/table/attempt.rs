//! Attempts: what may be running where.

use crate::{ResourceSet, WorkerKey, message::PhaseRef};

/// How much is known about an attempt. In every state it counts against its worker's capacity and
/// its team's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Its row is on the way to the store; nothing was sent.
    Persisting,
    /// The order is on the way.
    Sent,
    /// The worker confirmed it.
    Running {
        /// When the confirmation arrived.
        since_ms: u64,
    },
    /// It may or may not be there, now or later: the order had no answer.
    Uncertain,
    /// A former leader may have sent it. The worker takes no more of that leader's orders once it
    /// has answered this one.
    Inherited {
        /// When it was taken over.
        since_ms: u64,
    },
    /// A stop is on the way.
    Stopping,
    /// A stop was acknowledged: if the worker does not list it from now on, it never will.
    StopAcknowledged {
        /// When the acknowledgement arrived.
        since_ms: u64,
    },
}

/// An attempt.
#[derive(Debug)]
pub(crate) struct AttemptEntry {
    pub(crate) phase: PhaseRef,
    pub(crate) index: usize,
    pub(crate) number: u32,
    pub(crate) worker: WorkerKey,
    pub(crate) resources: ResourceSet,
    pub(crate) team: String,
    pub(crate) state: AttemptState,
    /// It began from a checkpoint.
    pub(crate) is_resumed: bool,
    /// Last report of progress, in percent.
    pub(crate) percent: u32,
    /// Another member of its gang ended, so this one is not to run.
    pub(crate) is_gang_aborted: bool,
    /// When a stop may be sent again.
    pub(crate) stop_due_ms: u64,
}

impl AttemptEntry {
    /// How long it is known to have run; 0 if its start was not seen or it resumed earlier work.
    pub(crate) fn run_ms(&self, now_ms: u64) -> u64 {
        match self.state {
            AttemptState::Running { since_ms } if !self.is_resumed => now_ms - since_ms,
            _ => 0,
        }
    }
}
