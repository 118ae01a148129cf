//! Decisions about shares, packing, displacement, worker health and retries.
//!
//! Every function here is pure or changes only the value it is called on: it takes borrowed rows
//! and plain numbers and returns indices or amounts. The daemons call them from their tables, and
//! the decision bench calls them without a daemon.

mod entitlement;
mod packing;
mod ranking;
mod shape;

pub use {
    entitlement::{TeamDemand, entitlements},
    packing::{WorkerRoom, choose_worker},
    ranking::{MAX_CANDIDATES, RackRoom, rank_full_racks, rank_racks},
};
