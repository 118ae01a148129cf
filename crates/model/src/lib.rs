//! Vocabulary that every other crate shares: names, ids, resources, work and outcomes.
//!
//! This crate holds data only. It depends on no other crate of the workspace, so a platform
//! adapter or an embedding program can use the types without pulling in any logic.

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
