//! Properties of the entitlement computation.

use {
    damaskrack_model::Resources,
    damaskrack_policy::{TeamDemand, entitlements},
    quickcheck::quickcheck,
};

const EPSILON: f64 = 1e-9;

const CAPACITY: Resources =
    Resources { millicores: 800_000, memory_bytes: 1_600_000, accelerators: 64 };

type DemandSeed = (u8, (u32, u32, u8), (u32, u32, u8));

fn resources((millicores, memory_bytes, accelerators): (u32, u32, u8)) -> Resources {
    Resources {
        millicores: (millicores % 1_200_000).into(),
        memory_bytes: (memory_bytes % 2_400_000).into(),
        accelerators: (accelerators % 96).into(),
    }
}

fn demands(seeds: &[DemandSeed]) -> Vec<TeamDemand> {
    seeds
        .iter()
        .map(|&(weight, wanted, limit)| TeamDemand {
            weight: u32::from(weight % 10) + 1,
            wanted: resources(wanted),
            limit: resources(limit),
        })
        .collect()
}

fn usable(demand: &TeamDemand) -> Resources {
    Resources {
        millicores: demand.wanted.millicores.min(demand.limit.millicores),
        memory_bytes: demand.wanted.memory_bytes.min(demand.limit.memory_bytes),
        accelerators: demand.wanted.accelerators.min(demand.limit.accelerators),
    }
}

#[allow(clippy::cast_precision_loss)]
fn fractions(amount: Resources) -> [f64; 3] {
    [
        amount.millicores as f64 / CAPACITY.millicores as f64,
        amount.memory_bytes as f64 / CAPACITY.memory_bytes as f64,
        amount.accelerators as f64 / CAPACITY.accelerators as f64,
    ]
}

quickcheck! {
    fn no_resource_is_overallocated(seeds: Vec<DemandSeed>) -> bool {
        let demands = demands(&seeds);
        let shares = entitlements(CAPACITY, &demands);
        (0..3).all(|resource| {
            let allocated: f64 = demands
                .iter()
                .zip(&shares)
                .filter(|(demand, _)| usable(demand) != Resources::ZERO)
                .map(|(demand, share)| {
                    let amount = usable(demand);
                    share * fractions(amount)[resource] / amount.dominant_share(CAPACITY)
                })
                .sum();
            allocated <= 1.0 + EPSILON
        })
    }

    fn one_resource_sums_to_at_most_the_cell(seeds: Vec<(u8, u32)>) -> bool {
        let demands: Vec<TeamDemand> = seeds
            .iter()
            .map(|&(weight, cores)| TeamDemand {
                weight: u32::from(weight) + 1,
                wanted: resources((cores, 0, 0)),
                limit: CAPACITY,
            })
            .collect();
        entitlements(CAPACITY, &demands).iter().sum::<f64>() <= 1.0 + EPSILON
    }

    fn no_team_gets_more_than_it_can_use(seeds: Vec<DemandSeed>) -> bool {
        let demands = demands(&seeds);
        let shares = entitlements(CAPACITY, &demands);
        demands.iter().zip(&shares).all(|(demand, &share)| {
            share <= usable(demand).dominant_share(CAPACITY) + EPSILON
        })
    }

    fn every_team_gets_its_weight_or_its_demand(seeds: Vec<DemandSeed>) -> bool {
        let demands = demands(&seeds);
        let shares = entitlements(CAPACITY, &demands);
        let weights: f64 = demands.iter().map(|demand| f64::from(demand.weight)).sum();
        demands.iter().zip(&shares).all(|(demand, &share)| {
            let fair = f64::from(demand.weight) / weights;
            share >= usable(demand).dominant_share(CAPACITY).min(fair) - EPSILON
        })
    }

    fn the_same_demands_give_the_same_shares(seeds: Vec<DemandSeed>) -> bool {
        let demands = demands(&seeds);
        entitlements(CAPACITY, &demands) == entitlements(CAPACITY, &demands)
    }
}

#[test]
fn unused_share_is_lent_by_weight() {
    let cores = |millicores| Resources { millicores, ..Resources::ZERO };
    let team =
        |weight, wanted| TeamDemand { weight, wanted: cores(wanted), limit: cores(u64::MAX) };
    let shares = entitlements(cores(1_000), &[team(5, 0), team(1, 1_000), team(3, 1_000)]);
    assert_eq!(shares[0], 0.0);
    assert!((shares[1] - 0.25).abs() < EPSILON);
    assert!((shares[2] - 0.75).abs() < EPSILON);
}
