//! Starts without a ticket whose responses are missing. Such a request may be carried out seconds late, by
//! whichever incarnation has the worker's id then, so its task must not run elsewhere meanwhile. The fake cell
//! checks that no task runs twice.

use {
    crate::support::{
        FORMER_LIFE_MS, FakeCell, FakeWorker, LAPSE_MS, MAX_LEASE_MS, MAX_REQUEST_DELAY_MS,
        MAX_START_TRIES, job, random_numbers, step,
    },
    damaskrack_cell::{AdviceTiming, EndKind, JobState, StepSpec},
};

/// Time in which a lease that a leader asks for has expired, and its task is placed again, in milliseconds.
const REQUESTED_LEASE_MS: u64 = 7_500;
/// Time for which the longest lease of a worker counts, on the slowest clock, in milliseconds.
const LONGEST_LEASE_MS: u64 = MAX_LEASE_MS * 100 / 97 + 300;
/// Time between a submission and the offer of another worker, in milliseconds.
const OFFER_DELAY_MS: u64 = 50;

fn worker(cell: &mut FakeCell) -> &mut FakeWorker {
    cell.workers.get_mut("w0").expect("a worker")
}

/// Creates a cell with a worker that gets all starts.
fn cell_with_one_worker() -> FakeCell {
    let mut cell = FakeCell::new(1);
    cell.run(FORMER_LIFE_MS);
    cell.run_ms = 600_000;
    cell
}

/// Submits a step, and then offers another worker.
fn submit(cell: &mut FakeCell, step: StepSpec) {
    cell.submit(job("1", vec![step]));
    cell.run(OFFER_DELAY_MS);
    offer_another_worker(cell);
}

/// Offers another worker, which is preferred as it has less free capacity.
fn offer_another_worker(cell: &mut FakeCell) {
    cell.add_worker("w1", 1, "r0");
    cell.workers.get_mut("w1").expect("a worker").report.capacity.cpu_millis -= 1_000;
    cell.list_workers();
}

/// Creates a cell whose first worker has got a step's first `lost` start requests and not responded to them.
fn cell_with_lost_starts(lost: usize, step: StepSpec) -> FakeCell {
    let mut cell = cell_with_one_worker();
    worker(&mut cell).defers_next_starts = lost;
    submit(&mut cell, step);
    assert_eq!(worker(&mut cell).deferred_starts.len(), lost);
    cell
}

/// Creates such a cell whose task runs, as the second request to start it was answered.
fn cell_with_repeated_start() -> FakeCell {
    let cell = cell_with_lost_starts(1, step(1));
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell
}

/// Restarts the worker under its id; the leader hears from its next incarnation.
fn restart(cell: &mut FakeCell) {
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run(1_000);
}

/// Lets the next incarnation of the worker carry out the late starts, and asserts that all tasks run in the end.
fn run_late_starts(cell: &mut FakeCell, tasks: usize) {
    cell.run(1_000);
    cell.reincarnate("w0");
    assert!(!cell.run_deferred_starts("w0").is_empty(), "no start is late");
    cell.list_workers();
    cell.run(MAX_REQUEST_DELAY_MS + LAPSE_MS);
    assert_eq!(cell.workers.values().map(|worker| worker.runs.len()).sum::<usize>(), tasks);
}

/// Guards against a task that runs twice because the former incarnation has acknowledged its stop.
#[test]
fn a_start_may_run_on_the_next_incarnation_after_its_stop_was_acknowledged() {
    run_late_starts(&mut cell_with_lost_starts(MAX_START_TRIES, step(1)), 1);
}

/// Guards against a task that is free to run elsewhere once some incarnation after that of its start responds.
#[test]
fn a_start_may_run_several_incarnations_later() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    (0..3).for_each(|_| restart(&mut cell));
    run_late_starts(&mut cell, 1);
}

/// Guards against an end that is taken for that of all requests to start the attempt.
#[test]
fn a_start_may_run_on_the_next_incarnation_after_the_attempt_failed() {
    let mut cell = cell_with_repeated_start();
    cell.end_first_run("w0", EndKind::Failed);
    run_late_starts(&mut cell, 1);
}

/// Guards against a refusal that is taken for one of all requests to start the attempt.
#[test]
fn a_start_may_run_on_the_next_incarnation_after_its_repetition_was_refused() {
    let mut cell = cell_with_one_worker();
    (worker(&mut cell).defers_next_starts, worker(&mut cell).refuses_starts) = (1, true);
    submit(&mut cell, step(1));
    run_late_starts(&mut cell, 1);
}

