//! Crashes and restarts around starts with tickets that are not identified, found in a review of issue 55.

use {
    crate::support::{
        FakeCell, FakeWorker, MAX_START_TRIES, adviser::cell_with_tickets, job, step,
    },
    damaskrack_cell::{LogEntry, TaskProgress},
};

/// Time in which a start is carried out, in milliseconds.
const START_MS: u64 = 50;
/// Time after which all requests that may be carried out late are over, and the longest lease that they extended, in
/// milliseconds.
const LONGEST_HOLD_MS: u64 = 30_000;

fn worker(cell: &mut FakeCell) -> &mut FakeWorker {
    cell.workers.get_mut("w0").expect("a worker")
}

/// Creates a cell with one worker, which needs tickets and runs the task of job 1.
fn cell_with_run() -> FakeCell {
    cell_with_tasks(1)
}

/// The same with some tasks in job 1.
fn cell_with_tasks(tasks: u32) -> FakeCell {
    let mut cell = cell_with_tickets();
    cell.submit(job("1", vec![step(tasks)]));
    cell.run(START_MS);
    assert_eq!(cell.workers["w0"].runs.len(), tasks as usize, "the tasks do not run");
    cell
}

/// Returns the number of crashes in the row of a job's first task, proved and possible ones.
fn crashes_of(cell: &FakeCell, job: &str) -> u32 {
    let TaskProgress { crashes, possible_crashes, .. } = &cell.progress[job].phases[0].tasks[0];
    crashes + possible_crashes
}

/// Returns the number of crashes under the task of job 1.
fn crashes(cell: &FakeCell) -> u32 {
    crashes_of(cell, "1")
}

/// Submits job 2, whose start requests have no response.
fn lose_responses(cell: &mut FakeCell) {
    worker(cell).defers_next_starts = MAX_START_TRIES;
    worker(cell).drops_stops = true;
    cell.submit(job("2", vec![step(1)]));
    cell.run(START_MS);
    assert_eq!(worker(cell).deferred_starts.len(), MAX_START_TRIES, "no start was sent");
}

/// Cuts the worker off, and runs until its connection has broken.
fn break_connection(cell: &mut FakeCell) {
    worker(cell).is_silent = true;
    cell.run(2_000);
}

/// Guards against a crash that counts twice under a task: its worker has restarted twice when a new leader asks it.
#[test]
fn two_restarts_before_a_takeover_are_one_crash_of_a_run() {
    let mut cell = cell_with_run();
    cell.reincarnate("w0");
    let entry = worker(&mut cell).report.clone();
    cell.reincarnate("w0");
    worker(&mut cell).former_entry = Some(entry);
    cell.start_leader();
    cell.end_former_leader();
    cell.run(1_000);
    assert_eq!(crashes(&cell), 1);
}

/// The same if the entries show both restarts before the worker answers.
#[test]
fn two_restarts_that_entries_show_after_a_takeover_are_one_crash_of_a_run() {
    let mut cell = cell_with_run();
    cell.reincarnate("w0");
    worker(&mut cell).is_silent = true;
    cell.start_leader();
    cell.end_former_leader();
    cell.run(100);
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run(1_000);
    assert_eq!(crashes(&cell), 1);
}

/// Guards against a proved crash that never counts because the next incarnation is lost before it answers.
#[test]
fn a_crash_counts_although_the_next_incarnation_never_answers() {
    let mut cell = cell_with_run();
    lose_responses(&mut cell);
    break_connection(&mut cell);
    cell.reincarnate("w0");
    worker(&mut cell).is_silent = true;
    cell.has_timeouts = true;
    cell.list_workers();
    cell.run(LONGEST_HOLD_MS);
    assert_eq!(crashes(&cell), 1);
}

/// The same without a start that is not identified.
#[test]
fn a_crash_of_identified_runs_counts_although_the_next_incarnation_never_answers() {
    let mut cell = cell_with_run();
    cell.run(3_000);
    break_connection(&mut cell);
    cell.reincarnate("w0");
    worker(&mut cell).is_silent = true;
    cell.has_timeouts = true;
    cell.list_workers();
    cell.run(LONGEST_HOLD_MS);
    assert_eq!(crashes(&cell), 1);
}

