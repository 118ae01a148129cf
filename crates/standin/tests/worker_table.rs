//! Tests of a worker's state machine, with the time set by the test.

use {
    damaskrack_model::{AttemptId, Epoch, RackName, Resources, TaskResult},
    damaskrack_outside::{
        StartOutcome, StartRequest, WorkerBody, WorkerCall, WorkerReply, WorkerReport,
    },
    damaskrack_standin::{
        CheckpointPlace, WorkerPlan, WorkerTable, find_double_runs, find_overcommits,
    },
    quickcheck::{Gen, QuickCheck},
};

/// Seed of the generated cases, fixed so that runs are reproducible.
const SEED: u64 = 20_261_204;

const CAPACITY: Resources = Resources { millicores: 4_000, memory_bytes: 4_000, accelerators: 0 };
const SMALL: Resources = Resources { millicores: 500, memory_bytes: 500, accelerators: 0 };
/// Duration of a lease that outlasts every test, in milliseconds.
const LONG_MS: u64 = 1_000_000;

fn worker_with(name: &str, place: &CheckpointPlace) -> WorkerTable {
    let (name, zone) = (name.parse().expect("a name"), "zone-a".parse().expect("a name"));
    WorkerTable::new(WorkerPlan::new(name, zone, CAPACITY, 123_456_789), place.clone())
}

fn worker() -> WorkerTable {
    worker_with("w1", &CheckpointPlace::default())
}

fn rack() -> RackName {
    "r1".parse().expect("a name")
}

fn attempt(task: u32, number: u32) -> AttemptId {
    let job = "harbour~checks~00000000000000ff".parse().expect("a job id");
    AttemptId { job, task, epoch: Epoch(1), number }
}

fn start_request(task: u32, resources: Resources, payload: &str) -> StartRequest {
    let payload = payload.to_owned();
    StartRequest { attempt: attempt(task, 0), resources, payload, preemptible: true }
}

/// Sends one start request under `epoch` with a lease of `lease_ms` from `now_ms`.
fn start(
    table: &mut WorkerTable,
    epoch: u64,
    request: StartRequest,
    lease_ms: u64,
    now_ms: u64,
) -> WorkerBody {
    let lease_until_ms = table.clock_ms(now_ms) + lease_ms;
    let (rack, epoch, orders) = (rack(), Epoch(epoch), vec![request]);
    let call = WorkerCall::Start { rack, epoch, orders, lease_until_ms };
    table.handle(&call, now_ms).body
}

fn outcome(body: &WorkerBody) -> StartOutcome {
    match body {
        WorkerBody::Starts { verdicts } => verdicts[0],
        body => panic!("unexpected response to a start: {body:?}"),
    }
}

fn sync_call(lease_until_ms: u64, acks: Vec<AttemptId>, seen: u64) -> WorkerCall {
    WorkerCall::Sync { rack: rack(), epoch: Epoch(1), lease_until_ms, acks, seen, wait_ms: 0 }
}

fn report(reply: WorkerReply) -> WorkerReport {
    match reply.body {
        WorkerBody::Report(report) => report,
        body => panic!("unexpected response to a sync: {body:?}"),
    }
}

fn read(table: &mut WorkerTable, now_ms: u64) -> WorkerReport {
    report(table.handle(&sync_call(0, Vec::new(), 0), now_ms))
}

fn results(report: &WorkerReport) -> Vec<TaskResult> {
    report.ended.iter().map(|row| row.result).collect()
}

