//! The scheduler of one cell: decides when and where the tasks of jobs run.
//!
//! Everything here is free of input and output. [`CellCore`] keeps tables of jobs, workers and
//! attempts; inputs change them, and each tick runs the systems over them and returns what is to
//! be done. One daemon at a time, the leader, runs a core; what it must not forget lies in the
//! store (see [`ProgressRecord`]).

mod config;
mod core;
mod keys;
mod message;
mod record;
mod resources;
mod settings;
mod table;

pub use {
    config::{CellConfig, QueueConfig, TeamConfig},
    core::CellCore,
    keys::{AdviceCallKey, AttemptKey, JobKey, WorkerKey},
    message::{
        AdviceRequest, COMMIT_LANES, CellAction, CellInput, CommitRequest, EndKind, EndedAttempt,
        LogEntry, RenewOutcome, RenewRequest, RenewResponse, RunningAttempt, StartOutcome,
        StartRefusal, StartRequest, StopRequest, WorkerReport, WorkerTicket,
    },
    record::{
        AdviceTiming, JobRecord, JobState, PhaseProgress, ProgressRecord, StepSpec, TaskProgress,
    },
    resources::ResourceSet,
    settings::CellSettings,
};
