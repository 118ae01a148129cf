//! Entries of the scheduler's tables.

mod advice_call;
mod attempt;
mod chosen_wait;
mod job;
mod lease_limit;
mod log_estimate;
mod loss;
mod phase;
mod phase_retry;
mod task;
mod worker;
mod worker_fence;
mod worker_lease;
mod worker_speed;

pub(crate) use {
    advice_call::{AdviceCallEntry, DaemonEntry},
    attempt::{AttemptEntry, AttemptState},
    chosen_wait::ChosenWait,
    job::{AfterCommit, JobEntry, JobRow, JobRowChange},
    lease_limit::LeaseLimit,
    log_estimate::{LogEstimate, restored_variance, stored_variance},
    loss::LossEntry,
    phase::{AttemptLocation, PhaseEntry, StepRatio, TicketEntry},
    phase_retry::PhaseRetry,
    task::{MIN_PROBATION_MS, TaskEntry},
    worker::WorkerEntry,
    worker_fence::WorkerFence,
    worker_lease::{WorkerLease, longest_lease_ms},
    worker_speed::{SpeedClass, WorkerSpeed},
};
