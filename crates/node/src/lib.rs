//! One daemon's scheduler core.
//!
//! [`SchedulerNode::tick`] takes what has arrived and the time, and returns what to do. The core
//! holds no clock, socket, random source or log, so the same logic serves the daemon, the seeded
//! scenarios and programs that embed it.

#![allow(dead_code)]

mod action;
mod buffer;
mod config;
mod input;
mod node;
mod rack;
mod view;

pub use {
    action::{LogField, LogLevel, LogLine, NodeAction},
    config::NodeConfig,
    input::{CallerRequest, NodeInput, OperatorRequest, ShownKey},
    node::SchedulerNode,
};
