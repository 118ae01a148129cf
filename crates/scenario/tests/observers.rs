//! Each observer is tested with a history that satisfies its invariant and one that violates it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

use {
    damaskrack_manifest::{
        KeyEntry, ManifestDocument, QueueEntry, TeamEntry, TeamLimit, ZoneEntry, ZoneState,
    },
    damaskrack_model::{
        AnswerReason, AttemptId, Epoch, JobId, OutcomeKind, PriorityClass, Resources, TaskResult,
    },
    damaskrack_scenario::{
        BoundPlan, RunHistory, SeenAnswer, SeenConfig, SeenDisturbance, SeenLeaving, SeenRun,
        SeenShutdown, SeenTry, SeenVersion, SeenWork, SeenWorker, every_observer,
    },
    damaskrack_standin::ObservedRun,
};

const TASK: Resources = Resources { millicores: 500, memory_bytes: 0, accelerators: 0 };

fn document() -> ManifestDocument {
    let limit =
        TeamLimit { tasks: 2, resources: Resources { millicores: 5_000, ..Resources::ZERO } };
    let team = |name: &str| TeamEntry { name: name.parse().unwrap(), share: 1, limit };
    let key = |name: &str, team: &str| KeyEntry {
        name: name.parse().unwrap(),
        team: team.parse().unwrap(),
        salt: String::new(),
        hash: String::new(),
        not_before_unix_ms: None,
        not_after_unix_ms: None,
    };
    ManifestDocument {
        teams: vec![team("a"), team("b")],
        keys: vec![key("ka", "a"), key("kb", "b")],
        zones: vec![ZoneEntry { name: "zone-1".parse().unwrap(), state: ZoneState::In }],
        queues: vec![QueueEntry {
            name: "q".parse().unwrap(),
            team: "a".parse().unwrap(),
            open: false,
            highest_priority: PriorityClass::Urgent,
        }],
    }
}

fn config(version: u64, at_ms: u64, document: ManifestDocument) -> SeenConfig {
    SeenConfig { version, document, written_ms: at_ms, accepted_ms: Some(at_ms) }
}

fn job(nonce: u64) -> JobId {
    JobId { team: "a".parse().unwrap(), queue: "q".parse().unwrap(), nonce }
}

fn run(token: &str, worker: &str, start_ms: u64, end_ms: u64) -> SeenRun {
    let nonce = u64::from(token.as_bytes()[1] - b'0');
    SeenRun {
        run: ObservedRun {
            worker: worker.parse().unwrap(),
            zone: "zone-1".parse().unwrap(),
            attempt: AttemptId { job: job(nonce), task: 0, epoch: Epoch(1), number: 0 },
            resources: TASK,
            peak_use: TASK,
            start_ms,
            end_ms: Some(end_ms),
            result: Some(TaskResult::Succeeded),
        },
        token: token.to_owned(),
    }
}

fn answer(at_ms: u64, outcome: OutcomeKind, detail: &str) -> SeenAnswer {
    SeenAnswer { at_ms, outcome, reason: AnswerReason::Ok, detail: detail.to_owned(), job: None }
}

fn work(index: usize, at_ms: u64) -> SeenWork {
    let token = format!("w{index}t0");
    let answers = vec![answer(at_ms + 200, OutcomeKind::Done, &token)];
    SeenWork {
        tag: None,
        queue: "q".parse().unwrap(),
        key: Some("ka".parse().unwrap()),
        idempotent: false,
        has_idempotency_key: false,
        is_job: false,
        is_service: false,
        tries: vec![SeenTry { token, at_ms, node: 0, answers, is_broken: false }],
        cancelled_ms: None,
        forgotten_ms: None,
        is_parked: false,
        ended: None,
    }
}

/// A history of two sequential requests without violations.
fn good_history() -> RunHistory {
    let worker = |name: &str| SeenWorker {
        worker: name.parse().unwrap(),
        capacity: Resources { millicores: 1_000, ..Resources::ZERO },
        slots: 2,
    };
    RunHistory {
        runs: vec![run("w0t0", "w-1", 1_050, 1_100), run("w1t0", "w-1", 2_050, 2_100)],
        workers: vec![worker("w-1"), worker("w-2")],
        works: vec![work(0, 1_000), work(1, 2_000)],
        configs: vec![config(1, 500, document())],
        versions: vec![
            SeenVersion { at_ms: 600, node: 0, life: 1, version: 1 },
            SeenVersion { at_ms: 600, node: 1, life: 1, version: 1 },
        ],
        nodes: 2,
        lives: vec![(0, 1, 0), (1, 1, 0)],
        end_ms: 60_000,
        ..RunHistory::default()
    }
}

