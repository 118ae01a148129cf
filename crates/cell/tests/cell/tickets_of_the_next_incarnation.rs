//! Starts with a ticket of an incarnation that the leader does not know. The adviser knows of a restart before the
//! leader does, so the worker carries out a start that the leader sends to the former incarnation. The fake cell
//! checks that no task runs twice.

use {
    crate::support::{
        FORMER_LIFE_MS, FakeCell, FakeWorker, LAPSE_MS, MAX_LEASE_MS, MAX_REQUEST_DELAY_MS,
        MAX_START_TRIES, OTHER_LEASES_MS, job, random_numbers, step,
    },
    damaskrack_cell::{AdviceTiming, EndKind, JobState, LogEntry, StepSpec},
};

const TIMING: AdviceTiming = AdviceTiming { call_us: 1_000, worker_us: 100, valid_ms: 1_500 };
/// Time in which a lease that a leader asks for has expired, and its task is placed again, in milliseconds.
const REQUESTED_LEASE_MS: u64 = 7_500;
/// Time for which the longest lease of a worker counts, on the slowest clock, in milliseconds.
const LONGEST_LEASE_MS: u64 = MAX_LEASE_MS * 100 / 97 + 300;
/// Time in which a task is placed once it may be, in milliseconds.
const PLACEMENT_MS: u64 = 500;
/// Time in which a start request without a response times out and is repeated, in milliseconds.
const REQUEST_MS: u64 = 400;
/// Time in which a worker that responds again is heard, after a renewal in flight, in milliseconds.
const ANSWER_MS: u64 = 2_000;
/// Longer than any test, in milliseconds.
const LASTING_MS: u64 = 600_000;
/// Number of workers that restart at random.
const WORKERS: usize = 6;
/// Number of random events of a seed.
const ROUNDS: u64 = 60;
/// The job whose task runs on the worker before it restarts.
const FORMER_JOB: &str = "1";
/// The job whose tasks start on the next incarnation.
const NEXT_JOB: &str = "2";

fn worker(cell: &mut FakeCell) -> &mut FakeWorker {
    cell.workers.get_mut("w0").expect("a worker")
}

/// Returns the number of runs of a job on a worker.
fn runs_on(cell: &FakeCell, id: &str, job: &str) -> usize {
    let prefix = format!("{job}.");
    cell.workers[id].runs.iter().filter(|run| run.task.starts_with(&prefix)).count()
}

/// Creates a cell with an adviser, a worker that responds and one that does not.
fn advised_cell() -> FakeCell {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(TIMING);
    (cell.lets_renewals_wait, cell.has_timeouts) = (true, true);
    cell.workers.values_mut().for_each(|worker| worker.needs_tickets = true);
    cell.workers.get_mut("w1").expect("a worker").is_silent = true;
    cell.start_leader();
    cell.run(FORMER_LIFE_MS);
    cell.run_ms = LASTING_MS;
    cell
}

/// Creates a cell whose first worker runs a task, so that a renewal always waits there.
fn cell_with_waiting_renewal() -> FakeCell {
    let mut cell = advised_cell();
    cell.submit(job(FORMER_JOB, vec![step(1)]));
    cell.run(500);
    assert_eq!(runs_on(&cell, "w0", FORMER_JOB), 1, "the former task does not run");
    cell
}

/// Restarts the worker, and submits a step whose tasks its next incarnation starts while a renewal waits for the
/// former one.
fn start_on_next_incarnation(cell: &mut FakeCell, step: StepSpec) {
    let tasks = step.tasks as usize;
    cell.reincarnate("w0");
    cell.submit(job(NEXT_JOB, vec![step]));
    cell.run(50);
    assert_eq!(runs_on(cell, "w0", NEXT_JOB), tasks, "the tasks do not run");
}

/// Cuts the worker off, while the other one responds from now on.
fn cut_off(cell: &mut FakeCell) {
    worker(cell).is_silent = true;
    cell.workers.get_mut("w1").expect("a worker").is_silent = false;
}

/// Cuts the worker off, and asserts that all its tasks run elsewhere in the end.
fn lose_worker(cell: &mut FakeCell) {
    cut_off(cell);
    assert_tasks_move(cell);
}

/// Asserts that the tasks of the worker that was cut off run elsewhere in the end.
fn assert_tasks_move(cell: &mut FakeCell) {
    let tasks: u32 = cell.records.values().map(|record| record.steps[0].tasks).sum();
    cell.run(MAX_REQUEST_DELAY_MS + LAPSE_MS);
    let elsewhere = cell.workers.iter().filter(|(id, _)| *id != "w0");
    let runs: usize = elsewhere.map(|(_, worker)| worker.runs.len()).sum();
    assert_eq!(runs, tasks as usize, "the tasks do not run elsewhere");
}

