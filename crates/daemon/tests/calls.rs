//! Each caller gets the complete response to its own request, even if responses come late, out of
//! order or during a shutdown.

#![allow(clippy::unwrap_used)]

mod support;

use {
    damaskrack_daemon::LimitSettings,
    damaskrack_model::{AnswerReason, OutcomeKind, WorkAnswer},
    damaskrack_node::{NodeAction, NodeInput},
    std::{collections::VecDeque, time::Duration},
    support::{
        OPERATOR_KEY, TEST_TIMEOUT, echo_answer, echo_script, is_submit, post, read_response,
        request_bytes, send, start_echo, start_with, test_config, work_body,
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        time::{sleep, timeout},
    },
};

fn operator_header() -> String {
    format!("authorization: Bearer {OPERATOR_KEY}\r\n")
}

#[tokio::test]
async fn crossed_answers_find_their_callers() {
    const CALLERS: usize = 200;
    // Responds in reverse order whenever a quarter of the callers wait.
    let mut held = VecDeque::new();
    let mut seen = 0;
    let (server, _) = start_with(test_config("entry-1"), move |input| match input {
        NodeInput::Caller { call, request } => {
            held.push_front(echo_answer(*call, request));
            seen += 1;
            let is_due = seen == CALLERS || held.len() >= CALLERS / 4;
            if is_due { held.drain(..).collect() } else { Vec::new() }
        }
        other => echo_script(other),
    })
    .await;
    let address = server.addresses().caller;
    let callers = (0..CALLERS).map(|number| {
        tokio::spawn(async move {
            let payload = format!("payload-{number}-{}", "x".repeat(number));
            let answer = post(address, &work_body(&payload)).await;
            answer.json()["detail"] == payload.as_str()
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        assert!(caller.await.unwrap());
    }
    server.shutdown().await;
}

#[tokio::test]
async fn a_late_answer_does_not_reach_the_next_caller() {
    let (server, probe) = start_with(test_config("entry-1"), |input| match input {
        NodeInput::Caller { .. } => Vec::new(),
        other => echo_script(other),
    })
    .await;
    let address = server.addresses().caller;
    let mut disconnected = TcpStream::connect(address).await.unwrap();
    let bytes = request_bytes("POST", "/v1/requests", "", work_body("first").as_bytes());
    disconnected.write_all(&bytes).await.unwrap();
    probe.wait_for(1, is_submit).await;
    drop(disconnected);
    probe.wait_for(1, |input| matches!(input, NodeInput::CallerDisconnected { .. })).await;
    let second = tokio::spawn(async move { post(address, &work_body("second")).await });
    probe.wait_for(2, is_submit).await;
    let inputs: Vec<_> = probe.inputs().into_iter().filter(is_submit).collect();
    let [NodeInput::Caller { call: a, request: one }, NodeInput::Caller { call: b, request: two }] =
        &inputs[..]
    else {
        panic!("{inputs:?}")
    };
    probe.act(echo_answer(*a, one));
    sleep(Duration::from_millis(150)).await;
    probe.act(echo_answer(*b, two));
    assert_eq!(second.await.unwrap().json()["detail"], "second");
    server.shutdown().await;
}

#[tokio::test]
async fn a_full_table_sheds_and_says_not_run() {
    let limits = LimitSettings { calls_in_flight: 3, ..LimitSettings::default() };
    let config = test_config("entry-1").with_limits(limits);
    let (server, probe) = start_with(config, |input| match input {
        NodeInput::Caller { .. } => Vec::new(),
        other => echo_script(other),
    })
    .await;
    let address = server.addresses().caller;
    let waiting: Vec<_> =
        (0..3).map(|_| tokio::spawn(async move { post(address, &work_body("x")).await })).collect();
    probe.wait_for(3, is_submit).await;
    let shed = post(address, &work_body("x")).await;
    shed.assert_refusal(429, "too many requests");
    assert!(shed.head.contains("retry-after: 1"));
    assert_eq!(probe.submits(), 3);
    for input in probe.inputs() {
        if let NodeInput::Caller { call, request } = &input {
            probe.act(echo_answer(*call, request));
        }
    }
    for caller in waiting {
        assert_eq!(caller.await.unwrap().status, 200);
    }
    server.shutdown().await;
}

#[tokio::test]
async fn every_answer_has_its_status() {
    use {
        AnswerReason::{
            AboveLimit, Accepted, Cancelled, DeadlinePassed, Invalid, Isolated, KeyRefused,
            Leaving, Lost, Ok, Overloaded, StoreUnavailable, TaskFailed, TooLarge, UnknownJob,
            UnknownQueue,
        },
        OutcomeKind::{Done, Failed, NotRun, Unknown},
    };
    let cases = [
        (Done, Ok, 200),
        (Done, Accepted, 202),
        (Failed, TaskFailed, 200),
        (NotRun, KeyRefused, 401),
        (NotRun, UnknownQueue, 404),
        (NotRun, UnknownJob, 404),
        (NotRun, Cancelled, 409),
        (NotRun, Invalid, 422),
        (NotRun, TooLarge, 422),
        (NotRun, AboveLimit, 422),
        (NotRun, Overloaded, 429),
        (NotRun, Isolated, 503),
        (NotRun, Leaving, 503),
        (NotRun, StoreUnavailable, 503),
        (NotRun, DeadlinePassed, 504),
        (Unknown, Lost, 502),
    ];
    let mut next = cases.into_iter();
    let (server, _) = start_with(test_config("entry-1"), move |input| match input {
        NodeInput::Caller { call, .. } => {
            let (outcome, reason, _) = next.next().unwrap();
            let answer = WorkAnswer::new(outcome, reason, "why");
            vec![NodeAction::CallerAnswer { call: *call, answer }]
        }
        other => echo_script(other),
    })
    .await;
    for (outcome, reason, status) in cases {
        let answer = post(server.addresses().caller, &work_body("x")).await;
        assert_eq!(answer.status, status, "{reason}");
        assert_eq!(answer.json()["reason"], reason.to_string());
        assert_eq!(answer.json()["outcome"], serde_json::to_value(outcome).unwrap());
    }
    server.shutdown().await;
}

#[tokio::test]
async fn a_graceful_shutdown_cuts_no_request() {
    const CALLERS: usize = 20;
    let mut is_leaving = false;
    let mut held = Vec::new();
    // Responds only once the shutdown has been requested, and exits in the same tick.
    let (server, probe) = start_with(test_config("entry-1"), move |input| match input {
        NodeInput::Caller { call, request } => {
            held.push(echo_answer(*call, request));
            Vec::new()
        }
        NodeInput::Shutdown if !is_leaving => {
            is_leaving = true;
            let mut actions = std::mem::take(&mut held);
            actions.push(NodeAction::Exit);
            actions
        }
        _ => Vec::new(),
    })
    .await;
    let address = server.addresses().caller;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            tokio::spawn(async move { post(address, &work_body(&number.to_string())).await })
        })
        .collect();
    probe.wait_for(CALLERS, is_submit).await;
    timeout(TEST_TIMEOUT, server.shutdown()).await.unwrap();
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.await.unwrap();
        assert_eq!((answer.status, &answer.json()["detail"]), (200, &number.to_string().into()));
    }
    assert!(TcpStream::connect(address).await.is_err());
}