/// Guards against a crash that a new leader never counts because the next incarnation does not answer it. The row says
/// that the start was identified, so the former incarnation ran the task.
#[test]
fn an_inherited_crash_counts_although_the_next_incarnation_never_answers() {
    let mut cell = cell_with_tasks(2);
    // The row is written again, with the start identified.
    cell.run(3_000);
    let last = worker(&mut cell).runs.len() - 1;
    worker(&mut cell).runs[last].ends_ms = cell.now_ms;
    cell.run(3_000);
    let is_identified = cell.progress["1"].phases[0].tasks[0].is_start_identified;
    cell.reincarnate("w0");
    worker(&mut cell).is_silent = true;
    cell.has_timeouts = true;
    cell.start_leader();
    cell.end_former_leader();
    cell.run(LONGEST_HOLD_MS);
    assert!(is_identified, "the row does not say that the start was identified");
    assert_eq!(crashes(&cell), 1);
}

/// Guards against a crash under a start that is known to be lost, and that no worker carried out, when the entry was
/// wrong and the known incarnation answers again.
#[test]
fn a_wrong_entry_is_no_crash_once_the_known_incarnation_answers() {
    let mut cell = cell_with_run();
    lose_responses(&mut cell);
    break_connection(&mut cell);
    let mut entry = worker(&mut cell).report.clone();
    entry.incarnation += 1;
    worker(&mut cell).former_entry = Some(entry);
    cell.list_workers();
    worker(&mut cell).former_entry = None;
    worker(&mut cell).is_silent = false;
    cell.run(3_000);
    let logs = cell.take_logs();
    let is_crash =
        |entry: &&LogEntry| entry.event == "attempt_lost" && entry.detail.contains("cause=Crash");
    let crashes: Vec<&LogEntry> = logs.iter().filter(is_crash).collect();
    assert!(crashes.is_empty(), "{crashes:?}");
}

/// Guards against a restart that is asked for a second later because an end is not durable yet.
#[test]
fn a_restart_is_asked_for_at_once_although_an_end_is_not_durable() {
    let mut cell = cell_with_run();
    cell.submit(job("2", vec![step(1)]));
    cell.run(3_000);
    cell.is_store_down = true;
    let index = worker(&mut cell).runs.iter().position(|run| run.task.starts_with("2."));
    worker(&mut cell).runs[index.expect("a run")].ends_ms = cell.now_ms;
    cell.run(100);
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run(500);
    let logs = cell.take_logs();
    assert!(logs.iter().any(|entry| entry.event == "worker_restarted"), "the worker is not asked");
}

/// Restarts the worker. Its next incarnation carries out a start without a response, and the connection to the former
/// one breaks.
fn start_on_next_incarnation_without_response(cell: &mut FakeCell) {
    cell.lets_renewals_wait = false;
    cell.run(3_000);
    cell.defers_calls = true;
    cell.submit(job("2", vec![step(1)]));
    cell.run(20);
    cell.reincarnate("w0");
    worker(cell).defers_next_starts = MAX_START_TRIES;
    worker(cell).drops_stops = true;
    cell.decide_last_call();
    cell.run(10);
    worker(cell).defers_renewals = true;
    break_connection(cell);
    cell.run_deferred_starts("w0");
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the start is refused");
    worker(cell).defers_renewals = false;
    worker(cell).deferred_renewals.clear();
    cell.has_timeouts = true;
}

/// Lets the worker answer again, and asserts that no crash counts under the task that its present incarnation has run.
fn assert_no_crash_of_next_run(cell: &mut FakeCell) {
    worker(cell).is_silent = false;
    cell.list_workers();
    cell.run(1_000);
    assert_eq!(crashes_of(cell, "2"), 0);
}

/// Guards against a crash that counts under a run on the next incarnation, which lapsed there: it was taken for lost
/// with the former one.
#[test]
fn a_run_on_the_next_incarnation_that_lapsed_after_a_crash_has_crashed_nothing() {
    let mut cell = cell_with_run();
    start_on_next_incarnation_without_response(&mut cell);
    cell.run(LONGEST_HOLD_MS);
    assert_no_crash_of_next_run(&mut cell);
}

/// The same while the attempt is held and its run goes on, once the former incarnation's attempts are released.
#[test]
fn a_held_run_on_the_next_incarnation_has_crashed_nothing() {
    let mut cell = cell_with_run();
    start_on_next_incarnation_without_response(&mut cell);
    let until_ms = cell.now_ms + LONGEST_HOLD_MS;
    while !cell.progress["1"].phases[0].tasks[0].worker.is_empty() && cell.now_ms < until_ms {
        cell.run(10);
    }
    assert!(!cell.progress["2"].phases[0].tasks[0].worker.is_empty(), "the start is not held");
    assert_no_crash_of_next_run(&mut cell);
}

