//! Runs stand-ins for the platform's services, for tests and for trying out the system.

use {
    clap::Parser,
    damaskrack_standin::StandinCommand,
    std::io::{Write, stdout},
};

/// Stand-ins for the platform's store, host list and workers.
///
/// Prints one line of JSON with the addresses once everything listens and runs until it is
/// stopped. Faults are switched by `POST /v1/faults` on the control address.
#[derive(Debug, Parser)]
#[command(name = "damaskrack-standin", version)]
struct CommandLine {
    /// Which stand-ins to run.
    #[command(subcommand)]
    command: StandinCommand,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let platform = CommandLine::parse().command.start().await?;
    let line = serde_json::to_string(&platform.addresses())?;
    writeln!(stdout().lock(), "{line}")?;
    tokio::signal::ctrl_c().await?;
    Ok(())
}
