//! Entities.

mod advice_call;
mod attempt;
mod job;
mod phase;
mod task;
mod worker;

pub(crate) use {
    advice_call::{AskEntry, AskerEntry},
    attempt::{AttemptEntry, AttemptState},
    job::{AcceptedChange, AcceptedRow, AfterCommit, JobEntry},
    phase::{PhaseEntry, TicketEntry},
    task::TaskEntry,
    worker::WorkerEntry,
};