/// Restarts the worker, and lets its next incarnation answer one renewal, whose response is not delivered yet, before it
/// is cut off. It has received start requests without a response. Another worker does not respond.
fn cell_before_first_answer(offset_ms: u64, keeps_entry: bool) -> FakeCell {
    let mut cell = cell_with_run();
    cell.add_worker("w1", 1, "r1");
    let other = cell.workers.get_mut("w1").expect("a worker");
    (other.needs_tickets, other.is_silent) = (true, true);
    cell.list_workers();
    cell.lets_renewals_wait = false;
    cell.run(3_000 + offset_ms);
    let entry = worker(&mut cell).report.clone();
    cell.reincarnate("w0");
    worker(&mut cell).former_entry = keeps_entry.then_some(entry);
    cell.delays_renewals_of = Some("w0".to_owned());
    lose_responses(&mut cell);
    worker(&mut cell).is_silent = true;
    cell
}

/// Lets the next incarnation carry out a late start with its ticket, and asserts that its tasks start on the other worker.
fn assert_late_start_is_held(cell: &mut FakeCell) {
    cell.run_deferred_starts("w0");
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the start is refused");
    cell.restore_store();
    cell.workers.get_mut("w1").expect("a worker").is_silent = false;
    cell.run(LONGEST_HOLD_MS);
    assert_eq!(cell.workers["w1"].runs.len(), 2, "the tasks do not run elsewhere");
}

/// Delivers the answer of an incarnation that is not fenced, and lets it carry out a late start.
fn start_late_after_first_answer(offset_ms: u64, is_store_down: bool) {
    let mut cell = cell_before_first_answer(offset_ms, false);
    cell.is_store_down = is_store_down;
    cell.deliver_delayed_renewals();
    cell.run(2_200);
    assert_late_start_is_held(&mut cell);
}

/// Guards against a stored bound below the lease of a late start: an incarnation that has answered carries out requests
/// to the former one until it has accepted a fence.
#[test]
fn a_bound_covers_a_late_start_on_an_incarnation_that_is_not_fenced() {
    for offset_ms in [10, 20, 30, 40] {
        start_late_after_first_answer(offset_ms, false);
    }
}

/// Guards against a task that runs twice for the same reason.
#[test]
fn a_late_start_on_an_incarnation_that_is_not_fenced_counts_for_the_longest_lease() {
    for offset_ms in [10, 20, 30, 40] {
        start_late_after_first_answer(offset_ms, true);
    }
}

/// The same under the next leader: the row says that the start is identified.
#[test]
fn a_row_does_not_say_that_a_start_is_identified_on_an_incarnation_that_is_not_fenced() {
    for offset_ms in [10, 20, 30, 40] {
        let mut cell = cell_before_first_answer(offset_ms, true);
        cell.deliver_delayed_renewals();
        cell.run(300);
        cell.is_store_down = true;
        cell.settings.isolation_ms = 0;
        cell.start_leader();
        cell.end_former_leader();
        cell.run(1_900);
        assert_late_start_is_held(&mut cell);
    }
}

/// Guards against a crash that never counts: the incarnation after the known one confirmed the start, and has crashed
/// when a later one answers.
#[test]
fn a_crash_of_an_incarnation_that_only_started_the_task_counts() {
    let mut cell = cell_with_run();
    cell.run(3_000);
    cell.reincarnate("w0");
    worker(&mut cell).defers_renewals = true;
    cell.submit(job("2", vec![step(1)]));
    cell.run(START_MS);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.reincarnate("w0");
    cell.run(3_000);
    assert_eq!(crashes_of(&cell, "2"), 1);
}

/// Guards against the same without a crash of the incarnation that started the task: nothing counts.
#[test]
fn a_restart_of_the_known_incarnation_counts_for_its_runs_only() {
    let mut cell = cell_with_run();
    cell.run(3_000);
    cell.reincarnate("w0");
    worker(&mut cell).defers_renewals = true;
    cell.submit(job("2", vec![step(1)]));
    cell.run(START_MS);
    worker(&mut cell).defers_renewals = false;
    cell.run(1_000);
    assert_eq!((crashes(&cell), crashes_of(&cell, "2")), (1, 0));
}
