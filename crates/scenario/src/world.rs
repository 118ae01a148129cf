//! A cell in one process: real node logic, simulated time, network, store, workers and hosts.
//!
//! Everything that happens is an event in one queue and everything random comes from one seeded
//! source, so a run is a pure function of its script and seed.

mod act;
mod build;
mod callers;
mod faults;
mod fleet;
mod lifecycle;
mod links;
mod misbehaviour;
mod network;
mod operators;
mod paths;
mod place;
mod platform;
mod process;
mod queue;
mod record;
mod sim;
mod store_front;
mod sweeps;
mod targets;
mod trace;

pub use trace::TraceFilter;
pub(crate) use {
    build::{resolve_losses, seen_configs},
    callers::{CallerBook, is_passing},
    fleet::{FleetRow, WorkerStep},
    links::{LinkTable, SILENCE_LIMIT_MS},
    operators::{ChangeRow, apply_edit},
    place::{CutTable, NetPlace},
    platform::HOSTS_READ_MS,
    process::{CallKind, CallOrigin, CallWaiter, NodeProcess},
    queue::EventQueue,
    record::WorldRecord,
    sim::{ActiveFault, SimWorld, TICK_MS, WorldEvent},
    store_front::{StoreFront, StoreStep},
    sweeps::SweepPlan,
    trace::TraceLog,
};
