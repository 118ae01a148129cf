//! Where suspects run, and steps beside queues that are kept apart: the paths beside review/7 and review/8.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on should panic")]

use {
    crate::support::{
        FakeCell, OTHER_LEASES_MS, job,
        layout::{
            FOR_EVER_MS, QUICK_TIMING, SLOW_TIMING, add_queue, job_of, lasting,
            make_queue_suspected, runs, set_advice, set_kind, slowly_advised_cell, worker_of,
        },
        step,
    },
    damaskrack_cell::{AdviceTiming, StepSpec},
};

/// Time within which every task starts that may, in milliseconds: a probation, and the calls that name all workers.
const START_BOUND_MS: u64 = 20_000;
/// Time in which a lease of 6 s expires on a slow clock, and what was released is placed, in milliseconds.
const LEASES_MS: u64 = 7_000;
/// Time after which the entry of a lost worker has expired, three heartbeats and more, in milliseconds.
const ENTRY_MS: u64 = 6_000;
/// Number of calls after which a suspect goes to any worker, and those that are under way meanwhile.
const FEW_CALLS: usize = 5;

/// Adds a queue without an adviser, and runs some of its tasks on each of the first workers.
fn load_first_workers(cell: &mut FakeCell, workers: u32, tasks: u32) {
    add_queue(cell, "plain", "service", None);
    (0..workers).for_each(|index| set_kind(cell, &format!("w{index}"), "busy"));
    cell.list_workers();
    let busy = StepSpec {
        required_label: "busy".to_owned(),
        max_per_worker: tasks,
        ..lasting(workers * tasks)
    };
    cell.submit(job_of("plain", "load", vec![busy]));
    cell.run(200);
    assert_eq!(runs(cell), (workers * tasks) as usize);
}

/// Submits a job, and loses a worker for good as soon as all of its tasks run.
fn lose_worker_just_after_start(cell: &mut FakeCell, id: &str, step: StepSpec) {
    let before = runs(cell);
    let tasks = step.tasks as usize;
    cell.submit(job(id, vec![step]));
    for _ in 0..2_000 {
        if runs(cell) == before + tasks {
            break;
        }
        cell.run(10);
    }
    cell.crashing.down_ms = FOR_EVER_MS;
    let lost = worker_of(cell, id).unwrap();
    cell.crash(&lost);
}

/// Asserts that everything runs in the end that may.
fn assert_all_start(cell: &mut FakeCell, case: &str) {
    cell.run(START_BOUND_MS);
    assert_eq!(cell.startable_tasks(), Vec::<String>::new(), "{case}");
}

/// Guards against a gang under suspicion that waits for calm workers, although it may run on busy ones only.
#[test]
fn a_suspect_gang_starts_again_where_the_adviser_allows_it_alone() {
    for timing in [QUICK_TIMING, SLOW_TIMING] {
        let mut cell = slowly_advised_cell(24, 4);
        set_advice(&mut cell, timing);
        load_first_workers(&mut cell, 4, 3);
        let gang = StepSpec { is_gang: true, max_per_worker: 1, ..lasting(3) };
        lose_worker_just_after_start(&mut cell, "1", gang);
        assert_all_start(&mut cell, "a gang");
        assert!(worker_of(&cell, "1").is_some(), "{timing:?}");
    }
}

/// Guards against a suspect that waits for the calmest worker, which runs as many tasks of its step as it may.
#[test]
fn a_suspect_with_a_limit_a_worker_starts_again_with_an_adviser() {
    for limit in [1, 2] {
        let mut cell = slowly_advised_cell(24, 7);
        load_first_workers(&mut cell, 6, 3);
        let limited = StepSpec { max_per_worker: limit, ..lasting(6 * limit) };
        lose_worker_just_after_start(&mut cell, "1", limited);
        assert_all_start(&mut cell, "a step with a limit");
        assert!(worker_of(&cell, "1").is_some(), "limit {limit}");
    }
}

