//! Leases of workers that restart under their ids. A deadline that was meant for a former incarnation is
//! far away on the clock of the next one, which then grants the longest lease that it grants at all. The
//! fake cell checks that no task runs twice.

use {
    crate::support::{
        FORMER_LIFE_MS, FakeCell, LAPSE_MS, OTHER_LEASES_MS, job, random_numbers, step,
    },
    damaskrack_cell::StepSpec,
};

/// Time in which a lease that a leader of the fakes asks for has expired, and its task is placed again, in
/// milliseconds.
const REQUESTED_LEASE_MS: u64 = 7_500;
/// Time after which a request without a response is no longer carried out, in milliseconds.
const LATE_START_MS: u64 = 15_000;

/// Creates a cell whose only worker runs a task that lasts, with a renewal that has no response and a
/// deadline on the worker's clock.
fn cell_with_open_renewal() -> FakeCell {
    let mut cell = FakeCell::new(1);
    cell.run(FORMER_LIFE_MS);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(500);
    cell.workers.get_mut("w0").expect("a worker").defers_renewals = true;
    cell.run(100);
    let late = &cell.workers["w0"].deferred_renewals;
    assert!(late.iter().any(|late| late.request.deadline_ms.is_some()));
    cell
}

/// Restarts the worker, lets its next incarnation carry out the renewal, and responds again.
fn restart_with_late_renewal(cell: &mut FakeCell) {
    cell.reincarnate("w0");
    cell.run_deferred_renewals("w0");
    cell.workers.get_mut("w0").expect("a worker").defers_renewals = false;
}

/// Lets the task start on the present incarnation of the worker, and then cuts that off. Another worker
/// could run the task.
fn lose_worker_with_task(cell: &mut FakeCell) {
    cell.list_workers();
    cell.run(1_500);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.add_worker("w1", 1, "r0");
    cell.list_workers();
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    let starts = cell.starts.len();
    cell.run(LAPSE_MS);
    assert_eq!(cell.starts.len(), starts + 1, "the task does not start elsewhere");
}

/// Guards against a task that runs twice, because the lease of its worker lasts longer than the leader
/// asked for.
#[test]
fn a_lease_extended_by_a_renewal_for_a_former_incarnation_counts() {
    let mut cell = cell_with_open_renewal();
    restart_with_late_renewal(&mut cell);
    lose_worker_with_task(&mut cell);
}

/// The same if the renewal was sent by a former leader.
#[test]
fn a_lease_extended_by_a_renewal_of_a_former_leader_for_a_former_incarnation_counts() {
    let mut cell = cell_with_open_renewal();
    restart_with_late_renewal(&mut cell);
    cell.start_leader();
    lose_worker_with_task(&mut cell);
}

/// The same if the worker was forgotten between its two incarnations.
#[test]
fn a_lease_extended_by_a_renewal_for_a_forgotten_incarnation_counts() {
    let mut cell = cell_with_open_renewal();
    cell.workers.get_mut("w0").expect("a worker").is_unlisted = true;
    cell.list_workers();
    cell.run(LAPSE_MS);
    restart_with_late_renewal(&mut cell);
    lose_worker_with_task(&mut cell);
}

/// Guards against a wait that is longer than the leases can last: the bound counts from the first response.
#[test]
fn tasks_of_a_worker_that_is_lost_after_its_first_response_wait_for_the_longest_lease() {
    let mut cell = FakeCell::new(1);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(300);
    cell.add_worker("w1", 1, "r0");
    cell.list_workers();
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    cell.run(OTHER_LEASES_MS);
    assert_eq!(cell.starts.len(), 2);
}

/// Guards against a task that runs twice under a leader that never hears from its worker.
#[test]
fn a_lease_extended_by_a_renewal_for_a_former_incarnation_counts_for_the_next_leader() {
    let mut cell = cell_with_open_renewal();
    restart_with_late_renewal(&mut cell);
    cell.list_workers();
    cell.run(1_500);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.add_worker("w1", 1, "r0");
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    cell.run(800);
    cell.start_leader();
    let starts = cell.starts.len();
    cell.run(LAPSE_MS);
    assert_eq!(cell.starts.len(), starts + 1, "the task does not start elsewhere");
}

