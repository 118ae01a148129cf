//! The two users' work, drawn from a seed.
//!
//! One day is pressed into a few minutes: services start first, then the nightly batch fills the
//! cell, gangs come in between, and the peak of urgent checks falls into the full cell, while a
//! zone leaves and returns. `docs/MEASURES.md` states the assumptions.

use {
    clap::ValueEnum,
    damaskrack_model::{PriorityClass, Resources, WorkKind},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::Serialize,
};

/// First moment of work, in milliseconds: the daemons have taken everything over by then.
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

/// What a piece of work is to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WorkSort {
    Check,
    Service,
    Gang,
    Batch,
    Small,
}

/// A team of the mix.
#[derive(Debug, Clone, Serialize)]
pub(super) struct MixTeam {
    pub(super) name: &'static str,
    pub(super) share: u32,
}

/// Work that is handed in at a moment.
#[derive(Debug, Clone)]
pub(super) struct MixArrival {
    pub(super) at_ms: u64,
    pub(super) team: usize,
    pub(super) sort: WorkSort,
    pub(super) kind: WorkKind,
    pub(super) tasks: u32,
    pub(super) need: Resources,
    /// Run time of each task; `u64::MAX` for a service.
    pub(super) run_ms: u64,
    pub(super) priority: PriorityClass,
    pub(super) idempotent: bool,
}

/// The whole work of a run.
#[derive(Debug, Clone)]
pub(super) struct WorkMix {
    pub(super) name: MixName,
    pub(super) teams: Vec<MixTeam>,
    pub(super) worker: Resources,
    pub(super) racks: usize,
    pub(super) workers_per_rack: usize,
    pub(super) slots: u32,
    pub(super) arrivals: Vec<MixArrival>,
    /// When the second zone is taken out and brought back.
    pub(super) zone_out_ms: (u64, u64),
    pub(super) run_ms: u64,
}

/// Cores and gigabytes.
fn size(millicores: u64, gigabytes: u64) -> Resources {
    Resources { millicores, memory_bytes: gigabytes << 30, accelerators: 0 }
}

/// Draws a run time around a middle, from half of it to three times it.
fn draw_run_ms(dice: &mut SmallRng, middle_ms: u64) -> u64 {
    let spread: f64 = dice.random_range(-0.7..1.1);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    let run_ms = (middle_ms as f64 * spread.exp()) as u64;
    run_ms.max(50)
}

impl WorkMix {
    /// Draws a mix of a given length.
    pub(super) fn draw(name: MixName, run_ms: u64, seed: u64) -> Self {
        let dice = &mut SmallRng::seed_from_u64(seed);
        let mut mix = Self {
            name,
            teams: Vec::new(),
            worker: size(16_000, if name == MixName::Brodica { 32 } else { 64 }),
            racks: 6,
            workers_per_rack: 8,
            slots: 16,
            arrivals: Vec::new(),
            zone_out_ms: (run_ms * 65 / 100, run_ms * 80 / 100),
            run_ms,
        };
        match name {
            MixName::Brodica => mix.fill_brodica(dice),
            MixName::Hanafy => mix.fill_hanafy(dice),
        }
        mix.arrivals.sort_by_key(|arrival| arrival.at_ms);
        mix
    }

    /// Returns the name of the mix in names of files.
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

