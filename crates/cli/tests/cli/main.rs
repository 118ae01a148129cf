//! Runs the tool as a process against a fake daemon with scripted responses.

mod explain;
mod local;
mod operators;
mod support;
mod usage;
mod work;
