//! Tests of the rebuild after a takeover, roll calls and the release of a rack.

use super::*;

fn roll_call(team: &str, epoch: u64) -> PeerMessage {
    PeerMessage::RollCall { team: name(team), epoch: Epoch(epoch), racks: vec![name("r1")] }
}

#[test]
fn a_rack_refuses_until_every_worker_has_reported() {
    let mut cell = RackHarness::new(2);
    cell.worker(2).link = LinkState::Silent;
    cell.take(5);
    cell.run(100);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("harbour", 1)), Some(RefusalReason::Rebuilding));
    assert!(cell.role.summaries(&cell.view).iter().all(|summary| !summary.is_open));
    cell.worker(2).link = LinkState::Up;
    cell.run(2_000);
    cell.place("harbour", vec![order("harbour", 2, QUARTER)]);
    cell.run(50);
    assert!(cell.is_started(&attempt("harbour", 2)));
}

#[test]
fn a_worker_silent_since_the_takeover_expires_after_isolation_and_lease() {
    let mut cell = RackHarness::new(2);
    cell.worker(1).adopt(attempt("harbour", 1), QUARTER, 4_000);
    cell.worker(2).link = LinkState::Silent;
    cell.take(5);
    cell.send("q2", roll_call("harbour", 2));
    cell.run(6_000);
    assert_eq!(cell.roll_rows("harbour"), None, "the silent worker may still run something");
    cell.run(1_000);
    let rows = cell.roll_rows("harbour").expect("a response after the expiry");
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].phase, AttemptPhase::Running);
}

#[test]
fn a_roll_call_is_answered_after_the_rebuild_with_ended_attempts() {
    let mut cell = RackHarness::new(1);
    cell.worker(1).adopt(attempt("harbour", 1), QUARTER, 4_000);
    cell.worker(1).adopt(attempt("harbour", 2), QUARTER, 4_000);
    cell.worker(1).adopt(attempt("bulk", 3), QUARTER, 4_000);
    cell.worker(1).finish(&attempt("harbour", 2), damaskrack_model::TaskResult::Succeeded);
    cell.take(5);
    cell.send("q2", roll_call("harbour", 2));
    assert_eq!(cell.roll_rows("harbour"), None);
    cell.run(100);
    let rows = cell.roll_rows("harbour").expect("a response");
    assert_eq!(rows.len(), 2);
    assert!(rows.iter().any(|row| matches!(row.phase, AttemptPhase::Ended { .. })));
    cell.place_under(1, "harbour", vec![order("harbour", 9, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("harbour", 9)), Some(RefusalReason::StaleEpoch));
}

#[test]
fn a_roll_call_voids_what_a_former_owner_held() {
    let mut cell = RackHarness::rebuilt(1);
    let held = PlaceOrder { mode: PlaceMode::Hold, ..order("gang", 1, WORKER) };
    cell.place("gang", vec![held]);
    cell.send("q2", roll_call("gang", 2));
    assert_eq!(cell.roll_rows("gang"), Some(Vec::new()));
    cell.place_under(2, "gang", vec![order("gang", 1, WORKER)]);
    assert_eq!(cell.refusal(&attempt("gang", 1)), Some(RefusalReason::Void));
}

#[test]
fn unknown_attempts_are_not_reported_during_the_rebuild() {
    let mut cell = RackHarness::new(1);
    let id = attempt("harbour", 1);
    cell.worker(1).adopt(id.clone(), QUARTER, 4_000);
    cell.take(5);
    let inquiry = PeerMessage::Inquire {
        team: name("harbour"),
        epoch: Epoch(1),
        rack: name("r1"),
        attempts: vec![id.clone()],
    };
    cell.send("q1", inquiry.clone());
    assert_eq!(cell.phase(&id), None);
    cell.run(100);
    cell.send("q1", inquiry);
    assert_eq!(cell.phase(&id), Some(AttemptPhase::Running));
}

#[test]
fn adopted_work_keeps_its_lease() {
    let mut cell = RackHarness::new(1);
    let id = attempt("harbour", 1);
    cell.worker(1).adopt(id.clone(), QUARTER, 1_000);
    cell.take(5);
    cell.run(20_000);
    assert_eq!(cell.worker(1).running_ids(), [id]);
}

#[test]
fn a_former_owner_is_fenced_by_its_workers() {
    let mut cell = RackHarness::rebuilt(1);
    cell.worker(1).epoch = Epoch(6);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(STEP_MS);
    assert_eq!(cell.refusal(&attempt("harbour", 1)), Some(RefusalReason::NotOwner));
    cell.place("harbour", vec![order("harbour", 2, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("harbour", 2)), Some(RefusalReason::NotOwner));
    cell.run(20_000);
    assert!(cell.notices().is_empty(), "a former owner reports no ends");
}

#[test]
fn a_frozen_rack_can_be_released_and_keeps_its_leases() {
    let mut cell = RackHarness::rebuilt(2);
    cell.worker(2).link = LinkState::Silent;
    cell.place("harbour", vec![order("harbour", 1, WORKER), order("harbour", 2, WORKER)]);
    cell.role.freeze(&name("r1"));
    assert!(!cell.role.can_release(&name("r1")), "a start is in flight");
    cell.place("harbour", vec![order("harbour", 3, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("harbour", 3)), Some(RefusalReason::NotOwner));
    cell.run(1_500);
    assert!(cell.role.can_release(&name("r1")));
    cell.run(6_000);
    assert_eq!(cell.worker(1).running.len(), 1);
    cell.role.thaw(&name("r1"));
    cell.worker(2).link = LinkState::Up;
    cell.run(1_000);
    cell.place("harbour", vec![order("harbour", 4, QUARTER)]);
    cell.run(50);
    assert!(cell.is_started(&attempt("harbour", 4)));
}

#[test]
fn a_rack_is_kept_while_a_vanished_worker_runs_something() {
    let mut cell = RackHarness::rebuilt(2);
    let id = attempt("harbour", 1);
    cell.place("harbour", vec![order("harbour", 1, WORKER)]);
    cell.run(50);
    cell.view.hosts.retain(|row| row.worker != host(1).worker);
    cell.run(5_000);
    cell.role.freeze(&name("r1"));
    assert_eq!(cell.worker(1).running_ids(), std::slice::from_ref(&id), "its lease is renewed");
    assert!(!cell.role.can_release(&name("r1")));
    cell.worker(1).finish(&id, damaskrack_model::TaskResult::Succeeded);
    cell.run(1_500);
    assert!(cell.role.can_release(&name("r1")));
}

#[test]
fn a_rack_that_is_not_owned_refuses() {
    let mut cell = RackHarness::new(1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("harbour", 1)), Some(RefusalReason::NotOwner));
}
