//! Workers that stop responding shortly before the leader is replaced.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::StepSpec,
};

/// Longest time for which a lease of the fakes may run, in milliseconds.
const LONGEST_LEASE_MS: u64 = 6_500;
/// Age of what a leader has written about a silent worker, in milliseconds, at each takeover.
const MAX_BOUND_AGE_MS: u64 = 1_100;

/// Creates a cell whose worker runs the only task of a service, and returns the worker's id.
fn cell_with_service() -> (FakeCell, String) {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(1_000);
    let worker = cell.starts[0].2.clone();
    (cell, worker)
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
