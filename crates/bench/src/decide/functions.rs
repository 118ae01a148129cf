//! The policy's functions on their own.

use {
    super::cell::{CellSize, WORKER},
    damaskrack_model::{PriorityClass, Resources},
    damaskrack_ownership::{PieceName, suggest_owner},
    damaskrack_policy::{
        PreemptionCandidate, RackFreeCapacity, TeamDemand, WorkerFreeCapacity, choose_victims,
        choose_worker, entitlements, rank_full_racks, rank_racks,
    },
    hdrhistogram::Histogram,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::Serialize,
    std::{hint::black_box, time::Instant},
};

/// Calls that are timed for each row.
const CALLS: usize = 20_000;

/// Longest time that is told apart, in nanoseconds.
const MAX_VALUE: u64 = 10_000_000_000;

/// Workers of a rack.
const WORKERS_PER_RACK: usize = 8;

/// Time of one function at one size.
#[derive(Debug, Clone, Serialize)]
pub(super) struct FunctionCost {
    pub(super) function: &'static str,
    pub(super) size: usize,
    pub(super) p50_us: f64,
    pub(super) p99_us: f64,
}

/// Times every function at every size.
pub(super) fn measure(workers: &[usize], teams: &[usize], seed: u64) -> Vec<FunctionCost> {
    let mut dice = SmallRng::seed_from_u64(seed);
    let mut rows = Vec::new();
    for &workers in workers {
        let racks = workers.div_ceil(WORKERS_PER_RACK);
        let rooms: Vec<RackFreeCapacity> = (0..racks).map(|_| draw_rack(&mut dice, 100)).collect();
        rows.push(time("rank_racks", racks, &mut dice, |dice| {
            black_box(rank_racks(&rooms, draw_need(dice), dice.random()));
        }));
        let full: Vec<RackFreeCapacity> = (0..racks).map(|_| draw_rack(&mut dice, 0)).collect();
        rows.push(time("rank_racks full", racks, &mut dice, |dice| {
            black_box(rank_racks(&full, draw_need(dice), dice.random()));
        }));
        rows.push(time("rank_full_racks", racks, &mut dice, |dice| {
            black_box(rank_full_racks(&full, draw_need(dice), dice.random()));
        }));
    }
    let rooms: Vec<WorkerFreeCapacity> =
        (0..WORKERS_PER_RACK).map(|_| draw_room(&mut dice)).collect();
    rows.push(time("choose_worker", WORKERS_PER_RACK, &mut dice, |dice| {
        black_box(choose_worker(&rooms, draw_need(dice)));
    }));
    let victims: Vec<PreemptionCandidate> = (0..16).map(|_| draw_victim(&mut dice)).collect();
    rows.push(time("choose_victims", victims.len(), &mut dice, |dice| {
        black_box(choose_victims(&victims, draw_need(dice), 1));
    }));
    for &workers in workers {
        let members = CellSize::new(workers, 1, None).members();
        let piece = PieceName::Rack("rack-1".parse().expect("a valid name"));
        rows.push(time("suggest_owner", members.len(), &mut dice, |_| {
            black_box(suggest_owner(black_box(&piece), black_box(&members)));
        }));
    }
    for &teams in teams {
        let demands: Vec<TeamDemand> = (0..teams).map(|_| draw_demand(&mut dice)).collect();
        let capacity = WORKER.checked_mul(50).unwrap_or(WORKER);
        rows.push(time("entitlements", teams, &mut dice, |_| {
            black_box(entitlements(black_box(capacity), black_box(&demands)));
        }));
    }
    rows
}

#[allow(clippy::cast_precision_loss)]
fn time(
    function: &'static str,
    size: usize,
    dice: &mut SmallRng,
    mut call: impl FnMut(&mut SmallRng),
) -> FunctionCost {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_VALUE, 3).expect("the bounds are valid");
    for _ in 0..CALLS {
        let started = Instant::now();
        call(dice);
        let nanos = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        histogram.saturating_record(nanos);
    }
    let us = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    FunctionCost { function, size, p50_us: us(0.5), p99_us: us(0.99) }
}

fn draw_need(dice: &mut SmallRng) -> Resources {
    Resources {
        millicores: dice.random_range(1..=8) * 500,
        memory_bytes: dice.random_range(1..=8) << 30,
        accelerators: 0,
    }
}

fn draw_part(dice: &mut SmallRng, percent: u64, whole: Resources) -> Resources {
    let mut part = |amount: u64| amount / 100 * dice.random_range(0..=percent);
    Resources {
        millicores: part(whole.millicores),
        memory_bytes: part(whole.memory_bytes),
        accelerators: 0,
    }
}

fn draw_rack(dice: &mut SmallRng, percent: u64) -> RackFreeCapacity {
    let capacity = WORKER.checked_mul(WORKERS_PER_RACK as u64).unwrap_or(WORKER);
    RackFreeCapacity {
        is_open: true,
        capacity,
        free: draw_part(dice, percent, capacity),
        free_slots: 16,
        largest_free: draw_part(dice, percent, WORKER),
        largest_worker: WORKER,
        same_job_tasks: 0,
    }
}

fn draw_room(dice: &mut SmallRng) -> WorkerFreeCapacity {
    let free = draw_part(dice, 100, WORKER);
    WorkerFreeCapacity { capacity: WORKER, free, free_slots: 4, is_open: true }
}

fn draw_victim(dice: &mut SmallRng) -> PreemptionCandidate {
    PreemptionCandidate {
        team: dice.random_range(0..4),
        borrowed_share: 0.2,
        share: 0.01,
        resources: draw_need(dice),
        class: PriorityClass::Normal,
        is_preemptible: true,
        is_checkpointable: dice.random(),
        age_ms: dice.random_range(0..100_000),
    }
}

fn draw_demand(dice: &mut SmallRng) -> TeamDemand {
    let limit = Resources {
        millicores: u64::MAX >> 16,
        memory_bytes: u64::MAX >> 16,
        accelerators: u64::MAX >> 16,
    };
    TeamDemand {
        weight: dice.random_range(1..8),
        wanted: draw_part(dice, 100, WORKER.checked_mul(10).unwrap_or(WORKER)),
        limit,
    }
}