/// Guards against a lease that is extended after the leader has placed work, by a request that was meant
/// for a former incarnation.
#[test]
fn nothing_starts_on_an_incarnation_that_may_accept_requests_to_a_former_one() {
    let mut cell = FakeCell::new(1);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(500);
    cell.reincarnate("w0");
    cell.delays_renewals_of = Some("w0".to_owned());
    cell.run(2_000);
    cell.list_workers();
    let starts = cell.starts.len();
    // The response to the renewal of the former incarnation arrives, the one after it does not.
    cell.deliver_delayed_renewals();
    cell.workers.get_mut("w0").expect("a worker").defers_renewals = true;
    cell.run(200);
    assert_eq!(cell.starts.len(), starts, "a task was started");
    cell.workers.get_mut("w0").expect("a worker").defers_renewals = false;
    cell.run(2_000);
    assert_eq!(cell.starts.len(), starts + 1);
}

/// Guards against a task that waits for the longest lease after each takeover, although its former leader knew
/// that its worker had none.
#[test]
fn a_worker_that_is_lost_after_a_takeover_has_the_leases_that_its_former_leader_knew() {
    let mut cell = FakeCell::new(2);
    cell.run(OTHER_LEASES_MS);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(1_000);
    for _ in 0..2 {
        cell.start_leader();
        cell.run(300);
    }
    let worker = cell.starts[0].2.clone();
    cell.workers.get_mut(&worker).expect("a worker").is_silent = true;
    cell.run(REQUESTED_LEASE_MS);
    assert_eq!(cell.starts.len(), 2);
}

/// Guards against a service that waits for the longest lease of a worker that had just restarted.
#[test]
fn a_service_starts_on_a_worker_without_leases_of_other_requests() {
    let mut cell = FakeCell::new(1);
    cell.run(OTHER_LEASES_MS);
    cell.add_worker("w1", 1, "r0");
    cell.list_workers();
    cell.run_ms = 600_000;
    // The other worker has less free capacity, so it would come first.
    cell.workers.get_mut("w1").expect("a worker").report.capacity.cpu_millis -= 1_000;
    cell.list_workers();
    cell.run(300);
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(300);
    assert_eq!(cell.starts[0].2, "w0");
    cell.submit(job("2", vec![StepSpec { is_service: true, ..step(5) }]));
    cell.run(300);
    assert!(cell.starts.iter().any(|(_, _, worker)| worker == "w1"), "it never waits for another");
}

/// Runs a service that was placed `known_ms` after its worker's first response, replaces the leader a minute
/// later, and loses the worker after it has responded to that. Returns whether the service runs elsewhere
/// within the lease that a leader asks for.
fn restarts_in_time(known_ms: u64) -> bool {
    let mut cell = FakeCell::new(2);
    cell.run(known_ms);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(60_000);
    cell.start_leader();
    cell.run(300);
    let worker = cell.starts[0].2.clone();
    cell.workers.get_mut(&worker).expect("a worker").is_silent = true;
    cell.run(REQUESTED_LEASE_MS);
    cell.starts.len() == 2
}

/// The same for a service that was placed late, which needs nothing of its row to be written again.
#[test]
fn a_service_that_was_placed_late_starts_elsewhere_in_time_a_minute_later() {
    assert!(restarts_in_time(OTHER_LEASES_MS));
}

/// Guards against a service that stands still for the longest lease, because the row that was written when it was
/// placed is never written again.
#[test]
fn a_service_that_was_placed_early_starts_elsewhere_in_time_a_minute_later() {
    assert!(restarts_in_time(300));
}

/// Guards against a row that names a former incarnation while the attempt runs on the present one.
#[test]
fn the_row_of_an_attempt_names_the_incarnation_that_gets_the_start() {
    let mut cell = FakeCell::new(1);
    cell.run(30_000);
    cell.run_ms = 600_000;
    cell.is_store_down = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run(300);
    cell.restore_store();
    cell.run(1_000);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    let row = &cell.progress["1"].phases[0].tasks[0];
    let incarnation = cell.workers["w0"].report.incarnation;
    assert_eq!((row.incarnation, row.has_bounded_leases), (incarnation, false));
}

