//! Criterion benchmarks of the inner loops of the policy.

use {
    criterion::Criterion,
    damaskrack_model::Resources,
    damaskrack_policy::{RackFreeCapacity, TeamDemand, entitlements, rank_racks},
    std::hint::black_box,
};

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

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_ranking(&mut criterion);
    bench_entitlements(&mut criterion);
    criterion.final_summary();
}
