//! Scheduler core of one daemon.
//!
//! [`SchedulerNode::tick`] takes the time and the inputs that have arrived, and returns actions.
//! The core uses no clock, socket, external randomness or logger, so the same logic runs in the
//! daemon, in seeded scenarios and in programs that embed it.

mod action;
mod buffer;
mod config;
mod entry;
mod exchange;
mod input;
mod manifest;
mod membership;
mod node;
mod pieces;
mod queue;
mod rack;
mod refusal;

mod view;

pub use {
    action::{LogField, LogLevel, LogLine, NodeAction},
    config::NodeConfig,
    input::{CallerRequest, NodeInput, OperatorRequest, PresentedKey},
    node::SchedulerNode,
};
