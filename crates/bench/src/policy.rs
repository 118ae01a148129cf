//! Compares this policy with simpler ones under the workloads of two users.
//!
//! This policy runs on real nodes in the simulated cell of `damaskrack-scenario`. The others run
//! in a model with a central scheduler that decides without delay. All get the same arrivals.

mod measure;
mod mix;
mod model;
mod outcome;
mod plot;
mod rule;
mod simulation;
mod table;

use {
    crate::report::{ReportHeader, ReportOutput},
    anyhow::Result,
    clap::Args,
    measure::{PolicyFigures, measure},
    mix::{MixName, WorkMix},
    outcome::PolicyRun,
    rule::{FairShareRule, FifoRule, PlacementRule, StaticPartitionRule, StrictPriorityRule},
    serde::Serialize,
    simulation::BorrowingMode,
};

/// Options of `policy`.
#[derive(Debug, Clone, Args)]
pub struct PolicyOptions {
    /// Seed of the arrivals and of the cell.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Whose work; both if absent.
    #[arg(long, value_enum, value_delimiter = ',', default_value = "brodica,hanafy")]
    mix: Vec<MixName>,
    /// Simulated time, in seconds.
    #[arg(long, default_value_t = 600)]
    run_s: u64,
    /// Leaves out the real nodes without borrowing.
    #[arg(long)]
    short: bool,
    #[command(flatten)]
    place: ReportOutput,
}

#[derive(Debug, Serialize)]
struct MixReport {
    mix: MixName,
    run_s: u64,
    arrivals: usize,
    tasks: u64,
    policies: Vec<PolicyFigures>,
}

impl PolicyOptions {
    /// Runs every policy and writes a report and a plot for each mix.
    ///
    /// # Errors
    ///
    /// Returns an error if a cell cannot be simulated or a report or plot cannot be written.
    pub fn run(&self) -> Result<()> {
        for &name in &self.mix {
            let mix = WorkMix::draw(name, self.run_s * 1_000, self.seed);
            let runs = self.run_policies(&mix)?;
            let head = ReportHeader::new(self.seed, &self.place);
            let report = MixReport {
                mix: name,
                run_s: self.run_s,
                arrivals: mix.arrivals.len(),
                tasks: mix.arrivals.iter().map(|arrival| u64::from(arrival.tasks)).sum(),
                policies: runs.iter().map(|run| measure(&mix, run)).collect(),
            };
            let file = format!("policy-{}", mix.file_name());
            let table = table::write(&mix, &report.policies);
            self.place.write(&file, &head, &report, &table)?;
            plot::shares(&mix, &report.policies[0], &self.place.out.join(format!("{file}.svg")))?;
        }
        Ok(())
    }

    fn run_policies(&self, mix: &WorkMix) -> Result<Vec<PolicyRun>> {
        let mut runs = vec![simulation::run(mix, BorrowingMode::Allowed, self.seed)?];
        if !self.short {
            runs.push(simulation::run(mix, BorrowingMode::Forbidden, self.seed)?);
        }
        let fair = |name, preempts, packs| FairShareRule { name, preempts, packs };
        let rules: Vec<Box<dyn PlacementRule>> = vec![
            Box::new(FifoRule),
            Box::new(StrictPriorityRule),
            Box::new(StaticPartitionRule),
            Box::new(fair("fair share at once", true, true)),
            Box::new(fair("  no displacing", false, true)),
            Box::new(fair("  random worker", true, false)),
        ];
        for rule in rules {
            runs.push(model::run(mix, rule.as_ref(), self.seed));
        }
        Ok(runs)
    }
}