/// Lets a worker restart and carry out a start (without a ticket) that was meant for its former incarnation, while
/// nobody hears from it again. The fake cell checks that the task does not run twice.
fn run_start_for_former_incarnation(is_restart_known: bool) {
    let mut cell = FakeCell::new(1);
    cell.run(30_000);
    cell.run_ms = 600_000;
    cell.workers.get_mut("w0").expect("a worker").defers_starts = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(50);
    cell.reincarnate("w0");
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    if is_restart_known {
        cell.list_workers();
    }
    assert!(!cell.run_deferred_starts("w0").is_empty());
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.run(300);
    cell.add_worker("w1", 1, "r0");
    cell.workers.get_mut("w0").expect("a worker").is_unlisted = !is_restart_known;
    cell.list_workers();
    cell.run(LAPSE_MS);
}

/// Guards against a task that runs twice, because a start that was under way when its worker restarted was carried out
/// by the next incarnation, which is listed and never heard from.
#[test]
fn a_start_under_way_when_its_worker_restarts_may_run_on_the_next_incarnation() {
    let mut cell = FakeCell::new(1);
    cell.run(FORMER_LIFE_MS);
    cell.run_ms = 600_000;
    let worker = cell.workers.get_mut("w0").expect("a worker");
    (worker.defers_starts, worker.drops_stops) = (true, true);
    cell.submit(job("1", vec![step(1)]));
    cell.run(50);
    cell.reincarnate("w0");
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    cell.list_workers();
    assert!(!cell.run_deferred_starts("w0").is_empty());
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.add_worker("w1", 1, "r0");
    cell.list_workers();
    cell.run(LATE_START_MS + LAPSE_MS);
    assert_eq!(cell.workers["w1"].runs.len(), 1, "the task does not start elsewhere");
}

/// Guards against a task that runs twice, because a start for a former incarnation gave the next one, which is
/// never heard from, a longer lease than the former one had.
#[test]
fn a_lease_extended_by_a_start_for_a_former_incarnation_counts() {
    run_start_for_former_incarnation(true);
}

/// The same if nobody knows of the restart.
#[test]
fn a_lease_extended_by_a_start_counts_if_nobody_knows_of_the_restart() {
    run_start_for_former_incarnation(false);
}

/// Guards against a task that runs twice after a takeover, because its worker was idle for long before the
/// start, and its clock is slow.
#[test]
fn a_lease_by_an_old_reading_of_a_slow_clock_counts_for_the_next_leader() {
    let mut cell = FakeCell::new(1);
    cell.workers.get_mut("w0").expect("a worker").lost_clock_percent = 2;
    cell.run(400_000);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(50);
    assert_eq!(cell.starts.len(), 1);
    cell.start_leader();
    cell.run(50);
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    cell.add_worker("w1", 1, "r0");
    cell.list_workers();
    // The fake cell checks that no task runs twice.
    cell.run(LAPSE_MS);
}

/// Guards against a crash that is counted under a task which runs, because its row names a former incarnation.
#[test]
fn a_takeover_counts_no_crash_of_an_incarnation_on_which_the_task_never_ran() {
    let mut cell = FakeCell::new(1);
    cell.run(30_000);
    cell.run_ms = 600_000;
    cell.is_store_down = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run(300);
    cell.restore_store();
    cell.run(5_000);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    assert_eq!(cell.progress["1"].phases[0].tasks[0].crashes, 0, "before the takeover");
    cell.start_leader();
    cell.run(1_000);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    assert_eq!(cell.progress["1"].phases[0].tasks[0].crashes, 0);
}

