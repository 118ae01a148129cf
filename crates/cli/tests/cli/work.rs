//! Submitting, querying and cancelling work.

use {
    crate::support::{FakeDaemon, run_against, run_tool},
    damaskrack_ports::PortReservation,
    serde_json::{Value, json},
};

const JOB: &str = "harbour~checks~00000000000000ff";

fn response(outcome: &str, reason: &str) -> Value {
    json!({"outcome": outcome, "reason": reason, "detail": "7", "job": null, "status": null})
}

fn accepted_response() -> String {
    let mut response = response("done", "accepted");
    response["job"] = json!(JOB);
    response.to_string()
}

fn status_response(state: &str, queued: u32, done: u32, outcome: Option<&str>) -> String {
    let mut response = response("done", "ok");
    response["job"] = json!(JOB);
    response["status"] = json!({
        "job": JOB, "state": state, "queued": queued, "running": 2 - queued - done, "done": done,
        "failed": 0, "not_run": 0, "unknown": 0, "outcome": outcome, "detail": "",
    });
    response.to_string()
}

#[test]
fn a_request_carries_its_work_and_key() {
    let daemon = FakeDaemon::responding_with(200, &response("done", "ok").to_string());
    let run = run_against(
        &daemon,
        &["submit", "checks", "--memory", "2MiB", "--priority", "urgent", "--payload", "echo"],
    );
    assert_eq!(run.code, Some(0), "{run:?}");
    let request = daemon.received().remove(0);
    assert_eq!(request.request_line, "POST /v1/requests");
    assert_eq!(request.authorization.as_deref(), Some("Bearer office.s3cret"));
    assert_eq!(request.idempotency_key, None);
    let body: Value = serde_json::from_str(&request.body).unwrap();
    assert_eq!(body["queue"], "checks");
    assert_eq!(body["priority"], "urgent");
    assert_eq!(body["resources"]["memory_bytes"], 2 << 20);
    assert_eq!(body["payload"], "echo");
}

#[test]
fn the_exit_code_tells_the_outcome() {
    let cases = [
        ("done", "ok", 200, 0),
        ("not_run", "key_refused", 401, 1),
        ("not_run", "overloaded", 503, 1),
        ("failed", "task_failed", 200, 3),
        ("unknown", "lost", 200, 4),
    ];
    for (outcome, reason, http_status, code) in cases {
        let daemon =
            FakeDaemon::responding_with(http_status, &response(outcome, reason).to_string());
        let run = run_against(&daemon, &["submit", "checks", "--output", "json"]);
        assert_eq!(run.code, Some(code), "{run:?}");
        let output: Value = serde_json::from_str(&run.stdout).unwrap();
        assert_eq!(output["outcome"], outcome);
        assert_eq!(run.stderr.contains("try: "), code != 0, "{run:?}");
    }
}

