//! Clients of the platform's store, host list and workers.
//!
//! The scheduler core performs no input or output. It emits [`StoreCall`]s and [`WorkerCall`]s as
//! values, and the daemon executes them through the traits of this crate. Support for another
//! protocol is another implementation of a trait.

mod host_rows;
mod hosts;
mod http_client;
mod http_hosts;
mod http_store;
mod http_worker;
mod store;
mod worker;

pub use {
    hosts::{HostList, HostRow, HostState},
    http_client::NOT_SERVED,
    http_hosts::HttpHosts,
    http_store::HttpStore,
    http_worker::HttpWorker,
    store::{PlatformStore, StoreCall, StoreEntry, StoreError, StoreEvent, StoreReply},
    worker::{
        EndedAttempt, RunningAttempt, StartOutcome, StartRequest, WorkerBody, WorkerCall,
        WorkerClient, WorkerError, WorkerReply, WorkerReport,
    },
};
