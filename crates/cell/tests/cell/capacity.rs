//! Workers whose capacity shrinks and grows while they run. The fake cell checks that no start brings
//! a worker above the capacity that it has reported.

use {
    crate::support::{CAPACITY, FakeCell, job, random_numbers, step},
    damaskrack_cell::{JobState, StepSpec},
};

/// The capacity shrinks between the placement of a job and the start requests, while its row is
/// written.
#[test]
fn a_start_placed_before_the_capacity_shrank_is_not_sent() {
    let mut cell = FakeCell::new(1);
    cell.run(100);
    cell.is_store_down = true;
    cell.submit(job("1", vec![step(4)]));
    cell.run(100);
    cell.resize_worker("w0", 2_000);
    cell.restore_store();
    cell.run(200);
    assert_eq!(cell.workers["w0"].runs.len(), 2);
    cell.run(5_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// Half of a gang's workers shrink while its row is written: it starts later, as a whole.
#[test]
fn a_gang_waits_for_capacity_that_has_shrunk() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    cell.is_store_down = true;
    cell.submit(job("1", vec![StepSpec { is_gang: true, ..step(6) }]));
    cell.run(100);
    cell.resize_worker("w0", 1_000);
    cell.restore_store();
    cell.run(5_000);
    assert_eq!(cell.state("1"), Some(JobState::Running));
    cell.resize_worker("w0", CAPACITY.cpu_millis);
    cell.run(5_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// A worker shrinks below what it runs: the next leader adopts the runs and starts nothing beside
/// them.
#[test]
fn a_new_leader_starts_nothing_on_a_worker_that_runs_more_than_it_has() {
    let mut cell = FakeCell::new(1);
    cell.run_ms = 3_000;
    cell.submit(job("1", vec![step(3)]));
    cell.run(200);
    assert_eq!(cell.workers["w0"].runs.len(), 3);
    cell.resize_worker("w0", 1_000);
    cell.start_leader();
    cell.submit(job("2", vec![step(2)]));
    cell.run(2_000);
    assert!(cell.starts.iter().all(|(task, ..)| task.starts_with("1.")));
    cell.run(10_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

/// Capacities change at random moments under load.
#[test]
fn no_worker_runs_more_than_it_has_while_capacities_change() {
    for seed in 0..20_u64 {
        let mut cell = FakeCell::new(4);
        let mut next = random_numbers(seed);
        for round in 0..60 {
            cell.submit(job(&round.to_string(), vec![step(1 + u32::try_from(next(4)).unwrap())]));
            cell.is_store_down = next(4) == 0;
            let worker = format!("w{}", next(4));
            cell.resize_worker(&worker, 1_000 + 1_000 * next(4));
            cell.run(10 * (1 + next(12)));
            if !cell.is_store_down {
                cell.restore_store();
            }
            if next(20) == 0 {
                cell.start_leader();
            }
        }
        cell.restore_store();
        (0..4).for_each(|worker| cell.resize_worker(&format!("w{worker}"), CAPACITY.cpu_millis));
        cell.run(40_000);
        for round in 0..60 {
            assert_eq!(cell.state(&round.to_string()), Some(JobState::Completed), "seed {seed}");
        }
    }
}
