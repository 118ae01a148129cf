//! Which workers a step may run on: each way to choose one goes by the same conditions.

use {
    crate::support::{
        FakeCell, job,
        layout::{
            FOR_EVER_MS, QUICK_TIMING, SLOW_TIMING, add_queue, job_of, lasting,
            make_queue_suspected, runs, set_advice, set_kind, slowly_advised_cell, worker_of,
        },
        step,
    },
    damaskrack_cell::{AdviceTiming, JobRecord, StepSpec},
};

/// Number of workers that the slow adviser allows, of 48.
const ALLOWED_WORKERS: u32 = 26;
/// Number of calls in which fewer workers are named that have not been asked about.
const FIRST_CALLS: usize = 5;
/// Number of such workers in later calls.
const FRESH_WORKERS: usize = 96;
/// Time for which a queue is suspected, and some more, in milliseconds.
const SUSPICION_MS: u64 = 7_000;

/// Guards against calls about workers that run a sibling, which leave no time for the one that is back.
#[test]
fn a_lasting_task_runs_again_on_the_only_worker_without_a_sibling() {
    let mut cell = slowly_advised_cell(48, ALLOWED_WORKERS);
    let whole = StepSpec { cpu_millis: 2_000, max_per_worker: 1, ..lasting(ALLOWED_WORKERS) };
    cell.submit(job("1", vec![whole]));
    cell.run(15_000);
    assert_eq!(runs(&cell), ALLOWED_WORKERS as usize);
    cell.crash("w3");
    cell.run(15_000);
    assert_eq!(runs(&cell), ALLOWED_WORKERS as usize);
}

/// The same without a crash: small tasks, of which a worker could hold more than it may.
#[test]
fn small_tasks_with_a_limit_a_worker_all_start() {
    let mut cell = slowly_advised_cell(48, ALLOWED_WORKERS);
    cell.submit(job("1", vec![StepSpec { max_per_worker: 1, ..lasting(ALLOWED_WORKERS) }]));
    cell.run(20_000);
    assert_eq!(runs(&cell), ALLOWED_WORKERS as usize);
}

/// Guards against tickets of a gang's first workers that expire before the last ones have been asked about.
#[test]
fn a_wide_gang_with_a_limit_a_worker_starts() {
    for members in [90, 180] {
        let mut cell = slowly_advised_cell(members + 30, u32::try_from(members).unwrap() + 10);
        let tasks = u32::try_from(members).unwrap();
        let wide = StepSpec { is_gang: true, max_per_worker: 1, ..lasting(tasks) };
        cell.submit(job("1", vec![wide]));
        cell.run(20_000);
        assert_eq!(runs(&cell), members);
    }
}

/// Guards against a worker that the adviser is asked about after hundreds of others: the bound of docs/PLATFORM.md.
#[test]
fn each_worker_is_named_within_a_bounded_number_of_calls() {
    for (workers, index) in [(48, 0), (48, 47), (370, 0), (370, 200), (370, 369), (1_000, 500)] {
        let mut cell = slowly_advised_cell(workers, 0);
        cell.allowed = [format!("w{index}")].into();
        cell.submit(job("1", vec![lasting(1)]));
        cell.run(20_000);
        assert!(worker_of(&cell, "1").is_some(), "w{index} of {workers}");
        let calls = cell.advice_requests.len();
        let most = FIRST_CALLS + workers.div_ceil(FRESH_WORKERS);
        assert!(calls <= most, "w{index} of {workers} was named in call {calls}");
    }
}

/// Guards against steps that cannot be placed and use up a slow adviser.
#[test]
fn a_step_is_asked_about_while_others_ask_in_vain() {
    let mut cell = slowly_advised_cell(4, 4);
    for id in 10..30 {
        cell.submit(job(&id.to_string(), vec![StepSpec { is_gang: true, ..lasting(40) }]));
    }
    cell.run(10_000);
    let accepted_ms = cell.wall_ms();
    cell.submit(JobRecord { accepted_ms, ..job("1", vec![lasting(1)]) });
    cell.run(15_000);
    assert!(worker_of(&cell, "1").is_some());
}

/// Guards against tickets of a gang's workers that are renewed in turns, and are never valid at one time.
#[test]
fn a_gang_starts_for_which_a_worker_comes_later() {
    for wait_ms in (0..2_000).step_by(100) {
        let mut cell = slowly_advised_cell(3, 4);
        let timing = AdviceTiming { valid_ms: 600, ..SLOW_TIMING };
        set_advice(&mut cell, timing);
        let limited = StepSpec { is_gang: true, max_per_worker: 1, ..lasting(4) };
        cell.submit(job("1", vec![limited]));
        cell.run(2_000 + wait_ms);
        cell.add_worker("w3", 1, "r0");
        cell.list_workers();
        cell.run(10_000);
        assert_eq!(runs(&cell), 4, "the worker came after {wait_ms} ms");
    }
}

