//! Calls to the adviser.

use crate::{WorkerKey, message::PhaseRef};

/// A call on the way.
#[derive(Debug)]
pub(crate) struct AdviceCallEntry {
    pub(crate) phase: PhaseRef,
    pub(crate) daemon: u64,
    pub(crate) workers: Vec<WorkerKey>,
    pub(crate) expected_ms: u64,
    pub(crate) sent_ms: u64,
}

/// A daemon that can ask. The adviser serves one call of a daemon at a time.
#[derive(Debug)]
pub(crate) struct DaemonEntry {
    pub(crate) id: u64,
    /// When its last call will have been served.
    pub(crate) busy_until_ms: u64,
    /// Calls on the way.
    pub(crate) calls: usize,
}
