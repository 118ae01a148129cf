//! Three daemons as separate processes with a test platform: each caller gets the response to its
//! own request, a graceful shutdown cuts off no caller, and after a kill no accepted job is lost and
//! no task runs twice at a time.

#![allow(clippy::unwrap_used)]

mod support;

use {
    damaskrack_manifest::make_key,
    damaskrack_standin::{PlatformPlan, StandinPlatform, find_double_runs, find_overcommits},
    nix::sys::signal::Signal,
    serde_json::{Value, json},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    support::{OPERATOR_KEY, RawResponse, program::DaemonProgram, send, try_send},
    tempfile::TempDir,
    tokio::time::{Instant, sleep},
};

/// Header with the key of the tests' callers.
const CALLER_KEY: &str = "authorization: Bearer office.s3cret\r\n";
/// Time limit of a takeover plus half of it for a busy machine, in seconds.
const TAKEOVER_S: u64 = 15;

/// Index of the daemon that owns the team by rendezvous hashing.
const TEAM_OWNER: usize = 1;

struct TestCell {
    platform: StandinPlatform,
    daemons: Vec<DaemonProgram>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    _directory: TempDir,
}

impl TestCell {
    async fn start() -> Self {
        let platform = StandinPlatform::start(PlatformPlan::new(3, 1, 4)).await.unwrap();
        let directory = TempDir::new().unwrap();
        let (mut daemons, mut callers, mut operators) = (Vec::new(), Vec::new(), Vec::new());
        for (number, zone) in ["zone-a", "zone-b", "zone-c"].into_iter().enumerate() {
            let path = directory.path().join(format!("{number}.json"));
            let settings = settings(&format!("entry-{number}"), zone, &platform);
            std::fs::write(&path, settings.to_string()).unwrap();
            let daemon = DaemonProgram::start(&path);
            let started = daemon.wait_for("daemon_started");
            let address = |name: &str| started[name].as_str().unwrap().parse().unwrap();
            callers.push(address("caller_address"));
            operators.push(address("operator_address"));
            daemons.push(daemon);
        }
        let cell = Self { platform, daemons, callers, operators, _directory: directory };
        cell.apply_manifest().await;
        cell
    }