/// Guards against suspects whose tickets expire each time before a worker is free for their tests.
#[test]
fn suspects_start_again_whose_tickets_expire_before_a_test_ends() {
    for valid_ms in [600, 900, 1_500] {
        let mut cell = slowly_advised_cell(12, 6);
        let timing = AdviceTiming { valid_ms, ..SLOW_TIMING };
        set_advice(&mut cell, timing);
        load_first_workers(&mut cell, 6, 1);
        for id in 10..22 {
            cell.submit(job(&id.to_string(), vec![lasting(1)]));
        }
        lose_worker_just_after_start(&mut cell, "1", lasting(1));
        assert_all_start(&mut cell, &format!("valid for {valid_ms} ms"));
    }
}

/// Guards against a service whose start was under way when its worker was lost for good, and that waits until nobody
/// can carry that start out any more, although the worker's leases and its entry have expired.
#[test]
fn a_service_with_a_start_under_way_leaves_a_lost_worker_once_its_leases_and_entry_have_expired() {
    let mut cell = FakeCell::new(3);
    cell.crashing.down_ms = FOR_EVER_MS;
    cell.run_ms = FOR_EVER_MS;
    cell.run(OTHER_LEASES_MS);
    cell.workers.values_mut().for_each(|worker| worker.defers_starts = true);
    cell.submit(job("1", vec![lasting(1)]));
    cell.run(10);
    let is_asked = |id: &&String| !cell.workers[*id].deferred_starts.is_empty();
    let lost = cell.workers.keys().find(is_asked).unwrap().clone();
    cell.crash(&lost);
    cell.workers.values_mut().for_each(|worker| worker.defers_starts = false);
    cell.run(ENTRY_MS);
    cell.workers.get_mut(&lost).unwrap().is_unlisted = true;
    cell.list_workers();
    cell.run(LEASES_MS - ENTRY_MS);
    assert!(worker_of(&cell, "1").is_some());
}

/// Creates a cell in which two queues are kept apart, each with a lasting task on `w6` and on `w7`. The adviser of a
/// third one allows these two alone.
fn cell_with_two_suspected_queues() -> FakeCell {
    let mut cell = FakeCell::new(8);
    for id in ["w6", "w7"] {
        let worker = cell.workers.get_mut(id).unwrap();
        worker.report.labels[1] = "r3".to_owned();
    }
    cell.list_workers();
    add_queue(&mut cell, "second", "service", None);
    add_queue(&mut cell, "third", "service", Some(QUICK_TIMING));
    cell.run(200);
    make_queue_suspected(&mut cell, "queue", ["1", "2"]);
    make_queue_suspected(&mut cell, "second", ["3", "4"]);
    let logs = cell.take_logs();
    let kept_apart = logs.iter().filter(|entry| entry.event == "queue_kept_apart");
    assert_eq!(kept_apart.count(), 2);
    cell.run_ms = FOR_EVER_MS;
    let beside_data = StepSpec { max_per_worker: 1, data_rack: "r3".to_owned(), ..lasting(2) };
    cell.submit(job_of("queue", "5", vec![beside_data.clone()]));
    cell.submit(job_of("second", "6", vec![beside_data]));
    cell.run(300);
    cell.allowed = ["w6".to_owned(), "w7".to_owned()].into();
    assert!(["w6", "w7"].iter().all(|id| cell.workers[*id].runs.len() == 2));
    cell
}

/// Guards against two queues that are kept apart at once, and keep a third one from its only workers.
#[test]
fn a_step_starts_beside_two_queues_that_are_kept_apart() {
    for wait_ms in [0, 7_000] {
        let mut cell = cell_with_two_suspected_queues();
        cell.run(wait_ms);
        cell.submit(job_of("third", "7", vec![step(1)]));
        cell.run(1_500);
        assert!(worker_of(&cell, "7").is_some(), "after {wait_ms} ms");
    }
}

