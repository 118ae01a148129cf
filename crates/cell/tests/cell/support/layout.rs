//! Cells, steps and queues by what decides where a task may run.

use {
    super::{FakeCell, job, step},
    damaskrack_cell::{AdviceTiming, JobRecord, QueueConfig, StepSpec},
};

/// Timing of an adviser whose tickets expire after three calls.
pub(crate) const SLOW_TIMING: AdviceTiming =
    AdviceTiming { call_us: 450_000, worker_us: 6_400, valid_ms: 1_500 };
/// Timing of an adviser that decides quickly.
pub(crate) const QUICK_TIMING: AdviceTiming =
    AdviceTiming { call_us: 10_000, worker_us: 100, valid_ms: 1_500 };
/// Longer than any test, in milliseconds.
pub(crate) const FOR_EVER_MS: u64 = 1_000_000_000;

/// Creates a step whose small tasks run until their job is cancelled.
pub(crate) fn lasting(tasks: u32) -> StepSpec {
    StepSpec { is_service: true, cpu_millis: 500, ..step(tasks) }
}

/// Creates a cell whose slow adviser allows the first workers.
pub(crate) fn slowly_advised_cell(workers: usize, allowed: u32) -> FakeCell {
    let mut cell = FakeCell::new(workers);
    cell.add_adviser(SLOW_TIMING);
    cell.has_slow_adviser = true;
    cell.allowed = (0..allowed).map(|index| format!("w{index}")).collect();
    cell.run_ms = FOR_EVER_MS;
    cell.start_leader();
    cell.run(200);
    cell
}

/// Returns the number of runs on all workers that respond.
pub(crate) fn runs(cell: &FakeCell) -> usize {
    let up = cell.workers.values().filter(|worker| !worker.is_silent);
    up.map(|worker| worker.runs.len()).sum()
}

/// Gives a worker another kind.
pub(crate) fn set_kind(cell: &mut FakeCell, id: &str, kind: &str) {
    let worker = cell.workers.get_mut(id);
    worker.into_iter().for_each(|worker| worker.report.labels[0] = kind.to_owned());
}

/// Returns the id of the worker that runs the first task of a job.
pub(crate) fn worker_of(cell: &FakeCell, id: &str) -> Option<String> {
    let task = format!("{id}.0.0.0");
    let runs_it = |name: &&String| cell.workers[*name].runs.iter().any(|run| run.task == task);
    cell.workers.keys().find(runs_it).cloned()
}

/// Adds a queue with a service of its own name or of another.
pub(crate) fn add_queue(
    cell: &mut FakeCell,
    name: &str,
    service: &str,
    advice: Option<AdviceTiming>,
) {
    let queue = QueueConfig {
        name: name.to_owned(),
        service: service.to_owned(),
        advice,
        ..cell.config.queues["queue"].clone()
    };
    cell.reconfigure(|config| {
        config.queues.insert(name.to_owned(), queue);
    });
}

/// Creates a job of another queue.
pub(crate) fn job_of(queue: &str, id: &str, steps: Vec<StepSpec>) -> JobRecord {
    JobRecord { queue: queue.to_owned(), ..job(id, steps) }
}

/// Changes the timing of the advisers of all queues.
pub(crate) fn set_advice(cell: &mut FakeCell, timing: AdviceTiming) {
    cell.reconfigure(|config| {
        config.queues.values_mut().for_each(|queue| queue.advice = Some(timing));
    });
}

/// Loses workers just after starts of a queue's tasks, so that the queue is kept apart.
pub(crate) fn make_queue_suspected(cell: &mut FakeCell, queue: &str, ids: [&str; 2]) {
    cell.crashing.down_ms = 800;
    for id in ids {
        cell.submit(job_of(queue, id, vec![StepSpec { cpu_millis: 500, ..step(1) }]));
        cell.run(50);
        worker_of(cell, id).into_iter().for_each(|worker| cell.crash(&worker));
        cell.run(1_000);
    }
}
