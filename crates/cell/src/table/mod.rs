//! Entries of the scheduler's tables.

mod advice_call;
mod attempt;
mod chosen_wait;
mod job;
mod lease_limit;
mod log_estimate;
mod loss;
mod orphan_run;
mod phase;
mod phase_retry;
mod start_binding;
mod start_requests;
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
    orphan_run::OrphanRun,
    phase::{AttemptLocation, PhaseEntry, StepRatio, TicketEntry},
    phase_retry::PhaseRetry,
    start_binding::StartBinding,
    start_requests::{FormerStarts, MAX_REQUEST_DELAY_MS, StartRequests, TicketTimes},
    task::{MIN_PROBATION_MS, TaskEntry},
    worker::WorkerEntry,
    worker_fence::WorkerFence,
    worker_lease::{ClockMatch, WorkerLease, longest_lease_ms},
    worker_speed::{SpeedClass, WorkerSpeed},
};
