//! Data types shared by all other crates: names, identifiers, resources, work and outcomes.
//!
//! This crate contains data types only and depends on no other crate of the workspace, so a
//! platform adapter or an embedding program can use them without depending on the scheduler.

mod clock;
mod ids;
mod names;
mod outcome;
mod resources;
mod work;

pub use {
    clock::ClockTime,
    ids::{AttemptId, CallId, Epoch, JobId, ParseIdError},
    names::{KeyName, MemberName, NameError, QueueName, RackName, TeamName, WorkerName, ZoneName},
    outcome::{AnswerReason, OutcomeKind, TaskResult, WorkAnswer},
    resources::Resources,
    work::{JobState, JobStatus, PriorityClass, WorkKind, WorkSpec},
};