fn points(history: &RunHistory) -> Vec<&'static str> {
    let bounds = BoundPlan::default();
    let mut points: Vec<_> = every_observer()
        .iter()
        .flat_map(|observer| observer.check(history, &bounds))
        .map(|violation| violation.point)
        .collect();
    points.dedup();
    points
}

#[track_caller]
fn assert_fires(point: &str, violate: impl FnOnce(&mut RunHistory)) {
    let mut history = good_history();
    violate(&mut history);
    assert!(points(&history).contains(&point), "{point} missed it: {:?}", points(&history));
}

#[track_caller]
fn assert_quiet(change: impl FnOnce(&mut RunHistory)) {
    let mut history = good_history();
    change(&mut history);
    assert_eq!(points(&history), Vec::<&str>::new());
}

#[test]
fn a_good_history_is_quiet() {
    assert_quiet(|_| {});
}

#[test]
fn worker_capacity_fires_on_resources_and_slots() {
    assert_fires("worker-capacity", |history| {
        history.runs[0].run.resources.millicores = 1_001;
    });
    assert_fires("worker-capacity", |history| {
        history.workers[0].slots = 0;
    });
}

#[test]
fn single_run_fires_on_overlap_in_two_places() {
    assert_fires("single-run", |history| {
        history.runs.push(run("w0t0", "w-2", 1_090, 1_200));
    });
    assert_quiet(|history| {
        history.works[0].idempotent = true;
        history.runs.push(run("w0t0", "w-2", 1_100, 1_200));
    });
}

#[test]
fn key_team_fires_on_another_teams_key_no_key_and_unknown_work() {
    assert_fires("key-team", |history| history.works[0].key = Some("kb".parse().unwrap()));
    assert_fires("key-team", |history| history.works[0].key = None);
    assert_fires("key-team", |history| history.runs[0].token = "w9t0".to_owned());
    assert_quiet(|history| {
        history.works[0].key = None;
        history.configs[0].document.queues[0].open = true;
    });
}

#[test]
fn withdrawn_key_fires_after_its_bound_only() {
    let withdraw = |history: &mut RunHistory, at_ms| {
        let mut document = document();
        document.keys.clear();
        history.configs.push(config(2, at_ms, document));
        let seen = |node| SeenVersion { at_ms, node, life: 1, version: 2 };
        history.versions.extend([seen(0), seen(1)]);
        history.works.push(work(2, 20_000));
        history.runs.push(run("w2t0", "w-1", 20_050, 20_100));
    };
    assert_fires("withdrawn-key", |history| withdraw(history, 14_000));
    assert_quiet(|history| withdraw(history, 16_000));
}

#[test]
fn team_limit_fires_on_tasks_resources_and_a_lowered_limit() {
    let add_long = |history: &mut RunHistory, token: &str, worker: &str| {
        let index = usize::from(token.as_bytes()[1] - b'0');
        history.works.resize_with(index + 1, || work(index, 10_000));
        history.works[index] = work(index, 10_000);
        history.runs.push(run(token, worker, 10_050, 50_000));
    };
    assert_quiet(|history| {
        add_long(history, "w2t0", "w-1");
        add_long(history, "w3t0", "w-2");
    });
    assert_fires("team-limit", |history| {
        add_long(history, "w2t0", "w-1");
        add_long(history, "w3t0", "w-2");
        add_long(history, "w4t0", "w-2");
    });
    assert_fires("team-limit", |history| {
        history.configs[0].document.teams[0].limit.resources.millicores = 400;
    });
    assert_fires("team-limit", |history| {
        add_long(history, "w2t0", "w-1");
        let mut lowered = document();
        lowered.teams[0].limit.tasks = 0;
        history.configs.push(config(2, 20_000, lowered));
    });
}

#[test]
fn zone_out_fires_after_its_bound_only() {
    let take_out = |history: &mut RunHistory, at_ms| {
        let mut document = document();
        document.zones[0].state = ZoneState::Out;
        history.configs.push(config(2, at_ms, document));
        let seen = |node| SeenVersion { at_ms, node, life: 1, version: 2 };
        history.versions.extend([seen(0), seen(1)]);
        history.works.push(work(2, 20_000));
        history.runs.push(run("w2t0", "w-1", 20_050, 20_100));
    };
    assert_fires("zone-out", |history| take_out(history, 14_000));
    assert_quiet(|history| take_out(history, 16_000));
}