/// Guards against another process at the worker's address that is taken for the end of the worker's id.
#[test]
fn a_start_may_run_on_the_next_incarnation_after_another_worker_had_its_address() {
    let mut cell = cell_with_repeated_start();
    let worker = worker(&mut cell);
    worker.is_replaced = true;
    worker.runs.clear();
    cell.run(500);
    run_late_starts(&mut cell, 1);
}

/// Guards against leases that are taken for all that a lost worker may still run.
#[test]
fn a_start_may_run_on_the_next_incarnation_after_the_leases_expired() {
    let mut cell = cell_with_repeated_start();
    worker(&mut cell).is_silent = true;
    cell.run(REQUESTED_LEASE_MS);
    run_late_starts(&mut cell, 1);
}

/// Guards against a restart that is taken for the last one.
#[test]
fn a_start_may_run_on_the_incarnation_after_the_one_that_lost_its_run() {
    let mut cell = cell_with_repeated_start();
    restart(&mut cell);
    run_late_starts(&mut cell, 1);
}

/// Guards against a takeover that forgets a start request without a response.
#[test]
fn a_start_of_a_former_leader_may_run_on_the_next_incarnation() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    cell.start_leader();
    cell.run(100);
    run_late_starts(&mut cell, 1);
}

/// Guards against a takeover that takes a listed run for that of all requests to start the attempt.
#[test]
fn a_repeated_start_of_a_former_leader_may_run_on_the_next_incarnation() {
    let mut cell = cell_with_repeated_start();
    cell.start_leader();
    cell.run(100);
    restart(&mut cell);
    run_late_starts(&mut cell, 1);
}

/// Guards against a takeover that forgets what was known of a task without an attempt.
#[test]
fn a_start_of_a_released_attempt_may_run_on_the_next_incarnation_under_the_next_leader() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    worker(&mut cell).report.is_leaving = true;
    cell.workers.get_mut("w1").expect("a worker").report.is_leaving = true;
    cell.list_workers();
    cell.run(500);
    cell.start_leader();
    cell.workers.get_mut("w1").expect("a worker").report.is_leaving = false;
    cell.list_workers();
    run_late_starts(&mut cell, 1);
}

/// Guards against inherited leases that are taken for all that a silent worker may still run.
#[test]
fn a_start_of_a_former_leader_may_run_on_the_next_incarnation_after_the_leases_expired() {
    let mut cell = cell_with_one_worker();
    worker(&mut cell).defers_starts = true;
    cell.submit(job("1", vec![step(1)]));
    // No request has been repeated, so the row does not tell of several.
    while worker(&mut cell).deferred_starts.is_empty() {
        cell.run(10);
    }
    cell.start_leader();
    cell.end_former_leader();
    worker(&mut cell).is_silent = true;
    offer_another_worker(&mut cell);
    cell.run(REQUESTED_LEASE_MS + 4_000);
    run_late_starts(&mut cell, 1);
}

/// Guards against an acknowledgement of a former leader's end, after which the next incarnation starts the task again.
#[test]
fn an_end_is_not_acknowledged_while_a_repeated_start_of_a_former_leader_may_be_late() {
    let mut cell = cell_with_repeated_start();
    cell.start_leader();
    cell.end_first_run("w0", EndKind::Done);
    cell.run(1_000);
    cell.reincarnate("w0");
    // The fake cell checks that no task starts again after its end was acknowledged.
    cell.run_deferred_starts("w0");
}

/// Guards against two late starts of a task that the next incarnation carries out one after the other.
#[test]
fn late_starts_of_two_attempts_do_not_both_run_on_the_next_incarnation() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    worker(&mut cell).defers_next_starts = MAX_START_TRIES;
    run_late_starts(&mut cell, 1);
}

/// Guards against a gang that runs elsewhere while a member may still start.
#[test]
fn a_start_of_a_gang_member_may_run_on_the_next_incarnation() {
    let mut cell = cell_with_lost_starts(1, StepSpec { is_gang: true, ..step(2) });
    restart(&mut cell);
    run_late_starts(&mut cell, 2);
}

/// Creates a cell with a start without a response on a worker that is lost for good, and whose entry is gone.
fn cell_without_worker_of_lost_start(step: StepSpec) -> FakeCell {
    let mut cell = cell_with_lost_starts(1, step);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    worker(&mut cell).is_silent = true;
    worker(&mut cell).is_unlisted = true;
    cell.list_workers();
    cell
}

