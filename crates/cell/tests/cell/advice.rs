//! Tests of calls to the adviser whose job, queue or workers change before the response.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{AdviceTiming, CellInput, JobRecord, JobState},
};

/// Timing of the adviser.
const TIMING: AdviceTiming = AdviceTiming { call_us: 450_000, worker_us: 6_400, valid_ms: 1_500 };

/// Number of refusals within four seconds if each wait is twice as long as the one before, from 50 ms on.
const MAX_REFUSALS: usize = 7;

/// Creates a cell with an adviser, whose workers start nothing without a ticket.
fn advised_cell(workers: usize) -> FakeCell {
    let mut cell = FakeCell::new(workers);
    cell.workers.values_mut().for_each(|worker| worker.needs_tickets = true);
    cell.add_adviser(TIMING);
    cell.start_leader();
    cell.run(200);
    cell
}

/// Removes a queue from the configuration while the adviser works, and adds it again, with the response
/// in between.
fn remove_and_restore_queue(cell: &mut FakeCell, respond: impl FnOnce(&mut FakeCell)) {
    let queues = cell.config.queues.clone();
    cell.reconfigure(|config| config.queues.clear());
    cell.run(20);
    respond(cell);
    cell.run(20);
    cell.reconfigure(|config| config.queues = queues);
}

/// Guards against a step that waits for ever for a call that has ended while its queue was not configured.
#[test]
fn a_step_is_started_whose_queue_was_removed_when_its_tickets_came() {
    let mut cell = advised_cell(2);
    cell.holds_advice = true;
    cell.submit(job("1", vec![step(2)]));
    cell.run(100);
    assert_eq!(cell.advice_requests.len(), 1);
    remove_and_restore_queue(&mut cell, FakeCell::deliver_held_advice);
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// The same when the adviser did not respond.
#[test]
fn a_step_is_started_whose_queue_was_removed_when_its_call_was_lost() {
    let mut cell = advised_cell(2);
    cell.lost_advice = 1;
    cell.submit(job("1", vec![step(2)]));
    cell.run(100);
    remove_and_restore_queue(&mut cell, |cell| cell.run(4_000));
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// The same when the daemon that made the call has left.
#[test]
fn a_step_is_started_whose_queue_was_removed_when_its_daemon_left() {
    let mut cell = advised_cell(2);
    cell.holds_advice = true;
    cell.submit(job("1", vec![step(2)]));
    cell.run(100);
    let daemon = cell.advice_requests[0].daemon;
    cell.holds_advice = false;
    remove_and_restore_queue(&mut cell, |cell| {
        let others = (1..=3).filter(|id| *id != daemon).collect();
        cell.apply(CellInput::Daemons(others));
    });
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// The queue stays, and has no adviser for a while.
#[test]
fn a_step_is_started_whose_queue_had_no_adviser_when_its_tickets_came() {
    let mut cell = advised_cell(2);
    cell.holds_advice = true;
    cell.submit(job("1", vec![step(2)]));
    cell.run(100);
    let queues = cell.config.queues.clone();
    cell.reconfigure(|config| {
        config.queues.values_mut().for_each(|queue| queue.advice = None);
    });
    cell.deliver_held_advice();
    cell.run(20);
    cell.reconfigure(|config| config.queues = queues);
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// A job of the queue with the adviser, as daemons accept it.
fn advised_job(id: &str) -> JobRecord {
    JobRecord { advice: Some(TIMING), ..job(id, vec![step(2)]) }
}

/// Guards against starts without tickets, which are refused many times a second, once a job's queue is gone.
#[test]
fn a_step_of_a_removed_queue_is_started_with_tickets() {
    let mut cell = advised_cell(2);
    cell.reconfigure(|config| config.queues.clear());
    cell.submit(advised_job("1"));
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.workers.values().all(|worker| worker.refused_tickets == 0));
}

/// The same under a leader that has never known the queue.
#[test]
fn a_new_leader_starts_a_step_of_a_removed_queue_with_tickets() {
    let mut cell = advised_cell(2);
    cell.holds_advice = true;
    cell.submit(advised_job("1"));
    cell.run(100);
    cell.reconfigure(|config| config.queues.clear());
    cell.start_leader();
    cell.holds_advice = false;
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.workers.values().all(|worker| worker.refused_tickets == 0));
}

/// Guards against a flood of starts that are refused because the leader does not know of an adviser.
#[test]
fn a_start_that_is_refused_for_want_of_a_ticket_is_repeated_more_and_more_slowly() {
    let mut cell = FakeCell::new(1);
    cell.workers.values_mut().for_each(|worker| worker.needs_tickets = true);
    cell.submit(job("1", vec![step(1)]));
    cell.run(4_000);
    let refused = cell.workers["w0"].refused_tickets;
    assert!((1..=MAX_REFUSALS).contains(&refused), "refused {refused} times in 4 s");
}

/// Guards against an answer about a worker that has restarted since, and may be of another kind: a denial
/// would hold for the new incarnation for ever.
#[test]
fn an_answer_about_a_former_incarnation_denies_nothing() {
    let mut cell = advised_cell(1);
    cell.allowed.insert("none".to_owned());
    cell.holds_advice = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    assert_eq!(cell.advice_requests.len(), 1);
    cell.allowed.clear();
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run(100);
    cell.deliver_held_advice();
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// Timing of an adviser that decides quickly.
const QUICK_TIMING: AdviceTiming = AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 };
/// Time within which a job of one task is done while only some daemons respond, in milliseconds: the run time
/// of its task, and half of the time after which a call counts as lost whatever others do.
const DONE_DESPITE_SILENCE_MS: u64 = 1_000;

/// Guards against steps that wait a second for a daemon whose connection has gone silent, one after the other.
#[test]
fn steps_ask_through_daemons_that_respond_while_others_are_silent() {
    let mut cell = FakeCell::new(8);
    cell.add_adviser(QUICK_TIMING);
    cell.start_leader();
    cell.run(200);
    cell.silent_daemons = [1, 2].into();
    for round in 0..10 {
        let ids: Vec<String> = (0..2).map(|index| format!("{round}-{index}")).collect();
        ids.iter().for_each(|id| cell.submit(job(id, vec![step(1)])));
        cell.run(DONE_DESPITE_SILENCE_MS);
        for id in &ids {
            assert_eq!(cell.state(id), Some(JobState::Completed), "{id}");
        }
    }
}

/// Guards against a daemon that is back, and is not asked until the calls through its former connection count as
/// lost.
#[test]
fn a_daemon_that_has_connected_anew_is_asked_at_once() {
    let mut cell = FakeCell::new(8);
    cell.add_adviser(QUICK_TIMING);
    cell.start_leader();
    cell.run(200);
    cell.silent_daemons = [1, 2, 3].into();
    cell.submit(job("1", vec![step(1)]));
    cell.run(800);
    assert_eq!(cell.advice_requests.len(), 3, "each daemon has been asked");
    cell.silent_daemons.clear();
    cell.apply(CellInput::DaemonReconnected(2));
    cell.run(50);
    assert_eq!(cell.advice_requests.last().map(|request| request.daemon), Some(2));
    cell.run(DONE_DESPITE_SILENCE_MS);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}
