//! Borders to the platform: its store, its host list and its workers.
//!
//! The scheduler core never calls these itself. It emits [`StoreCall`]s and [`WorkerCall`]s as
//! values, and the daemon carries them out through the trait objects of this crate. Another
//! published protocol is met by another implementation of a trait.

mod hosts;
mod store;
mod worker;

pub use {
    hosts::{HostList, HostRow, HostState},
    store::{PlatformStore, StoreCall, StoreEntry, StoreEvent, StoreFailure, StoreReply},
    worker::{
        EndedRow, RunningRow, StartOrder, StartVerdict, WorkerBody, WorkerCall, WorkerFailure,
        WorkerLink, WorkerReply, WorkerReport,
    },
};
