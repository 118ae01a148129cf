//! Starts without a ticket that are carried out late: ways past the binding of their tasks.

use {
    crate::support::{
        FORMER_LIFE_MS, FakeCell, FakeWorker, MAX_LEASE_MS, MAX_REQUEST_DELAY_MS, MAX_START_TRIES,
        job, step,
    },
    damaskrack_cell::{EndKind, StepSpec},
};

/// Time in which a lease that a leader asks for has expired, and its task is placed again, in milliseconds.
const REQUESTED_LEASE_MS: u64 = 7_500;

fn worker(cell: &mut FakeCell) -> &mut FakeWorker {
    cell.workers.get_mut("w0").expect("a worker")
}

/// Creates a cell whose first worker has got a step's first `lost` start requests and not responded to them.
fn cell_with_lost_starts(lost: usize, step: StepSpec) -> FakeCell {
    let mut cell = FakeCell::new(1);
    cell.run(FORMER_LIFE_MS);
    cell.run_ms = 600_000;
    worker(&mut cell).defers_next_starts = lost;
    cell.submit(job("1", vec![step]));
    cell.run(50);
    cell.add_worker("w1", 1, "r0");
    cell.workers.get_mut("w1").expect("a worker").report.capacity.cpu_millis -= 1_000;
    cell.list_workers();
    cell
}

fn leave(cell: &mut FakeCell, is_leaving: bool) {
    cell.workers.values_mut().for_each(|worker| worker.report.is_leaving = is_leaving);
    cell.list_workers();
}

/// Creates a cell with a task that is bound to its first worker and has no attempt.
fn cell_with_bound_task() -> FakeCell {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    leave(&mut cell, true);
    cell.run(500);
    cell
}

/// Ends the task, and lets the next incarnation of its worker carry out the late starts a second later.
fn end_and_run_late_starts(cell: &mut FakeCell) {
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.end_first_run("w0", EndKind::Done);
    cell.run(1_000);
    cell.reincarnate("w0");
    cell.run_deferred_starts("w0");
}

#[test]
fn the_end_of_the_next_attempt_is_not_acknowledged_while_a_start_may_be_late() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    cell.run(500);
    end_and_run_late_starts(&mut cell);
}

#[test]
fn the_end_of_a_bound_task_is_not_acknowledged_by_the_next_leader_while_a_start_may_be_late() {
    let mut cell = cell_with_bound_task();
    cell.start_leader();
    leave(&mut cell, false);
    cell.workers.get_mut("w1").expect("a worker").report.is_leaving = true;
    cell.list_workers();
    cell.run(1_000);
    end_and_run_late_starts(&mut cell);
}

#[test]
fn the_end_of_the_attempt_after_an_unlisted_one_of_a_former_leader_is_not_acknowledged_while_a_start_may_be_late()
 {
    let mut cell = FakeCell::new(1);
    cell.run(FORMER_LIFE_MS);
    cell.run_ms = 600_000;
    worker(&mut cell).defers_next_starts = 1;
    worker(&mut cell).drops_stops = true;
    cell.submit(job("1", vec![step(1)]));
    // The store is down from the row of the first request on, so the start is not repeated.
    while worker(&mut cell).deferred_starts.is_empty() {
        cell.run(10);
        cell.is_store_down = !cell.progress.is_empty();
    }
    cell.is_store_down = false;
    assert!(worker(&mut cell).runs.is_empty(), "the start was repeated");
    worker(&mut cell).drops_stops = false;
    cell.start_leader();
    cell.run(1_000);
    end_and_run_late_starts(&mut cell);
}

#[test]
fn an_end_that_is_recorded_is_not_acknowledged_by_the_next_leader_while_a_start_may_be_late() {
    let mut cell = cell_with_lost_starts(1, step(1));
    cell.end_first_run("w0", EndKind::Done);
    cell.run(300);
    assert!(cell.done.is_empty(), "the end is acknowledged");
    cell.start_leader();
    cell.run(1_000);
    cell.reincarnate("w0");
    cell.run_deferred_starts("w0");
}

