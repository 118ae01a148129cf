//! Stand-ins for the services of the platform: its store, its host list and its workers.
//!
//! They are meant for tests and `damaskrack local` only. The logic of each is a state machine
//! that is passed the current time, so a simulation can use [`StoreTable`], [`WorkerTable`] and
//! [`HostTable`] without a server or a clock. Each server wraps one table and adds network faults:
//! delays, lost responses, and silent and refused connections.

mod checkpoint;
mod common_clock;
mod connection_gate;
mod control_server;
mod gated_stream;
mod host_server;
mod host_table;
mod http_server;
mod observed_run;
mod platform_addresses;
mod platform_plan;
mod rate_limit;
mod response_policy;
mod standin_command;
mod standin_error;
mod standin_parts;
mod standin_platform;
mod store_server;
mod store_service;
mod store_stats;
mod store_table;
mod task_script;
mod waiting;
mod worker_server;
mod worker_service;
mod worker_table;

pub use {
    checkpoint::CheckpointPlace,
    common_clock::common_now_ms,
    host_server::{HostFaults, HostServer},
    host_table::HostTable,
    observed_run::{ObservedRun, find_double_runs, find_overcommits},
    platform_addresses::PlatformAddresses,
    platform_plan::PlatformPlan,
    rate_limit::RateLimit,
    standin_command::{
        CapacityOptions, ListenOptions, PlatformOptions, StandinCommand, WorkerOptions,
    },
    standin_error::StandinError,
    standin_parts::PlatformFaults,
    standin_platform::StandinPlatform,
    store_server::StoreServer,
    store_service::StoreFaults,
    store_stats::StoreStats,
    store_table::{StorePlan, StoreTable, WriteRecord},
    task_script::TaskScript,
    worker_server::WorkerServer,
    worker_service::WorkerFaults,
    worker_table::{WorkerPlan, WorkerTable},
};