/// Submits a step whose start requests the next incarnation gets and does not respond to.
fn lose_responses(cell: &mut FakeCell) {
    cell.reincarnate("w0");
    worker(cell).defers_next_starts = MAX_START_TRIES;
    worker(cell).drops_stops = true;
    cell.submit(job(NEXT_JOB, vec![step(1)]));
    while worker(cell).deferred_starts.is_empty() {
        cell.run(10);
    }
}

/// Lets the worker carry out the start requests without a response, just before their tickets expire.
fn run_late_starts(cell: &mut FakeCell) {
    cell.run(TIMING.valid_ms - 200);
    cell.run_deferred_starts("w0");
    assert_eq!(runs_on(cell, "w0", NEXT_JOB), 1, "the late start is refused");
}

/// Guards against a task that runs twice because a start that was answered is taken for one of the former incarnation.
#[test]
fn a_start_on_an_unknown_incarnation_counts_for_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    lose_worker(&mut cell);
}

/// Guards against a task that runs twice because its start is taken for lost with the incarnation before the restart.
#[test]
fn a_start_on_an_incarnation_that_its_entry_shows_later_counts_for_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    cut_off(&mut cell);
    cell.list_workers();
    assert_tasks_move(&mut cell);
}

/// Guards against a restart that hides a start which the next incarnation carries out once it is known.
#[test]
fn a_late_start_on_an_incarnation_that_its_entry_shows_counts_for_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    cut_off(&mut cell);
    cell.list_workers();
    run_late_starts(&mut cell);
    assert_tasks_move(&mut cell);
}

/// Guards against a task that runs twice because the response to its start is missing.
#[test]
fn a_start_without_a_response_on_an_unknown_incarnation_counts_for_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    cell.run_deferred_starts("w0");
    lose_worker(&mut cell);
}

/// Guards against a task that runs twice because its start is carried out when the leader has given the worker up.
#[test]
fn a_late_start_on_an_unknown_incarnation_counts_for_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    cut_off(&mut cell);
    run_late_starts(&mut cell);
    assert_tasks_move(&mut cell);
}

/// Guards against a task that runs twice because its first start had a ticket of the known incarnation.
#[test]
fn a_start_repeated_with_a_newer_ticket_counts_for_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    cell.defers_calls = true;
    cell.submit(job(NEXT_JOB, vec![step(1)]));
    cell.run(1_000);
    assert!(cell.deferred_calls.len() > 1, "the adviser is not asked again");
    worker(&mut cell).is_silent = true;
    cell.decide_last_call();
    cell.run(50);
    cell.reincarnate("w0");
    cell.decide_last_call();
    cell.run(REQUEST_MS);
    assert_eq!(runs_on(&cell, "w0", NEXT_JOB), 1, "the start is not repeated");
    cell.defers_calls = false;
    lose_worker(&mut cell);
}

/// Guards against a wait that counts for the first start on the worker only.
#[test]
fn several_starts_on_an_unknown_incarnation_count_for_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(3));
    lose_worker(&mut cell);
}

/// Guards against a gang that starts elsewhere while one of its members still runs.
#[test]
fn a_gang_member_on_an_unknown_incarnation_counts_for_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    cell.add_worker("w2", 1, "r0");
    cell.list_workers();
    cell.run(500);
    cell.reincarnate("w0");
    cell.submit(job(NEXT_JOB, vec![StepSpec { is_gang: true, max_per_worker: 1, ..step(2) }]));
    cell.run(50);
    assert_eq!(runs_on(&cell, "w0", NEXT_JOB), 1, "no member runs on the restarted worker");
    lose_worker(&mut cell);
}

/// Replaces the leader. The worker's entry is still that of the incarnation before the restart.
fn replace_leader(cell: &mut FakeCell) {
    let worker = worker(cell);
    let mut entry = worker.report.clone();
    entry.incarnation -= 1;
    worker.former_entry = Some(entry);
    cell.start_leader();
    cell.end_former_leader();
}

/// Guards against a successor that takes the leases of the known incarnation for all that a silent worker may run.
#[test]
fn a_start_on_an_unknown_incarnation_counts_for_the_next_leader() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    cut_off(&mut cell);
    replace_leader(&mut cell);
    assert_tasks_move(&mut cell);
}

