//! Discrete-event simulation of a cell: real node logic on simulated time, network, store, workers
//! and hosts.
//!
//! All events go through one queue and all random numbers come from one seeded generator, so a run
//! is a pure function of its script and seed.

mod act;
mod build;
mod callers;
mod faults;
mod lifecycle;
mod links;
mod network;
mod operators;
mod path_end;
mod paths;
mod platform;
mod poll_schedule;
mod process;
mod queue;
mod record;
mod sim;
mod sim_store;
mod sim_worker;
mod stand_in_faults;
mod targets;
mod trace;

pub use trace::TraceFilter;
pub(crate) use {
    build::{resolve_losses, seen_configs},
    callers::{CallerBook, is_passing},
    links::{LinkTable, SILENCE_LIMIT_MS},
    operators::{ManifestChange, apply_edit},
    path_end::{CutTable, PathEnd},
    platform::HOSTS_READ_INTERVAL_MS,
    poll_schedule::PollSchedule,
    process::{CallKind, CallOrigin, CallWaiter, NodeProcess},
    queue::EventQueue,
    record::WorldRecord,
    sim::{ActiveFault, SimWorld, TICK_INTERVAL_MS, WorldEvent},
    sim_store::{SimStore, StoreOutcome},
    sim_worker::{SimWorker, WorkerOutcome},
    trace::TraceLog,
};
