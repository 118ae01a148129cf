//! Borders to the platform: its store, its host list and its workers.
//!
//! The scheduler core never calls these itself. It emits [`StoreCall`]s and [`WorkerCall`]s as
//! values, and the daemon carries them out through the trait objects of this crate. Another
//! published protocol is met by another implementation of a trait.

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
        EndedAttempt, RunningAttempt, StartOrder, StartOutcome, WorkerBody, WorkerCall,
        WorkerClient, WorkerError, WorkerReply, WorkerReport,
    },
};
