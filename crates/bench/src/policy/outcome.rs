//! What a policy did with a mix.

use serde::Serialize;

/// One run of one task on one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskRun {
    /// Index of its arrival in the mix.
    pub(super) arrival: usize,
    pub(super) task: u32,
    pub(super) worker: usize,
    pub(super) start_ms: u64,
    pub(super) end_ms: u64,
    /// Whether the task ended of its own accord with this run.
    pub(super) is_whole: bool,
}

/// What deciding cost, where it can be counted.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct ControlCost {
    pub(super) messages: u64,
    pub(super) caller_messages: u64,
    pub(super) store_calls: u64,
    pub(super) starts: u64,
    /// Real time of the whole simulation, in seconds.
    pub(super) wall_s: f64,
    /// Rules of the brief that an observer saw broken.
    pub(super) violations: u64,
}

/// Everything that one policy did.
#[derive(Debug, Clone)]
pub(super) struct PolicyRun {
    pub(super) policy: String,
    pub(super) runs: Vec<TaskRun>,
    pub(super) control: Option<ControlCost>,
}
