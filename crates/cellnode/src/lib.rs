//! A daemon of a cell around the scheduler core: election, durable rows, connections between
//! daemons, and what callers ask for. The outside systems are traits; an adapter implements them.

mod clock;
mod entry;
mod follow;
mod frame;
mod guard;
mod hub;
mod job_sink;
mod lane_writer;
mod leader;
mod leader_event;
mod lease_keeper;
mod link;
mod node;
mod outside;
mod proof;
mod rows;
mod succession;
mod worker_sink;

pub use {
    clock::{boot_ms, unix_ms},
    entry::{EntryAccess, EntryError, EntryService},
    node::{CellNode, CellNodeConfig, OutsideLinks},
    outside::{
        AdviserGateway, CellStore, PlatformCodec, StoreError, StoreItem, StorePage, StorePut,
        StoreTransaction, TransactionOutcome, WorkerGateway,
    },
};
