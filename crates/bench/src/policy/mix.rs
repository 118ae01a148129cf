//! Workloads of two users, generated from a seed.
//!
//! A run compresses one day into a few minutes: services start first, then the nightly batch fills
//! the cell, with gangs in between. The peak of urgent checks meets the full cell, and later a zone
//! is taken out of service and brought back. `docs/MEASURES.md` states the assumptions.

use {
    clap::ValueEnum,
    damaskrack_model::{PriorityClass, Resources, WorkKind},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::Serialize,
};

/// Time of the first arrival, in milliseconds; the daemons have taken over all pieces by then.
const START_MS: u64 = 10_000;

/// Whose work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub(super) enum MixName {
    /// Registar Brodica: services, nightly reconciliation, gangs, harbourmasters' checks.
    Brodica,
    /// Hanafy Boiler Certification: estates' bulk work against small heritage lines.
    Hanafy,
}

/// Category of work in the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WorkCategory {
    Check,
    Service,
    Gang,
    Batch,
    Small,
}

/// A team of the mix and its weight.
#[derive(Debug, Clone, Serialize)]
pub(super) struct MixTeam {
    pub(super) name: &'static str,
    pub(super) share: u32,
}

/// A request or job that is submitted at a given time.
#[derive(Debug, Clone)]
pub(super) struct MixArrival {
    pub(super) at_ms: u64,
    pub(super) team: usize,
    pub(super) category: WorkCategory,
    pub(super) kind: WorkKind,
    pub(super) tasks: u32,
    pub(super) need: Resources,
    /// Run time of each task; `u64::MAX` for a service.
    pub(super) run_ms: u64,
    pub(super) priority: PriorityClass,
    pub(super) idempotent: bool,
}

/// Cell and arrivals of a run.
#[derive(Debug, Clone)]
pub(super) struct WorkMix {
    pub(super) name: MixName,
    pub(super) teams: Vec<MixTeam>,
    pub(super) worker: Resources,
    pub(super) racks: usize,
    pub(super) workers_per_rack: usize,
    pub(super) slots: u32,
    pub(super) arrivals: Vec<MixArrival>,
    /// Times at which the second zone is taken out of service and brought back.
    pub(super) zone_out_ms: (u64, u64),
    pub(super) run_ms: u64,
}

/// Returns resources without accelerators.
fn resources(millicores: u64, gigabytes: u64) -> Resources {
    Resources { millicores, memory_bytes: gigabytes << 30, accelerators: 0 }
}

/// Draws a run time between half of `typical_ms` and three times `typical_ms`.
fn draw_run_ms(rng: &mut SmallRng, typical_ms: u64) -> u64 {
    let spread: f64 = rng.random_range(-0.7..1.1);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    let run_ms = (typical_ms as f64 * spread.exp()) as u64;
    run_ms.max(50)
}

impl WorkMix {
    /// Generates a mix of the given length.
    pub(super) fn draw(name: MixName, run_ms: u64, seed: u64) -> Self {
        let rng = &mut SmallRng::seed_from_u64(seed);
        let mut mix = Self {
            name,
            teams: Vec::new(),
            worker: resources(16_000, if name == MixName::Brodica { 32 } else { 64 }),
            racks: 6,
            workers_per_rack: 8,
            slots: 16,
            arrivals: Vec::new(),
            zone_out_ms: (run_ms * 65 / 100, run_ms * 80 / 100),
            run_ms,
        };
        match name {
            MixName::Brodica => mix.fill_brodica(rng),
            MixName::Hanafy => mix.fill_hanafy(rng),
        }
        mix.arrivals.sort_by_key(|arrival| arrival.at_ms);
        mix
    }

