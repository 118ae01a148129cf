//! Criterion benchmarks of the inner loops of the policy, and of a placement pass of the scheduler core.

mod placement_cell;

use {
    criterion::Criterion,
    damaskrack_model::Resources,
    damaskrack_policy::{RackFreeCapacity, TeamDemand, entitlements, rank_racks},
    placement_cell::PlacementCell,
    std::{hint::black_box, time::Duration},
};

/// Numbers of workers of the cells whose placement pass is measured.
const CELL_WORKERS: [usize; 4] = [48, 370, 3_000, 23_000];

fn worker() -> Resources {
    Resources { millicores: 16_000, memory_bytes: 32 << 30, accelerators: 0 }
}

fn bench_ranking(criterion: &mut Criterion) {
    let free_capacity = |index: u64| RackFreeCapacity {
        is_open: true,
        capacity: worker(),
        free: Resources { millicores: index % 16 * 1_000, ..worker() },
        free_slots: 8,
        largest_free: Resources { millicores: index % 16 * 1_000, ..worker() },
        largest_worker: worker(),
        same_job_tasks: 0,
    };
    let need = Resources { millicores: 2_000, memory_bytes: 4 << 30, accelerators: 0 };
    for racks in [6_u64, 2_875] {
        let free_capacities: Vec<RackFreeCapacity> = (0..racks).map(free_capacity).collect();
        let mut draw = 0_u64;
        criterion.bench_function(&format!("rank_racks/{racks}"), |bencher| {
            bencher.iter(|| {
                draw = draw.wrapping_add(0x9E37_79B9_7F4A_7C15);
                black_box(rank_racks(&free_capacities, need, draw))
            });
        });
    }
}

fn bench_entitlements(criterion: &mut Criterion) {
    for teams in [6_u64, 330] {
        let demand = |index: u64| TeamDemand {
            weight: 1 + u32::try_from(index % 7).unwrap_or(0),
            wanted: worker().checked_mul(index).unwrap_or_default(),
            limit: worker().checked_mul(1_000).unwrap_or_default(),
        };
        let demands: Vec<TeamDemand> = (0..teams).map(demand).collect();
        let capacity = worker().checked_mul(500).unwrap_or_default();
        criterion.bench_function(&format!("entitlements/{teams}"), |bencher| {
            bencher.iter(|| black_box(entitlements(capacity, &demands)));
        });
    }
}

/// One pass over a backlog of steps that wait: for a label, for free capacity, or for the adviser.
fn bench_placement(criterion: &mut Criterion) {
    for workers in CELL_WORKERS {
        for has_adviser in [false, true] {
            let mut cell = PlacementCell::new(workers, has_adviser);
            let kind = if has_adviser { "advised" } else { "plain" };
            criterion.bench_function(&format!("placement/{kind}/{workers}"), |bencher| {
                bencher.iter_custom(|passes| (0..passes).map(|_| cell.place()).sum::<Duration>());
            });
        }
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_ranking(&mut criterion);
    bench_entitlements(&mut criterion);
    bench_placement(&mut criterion);
    criterion.final_summary();
}