#[test]
fn a_job_is_accepted_with_an_idempotency_key_of_its_own() {
    let daemon = FakeDaemon::start(|_, _| Some((202, accepted_response())));
    let run = run_against(&daemon, &["submit", "checks", "--kind", "gang", "--tasks", "2"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.stdout.contains(JOB), "{run:?}");
    let request = daemon.received().remove(0);
    assert_eq!(request.request_line, "POST /v1/jobs");
    assert!(request.idempotency_key.is_some());
    assert!(request.body.contains(r#""kind":"gang""#));
}

#[test]
fn waiting_continues_after_failed_polls_until_the_job_ends() {
    let daemon = FakeDaemon::start(|_, count| match count {
        0 => Some((202, accepted_response())),
        1 => Some((200, status_response("queued", 2, 0, None))),
        2 => None,
        3 => Some((503, response("not_run", "isolated").to_string())),
        4 => Some((200, status_response("running", 0, 1, None))),
        _ => Some((200, status_response("ended", 0, 2, Some("done")))),
    });
    let args =
        ["submit", "checks", "--kind", "batch", "--tasks", "2", "--wait", "--output", "json"];
    let run = run_against(&daemon, &args);
    assert_eq!(run.code, Some(0), "{run:?}");
    let output: Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(output["status"]["done"], 2);
    assert_eq!(daemon.received().len(), 6);
}

#[test]
fn the_outcome_of_an_ended_job_is_the_exit_code() {
    for (outcome, code) in [("done", 0), ("not_run", 1), ("failed", 3), ("unknown", 4)] {
        let daemon =
            FakeDaemon::responding_with(200, &status_response("ended", 0, 2, Some(outcome)));
        let run = run_against(&daemon, &["job", JOB]);
        assert_eq!(run.code, Some(code), "{run:?}");
        assert_eq!(run.stderr.contains("did not end well"), code != 0, "{run:?}");
    }
}

#[test]
fn a_service_is_waited_for_until_it_runs() {
    let daemon = FakeDaemon::start(|_, count| match count {
        0 => Some((202, accepted_response())),
        1 => Some((200, status_response("running", 1, 0, None))),
        _ => Some((200, status_response("running", 0, 0, None))),
    });
    let run = run_against(&daemon, &["submit", "checks", "--kind", "service", "--wait"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    assert_eq!(daemon.received().len(), 3);
}

#[test]
fn a_job_is_cancelled_by_its_id() {
    let daemon = FakeDaemon::responding_with(200, &response("done", "cancelled").to_string());
    assert_eq!(run_against(&daemon, &["cancel", JOB]).code, Some(0));
    assert_eq!(daemon.request_lines(), [format!("DELETE /v1/jobs/{JOB}")]);
}

#[test]
fn a_lost_response_is_unknown_and_names_the_idempotency_key() {
    let daemon = FakeDaemon::start(|_, _| None);
    let run =
        run_against(&daemon, &["submit", "checks", "--kind", "batch", "--idempotency-key", "n1"]);
    assert_eq!(run.code, Some(4), "{run:?}");
    assert!(run.stderr.contains("--idempotency-key n1"), "{run:?}");
    assert_eq!(daemon.received().len(), 1, "nothing is sent twice");
}

#[test]
fn a_late_response_is_unknown() {
    let daemon = FakeDaemon::start(|_, _| {
        std::thread::sleep(std::time::Duration::from_millis(500));
        None
    });
    let run = run_against(&daemon, &["submit", "checks", "--timeout-ms", "100"]);
    assert_eq!(run.code, Some(4), "{run:?}");
    assert!(run.stderr.contains("no answer within 100 ms"), "{run:?}");
}

#[test]
fn a_response_of_another_program_is_unknown() {
    let daemon = FakeDaemon::responding_with(502, "<html>Bad gateway</html>");
    let run = run_against(&daemon, &["submit", "checks"]);
    assert_eq!(run.code, Some(4), "{run:?}");
    assert!(run.stderr.contains("502") && run.stderr.contains("Bad gateway"), "{run:?}");
}

#[test]
fn the_next_address_is_used_when_one_is_unreachable() {
    let daemon = FakeDaemon::responding_with(200, &response("done", "ok").to_string());
    let closed = closed_port();
    let addresses = format!("{},{}", closed.address(), daemon.address);
    let args = ["submit", "checks", "--address", &addresses];
    let run = run_tool(&args, &[("DAMASKRACK_KEY", "")]);
    assert_eq!(run.code, Some(0), "{run:?}");
    assert_eq!(daemon.received()[0].authorization, None, "an empty key is none");
}

#[test]
fn the_next_address_is_used_when_a_daemon_is_leaving() {
    let leaving = FakeDaemon::responding_with(503, &response("not_run", "leaving").to_string());
    let daemon = FakeDaemon::responding_with(200, &response("done", "ok").to_string());
    let addresses = format!("{},{}", leaving.address, daemon.address);
    let run = run_tool(&["submit", "checks", "--address", &addresses], &[]);
    assert_eq!(run.code, Some(0), "{run:?}");

    let closed = closed_port();
    let addresses = format!("{},{}", leaving.address, closed.address());
    let run = run_tool(&["submit", "checks", "--address", &addresses], &[]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stdout.contains("leaving"), "{run:?}");
}

#[test]
fn no_daemon_at_all_is_unreachable() {
    let closed = closed_port();
    let run = run_tool(&["submit", "checks", "--address", &closed.address().to_string()], &[]);
    assert_eq!(run.code, Some(5), "{run:?}");
    assert!(run.stderr.contains("DAMASKRACK_ADDRESS"), "{run:?}");
    assert_eq!(run.stdout, "");
}

/// Reserves a port that nothing listens on.
fn closed_port() -> PortReservation {
    PortReservation::any().expect("a free port")
}
