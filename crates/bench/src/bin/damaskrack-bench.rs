//! Measures damaskrack. A tool for developers; it is no part of a running cell.

use {
    anyhow::Result,
    clap::{Parser, Subcommand},
    damaskrack_bench::{DaemonsOptions, DecideOptions, PolicyOptions},
};

/// Measures damaskrack.
#[derive(Debug, Parser)]
#[command(version, about)]
struct BenchArgs {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Time and memory of decisions by the size of the cell.
    Decide(DecideOptions),
    /// Waiting time, packing and shares of this policy and of simpler ones under the same work.
    Policy(PolicyOptions),
    /// Real daemons on loopback under load and faults.
    Daemons(DaemonsOptions),
}

fn main() -> Result<()> {
    match BenchArgs::parse().command {
        BenchCommand::Decide(options) => options.run(),
        BenchCommand::Policy(options) => options.run(),
        BenchCommand::Daemons(options) => options.run(),
    }
}
