//! Start requests without a response, which may be carried out late.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{JobState, StartOutcome, StartRefusal, StepSpec},
};

/// Workers carry out some requests late. A gang whose member has no response is not stopped for it.
#[test]
fn a_start_without_a_response_is_repeated_at_its_worker() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    cell.workers.values_mut().for_each(|worker| worker.defers_next_starts = 1);
    cell.submit(job("1", vec![StepSpec { is_gang: true, ..step(4) }]));
    cell.run(200);
    assert_eq!(cell.starts.len(), 4);
    assert!(cell.starts.iter().all(|(_, attempt, _)| *attempt == 1));
    for worker in ["w0", "w1"] {
        assert!(cell.run_deferred_starts(worker).iter().all(|o| *o == StartOutcome::Started));
    }
    assert_eq!(cell.starts.len(), 4, "a request that is carried out late starts no second run");
    cell.run(1_500);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// The first request may still be carried out, so the refusal of the second one proves nothing.
#[test]
fn a_repeated_start_that_is_refused_is_stopped_before_its_task_starts_elsewhere() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    for worker in cell.workers.values_mut() {
        worker.defers_next_starts = 1;
        worker.refuses_starts = true;
    }
    cell.submit(job("1", vec![step(1)]));
    cell.run(50);
    cell.workers.values_mut().for_each(|worker| worker.refuses_starts = false);
    cell.run(4_000);
    for id in ["w0", "w1"] {
        for late in &cell.workers[id].deferred_starts {
            let attempt = (late.request.task.clone(), late.request.number);
            assert!(cell.workers[id].fenced.contains(&attempt), "{attempt:?} was not stopped");
        }
        for outcome in cell.run_deferred_starts(id) {
            let is_refused = matches!(
                outcome,
                StartOutcome::Refused(StartRefusal::Stale | StartRefusal::Fenced)
            );
            assert!(is_refused, "{outcome:?}");
        }
    }
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_start_carried_out_late_is_fenced_by_its_stop() {
    let mut cell = FakeCell::new(2);
    cell.workers.get_mut("w0").unwrap().defers_starts = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(300);
    let outcomes = cell.run_deferred_starts("w0");
    for outcome in outcomes {
        assert_eq!(outcome, StartOutcome::Refused(StartRefusal::Stale));
    }
    // Until these are too old, the task runs on this worker only.
    cell.workers.get_mut("w0").unwrap().defers_starts = false;
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}
