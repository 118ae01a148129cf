//! Workers that stop responding shortly before the leader is replaced.

use {
    crate::support::{FakeCell, MAX_LEASE_MS, OTHER_LEASES_MS, job, step},
    damaskrack_cell::StepSpec,
    quickcheck::quickcheck,
};

/// Duration of the leases of the fakes, in milliseconds.
const LEASE_MS: u64 = 6_000;
/// Time for which a former leader may act, in milliseconds.
const ISOLATION_MS: u64 = 4_000;

/// Longest time for which a lease of the fakes may run, in milliseconds.
const LONGEST_LEASE_MS: u64 = 6_500;
/// Age of what a leader has written about a silent worker, in milliseconds, at each takeover.
const MAX_BOUND_AGE_MS: u64 = 1_100;

/// Creates a cell whose worker runs the only task of a service, and returns the worker's id.
fn cell_with_service() -> (FakeCell, String) {
    let mut cell = FakeCell::new(2);
    // Until then requests to a former incarnation may have extended the leases.
    cell.run(OTHER_LEASES_MS);
    let worker = start_service(&mut cell);
    (cell, worker)
}

/// Starts a service with one task, and returns its worker's id.
fn start_service(cell: &mut FakeCell) -> String {
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(1_000);
    cell.starts[0].2.clone()
}

/// Guards against a wait for inherited leases that starts anew with each takeover.
#[test]
fn a_task_of_a_silent_worker_starts_again_after_one_lease_however_often_leaders_change() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    let silent_ms = cell.now_ms;
    for _ in 0..2 {
        cell.run(2_300);
        cell.start_leader();
    }
    while cell.starts.len() == 1 && cell.now_ms < silent_ms + 60_000 {
        cell.run(10);
    }
    let waited_ms = cell.now_ms - silent_ms;
    let limit_ms = LONGEST_LEASE_MS + 2 * MAX_BOUND_AGE_MS;
    assert!(waited_ms <= limit_ms, "started again after {waited_ms} ms");
}

/// The former leader may renew the leases until its isolation ends, and the next leaders do not
/// know.
#[test]
fn a_bound_allows_for_a_former_leader_that_still_renews() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    let takeover_ms = cell.now_ms;
    cell.start_leader_beside_former(&lost, ISOLATION_MS);
    cell.run(2_300);
    assert_eq!(cell.lease_bounds.bounds.len(), 1);
    cell.start_leader();
    cell.run(ISOLATION_MS + LEASE_MS - 2_300);
    assert_eq!(cell.starts.len(), 1, "a lease may have been extended when the isolation ended");
    cell.run(LEASE_MS);
    assert_eq!(cell.starts.len(), 2);
    assert!(cell.now_ms <= takeover_ms + ISOLATION_MS + 2 * LEASE_MS);
}

/// Guards against a wait for the isolation of a former leader that has ended.
#[test]
fn a_task_of_a_worker_lost_with_its_leader_starts_again_after_one_lease() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.start_leader();
    cell.run(100);
    cell.end_former_leader();
    let ended_ms = cell.now_ms;
    cell.run(LEASE_MS);
    assert_eq!(cell.starts.len(), 1, "a lease may have been extended until the leader was lost");
    cell.run(LONGEST_LEASE_MS + 500 - LEASE_MS);
    assert_eq!(cell.starts.len(), 2, "started again by {} ms", cell.now_ms - ended_ms);
}

/// The fakes check that the task does not run twice.
#[test]
fn a_lease_that_a_former_leader_extended_until_it_ended_is_waited_for() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.start_leader_beside_former(&lost, ISOLATION_MS);
    cell.run(2_500);
    cell.end_former_leader();
    cell.run(LEASE_MS - 200);
    assert_eq!(cell.workers[&lost].runs.len(), 1, "the former leader has extended the lease");
    assert_eq!(cell.starts.len(), 1);
    cell.run(1_000);
    assert_eq!(cell.starts.len(), 2);
}

/// The isolation time is over without a word of the former leaders.
#[test]
fn an_end_of_former_leaders_that_is_known_late_extends_no_wait() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.start_leader();
    cell.run(ISOLATION_MS + 2_000);
    cell.end_former_leader();
    cell.run(LONGEST_LEASE_MS + 500 - 2_000);
    assert_eq!(cell.starts.len(), 2);
}

#[test]
fn the_end_of_former_leaders_shortens_no_lease_of_the_present_one() {
    let (mut cell, lost) = cell_with_service();
    cell.start_leader();
    cell.run(3_000);
    cell.end_former_leader();
    cell.run(1_000);
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(LEASE_MS - 1_000);
    assert_eq!(cell.starts.len(), 1);
    cell.run(LEASE_MS);
    assert_eq!(cell.starts.len(), 2);
}

/// A request that was meant for a former incarnation may have been carried out until the election.
#[test]
fn the_end_of_former_leaders_shortens_no_lease_that_a_former_incarnation_was_meant_to_get() {
    let mut cell = FakeCell::new(2);
    let lost = start_service(&mut cell);
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.start_leader();
    cell.run(100);
    cell.end_former_leader();
    cell.run(MAX_LEASE_MS);
    assert_eq!(cell.starts.len(), 1);
    cell.run(1_000);
    assert_eq!(cell.starts.len(), 2);
}

/// What is known of a silent worker is in the store; the next leader need not have it confirmed again.
#[test]
fn a_bound_counts_from_the_end_of_the_former_leaders() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.start_leader();
    cell.run(100);
    cell.end_former_leader();
    cell.run(2_000);
    cell.start_leader();
    cell.run(LONGEST_LEASE_MS + 500 + MAX_BOUND_AGE_MS - 2_000);
    assert_eq!(cell.starts.len(), 2);
}

