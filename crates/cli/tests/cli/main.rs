//! Runs the tool as a process against a daemon that answers from a script.

mod explain;
mod local;
mod operators;
mod support;
mod usage;
mod work;