    /// Returns the part of file names that stands for the mix.
    pub(super) fn file_name(&self) -> &'static str {
        match self.name {
            MixName::Brodica => "brodica",
            MixName::Hanafy => "hanafy",
        }
    }

    pub(super) fn workers(&self) -> usize {
        self.racks * self.workers_per_rack
    }

    pub(super) fn capacity(&self) -> Resources {
        self.worker.checked_mul(self.workers() as u64).unwrap_or(self.worker)
    }

    fn fill_brodica(&mut self, rng: &mut SmallRng) {
        let rows =
            [("captaincy", 4), ("registry", 3), ("charter", 2), ("notary", 1), ("marina", 1)];
        self.teams = rows.map(|(name, share)| MixTeam { name, share }).to_vec();
        self.add_service(0, 24, resources(1_000, 2));
        self.add_service(2, 12, resources(1_000, 2));
        let (from_ms, until_ms) = (self.percent_of_run(10), self.percent_of_run(92));
        // Brodica's nightly reconciliation demands more than the capacity of the cell.
        self.add_arrivals(rng, (from_ms, until_ms), 6_000, |rng| MixArrival {
            tasks: rng.random_range(60..120),
            ..batch(1, resources(2_000, 4), draw_run_ms(rng, 25_000))
        });
        self.add_arrivals(rng, (from_ms, until_ms), 20_000, |rng| MixArrival {
            tasks: rng.random_range(20..60),
            ..batch(2, resources(1_000, 5), draw_run_ms(rng, 30_000))
        });
        self.add_arrivals(rng, (from_ms, until_ms), 25_000, |rng| MixArrival {
            category: WorkCategory::Gang,
            kind: WorkKind::Gang,
            tasks: 8,
            ..batch(1, resources(4_000, 6), draw_run_ms(rng, 15_000))
        });
        for team in [3, 4] {
            self.add_arrivals(rng, (from_ms, until_ms), 8_000, |rng| MixArrival {
                category: WorkCategory::Small,
                tasks: rng.random_range(4..24),
                ..batch(team, resources(1_000, 2), draw_run_ms(rng, 15_000))
            });
        }
        self.add_arrivals(rng, (START_MS, until_ms), 1_000, |rng| check(0, rng));
        let peak = (self.percent_of_run(40), self.percent_of_run(60));
        self.add_arrivals(rng, peak, 50, |rng| check(0, rng));
    }

    fn fill_hanafy(&mut self, rng: &mut SmallRng) {
        let rows = [
            ("estate-north", 3),
            ("estate-south", 3),
            ("authority", 2),
            ("heritage-1", 1),
            ("heritage-2", 1),
            ("heritage-3", 1),
        ];
        self.teams = rows.map(|(name, share)| MixTeam { name, share }).to_vec();
        self.add_service(2, 24, resources(1_000, 4));
        let (from_ms, until_ms) = (self.percent_of_run(10), self.percent_of_run(92));
        for (team, need) in [(0, resources(2_000, 6)), (1, resources(1_000, 7))] {
            self.add_arrivals(rng, (from_ms, until_ms), 7_000, |rng| MixArrival {
                tasks: rng.random_range(60..140),
                ..batch(team, need, draw_run_ms(rng, 30_000))
            });
        }
        self.add_arrivals(rng, (from_ms, until_ms), 30_000, |rng| MixArrival {
            category: WorkCategory::Gang,
            kind: WorkKind::Gang,
            tasks: 6,
            ..batch(0, resources(4_000, 12), draw_run_ms(rng, 15_000))
        });
        for team in 3..6 {
            self.add_arrivals(rng, (from_ms, until_ms), 5_000, |rng| MixArrival {
                category: WorkCategory::Small,
                tasks: rng.random_range(1..12),
                ..batch(team, resources(1_000, 3), draw_run_ms(rng, 12_000))
            });
        }
        self.add_arrivals(rng, (START_MS, until_ms), 500, |rng| MixArrival {
            idempotent: false,
            ..check(2, rng)
        });
    }

    fn percent_of_run(&self, percent: u64) -> u64 {
        self.run_ms * percent / 100
    }

    fn add_service(&mut self, team: usize, tasks: u32, need: Resources) {
        self.arrivals.push(MixArrival {
            at_ms: START_MS,
            category: WorkCategory::Service,
            kind: WorkKind::Service,
            tasks,
            ..batch(team, need, u64::MAX)
        });
    }

    /// Adds a Poisson process: arrivals with exponentially distributed gaps of mean `mean_ms`.
    fn add_arrivals(
        &mut self,
        rng: &mut SmallRng,
        (from_ms, until_ms): (u64, u64),
        mean_ms: u64,
        make: impl Fn(&mut SmallRng) -> MixArrival,
    ) {
        let mut at_ms = from_ms;
        loop {
            let unit: f64 = rng.random_range(f64::EPSILON..1.0);
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss
            )]
            let gap_ms = (-unit.ln() * mean_ms as f64) as u64;
            at_ms += gap_ms.max(1);
            if at_ms >= until_ms {
                return;
            }
            self.arrivals.push(MixArrival { at_ms, ..make(rng) });
        }
    }
}

fn batch(team: usize, need: Resources, run_ms: u64) -> MixArrival {
    MixArrival {
        at_ms: 0,
        team,
        category: WorkCategory::Batch,
        kind: WorkKind::Batch,
        tasks: 1,
        need,
        run_ms,
        priority: PriorityClass::Normal,
        idempotent: true,
    }
}

fn check(team: usize, rng: &mut SmallRng) -> MixArrival {
    MixArrival {
        category: WorkCategory::Check,
        kind: WorkKind::Request,
        priority: PriorityClass::Urgent,
        ..batch(team, resources(500, 1), draw_run_ms(rng, 250))
    }
}