    async fn apply_manifest(&self) {
        let due = Instant::now() + Duration::from_secs(TAKEOVER_S);
        let body = json!({ "base": 0, "manifest": manifest() }).to_string();
        let key = format!("authorization: Bearer {OPERATOR_KEY}\r\n");
        let mut is_put = false;
        loop {
            assert!(Instant::now() < due, "the cell did not start in time");
            if !is_put {
                let put = send(self.operators[0], "PUT", "/v1/manifest", &key, &body).await;
                is_put = put.status < 300 || put.status == 409;
            }
            let mut answers = Vec::new();
            for &address in &self.callers {
                answers.push(post(address, &echo_body("start")).await.map(|r| r.status));
            }
            if answers.iter().all(|status| *status == Some(200)) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Checks the runs that the workers observed.
    fn check_workers(&self) {
        let runs = self.platform.observed_runs();
        let plan = PlatformPlan::new(1, 1, 1);
        assert!(find_double_runs(&runs).is_empty(), "a task ran twice at a time");
        assert!(find_overcommits(&runs, plan.capacity, plan.slots).is_empty(), "overcommitted");
    }
}

fn settings(member: &str, zone: &str, platform: &StandinPlatform) -> Value {
    let key = make_key(
        &"ops".parse().unwrap(),
        &"operators".parse().unwrap(),
        "0123456789abcdef",
        &[7; 16],
    );
    json!({
        "member": member,
        "availability_zone": zone,
        "caller_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "store_address": platform.store_address(),
        "hosts_address": platform.hosts_address(),
        "operator_keys": [{ "name": key.name, "salt": key.salt, "hash": key.hash }],
        "log": { "level": "info" },
    })
}

fn manifest() -> Value {
    let key = make_key(&"office".parse().unwrap(), &"harbour".parse().unwrap(), "s3cret", &[9; 16]);
    let limit = json!({
        "tasks": 1_000,
        "resources": { "millicores": 1_000_000, "memory_bytes": 1u64 << 40 },
    });
    let zone = |name: &str| json!({ "name": name, "state": "in" });
    json!({
        "teams": [{ "name": "harbour", "share": 1, "limit": limit }],
        "keys": [key],
        "zones": [zone("zone-a"), zone("zone-b"), zone("zone-c")],
        "queues": [{ "name": "checks", "team": "harbour" }],
    })
}

/// A task that takes `run_ms` milliseconds and returns `output`.
fn task(run_ms: u64, output: &str) -> String {
    json!({ "run_ms": run_ms, "output": output }).to_string()
}

fn work(payload: &str, rest: &Value) -> String {
    let mut body = json!({
        "queue": "checks",
        "resources": { "millicores": 100, "memory_bytes": 1 << 20 },
        "payload": payload,
    });
    for (name, value) in rest.as_object().unwrap() {
        body[name] = value.clone();
    }
    body.to_string()
}

fn echo_body(output: &str) -> String {
    work(&task(5, output), &json!({ "idempotent": true, "deadline_ms": 8_000 }))
}

/// Sends a request; `None` if the daemon could not be reached or the response was incomplete.
async fn post(address: SocketAddr, body: &str) -> Option<RawResponse> {
    try_send(address, "POST", "/v1/requests", CALLER_KEY, body).await.ok().flatten()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_of_500_callers_gets_its_own_answer() {
    const CALLERS: usize = 500;
    let cell = TestCell::start().await;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let address = cell.callers[number % 3];
            tokio::spawn(async move {
                // Later callers have shorter tasks, so their responses overtake those of earlier ones.
                let output = format!("answer-{number}");
                let run_ms = 200 - (number as u64 * 200 / CALLERS as u64);
                let body = work(&task(run_ms, &output), &json!({}));
                (output, post(address, &body).await)
            })
        })
        .collect();
    for caller in callers {
        let (output, answer) = caller.await.unwrap();
        let answer = answer.expect("incomplete response");
        assert_eq!((answer.status, &answer.json()["detail"]), (200, &output.into()));
    }
    cell.check_workers();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_leaves_cuts_no_caller() {
    check_graceful_shutdown(0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_team_owner_that_leaves_cuts_no_caller() {
    check_graceful_shutdown(TEAM_OWNER).await;
}

/// Shuts one daemon down while callers send requests to all daemons.
async fn check_graceful_shutdown(leaving: usize) {
    let mut cell = TestCell::start().await;
    let callers: Vec<_> = (0..400)
        .map(|number| {
            let address = cell.callers[number % 3];
            tokio::spawn(async move {
                sleep(Duration::from_millis(number as u64 * 5)).await;
                let output = format!("answer-{number}");
                let body = work(&task(50, &output), &json!({ "deadline_ms": 20_000 }));
                let end = try_send(address, "POST", "/v1/requests", CALLER_KEY, &body).await;
                (number, output, end)
            })
        })
        .collect();
    sleep(Duration::from_millis(700)).await;
    cell.daemons[leaving].signal(Signal::SIGTERM);
    let mut statuses = BTreeMap::new();
    for caller in callers {
        let (number, output, end) = caller.await.unwrap();
        // A refused connection has cut off no request.
        let Ok(answer) = end else {
            assert_eq!(number % 3, leaving);
            continue;
        };
        let answer = answer.unwrap_or_else(|| panic!("response {number} was incomplete"));
        *statuses.entry(answer.status).or_insert(0) += 1;
        let is_own = answer.status == 200 && answer.json()["detail"] == output.as_str();
        let is_refused = number % 3 == leaving && answer.json()["outcome"] == "not_run";
        assert!(is_own || is_refused, "{number}: {answer:?}");
    }
    assert!(statuses[&200] > 250, "{statuses:?}");
    assert_eq!(cell.daemons.remove(leaving).wait(), Some(0));
    cell.check_workers();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_daemon_loses_no_accepted_job() {
    let mut cell = TestCell::start().await;
    let mut jobs = Vec::new();
    for number in 0..30 {
        let rest = json!({ "kind": "batch", "tasks": 3, "idempotent": number % 2 == 0 });
        let body = work(&task(300, "x"), &rest);
        let accepted = send(cell.callers[number % 3], "POST", "/v1/jobs", CALLER_KEY, &body).await;
        assert_eq!(accepted.status, 202, "{accepted:?}");
        jobs.push(accepted.json()["job"].as_str().unwrap().to_owned());
    }
    // Kills the daemon that owns the team.
    let killed = cell.daemons.remove(TEAM_OWNER);
    killed.signal(Signal::SIGKILL);
    drop(killed);
    let survivor = cell.callers[2];
    let due = Instant::now() + Duration::from_secs(TAKEOVER_S);
    while post(survivor, &echo_body("alive")).await.is_none_or(|answer| answer.status != 200) {
        assert!(Instant::now() < due, "no request succeeds after the kill");
    }
    let due = Instant::now() + Duration::from_secs(30);
    for job in &jobs {
        loop {
            let path = format!("/v1/jobs/{job}");
            let answer = send(survivor, "GET", &path, CALLER_KEY, "").await;
            if answer.json()["status"]["state"] == "ended" {
                break;
            }
            assert!(Instant::now() < due, "accepted job {job} did not end: {answer:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }
    cell.check_workers();
}