#[tokio::test]
async fn a_leaving_daemon_says_so_and_closes() {
    let (server, probe) = start_with(test_config("entry-1"), |input| match input {
        NodeInput::Shutdown => Vec::new(),
        other => echo_script(other),
    })
    .await;
    let addresses = server.addresses();
    let mut kept = TcpStream::connect(addresses.caller).await.unwrap();
    server.control().shutdown().await;
    probe.wait_for(1, |input| matches!(input, NodeInput::Shutdown)).await;
    assert_eq!(send(addresses.operator, "GET", "/readyz", "", "").await.status, 503);
    // The core still responds; the connection is closed although the caller did not request it.
    let body = work_body("x");
    let head = format!("POST /v1/requests HTTP/1.1\r\nhost: t\r\ncontent-length: {}", body.len());
    kept.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).await.unwrap();
    let answer = read_response(&mut kept).await.unwrap();
    assert_eq!((answer.status, answer.head.contains("connection: close")), (200, true));
    probe.act(NodeAction::Exit);
    // Between the exit of the core and the end of the server requests get a complete refusal.
    sleep(Duration::from_millis(100)).await;
    post(addresses.caller, &body).await.assert_refusal(503, "shutting down");
    timeout(TEST_TIMEOUT, server.wait()).await.unwrap();
}

