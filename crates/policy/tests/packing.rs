//! Properties of the choice of workers and racks.

use {
    damaskrack_model::Resources,
    damaskrack_policy::{
        MAX_CANDIDATES, RackFreeCapacity, WorkerFreeCapacity, choose_worker, rank_full_racks,
        rank_racks,
    },
    quickcheck::quickcheck,
};

const WORKER: Resources = Resources { millicores: 16_000, memory_bytes: 32_000, accelerators: 0 };

fn resources((millicores, memory_bytes, accelerators): (u16, u16, u8)) -> Resources {
    Resources {
        millicores: u64::from(millicores) % 16_000,
        memory_bytes: u64::from(memory_bytes) % 32_000,
        accelerators: u64::from(accelerators) % 5,
    }
}

fn rooms(seeds: &[((u16, u16, u8), u8, bool)]) -> Vec<WorkerFreeCapacity> {
    seeds
        .iter()
        .map(|&(free, slots, is_open)| WorkerFreeCapacity {
            capacity: Resources { accelerators: 4, ..WORKER },
            free: resources(free),
            free_slots: u32::from(slots % 3),
            is_open,
        })
        .collect()
}

fn rack(free: Resources) -> RackFreeCapacity {
    RackFreeCapacity {
        is_open: true,
        capacity: WORKER,
        free,
        free_slots: 8,
        largest_free: free,
        largest_worker: WORKER,
        same_job_tasks: 0,
    }
}

quickcheck! {
    fn a_worker_is_found_if_and_only_if_one_fits(
        seeds: Vec<((u16, u16, u8), u8, bool)>,
        need: (u16, u16, u8)
    ) -> bool {
        let (rooms, need) = (rooms(&seeds), resources(need));
        match choose_worker(&rooms, need) {
            Some(index) => rooms[index].fits(need),
            None => !rooms.iter().any(|room| room.fits(need)),
        }
    }

    fn ranked_racks_fit_and_are_distinct(
        seeds: Vec<(u16, u16, u8)>,
        need: (u16, u16, u8),
        draw: u64
    ) -> bool {
        let racks: Vec<RackFreeCapacity> = seeds.iter().map(|&free| rack(resources(free))).collect();
        let need = resources(need);
        let ranked = rank_racks(&racks, need, draw);
        let mut distinct = ranked.clone();
        distinct.sort_unstable();
        distinct.dedup();
        ranked.len() <= MAX_CANDIDATES
            && distinct.len() == ranked.len()
            && ranked.iter().all(|&index| racks[index].largest_free.covers(need))
    }

    fn a_small_cell_is_looked_at_whole(seeds: Vec<(u16, u16, u8)>, draw: u64) -> bool {
        let racks: Vec<RackFreeCapacity> =
            seeds.iter().take(64).map(|&free| rack(resources(free))).collect();
        let need = Resources { millicores: 1_000, memory_bytes: 1_000, accelerators: 0 };
        let has_room = racks.iter().any(|rack| rack.largest_free.covers(need));
        has_room != rank_racks(&racks, need, draw).is_empty()
    }
}

#[test]
fn work_without_accelerators_avoids_workers_that_have_them() {
    let plain = WorkerFreeCapacity { capacity: WORKER, free: WORKER, free_slots: 8, is_open: true };
    let capacity = Resources { accelerators: 4, ..WORKER };
    let free = Resources { millicores: 1_000, memory_bytes: 2_000, accelerators: 4 };
    let tight = WorkerFreeCapacity { capacity, free, ..plain };
    let need = Resources { millicores: 1_000, memory_bytes: 2_000, accelerators: 0 };
    assert_eq!(choose_worker(&[tight, plain], need), Some(1));
    assert_eq!(choose_worker(&[tight], need), Some(0));
}

#[test]
fn the_worker_of_the_matching_shape_is_taken() {
    let room = |free| WorkerFreeCapacity { capacity: WORKER, free, free_slots: 8, is_open: true };
    let cpu_rich = room(Resources { millicores: 8_000, memory_bytes: 4_000, accelerators: 0 });
    let memory_rich = room(Resources { millicores: 2_000, memory_bytes: 16_000, accelerators: 0 });
    let need = Resources { millicores: 1_000, memory_bytes: 4_000, accelerators: 0 };
    assert_eq!(choose_worker(&[cpu_rich, memory_rich], need), Some(1));
}

#[test]
fn services_spread_over_zones_before_they_pack() {
    let near =
        RackFreeCapacity { same_job_tasks: 1, ..rack(Resources { millicores: 1_000, ..WORKER }) };
    let far = rack(WORKER);
    let need = Resources { millicores: 1_000, ..Resources::ZERO };
    assert_eq!(rank_racks(&[near, far], need, 3), [1, 0]);
}

#[test]
fn full_racks_are_ranked_for_reclaim_only() {
    let full = rack(Resources::ZERO);
    let closed = RackFreeCapacity { is_open: false, ..full };
    let need = Resources { millicores: 1_000, ..Resources::ZERO };
    assert!(rank_racks(&[full, closed], need, 1).is_empty());
    assert_eq!(rank_full_racks(&[full, closed], need, 1), [0]);
}