/// Guards against a successor that counts the longest lease from its election although a start is carried out later.
#[test]
fn a_late_start_on_an_unknown_incarnation_counts_for_the_next_leader() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    cut_off(&mut cell);
    replace_leader(&mut cell);
    run_late_starts(&mut cell);
    assert_tasks_move(&mut cell);
}

/// Guards against a successor that counts the longest lease from its election although a start is carried out later on
/// the incarnation that the entry shows.
#[test]
fn a_late_start_on_an_incarnation_that_its_entry_shows_counts_for_the_next_leader() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    cut_off(&mut cell);
    cell.start_leader();
    cell.end_former_leader();
    run_late_starts(&mut cell);
    assert_tasks_move(&mut cell);
}

/// Guards against a bound in the store that is below the lease of an incarnation that its writer did not know.
#[test]
fn a_stored_bound_covers_a_start_on_an_unknown_incarnation() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    cut_off(&mut cell);
    cell.run(4_000);
    assert!(cell.lease_bounds.writes > 0, "no bound is stored");
    replace_leader(&mut cell);
    assert_tasks_move(&mut cell);
}

/// Guards against a stop that is taken for the end of the task although a start may still be late.
#[test]
fn a_start_may_be_late_after_the_next_incarnation_acknowledged_its_stop() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    worker(&mut cell).drops_stops = false;
    cell.workers.get_mut("w1").expect("a worker").is_silent = false;
    cell.run(TIMING.valid_ms - 200);
    let attempt = (format!("{NEXT_JOB}.0.0.0"), 1);
    assert!(worker(&mut cell).fenced.contains(&attempt), "no stop is acknowledged");
    assert!(!cell.run_deferred_starts("w0").is_empty(), "no start is late");
    lose_worker(&mut cell);
}

/// Guards against an end of the next incarnation that is discarded unread, after which its task starts again.
#[test]
fn no_end_is_acknowledged_while_an_unknown_incarnation_may_run_a_start() {
    let mut cell = cell_with_waiting_renewal();
    cell.end_first_run("w0", EndKind::Done);
    cell.is_store_down = true;
    cell.run(50);
    cell.reincarnate("w0");
    cell.submit(job(NEXT_JOB, vec![step(1)]));
    cell.run(50);
    worker(&mut cell).defers_renewals = true;
    cell.run_ms = 50;
    cell.restore_store();
    cell.run(20);
    assert_eq!(runs_on(&cell, "w0", NEXT_JOB), 1, "the task does not run");
    cell.now_ms += cell.run_ms;
    assert!(!cell.run_deferred_renewals("w0").is_empty(), "no renewal is late");
    worker(&mut cell).defers_renewals = false;
    cell.list_workers();
    cell.run(5_000);
    assert_eq!(cell.state(NEXT_JOB), Some(JobState::Completed));
    assert_eq!(starts_of(&cell, NEXT_JOB), 1, "the task starts again");
}

/// Returns the number of starts of a job's tasks.
fn starts_of(cell: &FakeCell, job: &str) -> usize {
    let prefix = format!("{job}.");
    cell.starts.iter().filter(|(task, ..)| task.starts_with(&prefix)).count()
}

/// Asserts that no crash counts for the task of the next incarnation, which goes on.
fn assert_no_crash_counts(cell: &mut FakeCell) {
    cell.list_workers();
    cell.run(3_000);
    let logs = cell.take_logs();
    let name = format!("{NEXT_JOB}.0.0.0");
    let is_crash = |entry: &&LogEntry| {
        let is_loss = entry.event == "attempt_lost" && entry.subject == name;
        is_loss && entry.detail.contains("cause=Crash")
    };
    let crashes: Vec<&LogEntry> = logs.iter().filter(is_crash).collect();
    assert!(crashes.is_empty(), "{crashes:?}");
    assert_eq!(starts_of(cell, NEXT_JOB), 1, "the task starts again");
}

/// Guards against a task that is given up for crashes of workers before its start.
#[test]
fn a_restart_before_a_start_is_no_crash_of_its_task() {
    let mut cell = advised_cell();
    start_on_next_incarnation(&mut cell, step(1));
    assert_no_crash_counts(&mut cell);
}

/// The same while a renewal waits for the former incarnation.
#[test]
fn a_restart_during_a_renewal_before_a_start_is_no_crash_of_its_task() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    assert_no_crash_counts(&mut cell);
}

/// Guards against a lost task that waits for the renewal in flight although an entry shows the restart.
#[test]
fn a_worker_whose_entry_shows_a_restart_is_asked_at_once() {
    let mut cell = cell_with_waiting_renewal();
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run(PLACEMENT_MS);
    assert_eq!(runs_on(&cell, "w0", FORMER_JOB), 1, "the lost task does not start again");
}

