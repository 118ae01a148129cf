//! Attempts that were lost with workers of which it is not known whether they crashed.

use crate::message::TaskRef;

/// An attempt whose leases expired on a worker that did not respond. It counts as a crash once
/// another process has the worker's id or address.
#[derive(Debug)]
pub(crate) struct LossEntry {
    pub(crate) task: TaskRef,
    /// Id and address of the worker, and its incarnation.
    pub(crate) worker_id: String,
    pub(crate) address: String,
    pub(crate) incarnation: u64,
    /// Time for which the attempt ran, in milliseconds, if it is known.
    pub(crate) ran_ms: Option<u64>,
    /// No other job had just started a task on the worker.
    pub(crate) is_sole_suspect: bool,
    pub(crate) recorded_ms: u64,
}
