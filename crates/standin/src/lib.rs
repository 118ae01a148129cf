//! Small stand-ins for the platform: its store, its host list and its workers.
//!
//! They serve tests and `damaskrack local`, and nothing else. Each is a table of pure logic that
//! is told the time, so a simulated harness can use [`StoreTable`], [`WorkerTable`] and
//! [`HostTable`] without a server or a clock.

mod checkpoint;
mod host_table;
mod observed_run;
mod rate_limit;
mod store_stats;
mod store_table;
mod task_script;
mod worker_table;

pub use {
    checkpoint::CheckpointPlace,
    host_table::HostTable,
    observed_run::{ObservedRun, find_double_runs, find_overcommits},
    rate_limit::RateLimit,
    store_stats::StoreStats,
    store_table::{StorePlan, StoreTable, WriteRecord},
    task_script::TaskScript,
    worker_table::{WorkerPlan, WorkerTable},
};
