//! Properties of the choice of victims.

use {
    damaskrack_model::{PriorityClass, Resources},
    damaskrack_policy::{PreemptionCandidate, choose_victims},
    quickcheck::quickcheck,
};

type VictimSeed = (u8, u16, u16, u8, (bool, bool), u32);

fn rows(seeds: &[VictimSeed], borrowed: &[u8]) -> Vec<PreemptionCandidate> {
    seeds
        .iter()
        .map(|&(team, millicores, memory_bytes, class, (preemptible, checkpointable), age)| {
            let team = usize::from(team % 4);
            let class = match class % 3 {
                0 => PriorityClass::Low,
                1 => PriorityClass::Normal,
                _ => PriorityClass::Urgent,
            };
            PreemptionCandidate {
                team,
                borrowed_share: f64::from(borrowed.get(team).copied().unwrap_or(0)) / 256.0,
                share: f64::from(millicores) / 1e6,
                resources: Resources {
                    millicores: millicores.into(),
                    memory_bytes: memory_bytes.into(),
                    accelerators: 0,
                },
                class,
                is_preemptible: preemptible,
                is_checkpointable: checkpointable,
                age_ms: age.into(),
            }
        })
        .collect()
}

fn freed(rows: &[PreemptionCandidate], chosen: &[usize]) -> Resources {
    chosen.iter().fold(Resources::ZERO, |sum, &index| sum.saturating_add(rows[index].resources))
}

fn suffices(rows: &[PreemptionCandidate], chosen: &[usize], need: Resources, slots: u32) -> bool {
    freed(rows, chosen).covers(need) && chosen.len() >= slots as usize
}

quickcheck! {
    fn victims_suffice_and_none_is_superfluous(
        seeds: Vec<VictimSeed>,
        borrowed: Vec<u8>,
        need: (u16, u16),
        slots: u8
    ) -> bool {
        let rows = rows(&seeds, &borrowed);
        let slots = u32::from(slots % 3);
        let need = Resources {
            millicores: need.0.into(),
            memory_bytes: need.1.into(),
            accelerators: 0,
        };
        let Some(chosen) = choose_victims(&rows, need, slots) else { return true };
        let without = |position: usize| {
            let mut rest = chosen.clone();
            rest.remove(position);
            rest
        };
        suffices(&rows, &chosen, need, slots)
            && (0..chosen.len()).all(|skip| !suffices(&rows, &without(skip), need, slots))
    }

    fn no_team_falls_below_its_entitlement(
        seeds: Vec<VictimSeed>,
        borrowed: Vec<u8>,
        need: u16
    ) -> bool {
        let rows = rows(&seeds, &borrowed);
        let need = Resources { millicores: need.into(), ..Resources::ZERO };
        let Some(chosen) = choose_victims(&rows, need, 1) else { return true };
        let is_kept = |team: usize| {
            let taken: f64 =
                chosen.iter().map(|&i| &rows[i]).filter(|r| r.team == team).map(|r| r.share).sum();
            rows.iter().find(|r| r.team == team).is_none_or(|r| {
                taken == 0.0 || r.borrowed_share - taken >= -1e-6
            })
        };
        (0..4).all(is_kept) && chosen.iter().all(|&i| rows[i].is_preemptible)
    }
}

fn row(class: PriorityClass, is_checkpointable: bool, age_ms: u64) -> PreemptionCandidate {
    PreemptionCandidate {
        team: 0,
        borrowed_share: 1.0,
        share: 0.01,
        resources: Resources { millicores: 1_000, ..Resources::ZERO },
        class,
        is_preemptible: true,
        is_checkpointable,
        age_ms,
    }
}

#[test]
fn the_cheapest_victim_goes_first() {
    let need = Resources { millicores: 1_000, ..Resources::ZERO };
    let rows = [
        row(PriorityClass::Low, false, 10),
        row(PriorityClass::Normal, true, 10),
        row(PriorityClass::Low, true, 500),
        row(PriorityClass::Low, true, 100),
    ];
    assert_eq!(choose_victims(&rows, need, 0), Some(vec![3]));
    assert_eq!(choose_victims(&rows[..2], need, 0), Some(vec![1]));
    let uncheckpointable = [row(PriorityClass::Low, false, 900), row(PriorityClass::Low, false, 5)];
    assert_eq!(choose_victims(&uncheckpointable, need, 0), Some(vec![1]));
}