#[tokio::test]
async fn idle_connections_do_not_hold_up_a_shutdown() {
    let (server, _) = start_echo().await;
    let mut idle = TcpStream::connect(server.addresses().caller).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    timeout(Duration::from_secs(2), server.shutdown()).await.unwrap();
    assert!(read_response(&mut idle).await.is_none());
}

#[tokio::test]
async fn operators_need_a_key() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().operator;
    let header = |key: &str| format!("authorization: Bearer {key}\r\n");
    for key in ["", &header("ops.guess"), &header("other.0123456789abcdef"), &header("ops")] {
        for (method, path) in
            [("GET", "/v1/manifest"), ("PUT", "/v1/manifest"), ("GET", "/v1/state")]
        {
            send(address, method, path, key, "{}").await.assert_refusal(401, "no operator's key");
        }
    }
    assert_eq!(probe.count(|input| matches!(input, NodeInput::Operator { .. })), 0);
    server.shutdown().await;
}

#[tokio::test]
async fn manifests_are_read_and_replaced() {
    let (server, _) = start_echo().await;
    let address = server.addresses().operator;
    let key = operator_header();
    let read = send(address, "GET", "/v1/manifest", &key, "").await;
    assert_eq!(read.json(), serde_json::json!({ "version": 1, "manifest": { "teams": [] } }));
    assert!(read.head.contains("etag: \"1\""));
    let path = "/v1/manifest";
    let put = send(address, "PUT", path, &key, r#"{"base": 1, "manifest": {}}"#).await;
    assert_eq!((put.status, &put.json()["version"]), (200, &2.into()));
    let put = send(address, "PUT", path, &key, r#"{"base": 0, "manifest": {}}"#).await;
    assert_eq!((put.status, &put.json()["version"]), (409, &1.into()));
    let matched = format!("{key}if-match: \"1\"\r\n");
    assert_eq!(send(address, "PUT", path, &matched, "{}").await.status, 200);
    send(address, "PUT", path, &matched, "{").await.assert_refusal(400, "EOF");
    send(address, "PUT", path, &key, "{}").await.assert_refusal(400, "missing field `base`");
    let odd = format!("{key}if-match: new\r\n");
    send(address, "PUT", path, &odd, "{}").await.assert_refusal(400, "If-Match");
    server.shutdown().await;
}

#[tokio::test]
async fn health_readiness_and_state_are_shown() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().operator;
    assert_eq!(post(server.addresses().caller, &work_body("x")).await.status, 200);
    assert_eq!(send(address, "GET", "/healthz", "", "").await.status, 200);
    assert_eq!(send(address, "GET", "/readyz", "", "").await.status, 200);
    probe.set_ready(false);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(send(address, "GET", "/readyz", "", "").await.status, 503);
    assert_eq!(send(address, "GET", "/healthz", "", "").await.status, 200);
    let state = send(address, "GET", "/v1/state", &operator_header(), "").await;
    assert_eq!(state.json()["node"]["scripted"], true);
    assert_eq!(state.json()["daemon"]["calls_in_flight"], 0);
    assert!(!state.body.contains("0123456789abcdef"));
    server.shutdown().await;
}
