//! Runs scripts marked `processes` against real daemons on loopback and the stand-ins' servers.
//!
//! The simulated world does not cover sockets, signals and the daemon's driver. Here the same
//! language drives built programs, and the same observers check the records of the stand-ins, the
//! store's history and the callers' answers.

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

/// Runtime threads for callers, operators, relays and stand-ins.
const WORKER_THREADS: usize = 2;

/// Options of a run with real processes.
#[derive(Debug, Clone)]
pub struct ProcessOptions {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Directory for the daemons' logs; they are discarded if `None`.
    pub log_directory: Option<PathBuf>,
}

/// Runs a script against real processes. The seed selects targets and daemons that the script
/// leaves open; timing is real, so two runs with the same seed differ.
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
    let run = runtime.block_on(world::ProcessWorld::run(script, seed, options));
    runtime.shutdown_background();
    let run = run?;
    let mut verdict = judge_run(script, seed, &run.history, run.figures);
    verdict.failures.extend(run.run_errors);
    Ok(verdict)
}
