//! Entities.

mod ask;
mod attempt;
mod job;
mod phase;
mod task;
mod worker;

pub(crate) use {
    ask::{AskEntry, AskerEntry},
    attempt::{AttemptEntry, AttemptState},
    job::{AcceptedChange, AcceptedRow, AfterCommit, JobEntry},
    phase::{PhaseEntry, TicketEntry},
    task::TaskEntry,
    worker::WorkerEntry,
};
