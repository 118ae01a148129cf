//! Lists of workers that are no longer confirmed by the store.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::JobState,
};

/// Age from which the list is outdated, in milliseconds, and time for requests in flight.
const OUTDATED_MS: u64 = 1_400;

/// A worker shuts down while the list is not confirmed.
#[test]
fn nothing_starts_by_an_outdated_list_of_workers() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    cell.is_list_lost = true;
    cell.run(OUTDATED_MS);
    cell.workers.get_mut("w0").unwrap().report.is_leaving = true;
    cell.submit(job("1", vec![step(8)]));
    cell.run(3_000);
    assert_eq!(cell.starts.len(), 0);
    assert!(cell.take_logs().iter().any(|entry| entry.event == "worker_list_outdated"));
    cell.list_workers();
    cell.is_list_lost = false;
    cell.run(3_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.starts.iter().all(|(_, _, worker)| worker == "w1"));
}

/// A start that waits for its row is not sent either once the list is outdated.
#[test]
fn a_start_that_waited_for_the_store_is_not_sent_by_an_outdated_list() {
    let mut cell = FakeCell::new(1);
    cell.run(100);
    cell.is_store_down = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    cell.is_list_lost = true;
    cell.run(OUTDATED_MS);
    cell.restore_store();
    cell.run(100);
    assert_eq!(cell.starts.len(), 0);
    cell.is_list_lost = false;
    cell.run(1_500);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// What runs goes on and its ends are recorded while the list is outdated.
#[test]
fn running_tasks_complete_while_the_list_is_outdated() {
    let mut cell = FakeCell::new(1);
    cell.run_ms = 4_000;
    cell.submit(job("1", vec![step(2)]));
    cell.run(200);
    cell.is_list_lost = true;
    cell.run(6_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 2);
}
