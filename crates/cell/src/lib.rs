//! The scheduler of one cell: decides when and on which worker each task of a job runs.
//!
//! This crate does no I/O. [`CellCore`] keeps tables of jobs, workers and attempts. Inputs change
//! the tables, and each tick runs the scheduling passes over them and returns the actions to
//! perform. Only the leader among the daemons runs a core; the state that a new leader needs is in
//! the store (see [`ProgressRecord`]).

mod config;
mod core;
mod feature_settings;
mod job_caller;
mod job_cost;
mod job_owner;
mod keys;
mod lease_bound;
mod message;
mod record;
mod resources;
mod settings;
mod table;
mod worker_speeds_record;

pub use {
    config::{CellConfig, HeaderLimits, QueueConfig, TeamConfig},
    core::{CellCore, OFFER_TIMEOUT_MS},
    feature_settings::{FeatureSettings, WaitPolicy},
    job_caller::JobCaller,
    job_owner::JobOwner,
    keys::{AdviceCallKey, AttemptKey, JobKey, WorkerKey},
    lease_bound::LeaseBound,
    message::{
        AdviceRequest, COMMIT_LANES, CellAction, CellInput, CommitRequest, EndKind, EndedAttempt,
        LogEntry, RejectedJob, RenewOutcome, RenewRequest, RenewResponse, RunningAttempt,
        StartOutcome, StartRefusal, StartRequest, StartResponse, StopRequest, WorkerReport,
        WorkerTicket,
    },
    record::{
        AdviceTiming, JobRecord, JobState, LostAttempt, MAX_JOB_TASKS, PhaseProgress,
        ProgressRecord, StepSpec, TaskProgress,
    },
    resources::ResourceSet,
    settings::CellSettings,
    worker_speeds_record::{QueueRatioRecord, WorkerSpeedRecord, WorkerSpeedsRecord},
};
