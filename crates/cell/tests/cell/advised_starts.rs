//! Queues with an adviser: calls, tickets, and the starts that carry them.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{AdviceTiming, CellInput, JobState, StepSpec},
    std::collections::BTreeSet,
};

#[test]
fn a_start_carries_a_ticket_where_the_queue_has_an_adviser() {
    let mut cell = FakeCell::new(4);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.allowed.insert("w3".to_owned());
    cell.start_leader();
    cell.submit(job("1", vec![step(2)]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.starts.iter().all(|(_, _, worker)| worker == "w3"));
    assert!(!cell.advice_requests.is_empty());
}

/// Keeps large blocks of free capacity for the steps that need them.
#[test]
fn gangs_ask_for_the_roomiest_workers_and_others_for_the_fullest() {
    let mut cell = FakeCell::new(3);
    cell.run_ms = 60_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(500);
    let used = cell.starts[0].2.clone();
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.run(500);
    cell.submit(job("2", vec![step(1)]));
    cell.run(100);
    assert_eq!(cell.advice_requests[0].workers[0], used);
    let gang = StepSpec { is_gang: true, ..step(1) };
    cell.submit(job("3", vec![gang]));
    cell.run(100);
    assert_ne!(cell.advice_requests.last().unwrap().workers[0], used);
}

/// Steps that request tickets for the same few workers could not all be placed on them.
#[test]
fn steps_that_ask_together_name_different_workers() {
    let mut cell = FakeCell::new(40);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.apply(CellInput::Daemons(vec![1, 2, 3, 4]));
    for id in ["1", "2", "3", "4"] {
        cell.submit(job(id, vec![step(2)]));
    }
    cell.run(40);
    let first: BTreeSet<&String> =
        cell.advice_requests.iter().map(|request| &request.workers[0]).collect();
    assert_eq!(first.len(), 4, "{:?}", cell.advice_requests);
}

#[test]
fn no_order_is_sent_with_a_ticket_that_ran_out_while_its_row_was_written() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.submit(job("1", vec![step(2)]));
    cell.is_store_down = true;
    cell.run(3_000);
    assert_eq!(cell.held_commits.len(), 1);
    cell.restore_store();
    assert!(cell.starts.is_empty());
    cell.run(1_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_ticket_for_a_worker_that_is_gone_is_of_no_use() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 60_000 });
    cell.start_leader();
    cell.submit(job("1", vec![step(12)]));
    cell.run(100);
    cell.workers.get_mut("w0").unwrap().is_silent = true;
    let left = cell.workers["w1"].report.clone();
    cell.apply(CellInput::Workers(vec![left]));
    cell.run(20_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// A daemon that briefly loses its connection to the leader also loses the adviser's response.
#[test]
fn a_question_whose_answer_is_lost_is_asked_again() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 10_000, worker_us: 1_000, valid_ms: 1_500 });
    cell.start_leader();
    cell.run(100);
    cell.lost_advice = 1;
    cell.submit(job("1", vec![step(1)]));
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_question_whose_answer_is_lost_may_outlive_its_job() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 10_000, worker_us: 1_000, valid_ms: 1_500 });
    cell.start_leader();
    cell.run(100);
    cell.lost_advice = 1;
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 1 });
    cell.run(100);
    cell.submit(job("2", vec![step(1)]));
    cell.run(4_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

/// Without a connected daemon the adviser cannot be called.
#[test]
fn a_step_waits_while_no_daemon_can_ask_for_tickets() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.apply(CellInput::Daemons(Vec::new()));
    cell.submit(job("1", vec![step(1)]));
    cell.run(500);
    assert!(cell.starts.is_empty());
    cell.apply(CellInput::Daemons(vec![1]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}