#[test]
fn a_known_attempt_never_starts_again() {
    let mut table = worker();
    let task = start_request(0, SMALL, r#"{"run_ms":10,"output":"x"}"#);
    assert_eq!(outcome(&start(&mut table, 1, task.clone(), LONG_MS, 0)), StartOutcome::Started);
    assert_eq!(outcome(&start(&mut table, 1, task.clone(), LONG_MS, 5)), StartOutcome::Started);
    assert_eq!(outcome(&start(&mut table, 1, task.clone(), LONG_MS, 20)), StartOutcome::Started);
    let acks = vec![task.attempt.clone()];
    assert!(report(table.handle(&sync_call(0, acks, 0), 30)).ended.is_empty());
    assert_eq!(outcome(&start(&mut table, 1, task, LONG_MS, 40)), StartOutcome::Started);
    assert_eq!(table.observations().len(), 1);
}

#[test]
fn a_lower_epoch_does_nothing() {
    let mut table = worker();
    start(&mut table, 1, start_request(0, SMALL, r#"{"run_ms":null}"#), 100, 0);
    assert!(matches!(table.handle(&sync_call(0, Vec::new(), 0), 0).body, WorkerBody::Report(_)));
    let raise = WorkerCall::Throttle { rack: rack(), epoch: Epoch(3), attempts: Vec::new() };
    table.handle(&raise, 1);
    let stale = WorkerBody::Stale { epoch: Epoch(3) };
    assert_eq!(start(&mut table, 2, start_request(1, SMALL, "x"), LONG_MS, 2), stale);
    let renewal = sync_call(table.clock_ms(LONG_MS), Vec::new(), 0);
    assert_eq!(table.handle(&renewal, 3).body, stale);
    let stop = WorkerCall::Stop {
        rack: rack(),
        epoch: Epoch(2),
        attempts: vec![attempt(0, 0)],
        checkpoint: false,
    };
    assert_eq!(table.handle(&stop, 4).body, stale);
    table.advance(100);
    assert_eq!(table.observations()[0].result, Some(TaskResult::Lapsed), "it was not renewed");
    assert_eq!(table.observations()[0].end_ms, Some(100), "it was not stopped");
}

#[test]
fn a_late_start_is_expired() {
    let mut table = worker();
    let lease_until_ms = table.clock_ms(100);
    let orders = vec![start_request(0, SMALL, "x")];
    let call = WorkerCall::Start { rack: rack(), epoch: Epoch(1), orders, lease_until_ms };
    assert_eq!(outcome(&table.handle(&call, 100).body), StartOutcome::Expired);
    assert!(table.observations().is_empty());
    assert_eq!(outcome(&table.handle(&call, 99).body), StartOutcome::Started);
}

#[test]
fn an_unrenewed_task_lapses_at_its_lease() {
    let mut table = worker();
    start(&mut table, 1, start_request(0, SMALL, r#"{"run_ms":null}"#), 100, 0);
    table.handle(&sync_call(table.clock_ms(150), Vec::new(), 0), 50);
    assert_eq!(table.next_event_ms(), Some(150));
    assert_eq!(read(&mut table, 149).running.len(), 1);
    assert_eq!(results(&read(&mut table, 500)), [TaskResult::Lapsed]);
    assert_eq!(table.observations()[0].end_ms, Some(150));
}

#[test]
fn a_delayed_renewal_does_not_shorten_or_revive_a_lease() {
    let mut table = worker();
    start(&mut table, 1, start_request(0, SMALL, r#"{"run_ms":null}"#), 100, 0);
    table.handle(&sync_call(table.clock_ms(60), Vec::new(), 0), 10);
    assert_eq!(read(&mut table, 99).running.len(), 1);
    let late = sync_call(table.clock_ms(300), Vec::new(), 0);
    assert_eq!(results(&report(table.handle(&late, 100))), [TaskResult::Lapsed]);
}

#[test]
fn slots_and_capacity_are_never_exceeded() {
    let mut table = worker();
    for task in 0..8 {
        let body =
            start(&mut table, 1, start_request(task, SMALL, r#"{"run_ms":null}"#), LONG_MS, 0);
        assert_eq!(outcome(&body), StartOutcome::Started);
    }
    let ninth = start_request(8, Resources::ZERO, "x");
    assert_eq!(outcome(&start(&mut table, 1, ninth.clone(), LONG_MS, 0)), StartOutcome::Full);
    let stop = WorkerCall::Stop {
        rack: rack(),
        epoch: Epoch(1),
        attempts: vec![attempt(0, 0)],
        checkpoint: false,
    };
    assert_eq!(table.handle(&stop, 1).body, WorkerBody::Accepted);
    let large = Resources { millicores: 501, ..Resources::ZERO };
    assert_eq!(
        outcome(&start(&mut table, 1, start_request(9, large, "x"), LONG_MS, 2)),
        StartOutcome::Full
    );
    assert_eq!(outcome(&start(&mut table, 1, ninth, LONG_MS, 2)), StartOutcome::Started);
}

#[test]
fn a_checkpointed_task_resumes_on_another_worker() {
    let place = CheckpointPlace::default();
    let (mut first, mut second) = (worker_with("w1", &place), worker_with("w2", &place));
    let task = start_request(0, SMALL, r#"{"run_ms":1000,"output":"whole"}"#);
    start(&mut first, 1, task.clone(), LONG_MS, 0);
    let stop = WorkerCall::Stop {
        rack: rack(),
        epoch: Epoch(1),
        attempts: vec![attempt(0, 0)],
        checkpoint: true,
    };
    first.handle(&stop, 700);
    assert_eq!(results(&read(&mut first, 700)), [TaskResult::Stopped]);
    let again = StartRequest { attempt: attempt(0, 1), ..task };
    start(&mut second, 1, again, LONG_MS, 800);
    let ended = read(&mut second, 1_100).ended;
    assert_eq!((ended[0].result, ended[0].output.as_str()), (TaskResult::Succeeded, "whole"));
    assert_eq!(second.observations()[0].end_ms, Some(1_100));
    assert_eq!(place.load(&attempt(0, 2)), None);
}

#[test]
fn a_frozen_worker_makes_no_progress_and_lapses_in_time() {
    let mut table = worker();
    start(&mut table, 1, start_request(0, SMALL, r#"{"run_ms":100}"#), LONG_MS, 0);
    start(&mut table, 1, start_request(1, SMALL, r#"{"run_ms":100}"#), 90, 0);
    table.set_frozen(true, 50);
    assert_eq!(table.next_event_ms(), None);
    table.advance(500);
    assert!(table.observations().iter().all(|run| run.end_ms.is_none()));
    table.set_frozen(false, 1_000);
    assert_eq!(results(&read(&mut table, 1_049)), [TaskResult::Lapsed]);
    assert_eq!(table.observations()[1].end_ms, Some(90));
    assert_eq!(read(&mut table, 1_050).ended.len(), 2);
    assert_eq!(table.observations()[0].end_ms, Some(1_050));
}

#[test]
fn usage_shows_late_and_throttling_limits_it() {
    let mut table = worker();
    let payload = r#"{"run_ms":null,"use":{"millicores":900,"memory_bytes":100}}"#;
    start(&mut table, 1, start_request(0, SMALL, payload), LONG_MS, 0);
    assert_eq!(read(&mut table, 999).running[0].usage, Resources::ZERO);
    let used = Resources { millicores: 900, memory_bytes: 100, accelerators: 0 };
    assert_eq!(read(&mut table, 1_000).running[0].usage, used);
    let throttle =
        WorkerCall::Throttle { rack: rack(), epoch: Epoch(1), attempts: vec![attempt(0, 0)] };
    table.handle(&throttle, 1_100);
    assert_eq!(read(&mut table, 2_099).running[0].usage, used);
    assert_eq!(read(&mut table, 2_100).running[0].usage.millicores, 500);
    assert_eq!(table.observations()[0].peak_use, used);
}

#[test]
fn a_sync_waits_until_the_report_changes() {
    let mut table = worker();
    start(&mut table, 1, start_request(0, SMALL, r#"{"run_ms":50}"#), LONG_MS, 0);
    let number = read(&mut table, 1).number;
    let waiting = sync_call(0, Vec::new(), number);
    table.handle(&waiting, 1);
    assert_eq!(table.poll(&waiting, 1), None);
    table.advance(50);
    let reply = table.poll(&waiting, 50).expect("the end of the task changes the report");
    assert_eq!(report(reply).ended.len(), 1);
    let raise = WorkerCall::Throttle { rack: rack(), epoch: Epoch(9), attempts: Vec::new() };
    table.handle(&raise, 51);
    let reply = table.poll(&waiting, 51).expect("a higher epoch ends the wait");
    assert_eq!(reply.body, WorkerBody::Stale { epoch: Epoch(9) });
}

#[test]
fn a_failing_worker_fails_everything_at_once() {
    let mut table = worker();
    table.set_failing(true);
    start(&mut table, 1, start_request(0, SMALL, r#"{"run_ms":5000}"#), LONG_MS, 0);
    assert_eq!(results(&read(&mut table, 1)), [TaskResult::Failed]);
}

#[test]
fn a_restarted_worker_has_forgotten_everything() {
    let mut table = worker();
    start(&mut table, 5, start_request(0, SMALL, r#"{"run_ms":null}"#), LONG_MS, 0);
    table.restart(99, 10);
    let reply = table.handle(&sync_call(0, Vec::new(), 0), 11);
    assert_eq!(reply.boot, 99);
    let report = report(reply);
    assert!(report.running.is_empty() && report.ended.is_empty());
    assert_eq!(table.observations()[0].end_ms, Some(10));
}

#[test]
fn observers_find_no_violation_in_every_order() {
    let mut checker = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(60, SEED));
    checker.quickcheck(observers_find_no_violation as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Checks that no sequence of starts, stops and delays leads to an overcommit or a double run.
fn observers_find_no_violation(steps: Vec<(u8, u8, u16)>) -> bool {
    let mut table = worker();
    let mut now_ms = 0;
    for (kind, task, amount) in steps {
        now_ms += u64::from(amount % 50);
        let resources = Resources { millicores: u64::from(amount % 3_000), ..SMALL };
        let payload = format!("{{\"run_ms\":{}}}", amount % 200);
        match kind % 4 {
            0 | 1 => {
                let request = start_request(u32::from(task % 16), resources, &payload);
                start(&mut table, 1, request, u64::from(amount % 100), now_ms);
            }
            2 => {
                let attempts = vec![attempt(u32::from(task % 16), 0)];
                let call = WorkerCall::Stop {
                    rack: rack(),
                    epoch: Epoch(1),
                    attempts,
                    checkpoint: amount % 2 == 0,
                };
                table.handle(&call, now_ms);
            }
            _ => table.set_frozen(false, now_ms),
        }
    }
    let runs = table.observations();
    find_double_runs(runs).is_empty() && find_overcommits(runs, CAPACITY, 8).is_empty()
}

#[test]
fn the_observer_does_find_double_runs_and_overcommits() {
    let place = CheckpointPlace::default();
    let (mut first, mut second) = (worker_with("w1", &place), worker_with("w2", &place));
    let task = start_request(0, SMALL, r#"{"run_ms":100}"#);
    start(&mut first, 1, task.clone(), LONG_MS, 0);
    start(&mut second, 1, StartRequest { attempt: attempt(0, 1), ..task }, LONG_MS, 99);
    first.advance(500);
    second.advance(500);
    let mut runs = [first.observations(), second.observations()].concat();
    assert_eq!(find_double_runs(&runs).len(), 1);
    assert!(find_overcommits(&runs, SMALL, 1).is_empty());
    runs[1].worker = runs[0].worker.clone();
    assert_eq!(find_overcommits(&runs, SMALL, 8).len(), 1);
    assert_eq!(find_overcommits(&runs, CAPACITY, 1).len(), 1);
    runs[1].start_ms = 100;
    assert!(find_double_runs(&runs).is_empty(), "consecutive runs are not a double run");
}