/// Guards against a task that runs twice, because its row names a former incarnation with bounded leases, and the next
/// leader never hears from the present one, which it does not find listed either.
#[test]
fn a_row_that_names_a_former_incarnation_bounds_no_leases_of_the_present_one() {
    let mut cell = FakeCell::new(1);
    // Else the wait for a former leader's isolation hides the bound.
    cell.settings.isolation_ms = 1_000;
    cell.run(30_000);
    cell.run_ms = 600_000;
    cell.submit(job("9", vec![step(1)]));
    cell.run(500);
    cell.is_store_down = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(50);
    cell.workers.get_mut("w0").expect("a worker").defers_renewals = true;
    cell.run(100);
    cell.reincarnate("w0");
    cell.run_deferred_renewals("w0");
    cell.workers.get_mut("w0").expect("a worker").defers_renewals = false;
    cell.list_workers();
    cell.run(300);
    cell.restore_store();
    cell.run(1_500);
    let runs = &cell.workers["w0"].runs;
    assert!(runs.iter().any(|run| run.task == "1.0.0.0"), "the task does not run");
    let worker = cell.workers.get_mut("w0").expect("a worker");
    (worker.is_silent, worker.is_unlisted) = (true, true);
    cell.add_worker("w1", 1, "r0");
    cell.start_leader();
    // The fake cell checks that no task runs twice.
    cell.run(LAPSE_MS);
}

/// Guards against an incarnation that keeps the limit which the row of an attempt on the former one stated.
#[test]
fn a_limit_on_leases_ends_with_its_incarnation() {
    let mut cell = FakeCell::new(1);
    cell.run(30_000);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(500);
    // The next leader takes over from the row that the leases are bounded.
    cell.start_leader();
    cell.run(500);
    cell.workers.get_mut("w0").expect("a worker").defers_renewals = true;
    cell.run(100);
    cell.reincarnate("w0");
    cell.run_deferred_renewals("w0");
    cell.workers.get_mut("w0").expect("a worker").defers_renewals = false;
    cell.list_workers();
    cell.run(1_500);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.add_worker("w1", 1, "r0");
    cell.list_workers();
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    // The fake cell checks that no task runs twice.
    cell.run(LAPSE_MS);
}

/// Guards against a leader that never hears from a worker and counts the leases that it asks for only.
#[test]
fn a_leader_that_never_hears_from_a_worker_waits_for_the_longest_lease() {
    let mut cell = cell_with_open_renewal();
    // Else the wait for a former leader's isolation hides the bound.
    cell.settings.isolation_ms = 1_000;
    restart_with_late_renewal(&mut cell);
    cell.list_workers();
    cell.run(1_500);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.add_worker("w1", 1, "r0");
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    cell.start_leader();
    // The fake cell checks that no task runs twice.
    cell.run(LAPSE_MS);
}

/// Guards against a row that states bounded leases too early, so that the next leader, which hears from the worker
/// once, counts too short ones.
#[test]
fn a_row_of_an_early_attempt_bounds_no_leases() {
    let mut cell = cell_with_open_renewal();
    restart_with_late_renewal(&mut cell);
    cell.list_workers();
    cell.run(1_500);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell.start_leader();
    cell.run(100);
    cell.add_worker("w1", 1, "r0");
    cell.list_workers();
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    // The fake cell checks that no task runs twice.
    cell.run(LAPSE_MS);
}

/// Workers restart, are cut off and carry renewals out late, at random moments, while leaders change.
#[test]
fn no_task_runs_twice_while_restarted_workers_are_cut_off() {
    for seed in 0..60_u64 {
        let mut cell = FakeCell::new(3);
        let mut next = random_numbers(seed);
        cell.run(FORMER_LIFE_MS);
        for round in 0..25_u64 {
            cell.run_ms = 2_000 + 1_000 * next(20);
            cell.submit(job(&round.to_string(), vec![step(2)]));
            let id = format!("w{}", next(3));
            let worker = cell.workers.get_mut(&id).expect("a worker");
            match next(6) {
                0 => worker.defers_renewals = true,
                1 => {
                    cell.reincarnate(&id);
                    let worker = cell.workers.get_mut(&id).expect("a worker");
                    // Their tickets are of the former incarnation.
                    worker.deferred_starts.clear();
                    if next(2) == 0 {
                        cell.run_deferred_renewals(&id);
                    }
                }
                2 => {
                    cell.run_deferred_renewals(&id);
                }
                3 => worker.is_silent = !worker.is_silent,
                4 => worker.defers_renewals = false,
                _ if next(3) == 0 => cell.start_leader(),
                _ => {}
            }
            cell.list_workers();
            cell.run(100 * (1 + next(40)));
        }
        assert!(!cell.has_resigned, "seed {seed}");
    }
}
