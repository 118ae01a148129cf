//! Workers that do not respond, or restart.

use {
    crate::support::{FakeCell, OTHER_LEASES_MS, job, step},
    damaskrack_cell::{AdviceTiming, JobState, StepSpec},
    std::collections::BTreeSet,
};

/// Guards against unanswered renewals that extend the assumed leases of a lost worker, which delays
/// its tasks' restart elsewhere.
#[test]
fn tasks_of_a_worker_that_is_gone_start_elsewhere_once_its_leases_are_over() {
    let mut cell = FakeCell::new(2);
    // Until then requests to a former incarnation may have extended the leases.
    cell.run(OTHER_LEASES_MS);
    cell.run_ms = 20_000;
    cell.submit(job("1", vec![step(5)]));
    cell.run(300);
    let lost = cell.starts[0].2.clone();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run_ms = 500;
    cell.run(5_000);
    assert_eq!(cell.starts.len(), 5, "the leases have not expired yet");
    cell.run(4_000);
    assert!(cell.starts.len() > 5);
}

/// Guards against tasks that are placed again and again on a worker that does not respond although it
/// is registered: it is empty, and whatever is placed there is taken for lost at once.
#[test]
fn a_worker_that_does_not_respond_gets_nothing_new_until_it_responds() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(1_000);
    let lost = cell.starts[0].2.clone();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(10_000);
    assert_eq!(cell.starts.len(), 2);
    cell.take_logs();
    cell.submit(job("2", vec![step(6)]));
    cell.run(5_000);
    let placed = cell.take_logs().iter().filter(|entry| entry.event == "phase_placed").count();
    assert_eq!(placed, 1, "three tasks fit the other worker");
    cell.workers.get_mut(&lost).unwrap().is_silent = false;
    cell.run(3_000);
    assert!(cell.starts[2..].iter().any(|(_, _, worker)| *worker == lost), "it is used again");
}

/// Guards against a backoff that doubles with each of the attempts that are lost together.
#[test]
fn tasks_that_are_lost_together_start_again_without_a_long_backoff() {
    let mut cell = FakeCell::new(8);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(16) }]));
    cell.run(1_000);
    let lost: BTreeSet<String> = cell.starts.iter().map(|(_, _, worker)| worker.clone()).collect();
    for id in &lost {
        cell.workers.get_mut(id).unwrap().is_silent = true;
    }
    cell.take_logs();
    while !cell.take_logs().iter().any(|entry| entry.event == "worker_empty") {
        cell.run(10);
    }
    let released_ms = cell.now_ms;
    while cell.starts.len() < 32 && cell.now_ms < released_ms + 20_000 {
        cell.run(10);
    }
    let waited_ms = cell.now_ms - released_ms;
    assert!(waited_ms <= 500, "started again after {waited_ms} ms");
}

/// After a worker crashed, another one started on its address and received the requests for the
/// first.
#[test]
fn a_worker_whose_address_another_one_has_is_over() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 3_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(200);
    let lost = cell.starts[0].2.clone();
    let worker = cell.workers.get_mut(&lost).unwrap();
    worker.runs.clear();
    worker.is_replaced = true;
    cell.run(1_500);
    assert_eq!(cell.starts.len(), 2, "its task is started elsewhere at once");
    assert_ne!(cell.starts[1].2, lost);
}

/// A new incarnation may be of another kind, and rejects tickets of the former one.
#[test]
fn a_worker_that_restarts_is_asked_about_anew() {
    let mut cell = FakeCell::new(1);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 60_000 });
    cell.allowed.insert("none".to_owned());
    cell.start_leader();
    cell.submit(job("1", vec![step(1)]));
    cell.run(500);
    assert_eq!(cell.advice_requests.len(), 1, "a denied worker is not requested again");
    cell.allowed.clear();
    cell.workers.get_mut("w0").unwrap().report.incarnation += 1;
    cell.list_workers();
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}