/// Guards against a count of attempts that takes in workers which may not run the task.
#[test]
fn a_suspect_starts_while_workers_without_its_label_are_idle() {
    let mut cell = FakeCell::new(8);
    (4..8).for_each(|index| set_kind(&mut cell, &format!("w{index}"), "gpu"));
    cell.list_workers();
    cell.run_ms = FOR_EVER_MS;
    cell.run(200);
    let labelled = |tasks| StepSpec { required_label: "gpu".to_owned(), ..lasting(tasks) };
    for id in ["1", "2", "3", "4"] {
        cell.submit(job(id, vec![StepSpec { max_per_worker: 1, ..labelled(4) }]));
    }
    cell.run(1_000);
    cell.submit(job("5", vec![labelled(1)]));
    cell.run(50);
    cell.crashing.down_ms = FOR_EVER_MS;
    let lost = worker_of(&cell, "5").unwrap();
    cell.crash(&lost);
    cell.run(20_000);
    assert!(worker_of(&cell, "5").is_some());
}

/// The same for a limit a worker: the worker with the fewest attempts runs a sibling.
#[test]
fn a_suspect_starts_while_its_sibling_has_the_calmest_worker() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = FOR_EVER_MS;
    cell.run(200);
    cell.submit(job("1", vec![StepSpec { max_per_worker: 1, ..lasting(2) }]));
    cell.run(50);
    assert_eq!(runs(&cell), 2);
    cell.crashing.down_ms = FOR_EVER_MS;
    cell.crash("w0");
    cell.add_worker("w2", 1, "r0");
    set_kind(&mut cell, "w2", "large");
    cell.list_workers();
    cell.submit(job("2", vec![StepSpec { required_label: "large".to_owned(), ..lasting(5) }]));
    cell.run(1_000);
    assert_eq!(cell.workers["w2"].runs.len(), 5);
    cell.run(20_000);
    assert_eq!(cell.workers["w2"].runs.len(), 6);
}

/// Creates a cell of eight workers in which a queue has just become suspected, and runs a lasting task of it on
/// the first two workers of rack `r3` each. The adviser of the other queue allows these two.
fn cell_with_suspected_queue() -> FakeCell {
    let mut cell = FakeCell::new(8);
    for (_, worker) in cell.workers.iter_mut().skip(6) {
        worker.report.labels[1] = "r3".to_owned();
    }
    cell.list_workers();
    add_queue(&mut cell, "other", "service", Some(QUICK_TIMING));
    cell.run(200);
    make_queue_suspected(&mut cell, "queue", ["1", "2"]);
    cell.run_ms = FOR_EVER_MS;
    let beside_data = StepSpec { max_per_worker: 1, data_rack: "r3".to_owned(), ..lasting(2) };
    cell.submit(job("3", vec![beside_data]));
    cell.run(300);
    cell.allowed = ["w6".to_owned(), "w7".to_owned()].into();
    let on_data = |id: &str| cell.workers[id].runs.iter().any(|run| run.task.starts_with("3."));
    assert!(on_data("w6") && on_data("w7"));
    cell
}

/// Guards against tasks that count as kept apart as long as they run, and keep the adviser from being asked
/// about their workers.
#[test]
fn a_step_starts_beside_tasks_that_were_kept_apart_once() {
    let mut cell = cell_with_suspected_queue();
    cell.run(SUSPICION_MS);
    cell.submit(job_of("other", "4", vec![step(1)]));
    cell.run(5_000);
    assert!(worker_of(&cell, "4").is_some());
}

/// Guards against the same while the queue is still suspected: no other worker may run the step.
#[test]
fn a_step_starts_beside_tasks_that_are_kept_apart_if_it_may_nowhere_else() {
    let mut cell = cell_with_suspected_queue();
    cell.submit(job_of("other", "4", vec![step(1)]));
    cell.run(1_500);
    assert!(worker_of(&cell, "4").is_some());
}

/// Guards against tests that suspects of two services join on one worker.
#[test]
fn suspects_of_two_services_are_not_tested_on_one_worker() {
    let mut cell = FakeCell::new(24);
    for index in 12..24 {
        let worker = cell.workers.get_mut(&format!("w{index}")).unwrap();
        worker.report.service = "another".to_owned();
    }
    cell.list_workers();
    add_queue(&mut cell, "other", "another", None);
    cell.run(200);
    let services = [("queue", "service"), ("other", "another")];
    for number in 10..90 {
        let (id, (queue, _)) = (number.to_string(), services[number % 2]);
        cell.make_crashing(&id);
        cell.submit(job_of(queue, &id, vec![step(1)]));
        cell.run(200);
    }
    cell.run(30_000);
    for (task, _, worker) in &cell.starts {
        let number: usize = task.split('.').next().unwrap().parse().unwrap();
        assert_eq!(cell.workers[worker].report.service, services[number % 2].1, "{task}");
    }
}
