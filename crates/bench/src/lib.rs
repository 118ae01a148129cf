//! Measures the cost of decisions, the effect of the policy on two workloads, and real daemons under
//! load and faults.
//!
//! Each subcommand of `damaskrack-bench` writes a JSON report with a text table; `policy` also plots
//! shares. A report names its command, seed and commit, so that a figure in the docs can be traced to
//! its run.

mod daemons;
mod decide;
mod policy;
mod report;

pub use {
    daemons::DaemonsOptions,
    decide::DecideOptions,
    policy::PolicyOptions,
    report::{ReportHeader, ReportOutput},
};