/// The fakes check that no lease outlasts the bound of its worker in the store.
#[test]
fn a_worker_that_responds_again_keeps_its_tasks_once_its_bound_is_removed() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(2_000);
    assert_eq!(cell.lease_bounds.bounds.len(), 1);
    cell.is_store_down = true;
    cell.workers.get_mut(&lost).unwrap().is_silent = false;
    cell.run(2_000);
    cell.restore_store();
    cell.run(20_000);
    assert!(cell.lease_bounds.bounds.is_empty());
    assert_eq!(cell.starts.len(), 1, "the leases are extended again");
}

/// The same with a new leader, which knows the bound only from the store.
#[test]
fn a_worker_that_responds_to_a_new_leader_keeps_its_tasks() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(3_000);
    cell.workers.get_mut(&lost).unwrap().is_silent = false;
    cell.start_leader();
    cell.run(20_000);
    assert!(cell.lease_bounds.bounds.is_empty());
    assert_eq!(cell.starts.len(), 1);
}

/// A write without a response may have taken effect.
#[test]
fn a_bound_holds_from_the_moment_at_which_its_write_is_sent() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(500);
    cell.is_store_down = true;
    cell.run(500);
    cell.workers.get_mut(&lost).unwrap().is_silent = false;
    cell.run(3_000);
    cell.land_held_commits();
    assert_eq!(cell.lease_bounds.bounds.len(), 1);
    cell.start_leader_beside_former(&lost, ISOLATION_MS);
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.restore_store();
    cell.run(20_000);
    assert_eq!(cell.starts.len(), 2);
}

/// A start request extends leases too.
#[test]
fn nothing_starts_on_a_worker_whose_bound_is_not_removed() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(5_000);
    cell.workers.get_mut(&lost).unwrap().is_silent = false;
    cell.start_leader();
    cell.is_store_down = true;
    cell.run(100);
    cell.submit(job("2", vec![step(8)]));
    cell.run(100);
    cell.complete_last_commit();
    cell.run(100);
    assert!(cell.starts[1..].iter().all(|(_, _, worker)| *worker != lost));
    assert!(cell.starts.len() > 1, "the other worker is used");
    cell.restore_store();
    cell.run(1_000);
    assert!(cell.starts[1..].iter().any(|(_, _, worker)| *worker == lost));
}

#[test]
fn a_bound_of_another_incarnation_is_not_relied_on() {
    let (mut cell, lost) = cell_with_service();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(3_000);
    cell.lease_bounds.bounds[0].incarnation += 1;
    cell.start_leader();
    cell.run(LEASE_MS + ISOLATION_MS);
    assert_eq!(cell.starts.len(), 1, "nothing is known of this incarnation");
}

/// Without the address a new leader could only wait for the leases.
#[test]
fn a_new_leader_knows_the_address_of_a_lost_worker_that_is_not_registered() {
    let (mut cell, lost) = cell_with_service();
    let worker = cell.workers.get_mut(&lost).unwrap();
    worker.is_silent = true;
    worker.is_unlisted = true;
    cell.list_workers();
    cell.run(2_000);
    cell.start_leader();
    cell.run(500);
    let worker = cell.workers.get_mut(&lost).unwrap();
    worker.is_silent = false;
    worker.is_replaced = true;
    worker.runs.clear();
    cell.run(1_000);
    assert_eq!(cell.starts.len(), 2, "another worker responds at the address");
}

#[test]
fn bounds_are_written_about_once_a_second_and_only_while_a_busy_worker_is_silent() {
    let (mut cell, lost) = cell_with_service();
    cell.run(5_000);
    assert_eq!(cell.lease_bounds.writes, 0);
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(5_000);
    assert!((4..=6).contains(&cell.lease_bounds.writes), "{} writes", cell.lease_bounds.writes);
    cell.run(5_000);
    let writes = cell.lease_bounds.writes;
    assert!(cell.lease_bounds.bounds.is_empty(), "the worker's leases have expired");
    cell.run(5_000);
    assert_eq!(cell.lease_bounds.writes, writes);
}

quickcheck! {
    /// For any sequence of faults, no task of a service runs twice and no lease outlasts its bound,
    /// which the fakes check, and all tasks run once the faults are over.
    fn every_service_runs_once(faults: Vec<(u8, u8, u16)>, are_leases_bounded: bool) -> bool {
        let mut cell = FakeCell::new(3);
        if are_leases_bounded {
            cell.run(OTHER_LEASES_MS);
        }
        cell.run_ms = 600_000;
        cell.submit(job("1", vec![StepSpec { is_service: true, ..step(3) }]));
        cell.run(1_000);
        for (kind, worker, pause_ms) in faults.into_iter().take(12) {
            let id = format!("w{}", worker % 3);
            match kind % 8 {
                0 => cell.start_leader(),
                1 => cell.start_leader_beside_former(&id, ISOLATION_MS),
                2 | 3 => cell.workers.get_mut(&id).unwrap().is_silent = true,
                4 => cell.workers.get_mut(&id).unwrap().is_silent = false,
                5 => cell.is_store_down = true,
                6 => cell.end_former_leader(),
                _ => {
                    if worker % 2 == 0 {
                        cell.land_held_commits();
                        cell.start_leader();
                    }
                    cell.restore_store();
                }
            }
            cell.run(u64::from(pause_ms % 2_500));
        }
        cell.restore_store();
        cell.workers.values_mut().for_each(|worker| worker.is_silent = false);
        cell.run(30_000);
        cell.workers.values().map(|worker| worker.runs.len()).sum::<usize>() == 3
    }
}