    fn fill_brodica(&mut self, dice: &mut SmallRng) {
        let rows =
            [("captaincy", 4), ("registry", 3), ("charter", 2), ("notary", 1), ("marina", 1)];
        self.teams = rows.map(|(name, share)| MixTeam { name, share }).to_vec();
        self.add_service(0, 24, size(1_000, 2));
        self.add_service(2, 12, size(1_000, 2));
        let (from_ms, until_ms) = (self.part(10), self.part(92));
        // Nightly reconciliation: more than the cell holds.
        self.every(dice, (from_ms, until_ms), 6_000, |dice| MixArrival {
            tasks: dice.random_range(60..120),
            ..batch(1, size(2_000, 4), draw_run_ms(dice, 25_000))
        });
        self.every(dice, (from_ms, until_ms), 20_000, |dice| MixArrival {
            tasks: dice.random_range(20..60),
            ..batch(2, size(1_000, 5), draw_run_ms(dice, 30_000))
        });
        self.every(dice, (from_ms, until_ms), 25_000, |dice| MixArrival {
            sort: WorkSort::Gang,
            kind: WorkKind::Gang,
            tasks: 8,
            ..batch(1, size(4_000, 6), draw_run_ms(dice, 15_000))
        });
        for team in [3, 4] {
            self.every(dice, (from_ms, until_ms), 8_000, |dice| MixArrival {
                sort: WorkSort::Small,
                tasks: dice.random_range(4..24),
                ..batch(team, size(1_000, 2), draw_run_ms(dice, 15_000))
            });
        }
        self.every(dice, (START_MS, until_ms), 1_000, |dice| check(0, dice));
        let peak = (self.part(40), self.part(60));
        self.every(dice, peak, 50, |dice| check(0, dice));
    }

    fn fill_hanafy(&mut self, dice: &mut SmallRng) {
        let rows = [
            ("estate-north", 3),
            ("estate-south", 3),
            ("authority", 2),
            ("heritage-1", 1),
            ("heritage-2", 1),
            ("heritage-3", 1),
        ];
        self.teams = rows.map(|(name, share)| MixTeam { name, share }).to_vec();
        self.add_service(2, 24, size(1_000, 4));
        let (from_ms, until_ms) = (self.part(10), self.part(92));
        for (team, need) in [(0, size(2_000, 6)), (1, size(1_000, 7))] {
            self.every(dice, (from_ms, until_ms), 7_000, |dice| MixArrival {
                tasks: dice.random_range(60..140),
                ..batch(team, need, draw_run_ms(dice, 30_000))
            });
        }
        self.every(dice, (from_ms, until_ms), 30_000, |dice| MixArrival {
            sort: WorkSort::Gang,
            kind: WorkKind::Gang,
            tasks: 6,
            ..batch(0, size(4_000, 12), draw_run_ms(dice, 15_000))
        });
        for team in 3..6 {
            self.every(dice, (from_ms, until_ms), 5_000, |dice| MixArrival {
                sort: WorkSort::Small,
                tasks: dice.random_range(1..12),
                ..batch(team, size(1_000, 3), draw_run_ms(dice, 12_000))
            });
        }
        self.every(dice, (START_MS, until_ms), 500, |dice| MixArrival {
            idempotent: false,
            ..check(2, dice)
        });
    }

    fn part(&self, percent: u64) -> u64 {
        self.run_ms * percent / 100
    }

    fn add_service(&mut self, team: usize, tasks: u32, need: Resources) {
        self.arrivals.push(MixArrival {
            at_ms: START_MS,
            sort: WorkSort::Service,
            kind: WorkKind::Service,
            tasks,
            ..batch(team, need, u64::MAX)
        });
    }

    /// Adds arrivals with exponential gaps of a given mean.
    fn every(
        &mut self,
        dice: &mut SmallRng,
        (from_ms, until_ms): (u64, u64),
        mean_ms: u64,
        make: impl Fn(&mut SmallRng) -> MixArrival,
    ) {
        let mut at_ms = from_ms;
        loop {
            let unit: f64 = dice.random_range(f64::EPSILON..1.0);
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
            self.arrivals.push(MixArrival { at_ms, ..make(dice) });
        }
    }
}

fn batch(team: usize, need: Resources, run_ms: u64) -> MixArrival {
    MixArrival {
        at_ms: 0,
        team,
        sort: WorkSort::Batch,
        kind: WorkKind::Batch,
        tasks: 1,
        need,
        run_ms,
        priority: PriorityClass::Normal,
        idempotent: true,
    }
}

fn check(team: usize, dice: &mut SmallRng) -> MixArrival {
    MixArrival {
        sort: WorkSort::Check,
        kind: WorkKind::Request,
        priority: PriorityClass::Urgent,
        ..batch(team, size(500, 1), draw_run_ms(dice, 250))
    }
}
