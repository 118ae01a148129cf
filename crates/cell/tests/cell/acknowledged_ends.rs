//! Ends that workers list, and when they are acknowledged.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{CellInput, EndKind, EndedAttempt, JobState, RenewOutcome, RenewResponse},
};

#[test]
fn an_end_is_acknowledged_only_once_it_is_durable() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(300);
    cell.is_store_down = true;
    cell.run(3_000);
    assert_eq!(cell.workers["w0"].ended.len(), 1);
    assert_ne!(cell.state("1"), Some(JobState::Completed));
    cell.restore_store();
    cell.run(500);
    assert!(cell.workers["w0"].ended.is_empty());
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// Guards against expiring a worker's leases because its first response to a new leader carried no
/// deadline of that leader.
#[test]
fn a_new_leader_does_not_take_a_worker_for_lapsed_while_an_end_is_not_durable() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    cell.run_ms = 3_000;
    cell.submit(job("2", vec![step(2)]));
    cell.run(100);
    cell.is_store_down = true;
    cell.run(500);
    cell.start_leader();
    cell.run(800);
    cell.restore_store();
    cell.run(4_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 3);
}

/// Guards against applying the end numbers of a former incarnation to the new one, whose own ends
/// were then ignored.
#[test]
fn an_answer_of_a_former_incarnation_changes_nothing() {
    let mut cell = FakeCell::new(1);
    cell.delays_renewals_of = Some("w0".to_owned());
    cell.run(100);
    let Some(CellInput::RenewFinished { worker, fence, .. }) = cell.delayed_renewals.pop() else {
        panic!("no renewal")
    };
    cell.delays_renewals_of = None;
    cell.add_worker("w0", 2, "r0");
    cell.list_workers();
    let ended = |number| EndedAttempt {
        number,
        task: "9.0.0.0".to_owned(),
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    let report = RenewResponse {
        incarnation: 1,
        ended: (1..=9).map(ended).collect(),
        ..RenewResponse::default()
    };
    let outcome = RenewOutcome::Answered(report);
    cell.apply(CellInput::RenewFinished { worker, fence, outcome });
    cell.submit(job("1", vec![step(4)]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 4);
}

/// Guards against acknowledging the end of an attempt that is not in the tables and running its
/// task again.
#[test]
fn a_done_end_of_an_unknown_attempt_counts() {
    let mut cell = FakeCell::new(1);
    cell.workers.get_mut("w0").unwrap().report.is_leaving = true;
    cell.list_workers();
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    let worker = cell.workers.get_mut("w0").unwrap();
    worker.last_end = 1;
    worker.ended.push(EndedAttempt {
        number: 1,
        task: "1.0.0.0".to_owned(),
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    });
    cell.start_leader();
    cell.run(1_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.starts.is_empty());
}

/// Guards against losing an end: a worker that was unlisted and listed again reported an end whose
/// job had ended in the tables but not in the store. It was acknowledged, and the next leader ran
/// the task again.
#[test]
fn an_end_listed_again_is_acknowledged_only_once_it_is_durable() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(200);
    cell.is_store_down = true;
    cell.run(600);
    cell.apply(CellInput::Workers(Vec::new()));
    cell.run(100);
    cell.list_workers();
    cell.run(2_500);
    assert_eq!(cell.workers["w0"].ended.len(), 1, "the end is not durable");
    cell.start_leader();
    cell.restore_store();
    cell.run(1_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 1);
}
