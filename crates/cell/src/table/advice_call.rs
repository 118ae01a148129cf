//! Calls to the adviser.

use crate::{WorkerKey, message::PhaseRef};

/// A call to the adviser in flight.
#[derive(Debug)]
pub(crate) struct AdviceCallEntry {
    pub(crate) phase: PhaseRef,
    pub(crate) daemon: u64,
    pub(crate) workers: Vec<WorkerKey>,
    pub(crate) expected_ms: u64,
    pub(crate) sent_ms: u64,
    /// Time at which the response is expected.
    pub(crate) due_ms: u64,
    /// Validity of the tickets that the response brings, in milliseconds.
    pub(crate) valid_ms: u64,
}

/// A daemon through which the adviser is called. The adviser serves one call of a daemon at a time.
#[derive(Debug)]
pub(crate) struct DaemonEntry {
    pub(crate) id: u64,
    /// Time at which the adviser is expected to have served the daemon's last call.
    pub(crate) busy_until_ms: u64,
    /// Number of calls in flight.
    pub(crate) calls: usize,
    /// The response to one of them should have come by now.
    pub(crate) is_overdue: bool,
}
