//! Measures the cost of decisions for cells of several sizes.
//!
//! One real [`damaskrack_node::SchedulerNode`] is driven by a simulated store, simulated peers
//! and simulated workers. Only its ticks are timed. Simulated time advances by a millisecond a tick
//! under load, so the sum of the tick times divided by the simulated time is the fraction of a core
//! that the node needs.

mod cell;
mod functions;
mod meter;
mod node_harness;
mod queue_owner;
mod rack_owner;

use {
    crate::report::{ReportHeader, ReportOutput},
    anyhow::Result,
    cell::CellSize,
    clap::Args,
    functions::FunctionCost,
    meter::TickCost,
    serde::Serialize,
    std::fmt::Write,
};

/// Options of `decide`.
#[derive(Debug, Clone, Args)]
pub struct DecideOptions {
    /// Seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Workers of the cells.
    #[arg(long, value_delimiter = ',', default_value = "50,500,5000,23000")]
    workers: Vec<usize>,
    /// Teams of the cells; the last is used where only the number of workers varies.
    #[arg(long, value_delimiter = ',', default_value = "6,60,330")]
    teams: Vec<usize>,
    /// Daemons of every cell, in place of one for every 58 workers and at least 8.
    #[arg(long)]
    daemons: Option<usize>,
    /// Starts a second that are offered to the one node.
    #[arg(long, value_delimiter = ',', default_value = "2000,7200")]
    rates: Vec<u64>,
    /// Simulated time of each run, in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    run_ms: u64,
    /// Name of the report's files.
    #[arg(long, default_value = "decide")]
    name: String,
    #[command(flatten)]
    place: ReportOutput,
}

#[derive(Debug, Serialize)]
struct DecideReport {
    functions: Vec<FunctionCost>,
    ticks: Vec<TickCost>,
}

impl DecideOptions {
    /// Runs all measurements and writes the report.
    ///
    /// # Errors
    ///
    /// Returns an error if a report cannot be written or a node does not take over its pieces.
    pub fn run(&self) -> Result<()> {
        let head = ReportHeader::new(self.seed, &self.place);
        let mut report = DecideReport { functions: Vec::new(), ticks: Vec::new() };
        report.functions = functions::measure(&self.workers, &self.teams, self.seed);
        for &workers in &self.workers {
            for &teams in &self.teams {
                let size = CellSize::new(workers, teams, self.daemons);
                self.measure_cell(size, &mut report.ticks)?;
            }
        }
        self.place.write(&self.name, &head, &report, &report.table())
    }

    fn measure_cell(&self, size: CellSize, rows: &mut Vec<TickCost>) -> Result<()> {
        let mut queue = queue_owner::QueueOwnerBench::start(size, self.seed)?;
        rows.push(queue.idle(self.run_ms));
        for &rate in &self.rates {
            rows.push(queue.load(rate, self.run_ms));
        }
        drop(queue);
        let mut rack = rack_owner::RackOwnerBench::start(size, self.seed)?;
        rows.push(rack.idle(self.run_ms));
        for &rate in &self.rates {
            rows.push(rack.load(rate, self.run_ms));
        }
        let done = rows.len();
        eprintln!("{} workers, {} teams: {done} rows", size.workers, size.teams);
        Ok(())
    }
}

impl DecideReport {
    fn table(&self) -> String {
        let mut text = String::from("Functions of the policy, microseconds a call\n");
        text.push_str("function          size      p50      p99\n");
        for row in &self.functions {
            let _ = writeln!(
                text,
                "{:<16} {:>5} {:>8.2} {:>8.2}",
                row.function, row.size, row.p50_us, row.p99_us
            );
        }
        text.push_str("\nTicks of one node, microseconds; core = part of one core\n");
        text.push_str(TickCost::HEADING);
        for row in &self.ticks {
            let _ = writeln!(text, "{row}");
        }
        text
    }
}