/// Guards against a service that stands still for longer than it may.
#[test]
fn a_service_waits_for_no_late_start_on_a_worker_that_is_gone() {
    let mut cell = cell_without_worker_of_lost_start(StepSpec { is_service: true, ..step(1) });
    cell.run(REQUESTED_LEASE_MS);
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

/// Guards against a task that waits for a worker which is gone when its start can no longer be carried out.
#[test]
fn a_task_waits_for_a_worker_that_is_gone_only_while_its_start_may_be_late() {
    let mut cell = cell_without_worker_of_lost_start(step(1));
    cell.run(MAX_REQUEST_DELAY_MS + 500);
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

/// Guards against a task that waits although the worker which may still start it responds.
#[test]
fn a_task_with_a_lost_start_runs_on_the_same_worker_at_once() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    cell.run(500);
    assert_eq!(cell.starts.len(), 1, "the task does not start");
}

/// Guards against a task that waits for good for a worker which leaves or has no space.
#[test]
fn a_task_with_a_lost_start_runs_elsewhere_once_that_is_too_old() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    worker(&mut cell).report.is_leaving = true;
    cell.list_workers();
    cell.run(MAX_REQUEST_DELAY_MS + 500);
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

/// Guards against a task that waits for good for a worker which keeps its entry and does not respond, and against one
/// that runs elsewhere before a run that the late start has begun there has lost its lease.
#[test]
fn a_task_leaves_a_listed_worker_that_does_not_respond_when_the_longest_lease_of_a_late_start_is_over()
 {
    let mut cell = cell_with_repeated_start();
    worker(&mut cell).is_silent = true;
    cell.run(MAX_REQUEST_DELAY_MS + LONGEST_LEASE_MS - OFFER_DELAY_MS);
    assert!(cell.workers["w1"].runs.is_empty(), "the task starts elsewhere too early");
    cell.run(500);
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

/// Guards against a wait for a start with a ticket, which no other incarnation accepts.
#[test]
fn a_task_with_a_lost_start_with_a_ticket_waits_for_no_worker() {
    let mut cell = FakeCell::new(1);
    cell.add_adviser(AdviceTiming { call_us: 1_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.run(FORMER_LIFE_MS);
    cell.run_ms = 600_000;
    worker(&mut cell).defers_next_starts = MAX_START_TRIES;
    submit(&mut cell, step(1));
    assert!(!worker(&mut cell).deferred_starts.is_empty());
    worker(&mut cell).is_silent = true;
    cell.run(REQUESTED_LEASE_MS);
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

/// Guards against a task that waits for a worker which responds to no start, for as long as that is so.
#[test]
fn a_task_whose_starts_are_all_lost_runs_elsewhere_once_they_are_too_old() {
    let mut cell = cell_with_lost_starts(MAX_START_TRIES, step(1));
    worker(&mut cell).defers_starts = true;
    cell.run(MAX_REQUEST_DELAY_MS + 2_000);
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

/// Workers restart under their ids, and single starts are late, at random moments, while leaders change.
#[test]
fn no_task_runs_twice_while_workers_restart_and_starts_are_late() {
    for seed in 0..40_u64 {
        let mut cell = FakeCell::new(3);
        let mut next = random_numbers(seed);
        for round in 0..60_u64 {
            if round % 6 == 0 {
                cell.run_ms = 1_000 + 1_000 * next(20);
                let is_gang = next(4) == 0;
                let tasks = 1 + u32::try_from(next(2)).expect("small");
                cell.submit(job(&round.to_string(), vec![StepSpec { is_gang, ..step(tasks) }]));
            }
            let id = format!("w{}", next(3));
            cell.expire_deferred_starts(&id);
            match next(8) {
                0..=2 => {
                    cell.reincarnate(&id);
                    cell.run(10 * next(3));
                    cell.expire_deferred_starts(&id);
                    cell.run_deferred_starts(&id);
                }
                3 | 4 if cell.workers[&id].deferred_starts.is_empty() => {
                    cell.workers.get_mut(&id).expect("a worker").defers_next_starts = 1;
                }
                5 => cell.start_leader(),
                _ => cell.list_workers(),
            }
            cell.run(10 * (1 + next(80)));
            cell.list_workers();
        }
        cell.workers.values_mut().for_each(|worker| worker.deferred_starts.clear());
        cell.run_ms = 100;
        cell.run(2 * MAX_REQUEST_DELAY_MS + LAPSE_MS);
        for round in (0..60_u64).step_by(6) {
            // A job may be given up for workers that restarted under it.
            let state = cell.state(&round.to_string());
            assert!(state.is_some_and(JobState::is_final), "seed {seed}: {round} is {state:?}");
        }
    }
}
