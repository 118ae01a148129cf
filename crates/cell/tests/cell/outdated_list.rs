//! Workers that shrink or shut down while the leader does not learn of it. The fake cell checks that no
//! start brings a worker above the capacity that it has.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{JobState, StepSpec},
};

/// Time after which the leader must not rely on a list of workers that nothing confirms, in
/// milliseconds.
const OUTDATED_MS: u64 = 2_500;

/// Shrinks a worker while the leader does not follow the workers' entries, until the list is outdated.
fn shrink_unseen(cell: &mut FakeCell, cpu_millis: u64) {
    cell.is_list_lost = true;
    cell.resize_worker("w0", cpu_millis);
    cell.run(OUTDATED_MS);
}

/// Asserts that nothing has started yet, and that job "1" completes once the list is followed again.
fn assert_starts_with_the_list(cell: &mut FakeCell) {
    assert!(cell.starts.is_empty());
    cell.restore_list();
    cell.run(5_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// A worker shrinks while the leader does not follow the workers' entries.
#[test]
fn nothing_is_started_on_an_outdated_list_of_workers() {
    let mut cell = FakeCell::new(1);
    cell.run(100);
    shrink_unseen(&mut cell, 2_000);
    cell.submit(job("1", vec![step(4)]));
    cell.run(2_000);
    assert_starts_with_the_list(&mut cell);
}

/// The list becomes outdated while the row of a placed job is written.
#[test]
fn a_start_that_waited_for_its_row_is_not_sent_on_an_outdated_list() {
    let mut cell = FakeCell::new(1);
    cell.run(100);
    cell.is_store_down = true;
    cell.submit(job("1", vec![step(4)]));
    cell.run(100);
    shrink_unseen(&mut cell, 2_000);
    cell.restore_store();
    cell.run(1_000);
    assert_starts_with_the_list(&mut cell);
}

/// A gang waits for the list as a whole.
#[test]
fn a_gang_is_not_started_on_an_outdated_list_of_workers() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    shrink_unseen(&mut cell, 1_000);
    cell.submit(job("1", vec![StepSpec { is_gang: true, ..step(5) }]));
    cell.run(2_000);
    assert_starts_with_the_list(&mut cell);
}

/// What runs is renewed, and its ends are recorded, while the list is outdated.
#[test]
fn runs_go_on_while_the_list_of_workers_is_outdated() {
    let mut cell = FakeCell::new(1);
    cell.run_ms = 8_000;
    cell.submit(job("1", vec![step(2)]));
    cell.run(100);
    cell.is_list_lost = true;
    cell.run(9_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 2);
}

/// A worker shuts down while the list is not confirmed.
#[test]
fn nothing_starts_on_a_leaving_worker_by_an_outdated_list() {
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
