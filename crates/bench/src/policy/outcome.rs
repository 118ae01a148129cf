//! Result of running a mix under a policy.

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
    /// Whether the task completed with this run.
    pub(super) is_complete: bool,
}

/// Cost of the control plane; only the simulated cell counts it.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct ControlCost {
    pub(super) messages: u64,
    pub(super) caller_messages: u64,
    pub(super) store_calls: u64,
    pub(super) starts: u64,
    /// Wall-clock time of the simulation, in seconds.
    pub(super) wall_s: f64,
    /// Violations that the observers found.
    pub(super) violations: u64,
}

/// All task runs under one policy.
#[derive(Debug, Clone)]
pub(super) struct PolicyRun {
    pub(super) policy: String,
    pub(super) runs: Vec<TaskRun>,
    pub(super) control: Option<ControlCost>,
}