/// Guards against a restart that is resolved only after the renewal in flight although a start's response shows it.
#[test]
fn a_worker_whose_clock_shows_a_restart_is_asked_at_once() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    cell.run(PLACEMENT_MS);
    let logs = cell.take_logs();
    let is_restart = |entry: &&LogEntry| entry.event == "worker_restarted" && entry.subject == "w0";
    assert!(logs.iter().any(|entry| is_restart(&entry)), "the restart is not known");
}

/// Cuts the worker off, and asserts that all its tasks run on the other one within a time.
fn lose_worker_for(cell: &mut FakeCell, max_ms: u64) {
    cut_off(cell);
    assert_tasks_move_within(cell, max_ms);
}

fn assert_tasks_move_within(cell: &mut FakeCell, max_ms: u64) {
    cell.run(max_ms);
    let runs = runs_on(cell, "w1", FORMER_JOB) + runs_on(cell, "w1", NEXT_JOB);
    assert_eq!(runs, 2, "the tasks do not run elsewhere after {max_ms} ms");
}

/// Guards against a wait for the longest lease although a renewal after the ticket shows whose it is.
#[test]
fn a_start_before_an_answered_renewal_waits_for_the_requested_lease() {
    let mut cell = cell_with_waiting_renewal();
    cell.submit(job(NEXT_JOB, vec![step(1)]));
    cell.run(3_000);
    lose_worker_for(&mut cell, REQUESTED_LEASE_MS);
}

/// The same if the start had no response.
#[test]
fn a_start_without_a_response_before_an_answered_renewal_waits_for_the_requested_lease() {
    let mut cell = cell_with_waiting_renewal();
    worker(&mut cell).defers_next_starts = MAX_START_TRIES;
    worker(&mut cell).drops_stops = true;
    cell.submit(job(NEXT_JOB, vec![step(1)]));
    while worker(&mut cell).deferred_starts.is_empty() {
        cell.run(10);
    }
    cell.run_deferred_starts("w0");
    cell.run(3_000);
    lose_worker_for(&mut cell, REQUESTED_LEASE_MS);
}

/// The same on the next incarnation, once that has answered.
#[test]
fn a_start_on_an_incarnation_that_has_answered_waits_for_the_requested_lease() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    cell.list_workers();
    cell.run(OTHER_LEASES_MS);
    lose_worker_for(&mut cell, REQUESTED_LEASE_MS);
}

/// Guards against a wait for the longest lease although the clock in the start's response shows whose it is.
#[test]
fn a_start_whose_response_has_the_known_clock_waits_for_the_requested_lease() {
    let mut cell = cell_with_waiting_renewal();
    cell.submit(job(NEXT_JOB, vec![step(1)]));
    cell.run(50);
    assert_eq!(runs_on(&cell, "w0", NEXT_JOB), 1, "the task does not run");
    lose_worker_for(&mut cell, REQUESTED_LEASE_MS);
}

/// Guards against a wait beyond the longest lease that a start can have been granted when it was answered.
#[test]
fn a_start_on_an_unknown_incarnation_waits_no_longer_than_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    lose_worker_for(&mut cell, LONGEST_LEASE_MS + PLACEMENT_MS);
}

/// Guards against a wait for a start beyond the time for which its ticket is valid.
#[test]
fn a_start_without_a_response_waits_no_longer_than_its_ticket_and_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    lose_worker_for(&mut cell, TIMING.valid_ms + LONGEST_LEASE_MS + PLACEMENT_MS);
}

/// The same if the entry shows the restart.
#[test]
fn a_start_without_a_response_waits_no_longer_than_that_once_its_entry_shows_the_restart() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    cut_off(&mut cell);
    cell.list_workers();
    let max_ms = TIMING.valid_ms + LONGEST_LEASE_MS + PLACEMENT_MS;
    assert_tasks_move_within(&mut cell, max_ms);
}

/// The same under a leader that never hears from the worker.
#[test]
fn the_next_leader_waits_no_longer_than_a_ticket_and_the_longest_lease() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    cut_off(&mut cell);
    replace_leader(&mut cell);
    let max_ms = TIMING.valid_ms + LONGEST_LEASE_MS + PLACEMENT_MS;
    assert_tasks_move_within(&mut cell, max_ms);
}

/// Cuts the worker off for a time that is shorter than any lease.
fn cut_off_for_a_while(cell: &mut FakeCell) {
    worker(cell).is_silent = true;
    cell.run(3_000);
    worker(cell).is_silent = false;
    cell.list_workers();
}

