//! Decisions about shares, packing, displacement, worker health and retries.
//!
//! Every function here is pure or changes only the value it is called on: it takes borrowed rows
//! and plain numbers and returns indices or amounts. The daemons call them from their tables, and
//! the decision bench calls them without a daemon.

mod entitlement;
mod health;
mod packing;
mod ranking;
mod retry;
mod shape;
mod usage;
mod victim;

pub use {
    entitlement::{TeamDemand, entitlements},
    health::{HealthChange, WorkerEligibility, WorkerHealth},
    packing::{WorkerFreeCapacity, choose_worker},
    ranking::{MAX_CANDIDATES, RackFreeCapacity, rank_full_racks, rank_racks},
    retry::{RetryBudget, backoff_ms},
    usage::UsageEstimate,
    victim::{PreemptionCandidate, choose_victims},
};
