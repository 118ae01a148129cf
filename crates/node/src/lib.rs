//! One daemon's scheduler core.
//!
//! [`SchedulerNode::tick`] takes what has arrived and the time, and returns what to do. The core
//! holds no clock, socket, random source or log, so the same logic serves the daemon, the seeded
//! scenarios and programs that embed it.

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