#[test]
fn whole_answer_fires_on_foreign_double_stray_and_invented_answers() {
    assert_fires("whole-answer", |history| {
        history.works[0].tries[0].answers[0].detail = "w1t0".to_owned();
    });
    assert_fires("whole-answer", |history| {
        let copy = history.works[0].tries[0].answers[0].clone();
        history.works[0].tries[0].answers.push(copy);
    });
    assert_fires("whole-answer", |history| history.stray_answers.push(77));
    assert_fires("whole-answer", |history| {
        history.runs.remove(0);
    });
}

#[test]
fn not_run_fires_on_a_start_before_or_after() {
    assert_fires("not-run", |history| {
        history.works[0].tries[0].answers = vec![answer(1_060, OutcomeKind::NotRun, "")];
    });
    assert_fires("not-run", |history| {
        history.works[0].ended = Some((9_000, Some(OutcomeKind::NotRun)));
    });
}

#[test]
fn not_run_lets_a_later_try_under_the_same_key_run() {
    let refuse_first = |history: &mut RunHistory, retry_ms| {
        history.works[0].has_idempotency_key = true;
        let mut retry = history.works[0].tries[0].clone();
        retry.at_ms = retry_ms;
        history.works[0].tries.push(retry);
        history.works[0].tries[0].answers = vec![answer(1_020, OutcomeKind::NotRun, "")];
    };
    assert_quiet(|history| refuse_first(history, 1_040));
    assert_fires("not-run", |history| refuse_first(history, 1_080));
    assert_fires("not-run", |history| {
        history.works[0].has_idempotency_key = true;
        history.works[0].tries[0].answers = vec![answer(1_020, OutcomeKind::NotRun, "")];
    });
}

#[test]
fn at_most_once_fires_over_tries_and_jobs() {
    assert_fires("at-most-once", |history| {
        let mut again = run("w0t0", "w-2", 5_000, 5_100);
        again.run.attempt.job = job(900);
        history.runs.push(again);
    });
    assert_fires("at-most-once", |history| {
        let mut retry = history.works[0].tries[0].clone();
        retry.token = "w0t1".to_owned();
        history.works[0].tries.push(retry);
        history.runs.push(run("w0t1", "w-2", 5_000, 5_100));
    });
}

#[test]
fn leaving_worker_fires_after_its_bound_only() {
    let leave = |history: &mut RunHistory, shown_ms| {
        let worker = "w-1".parse().unwrap();
        history.leavings.push(SeenLeaving { worker, shown_ms, until_ms: u64::MAX });
        history.works.push(work(2, 20_000));
        history.runs.push(run("w2t0", "w-1", 20_050, 20_100));
    };
    assert_fires("leaving-worker", |history| leave(history, 14_000));
    assert_quiet(|history| leave(history, 16_000));
}

#[test]
fn graceful_exit_fires_on_waiting_callers() {
    let shutdown = SeenShutdown {
        node: 0,
        asked_ms: 3_000,
        ended_ms: Some(4_000),
        cut_calls: 1,
        is_spoiled: false,
    };
    assert_fires("graceful-exit", |history| history.shutdowns.push(shutdown));
    assert_quiet(|history| {
        history.shutdowns.push(SeenShutdown { is_spoiled: true, ..shutdown });
    });
}

#[test]
fn config_spread_fires_on_a_revert_and_a_late_node() {
    assert_fires("config-spread", |history| {
        history.versions.push(SeenVersion { at_ms: 900, node: 1, life: 1, version: 0 });
    });
    assert_fires("config-spread", |history| {
        history.versions[1].at_ms = 9_000;
    });
    assert_quiet(|history| {
        history.versions[1].at_ms = 9_000;
        let disturbance = SeenDisturbance { node: Some(1), from_ms: 400, until_ms: 8_000 };
        history.disturbances.push(disturbance);
    });
}

#[test]
fn lost_job_and_cancelled_work_fire() {
    assert_fires("lost-job", |history| history.works[0].forgotten_ms = Some(3_000));
    assert_fires("cancelled-work", |history| history.works[1].cancelled_ms = Some(900));
}