/// Guards against a late start that is forgotten with the entry of a worker that nothing runs on.
#[test]
fn an_end_is_not_acknowledged_on_a_worker_that_was_forgotten_while_a_start_may_be_late() {
    let mut cell = cell_with_lost_starts(1, step(1));
    cell.end_first_run("w0", EndKind::Done);
    cell.run(300);
    assert!(cell.done.is_empty(), "the end is acknowledged");
    worker(&mut cell).is_silent = true;
    worker(&mut cell).is_unlisted = true;
    cell.list_workers();
    cell.run(REQUESTED_LEASE_MS);
    worker(&mut cell).is_silent = false;
    worker(&mut cell).is_unlisted = false;
    cell.list_workers();
    cell.run(1_000);
    cell.reincarnate("w0");
    assert_eq!(cell.run_deferred_starts("w0").len(), 1, "no start is late");
}

#[test]
fn a_start_of_an_attempt_that_was_stopped_does_not_run_beside_the_next_one() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    worker(&mut cell).defers_next_starts = MAX_START_TRIES;
    cell.run(1_000);
    cell.reincarnate("w0");
    // The start of a later attempt reaches the next incarnation first.
    worker(&mut cell).deferred_starts.reverse();
    let numbers = worker(&mut cell).deferred_starts.iter().map(|late| late.request.number);
    assert!(numbers.is_sorted_by(|one, next| one >= next), "the order is not reversed");
    let first = worker(&mut cell).deferred_starts.remove(0);
    let last = worker(&mut cell).deferred_starts.pop().expect("a late start");
    assert!(first.request.number > last.request.number, "one attempt only");
    worker(&mut cell).deferred_starts = vec![first, last];
    cell.run_deferred_starts("w0");
}

#[test]
fn a_start_does_not_run_on_a_worker_that_comes_back_after_its_entry_has_expired() {
    let mut cell = cell_with_lost_starts(1, step(1));
    worker(&mut cell).is_silent = true;
    worker(&mut cell).is_unlisted = true;
    cell.list_workers();
    cell.run(REQUESTED_LEASE_MS);
    worker(&mut cell).runs.clear();
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run_deferred_starts("w0");
}

#[test]
fn an_entry_that_is_missing_when_the_store_is_back_says_nothing_for_two_seconds() {
    let mut cell = cell_with_lost_starts(1, step(1));
    worker(&mut cell).is_silent = true;
    cell.is_list_lost = true;
    cell.run(REQUESTED_LEASE_MS);
    worker(&mut cell).is_unlisted = true;
    cell.restore_list();
    cell.run(1_500);
    worker(&mut cell).runs.clear();
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run_deferred_starts("w0");
}

#[test]
fn a_service_whose_worker_drains_is_back_in_time_after_a_lost_start() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, StepSpec { is_service: true, ..step(1) });
    worker(&mut cell).report.is_leaving = true;
    cell.list_workers();
    cell.run(9_000);
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

#[test]
fn a_series_of_leaders_does_not_extend_the_wait_for_a_late_start() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    worker(&mut cell).report.is_leaving = true;
    cell.list_workers();
    cell.run(500);
    for _ in 0..3 {
        cell.start_leader();
        cell.run(10_000);
    }
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

/// Guards against an entry of a former incarnation that is taken for a proof that there is no later one: it stays for
/// three heartbeats after the incarnation that wrote it last has ended.
#[test]
fn a_start_does_not_run_on_an_incarnation_that_reaches_neither_the_store_nor_the_leader() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    worker(&mut cell).defers_starts = true;
    cell.run(MAX_REQUEST_DELAY_MS - 1_000);
    let late = worker(&mut cell).deferred_starts.pop();
    cell.reincarnate("w0");
    worker(&mut cell).deferred_starts = late.into_iter().collect();
    assert_eq!(cell.run_deferred_starts("w0").len(), 1, "no start is late");
    worker(&mut cell).is_silent = true;
    // The fake cell checks that no task runs twice.
    cell.run(MAX_LEASE_MS + 2_000);
}
