//! Tests of admission, preemption, holds, stops and zones.

use {super::*, damaskrack_model::TaskResult};

#[test]
fn a_repeated_place_starts_once() {
    let mut cell = RackHarness::rebuilt(2);
    let id = attempt("harbour", 1);
    cell.place("harbour", vec![order("harbour", 1, WORKER)]);
    cell.place("harbour", vec![order("harbour", 1, WORKER)]);
    cell.run(50);
    assert_eq!(cell.starts(&id), 1);
    assert_eq!(cell.verdicts(&id).len(), 2);
    assert!(cell.is_started(&id));
}

#[test]
fn a_rack_is_never_filled_beyond_its_capacity() {
    let mut cell = RackHarness::rebuilt(2);
    cell.place("harbour", (0..20).map(|nonce| order("harbour", nonce, QUARTER)).collect());
    cell.run(50);
    assert_eq!((0..20).filter(|&nonce| cell.is_started(&attempt("harbour", nonce))).count(), 8);
    assert_eq!(cell.refusal(&attempt("harbour", 19)), Some(RefusalReason::Full));
    assert!((1..=2).all(|number| WORKER.covers(cell.worker(number).used())));
}

#[test]
fn slots_are_respected() {
    let mut cell = RackHarness::rebuilt(1);
    let tiny = Resources { millicores: 1, memory_bytes: 1, accelerators: 0 };
    cell.place("harbour", (0..10).map(|nonce| order("harbour", nonce, tiny)).collect());
    cell.run(50);
    assert_eq!(cell.worker(1).running.len(), 8);
    assert_eq!(cell.refusal(&attempt("harbour", 8)), Some(RefusalReason::Full));
}

#[test]
fn a_stale_owner_starts_nothing() {
    let mut cell = RackHarness::rebuilt(1);
    cell.place_under(3, "harbour", vec![order("harbour", 1, QUARTER)]);
    cell.place_under(2, "harbour", vec![order("harbour", 2, QUARTER)]);
    cell.run(50);
    assert!(cell.is_started(&attempt("harbour", 1)));
    assert_eq!(cell.refusal(&attempt("harbour", 2)), Some(RefusalReason::StaleEpoch));
}

#[test]
fn an_inquired_attempt_is_void_and_never_starts() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    let inquiry = PeerMessage::Inquire {
        team: name("harbour"),
        epoch: Epoch(1),
        rack: name("r1"),
        attempts: vec![id.clone()],
    };
    cell.send("q1", inquiry);
    assert_eq!(cell.phase(&id), Some(AttemptPhase::Void));
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(50);
    assert_eq!(cell.refusal(&id), Some(RefusalReason::Void));
    assert_eq!(cell.starts(&id), 0);
}

#[test]
fn entitled_work_preempts_as_few_borrowers_as_needed() {
    let mut cell = RackHarness::rebuilt(2);
    cell.place("bulk", (0..8).map(|nonce| order("bulk", nonce, QUARTER)).collect());
    cell.run(50);
    cell.set_borrower("bulk", WORKER.checked_mul(2).expect("a small cell"));
    let half = QUARTER.checked_mul(2).expect("half a worker");
    cell.place("harbour", vec![urgent("harbour", 1, half)]);
    cell.run_until(1_000, |cell| cell.is_started(&attempt("harbour", 1)));
    let notices = cell.notices();
    let displaced = notices.iter().filter(|notice| notice.is_displaced).count();
    assert_eq!((notices.len(), displaced), (2, 2));
    assert!((1..=2).all(|number| WORKER.covers(cell.worker(number).used())));
}

#[test]
fn a_team_within_its_entitlement_is_not_preempted() {
    let mut cell = RackHarness::rebuilt(1);
    cell.place("bulk", (0..4).map(|nonce| order("bulk", nonce, QUARTER)).collect());
    cell.run(50);
    cell.set_borrower("bulk", WORKER);
    cell.view.entitlements.insert(name("bulk"), 1.0);
    cell.place("harbour", vec![urgent("harbour", 1, QUARTER)]);
    cell.run(100);
    assert_eq!(cell.refusal(&attempt("harbour", 1)), Some(RefusalReason::Full));
    assert!(cell.notices().is_empty());
}