/// Guards against a run that is stopped, or a task that starts again, although the worker answers again and lists it.
#[test]
fn a_run_on_an_unknown_incarnation_goes_on_when_its_worker_answers_again() {
    let mut cell = cell_with_waiting_renewal();
    start_on_next_incarnation(&mut cell, step(1));
    cut_off_for_a_while(&mut cell);
    cell.run(2 * LAPSE_MS);
    assert_eq!(runs_on(&cell, "w0", NEXT_JOB), 1, "the run has ended");
    assert_eq!(starts_of(&cell, NEXT_JOB), 1, "the task starts again");
}

/// Guards against a task that waits for the longest lease although its worker answers again and does not list it.
#[test]
fn a_lost_start_is_resolved_when_its_worker_answers_again() {
    let mut cell = cell_with_waiting_renewal();
    lose_responses(&mut cell);
    worker(&mut cell).deferred_starts.clear();
    worker(&mut cell).defers_next_starts = 0;
    worker(&mut cell).drops_stops = false;
    cut_off_for_a_while(&mut cell);
    cell.run(ANSWER_MS + PLACEMENT_MS);
    assert_eq!(runs_on(&cell, "w0", NEXT_JOB), 1, "the task does not start again");
    assert_eq!(runs_on(&cell, "w0", FORMER_JOB), 1, "the lost task does not start again");
}

/// Workers restart under their ids and are cut off at random moments, while starts and advice are late and leaders
/// change.
#[test]
fn no_task_runs_twice_while_tickets_are_of_unknown_incarnations() {
    for seed in 0..40_u64 {
        let mut cell = FakeCell::new(WORKERS);
        cell.add_adviser(TIMING);
        (cell.lets_renewals_wait, cell.has_timeouts) = (true, true);
        cell.workers.values_mut().for_each(|worker| worker.needs_tickets = true);
        cell.start_leader();
        let mut next = random_numbers(seed);
        for round in 0..ROUNDS {
            if round % 6 == 0 {
                submit_random(&mut cell, round, &mut next);
            }
            disturb(&mut cell, round, &mut next);
            cell.run(10 * (1 + next(120)));
        }
        for worker in cell.workers.values_mut() {
            worker.deferred_starts.clear();
            worker.is_silent = false;
        }
        cell.list_workers();
        cell.run_ms = 100;
        cell.run(2 * MAX_REQUEST_DELAY_MS + LAPSE_MS);
        for id in cell.records.keys() {
            // A job may be given up for workers that restarted under it.
            let state = cell.state(id);
            assert!(state.is_some_and(JobState::is_final), "seed {seed}: {id} is {state:?}");
        }
    }
}

/// Submits a job of one or two tasks, which may be a gang.
fn submit_random(cell: &mut FakeCell, id: u64, next: &mut impl FnMut(u64) -> u64) {
    cell.run_ms = 1_000 * (5 + next(20));
    let is_gang = next(4) == 0;
    let tasks = 1 + u32::try_from(next(2)).expect("small");
    cell.submit(job(&id.to_string(), vec![StepSpec { is_gang, ..step(tasks) }]));
}

/// Makes something happen to a worker, the adviser or the leader.
fn disturb(cell: &mut FakeCell, round: u64, next: &mut impl FnMut(u64) -> u64) {
    let id = format!("w{}", next(WORKERS as u64));
    cell.expire_deferred_starts(&id);
    match next(12) {
        0 | 1 => cell.reincarnate(&id),
        2 | 3 => {
            // It starts tasks before the leader knows of the restart, and is cut off soon after.
            cell.reincarnate(&id);
            submit_random(cell, ROUNDS + round, next);
            cell.run(10 * (1 + next(40)));
            cell.workers.get_mut(&id).expect("a worker").is_silent = true;
        }
        4 => cell.workers.get_mut(&id).expect("a worker").is_silent = true,
        5 | 10 => cell.workers.get_mut(&id).expect("a worker").is_silent = false,
        6 if cell.workers[&id].deferred_starts.is_empty() => {
            cell.workers.get_mut(&id).expect("a worker").defers_next_starts = 1;
        }
        7 => {
            cell.run_deferred_starts(&id);
        }
        8 => {
            cell.holds_advice = true;
            cell.run(10 * (1 + next(60)));
            cell.deliver_held_advice();
        }
        9 if next(3) == 0 => {
            cell.start_leader();
            cell.end_former_leader();
        }
        _ => cell.list_workers(),
    }
}
