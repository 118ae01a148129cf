//! Scripts marked `processes`: real daemons on loopback over the stand-ins' servers.
//!
//! The simulated world cannot show what sockets, signals and the daemon's own driver do. Here the
//! same language drives built programs, and the same observers judge them by the stand-ins'
//! tables, the store's history and the callers' books.

mod caller;
mod client;
mod daemon;
mod fault;
mod measure;
mod operator;
mod platform_servers;
mod ports;
mod relay;
mod world;

pub use measure::{ProcessFigures, UsageFigures, WaitFigures, measure_processes};

use {
    crate::{
        runner::{RunVerdict, failed_run, judge_run},
        script::ScenarioScript,
    },
    anyhow::Context,
    std::path::PathBuf,
    tokio::runtime::Builder,
};

/// Threads that callers, operators, relays and stand-ins share.
const WORKER_THREADS: usize = 2;

/// What real processes are run with.
#[derive(Debug, Clone)]
pub struct ProcessOptions {
    /// The daemon's program.
    pub program: PathBuf,
    /// Directory that the daemons' logs go to; nowhere if `None`.
    pub log_directory: Option<PathBuf>,
}

/// Runs a script against real processes. The seed decides targets and entries that the script
/// leaves open; times are those of the machine, so two runs differ.
#[must_use]
pub fn run_processes(script: &ScenarioScript, seed: u64, options: &ProcessOptions) -> RunVerdict {
    run_cell(script, seed, options).unwrap_or_else(|error| failed_run(seed, format!("{error:#}")))
}

fn run_cell(
    script: &ScenarioScript,
    seed: u64,
    options: &ProcessOptions,
) -> anyhow::Result<RunVerdict> {
    let mut builder = Builder::new_multi_thread();
    let runtime = builder
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context("cannot start a runtime")?;
    let run = runtime.block_on(world::LiveWorld::run(script, seed, options));
    runtime.shutdown_background();
    let run = run?;
    let mut verdict = judge_run(script, seed, &run.history, run.figures);
    verdict.failures.extend(run.run_errors);
    Ok(verdict)
}