/// Guards against marks of tasks that are kept apart as long as they run: a task goes to the fullest worker again.
#[test]
fn a_task_is_kept_apart_only_while_its_queue_is() {
    for (wait_ms, is_beside) in [(0, false), (7_000, true)] {
        let mut cell = cell_with_two_suspected_queues();
        add_queue(&mut cell, "fourth", "service", None);
        cell.run(wait_ms);
        cell.submit(job_of("fourth", "7", vec![StepSpec { cpu_millis: 500, ..step(1) }]));
        cell.run(100);
        let worker = worker_of(&cell, "7").unwrap();
        assert_eq!(["w6", "w7"].contains(&worker.as_str()), is_beside, "after {wait_ms} ms");
    }
}

/// Guards against a gang that waits for workers without tasks that are kept apart, or tasks that wait for workers
/// without gangs.
#[test]
fn queues_that_are_kept_apart_and_gangs_share_workers_if_they_must() {
    let mut cell = cell_with_two_suspected_queues();
    let gang = StepSpec { is_gang: true, max_per_worker: 1, ..lasting(2) };
    cell.submit(job_of("third", "7", vec![gang.clone()]));
    cell.submit(job_of("queue", "8", vec![StepSpec { max_per_worker: 1, ..lasting(8) }]));
    cell.submit(job_of(
        "second",
        "9",
        vec![StepSpec { is_gang: true, max_per_worker: 1, ..lasting(8) }],
    ));
    assert_all_start(&mut cell, "queues kept apart");
}

/// Guards against a gang that is allowed on workers with and without tasks that are kept apart, of which the adviser
/// is asked about the latter alone.
#[test]
fn a_gang_starts_on_workers_of_which_one_runs_tasks_that_are_kept_apart() {
    let mut cell = cell_with_two_suspected_queues();
    cell.allowed = ["w5".to_owned(), "w6".to_owned()].into();
    let gang = StepSpec { is_gang: true, max_per_worker: 1, ..lasting(2) };
    cell.submit(job_of("third", "7", vec![gang]));
    cell.run(600);
    assert!(worker_of(&cell, "7").is_some());
}

/// Guards against a suspect that waits until the adviser has been asked about each calmer worker.
#[test]
fn a_suspect_starts_on_a_busy_worker_after_a_few_calls() {
    let mut cell = slowly_advised_cell(370, 40);
    load_first_workers(&mut cell, 40, 5);
    lose_worker_just_after_start(&mut cell, "1", lasting(1));
    let calls = cell.advice_requests.len();
    cell.run(START_BOUND_MS);
    assert!(worker_of(&cell, "1").is_some());
    let calls = cell.advice_requests.len() - calls;
    assert!(calls <= FEW_CALLS, "{calls} calls");
}

/// Guards against marks of tasks that are kept apart which outlive a change of leader.
#[test]
fn a_step_starts_beside_tasks_that_a_former_leader_kept_apart() {
    let mut cell = cell_with_two_suspected_queues();
    cell.start_leader();
    cell.submit(job_of("third", "7", vec![step(1)]));
    cell.run(1_500);
    assert!(worker_of(&cell, "7").is_some());
}

/// Guards against a suspicion that a new leader reads and that never ends: no test of it is under way.
#[test]
fn suspects_start_again_under_the_next_leader() {
    let mut cell = slowly_advised_cell(24, 6);
    load_first_workers(&mut cell, 6, 2);
    lose_worker_just_after_start(&mut cell, "1", StepSpec { max_per_worker: 1, ..lasting(6) });
    for _ in 0..4 {
        cell.run(700);
        cell.start_leader();
    }
    assert_all_start(&mut cell, "after four leaders");
    cell.submit(job("2", vec![StepSpec { is_gang: true, max_per_worker: 1, ..lasting(5) }]));
    assert_all_start(&mut cell, "a gang beside former suspects");
    assert!(worker_of(&cell, "2").is_some());
}