#[test]
fn work_that_cannot_run_again_is_not_preempted() {
    let mut cell = RackHarness::rebuilt(1);
    let once = PlaceOrder { idempotent: false, ..order("bulk", 1, WORKER) };
    cell.place("bulk", vec![once]);
    cell.run(50);
    cell.set_borrower("bulk", WORKER);
    cell.place("harbour", vec![urgent("harbour", 1, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("harbour", 1)), Some(RefusalReason::Full));
    assert_eq!(cell.worker(1).running_ids(), [attempt("bulk", 1)]);
}

#[test]
fn reserved_capacity_is_not_given_to_others() {
    let mut cell = RackHarness::rebuilt(1);
    let half = QUARTER.checked_mul(2).expect("half a worker");
    cell.place("bulk", vec![order("bulk", 1, half), order("bulk", 2, half)]);
    cell.run(50);
    cell.set_borrower("bulk", WORKER);
    cell.worker(1).ignores_stops = true;
    cell.place("harbour", vec![urgent("harbour", 1, WORKER)]);
    cell.run(100);
    cell.worker(1).finish(&attempt("bulk", 1), TaskResult::Stopped);
    cell.run(50);
    cell.place("bulk", vec![order("bulk", 3, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("bulk", 3)), Some(RefusalReason::Full));
    cell.worker(1).finish(&attempt("bulk", 2), TaskResult::Stopped);
    cell.run(50);
    assert!(cell.is_started(&attempt("harbour", 1)));
}

#[test]
fn a_zone_out_of_service_starts_nothing_and_drains() {
    let mut cell = RackHarness::rebuilt(2);
    let held = PlaceOrder { mode: PlaceMode::Hold, ..order("harbour", 50, QUARTER) };
    cell.place("harbour", vec![order("harbour", 1, QUARTER), held]);
    cell.run(50);
    cell.view.manifest.document.zones[0].state = ZoneState::Out;
    cell.place("harbour", vec![order("harbour", 2, QUARTER)]);
    cell.run(200);
    assert_eq!(cell.refusal(&attempt("harbour", 2)), Some(RefusalReason::ZoneOut));
    assert_eq!(cell.refusal(&attempt("harbour", 50)), Some(RefusalReason::ZoneOut));
    assert!(cell.notices().iter().all(|notice| notice.is_displaced));
    assert_eq!(cell.notices().len(), 1);
    let summaries = cell.role.summaries(&cell.view);
    assert!(summaries.iter().all(|summary| !summary.is_open));
}

#[test]
fn a_zone_that_comes_back_ramps_up() {
    let mut cell = RackHarness::rebuilt(8);
    cell.view.manifest.document.zones[0].state = ZoneState::Out;
    cell.run(100);
    cell.view.manifest.document.zones[0].state = ZoneState::In;
    cell.run(100);
    cell.place("bulk", (0..30).map(|nonce| order("bulk", nonce, QUARTER)).collect());
    cell.run(50);
    let started = (0..30).filter(|&nonce| cell.is_started(&attempt("bulk", nonce))).count();
    assert!((1..=10).contains(&started), "{started} started at once");
}

#[test]
fn a_hold_expires_and_a_late_commit_is_refused() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("gang", 1);
    let held = PlaceOrder { mode: PlaceMode::Hold, ..order("gang", 1, WORKER) };
    cell.place("gang", vec![held]);
    assert!(matches!(cell.verdicts(&id)[..], [PlaceOutcome::Held(_)]));
    cell.place("bulk", vec![order("bulk", 1, QUARTER)]);
    assert_eq!(cell.refusal(&attempt("bulk", 1)), Some(RefusalReason::Full));
    cell.run(3_100);
    assert_eq!(cell.refusal(&id), Some(RefusalReason::HoldExpired));
    cell.send("q1", commit(&id));
    cell.run(50);
    assert_eq!(cell.starts(&id), 0);
}

#[test]
fn a_committed_hold_starts() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("gang", 1);
    let held = PlaceOrder { mode: PlaceMode::Hold, ..order("gang", 1, WORKER) };
    cell.place("gang", vec![held]);
    cell.send("q1", commit(&id));
    cell.run(50);
    assert!(cell.is_started(&id));
}

fn commit(attempt: &AttemptId) -> PeerMessage {
    PeerMessage::Commit {
        team: name("gang"),
        epoch: Epoch(1),
        rack: name("r1"),
        attempts: vec![attempt.clone()],
    }
}

#[test]
fn a_leaving_worker_gets_nothing_new_and_keeps_what_runs() {
    let mut cell = RackHarness::rebuilt(1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(50);
    cell.view.hosts[0].state = HostState::Leaving;
    cell.run(600);
    cell.place("harbour", vec![order("harbour", 2, QUARTER)]);
    cell.run(5_000);
    assert_eq!(cell.refusal(&attempt("harbour", 2)), Some(RefusalReason::Full));
    assert_eq!(cell.worker(1).running_ids(), [attempt("harbour", 1)]);
}

#[test]
fn a_stop_ends_what_runs() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("harbour", 1);
    cell.place("harbour", vec![order("harbour", 1, QUARTER)]);
    cell.run(50);
    let stop = PeerMessage::StopAttempts {
        team: name("harbour"),
        epoch: Epoch(1),
        rack: name("r1"),
        attempts: vec![id.clone()],
    };
    cell.send("q1", stop);
    cell.run(50);
    assert!(cell.worker(1).running_ids().is_empty());
    assert!(cell.notices().iter().any(|notice| notice.attempt == id && !notice.is_displaced));
}

#[test]
fn usage_above_the_declared_resources_is_throttled_then_stopped() {
    let mut cell = RackHarness::rebuilt(1);
    let id = attempt("bulk", 1);
    cell.place("bulk", vec![order("bulk", 1, QUARTER)]);
    cell.run(50);
    cell.worker(1).running[0].0.usage = WORKER;
    cell.worker(1).touch();
    cell.run(100);
    assert_eq!(cell.worker(1).throttled, [id]);
    cell.run(7_000);
    assert!(cell.worker(1).running_ids().is_empty());
}
