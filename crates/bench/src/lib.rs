//! Measurements: the cost of decisions, what the policy does to two mixes of work, and real
//! daemons under load and faults.
//!
//! Each subcommand of `damaskrack-bench` writes one JSON report, a table for a person and, where
//! it helps, a plot. A report names its command, seed and commit, so that a figure in the docs can
//! be traced to the run that gave it.

mod daemons;
mod decide;
mod policy;
mod report;

pub use {
    daemons::DaemonsOptions,
    decide::DecideOptions,
    policy::PolicyOptions,
    report::{ReportHead, ReportPlace},
};
