//! Scheduling policy: fair shares, bin packing, preemption, worker health and retries.
//!
//! Every function here is pure or changes only the value it is called on: it takes borrowed slices
//! and plain numbers and returns indices or amounts. The daemons call these functions with data
//! from their tables, and the benchmarks call them without a daemon.

mod entitlement;
mod fractions;
mod health;
mod packing;
mod ranking;
mod retry;
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
