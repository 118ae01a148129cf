//! Tests of lost responses, silent and restarted workers, isolation and notices of ended attempts.

use {super::*, damaskrack_model::TaskResult};

#[test]
fn a_start_whose_response_is_lost_is_found_in_the_report() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.worker(1).link = LinkState::LosingResponses;
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    assert!(cell.verdicts(&id).is_empty());
    cell.worker(1).link = LinkState::Up;
    cell.run_until(2_500, |cell| cell.is_started(&id));
    assert_eq!(cell.starts(&id), 1);
}

#[test]
fn a_start_that_never_arrived_is_refused_once_it_cannot_take_effect() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.worker(1).link = LinkState::Silent;
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(1_100);
    cell.worker(1).link = LinkState::Up;
    cell.run(1_000);
    assert!(cell.verdicts(&id).is_empty(), "the start could still arrive");
    cell.run(4_000);
    assert_eq!(cell.refusal(&id), Some(RefusalReason::WorkerRefused));
    assert_eq!(cell.starts(&id), 0);
}

#[test]
fn an_unreachable_worker_means_not_run() {
    let mut cell = RackHarness::rebuilt(1);
    cell.worker(1).link = LinkState::Refusing;
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(STEP_MS);
    assert_eq!(cell.refusal(&attempt("harbour", 1)), Some(RefusalReason::WorkerRefused));
}

#[test]
fn a_silent_worker_expires_only_after_its_leases() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(2_000);
    cell.worker(1).link = LinkState::Silent;
    cell.run_until(8_000, |cell| !cell.notices().is_empty());
    assert!(cell.worker(1).running_ids().is_empty(), "the task must have stopped by then");
    assert_eq!(cell.notices()[0].result, TaskResult::Lapsed);
    assert_eq!(cell.notices()[0].attempt, id);
}

#[test]
fn a_lapsed_attempt_is_stopped_when_its_worker_returns() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(100);
    cell.worker(1).link = LinkState::Silent;
    cell.run_until(8_000, |cell| !cell.notices().is_empty());
    cell.send("q1", PeerMessage::EndedAck { rack: name("r1"), attempts: vec![id.clone()] });
    cell.worker(1).ended.clear();
    cell.worker(1).adopt(id, QUARTER, 60_000);
    cell.worker(1).link = LinkState::Up;
    cell.run(3_000);
    assert!(cell.worker(1).running_ids().is_empty());
    assert!(cell.worker(1).ended.is_empty(), "its end is acknowledged silently");
    let notified = cell.notices().len();
    cell.run(2_000);
    assert_eq!(cell.notices().len(), notified);
}

#[test]
fn a_lapsed_attempt_is_stopped_before_its_end_is_acknowledged() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(100);
    cell.worker(1).link = LinkState::Silent;
    cell.run_until(8_000, |cell| !cell.notices().is_empty());
    cell.worker(1).ended.clear();
    cell.worker(1).adopt(id, QUARTER, 60_000);
    cell.worker(1).link = LinkState::Up;
    cell.run(3_000);
    assert!(cell.worker(1).running_ids().is_empty());
    assert!(cell.notices().iter().all(|notice| notice.result == TaskResult::Lapsed));
}

#[test]
fn a_report_that_is_older_than_a_start_ends_nothing() {
    let mut cell = RackHarness::rebuilt(1);
    let sync = cell.calls.pop().expect("an outstanding sync");
    let report = cell.worker(1).handle_call(&sync.request, u64::MAX).expect("a report");
    cell.run(10);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.role.on_worker(sync.number, Ok(report), &cell.view, &mut cell.out);
    cell.run(500);
    assert!(cell.is_started(&attempt("harbour", 1)));
    assert!(cell.notices().is_empty());
}

#[test]
fn a_late_start_may_reach_the_process_that_replaced_its_worker() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.worker(1).link = LinkState::Late;
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(1_100);
    cell.worker(1).restart();
    cell.worker(1).link = LinkState::Up;
    cell.run(1_000);
    assert!(cell.notices().is_empty(), "the start may still arrive");
    cell.run(2_000);
    assert_eq!(cell.worker(1).running_ids(), std::slice::from_ref(&id));
    assert!(cell.is_started(&id));
}

#[test]
fn a_late_reply_of_a_replaced_process_changes_nothing() {
    let mut cell = RackHarness::rebuilt(1);
    let sync = cell.calls.pop().expect("an outstanding sync");
    let report = cell.worker(1).handle_call(&sync.request, u64::MAX).expect("a report");
    cell.worker(1).restart();
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(3_500);
    assert!(cell.is_started(&attempt("harbour", 1)));
    cell.role.on_worker(sync.number, Ok(report), &cell.view, &mut cell.out);
    cell.run(100);
    assert!(cell.notices().is_empty());
    assert_eq!(cell.worker(1).running_ids(), [attempt("harbour", 1)]);
}

