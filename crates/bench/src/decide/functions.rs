//! Times individual functions of the policy and of ownership.

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

/// Timed calls per row of the report.
const CALLS: usize = 20_000;

/// Upper bound of the histograms, in nanoseconds.
const MAX_RECORDED_NS: u64 = 10_000_000_000;

/// Workers per rack.
const WORKERS_PER_RACK: usize = 8;

/// Latency of one function for one input size.
#[derive(Debug, Clone, Serialize)]
pub(super) struct FunctionCost {
    pub(super) function: &'static str,
    pub(super) size: usize,
    pub(super) p50_us: f64,
    pub(super) p99_us: f64,
}

/// Times every function for each of the given cell sizes.
pub(super) fn measure(workers: &[usize], teams: &[usize], seed: u64) -> Vec<FunctionCost> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut rows = Vec::new();
    for &workers in workers {
        let racks = workers.div_ceil(WORKERS_PER_RACK);
        let free_capacities: Vec<RackFreeCapacity> =
            (0..racks).map(|_| draw_rack(&mut rng, 100)).collect();
        rows.push(time_calls("rank_racks", racks, &mut rng, |rng| {
            black_box(rank_racks(&free_capacities, draw_request(rng), rng.random()));
        }));
        let full: Vec<RackFreeCapacity> = (0..racks).map(|_| draw_rack(&mut rng, 0)).collect();
        rows.push(time_calls("rank_racks full", racks, &mut rng, |rng| {
            black_box(rank_racks(&full, draw_request(rng), rng.random()));
        }));
        rows.push(time_calls("rank_full_racks", racks, &mut rng, |rng| {
            black_box(rank_full_racks(&full, draw_request(rng), rng.random()));
        }));
    }
    let free_capacities: Vec<WorkerFreeCapacity> =
        (0..WORKERS_PER_RACK).map(|_| draw_worker(&mut rng)).collect();
    rows.push(time_calls("choose_worker", WORKERS_PER_RACK, &mut rng, |rng| {
        black_box(choose_worker(&free_capacities, draw_request(rng)));
    }));
    let victims: Vec<PreemptionCandidate> = (0..16).map(|_| draw_candidate(&mut rng)).collect();
    rows.push(time_calls("choose_victims", victims.len(), &mut rng, |rng| {
        black_box(choose_victims(&victims, draw_request(rng), 1));
    }));
    for &workers in workers {
        let members = CellSize::new(workers, 1, None).members();
        let piece = PieceName::Rack("rack-1".parse().expect("a valid name"));
        rows.push(time_calls("suggest_owner", members.len(), &mut rng, |_| {
            black_box(suggest_owner(black_box(&piece), black_box(&members)));
        }));
    }
    for &teams in teams {
        let demands: Vec<TeamDemand> = (0..teams).map(|_| draw_demand(&mut rng)).collect();
        let capacity = WORKER.checked_mul(50).unwrap_or(WORKER);
        rows.push(time_calls("entitlements", teams, &mut rng, |_| {
            black_box(entitlements(black_box(capacity), black_box(&demands)));
        }));
    }
    rows
}

#[allow(clippy::cast_precision_loss)]
fn time_calls(
    function: &'static str,
    size: usize,
    rng: &mut SmallRng,
    mut call: impl FnMut(&mut SmallRng),
) -> FunctionCost {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_NS, 3).expect("the bounds are valid");
    for _ in 0..CALLS {
        let started = Instant::now();
        call(rng);
        let nanos = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        histogram.saturating_record(nanos);
    }
    let us = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    FunctionCost { function, size, p50_us: us(0.5), p99_us: us(0.99) }
}

fn draw_request(rng: &mut SmallRng) -> Resources {
    Resources {
        millicores: rng.random_range(1..=8) * 500,
        memory_bytes: rng.random_range(1..=8) << 30,
        accelerators: 0,
    }
}

fn draw_fraction(rng: &mut SmallRng, percent: u64, whole: Resources) -> Resources {
    let mut part = |amount: u64| amount / 100 * rng.random_range(0..=percent);
    Resources {
        millicores: part(whole.millicores),
        memory_bytes: part(whole.memory_bytes),
        accelerators: 0,
    }
}

fn draw_rack(rng: &mut SmallRng, percent: u64) -> RackFreeCapacity {
    let capacity = WORKER.checked_mul(WORKERS_PER_RACK as u64).unwrap_or(WORKER);
    RackFreeCapacity {
        is_open: true,
        capacity,
        free: draw_fraction(rng, percent, capacity),
        free_slots: 16,
        largest_free: draw_fraction(rng, percent, WORKER),
        largest_worker: WORKER,
        same_job_tasks: 0,
    }
}

fn draw_worker(rng: &mut SmallRng) -> WorkerFreeCapacity {
    let free = draw_fraction(rng, 100, WORKER);
    WorkerFreeCapacity { capacity: WORKER, free, free_slots: 4, is_open: true }
}

fn draw_candidate(rng: &mut SmallRng) -> PreemptionCandidate {
    PreemptionCandidate {
        team: rng.random_range(0..4),
        borrowed_share: 0.2,
        share: 0.01,
        resources: draw_request(rng),
        class: PriorityClass::Normal,
        is_preemptible: true,
        is_checkpointable: rng.random(),
        age_ms: rng.random_range(0..100_000),
    }
}

fn draw_demand(rng: &mut SmallRng) -> TeamDemand {
    let limit = Resources {
        millicores: u64::MAX >> 16,
        memory_bytes: u64::MAX >> 16,
        accelerators: u64::MAX >> 16,
    };
    TeamDemand {
        weight: rng.random_range(1..8),
        wanted: draw_fraction(rng, 100, WORKER.checked_mul(10).unwrap_or(WORKER)),
        limit,
    }
}
