//! The order in which steps ask the adviser.

use {
    crate::support::{
        FakeCell, job,
        layout::{FOR_EVER_MS, QUICK_TIMING, SLOW_TIMING, add_queue, job_of, lasting},
        step,
    },
    damaskrack_cell::{AdviceTiming, StepSpec},
};

/// CPU of a step that takes a whole worker, in thousandths of a core.
const WHOLE_WORKER_MILLIS: u64 = 4_000;

/// Creates a cell with an urgent queue and another one, whose adviser takes as long as expected.
fn cell_with_urgent_queue(workers: usize, timing: AdviceTiming) -> FakeCell {
    let mut cell = FakeCell::new(workers);
    cell.add_adviser(timing);
    cell.has_slow_adviser = true;
    cell.run_ms = FOR_EVER_MS;
    add_queue(&mut cell, "later", "service", Some(SLOW_TIMING));
    cell.reconfigure(|config| {
        config
            .queues
            .values_mut()
            .for_each(|queue| queue.priority = u32::from(queue.name != "queue"));
    });
    cell.start_leader();
    cell.run(200);
    cell
}

/// Gives all workers another capacity.
fn resize_workers(cell: &mut FakeCell, cpu_millis: u64) {
    let ids: Vec<String> = cell.workers.keys().cloned().collect();
    ids.iter().for_each(|id| cell.resize_worker(id, cpu_millis));
}

/// Guards against steps that have asked in vain, and come after all that are less urgent.
#[test]
fn an_urgent_step_asks_first_although_it_has_asked_in_vain() {
    let timing = AdviceTiming { valid_ms: 200, ..SLOW_TIMING };
    let mut cell = cell_with_urgent_queue(4, timing);
    cell.submit(job("1", vec![StepSpec { cpu_millis: WHOLE_WORKER_MILLIS, ..lasting(1) }]));
    for _ in 0..5 {
        // Another task takes each worker while the adviser decides.
        resize_workers(&mut cell, WHOLE_WORKER_MILLIS);
        cell.run(300);
        resize_workers(&mut cell, WHOLE_WORKER_MILLIS / 2);
        cell.run(700);
    }
    let asked = cell.advice_requests.iter().filter(|request| request.phase == "1.0.0").count();
    assert!(asked >= 5, "{asked} calls");
    for id in 10..30 {
        let whole = StepSpec { cpu_millis: WHOLE_WORKER_MILLIS, ..lasting(1) };
        cell.submit(job_of("later", &id.to_string(), vec![whole]));
    }
    cell.run(2_000);
    resize_workers(&mut cell, WHOLE_WORKER_MILLIS);
    let before = cell.advice_requests.len();
    cell.run(1_500);
    let first: Vec<&str> =
        cell.advice_requests[before..].iter().take(2).map(|call| call.phase.as_str()).collect();
    assert!(first.contains(&"1.0.0"), "{first:?} asked first");
}

/// Guards against an urgent step that asks only once there is free capacity, which others take meanwhile.
#[test]
fn a_step_with_short_calls_asks_before_there_is_capacity() {
    let mut cell = cell_with_urgent_queue(4, QUICK_TIMING);
    add_queue(&mut cell, "plain", "service", None);
    cell.submit(job_of(
        "plain",
        "1",
        vec![StepSpec { cpu_millis: WHOLE_WORKER_MILLIS, ..step(4) }],
    ));
    cell.run(200);
    cell.submit(job("2", vec![step(1)]));
    cell.run(200);
    assert!(cell.advice_requests.iter().any(|request| request.phase == "2.0.0"));
}