#[test]
fn a_restarted_worker_has_lost_what_it_ran() {
    let mut cell = RackHarness::rebuilt(1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(100);
    // The clock of the new process starts again.
    cell.worker(1).restart();
    cell.worker(1).clock_ms = 1;
    cell.run_until(2_000, |cell| !cell.notices().is_empty());
    assert_eq!(cell.notices()[0].result, TaskResult::Lapsed);
    cell.place("harbour", vec![order("harbour", 2, WORKER)]);
    cell.run(50);
    assert!(cell.is_started(&attempt("harbour", 2)));
}

#[test]
fn a_preemptor_moves_to_another_worker_when_its_own_dies() {
    let mut cell = RackHarness::rebuilt(2);
    cell.place("bulk", (0..2).map(|nonce| order("bulk", nonce, WORKER)).collect());
    cell.run(50);
    cell.set_borrower("bulk", WORKER.checked_mul(2).expect("a small cell"));
    cell.worker(1).ignores_stops = true;
    cell.worker(2).ignores_stops = true;
    cell.place("harbour", vec![urgent("harbour", 1, WORKER)]);
    let pending = cell.role.dump().to_string();
    assert!(pending.contains("Pending"), "{pending}");
    // Whichever worker was chosen: worker 1 dies, and worker 2 executes stops again.
    cell.worker(1).link = LinkState::Silent;
    cell.worker(2).ignores_stops = false;
    let took_ms = cell.run_until(4_000, |cell| cell.is_started(&attempt("harbour", 1)));
    assert!(took_ms < 3_500, "{took_ms} ms");
}

#[test]
fn an_isolated_owner_starts_and_renews_nothing() {
    let mut cell = RackHarness::rebuilt(1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(100);
    cell.view.standing = MemberStanding::Isolated;
    cell.place("harbour", vec![order("harbour", 2, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("harbour", 2)), Some(RefusalReason::Isolated));
    cell.run(6_000);
    assert!(cell.worker(1).running_ids().is_empty(), "the lease was not renewed");
}

#[test]
fn an_isolated_owner_expires_no_leases() {
    let mut cell = RackHarness::rebuilt(1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(100);
    cell.view.standing = MemberStanding::Isolated;
    cell.worker(1).link = LinkState::Silent;
    cell.run(20_000);
    assert!(cell.notices().is_empty());
    cell.view.standing = MemberStanding::Connected;
    cell.run(4_000);
    assert!(cell.notices().is_empty(), "silence counts from the end of the isolation");
    cell.run(1_000);
    assert_eq!(cell.notices()[0].result, TaskResult::Lapsed);
}

#[test]
fn an_end_is_repeated_until_it_is_acknowledged() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(50);
    cell.worker(1).finish(&id, TaskResult::Succeeded);
    cell.run(50);
    assert_eq!(cell.notices().len(), 1);
    assert_eq!(cell.notices()[0].output, "output");
    cell.run(1_200);
    assert_eq!(cell.notices().len(), 3);
    cell.send("q1", PeerMessage::EndedAck { rack: name("r1"), attempts: vec![id] });
    cell.run(2_500);
    assert_eq!(cell.notices().len(), 3);
    assert!(cell.worker(1).ended.is_empty());
}

#[test]
fn a_new_owner_is_notified_of_an_end_at_once() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(50);
    cell.worker(1).finish(&id, TaskResult::Succeeded);
    cell.run(50);
    cell.view.owners.insert(PieceName::Team(name("harbour")), owner("q2"));
    cell.run(200);
    let notified: Vec<&str> = cell.messages.iter().map(|(member, _)| member.as_str()).collect();
    assert_eq!(notified, ["q1", "q1", "q2"]);
}

#[test]
fn a_worker_that_fails_everything_gets_no_more_work() {
    let mut cell = RackHarness::rebuilt(2);
    for nonce in 0..12 {
        let id = attempt("bulk", nonce);
        cell.place("bulk", vec![order("bulk", nonce, WORKER)]);
        cell.run(50);
        cell.worker(1).finish(&id, TaskResult::Failed);
        cell.worker(2).finish(&id, TaskResult::Succeeded);
        cell.run(50);
        cell.send("q1", PeerMessage::EndedAck { rack: name("r1"), attempts: vec![id] });
    }
    let on_first = cell.worker(1).started.len();
    assert!((4..12).contains(&on_first), "{on_first} of 12 went to the failing worker");
    assert_eq!(cell.worker(2).started.len(), 12 - on_first);
}
