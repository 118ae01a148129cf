//! Measures real daemons on loopback: load up to and past saturation, faults and resource usage.
//!
//! The stand-in platform runs in this process, each daemon in a process of its own. Callers are
//! open-loop: every request is sent at its scheduled time, whether or not earlier ones have got
//! their responses, and its latency counts from that time.

mod cell;
mod client;
mod faults;
mod load;
mod table;
mod usage;

use {
    crate::report::{ReportHeader, ReportOutput},
    anyhow::{Context, Result},
    cell::DaemonCell,
    clap::Args,
    faults::FaultFigures,
    load::LoadFigures,
    serde::Serialize,
    std::{path::PathBuf, time::Duration},
    tokio::time::sleep,
    usage::UsageFigures,
};

/// Runtime threads for the callers and the platform.
const RUNTIME_THREADS: usize = 6;

/// Pause after each load.
const PAUSE_BETWEEN_LOADS: Duration = Duration::from_secs(2);

/// Options of `daemons`.
#[derive(Debug, Clone, Args)]
pub struct DaemonsOptions {
    /// Seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The daemon's program.
    #[arg(long, default_value = "target/release/damaskrackd")]
    program: PathBuf,
    /// Daemons.
    #[arg(long, default_value_t = 8)]
    daemons: usize,
    /// Requests a second, one load after the other.
    #[arg(long, value_delimiter = ',', default_value = "100,500,1000,2000,3000,4000,6000,8000")]
    loads: Vec<u64>,
    /// Length of each load, in seconds.
    #[arg(long, default_value_t = 8)]
    load_s: u64,
    /// Length of the idle measurement, in seconds.
    #[arg(long, default_value_t = 10)]
    idle_s: u64,
    /// Requests a second during faults.
    #[arg(long, default_value_t = 300)]
    fault_rate: u64,
    /// Leaves the faults out.
    #[arg(long)]
    no_faults: bool,
    #[command(flatten)]
    place: ReportOutput,
}

#[derive(Debug, Serialize)]
struct DaemonsReport {
    daemons: usize,
    workers: usize,
    ready_after_ms: u128,
    idle: UsageFigures,
    loads: Vec<LoadFigures>,
    faults: Vec<FaultFigures>,
}

impl DaemonsOptions {
    /// Starts the cell, runs all measurements, stops the cell and writes the report.
    ///
    /// # Errors
    ///
    /// Returns an error if the cell does not start or a report cannot be written.
    pub fn run(&self) -> Result<()> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .worker_threads(RUNTIME_THREADS)
            .build()
            .context("cannot start the runtime")?;
        runtime.block_on(self.measure())
    }

    async fn measure(&self) -> Result<()> {
        let head = ReportHeader::new(self.seed, &self.place);
        let mut cell = DaemonCell::start(&self.program, self.daemons, self.seed).await?;
        let ready_after_ms = cell.wait_until_ready().await?;
        sleep(Duration::from_secs(5)).await;
        let idle = usage::measure_idle(&cell, Duration::from_secs(self.idle_s)).await;
        let mut report = DaemonsReport {
            daemons: self.daemons,
            workers: cell.workers(),
            ready_after_ms,
            idle,
            loads: Vec::new(),
            faults: Vec::new(),
        };
        for &rate in &self.loads {
            let figures = load::run(&cell, rate, Duration::from_secs(self.load_s)).await;
            eprintln!("{}", table::load_row(&figures));
            report.loads.push(figures);
            sleep(PAUSE_BETWEEN_LOADS).await;
        }
        if !self.no_faults {
            report.faults = faults::run_all(&mut cell, self.fault_rate).await?;
        }
        cell.stop();
        self.place.write("daemons", &head, &report, &table::write(&report_view(&report)))
    }
}

fn report_view(report: &DaemonsReport) -> table::ReportView<'_> {
    table::ReportView {
        daemons: report.daemons,
        workers: report.workers,
        ready_after_ms: report.ready_after_ms,
        idle: &report.idle,
        loads: &report.loads,
        faults: &report.faults,
    }
}
