//! Malformed or invalid requests get a specific error, never reach the core, and do not affect other
//! callers.

#![allow(clippy::unwrap_used)]

mod support;

use {
    damaskrack_daemon::LimitSettings,
    damaskrack_node::NodeInput,
    std::time::Duration,
    support::{
        echo_script, post, read_response, request_bytes, send, send_raw, start_echo, start_with,
        test_config, work_body,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

#[tokio::test]
async fn malformed_bodies_are_refused() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().caller;
    let cases = [
        ("", "EOF"),
        ("{", "EOF"),
        ("[]", "expected struct"),
        ("\"text\"", "expected struct"),
        (r#"{"queue": "checks"} trailing"#, "trailing"),
        ("{}", "missing field `queue`"),
        (r#"{"queue": 7}"#, "expected a string"),
        (r#"{"queue": "no spaces"}"#, "a name must not contain"),
        (r#"{"queue": "checks", "colour": "red"}"#, "unknown field `colour`"),
        (r#"{"queue": "checks", "queue": "other"}"#, "duplicate field `queue`"),
        (r#"{"queue": "checks", "resources": {"cores": 1}}"#, "unknown field `cores`"),
        (r#"{"queue": "checks", "resources": {"millicores": -1}}"#, "invalid value"),
        (r#"{"queue": "checks", "resources": {"millicores": 1e30}}"#, "invalid type"),
        (r#"{"queue": "checks", "idempotent": "yes"}"#, "expected a boolean"),
        (r#"{"queue": "checks", "priority": "royal"}"#, "unknown variant `royal`"),
    ];
    for (body, part) in cases {
        post(address, body).await.assert_refusal(400, part);
    }
    assert_eq!(probe.submits(), 0);
    assert_eq!(post(address, &work_body("x")).await.status, 200);
    server.shutdown().await;
}

#[tokio::test]
async fn impossible_work_is_refused() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().caller;
    let job = async |body: &str| send(address, "POST", "/v1/jobs", "", body).await;
    job(r#"{"queue": "q", "tasks": 0}"#).await.assert_refusal(422, "`tasks`");
    job(r#"{"queue": "q", "tasks": 10001}"#).await.assert_refusal(422, "`tasks`");
    job(r#"{"queue": "q", "kind": "request"}"#).await.assert_refusal(422, "`kind`");
    let huge = r#"{"queue": "q", "tasks": 3, "resources": {"memory_bytes": 18446744073709551615}}"#;
    job(huge).await.assert_refusal(422, "more than can be counted");
    job(r#"{"queue": "q", "tasks": 4294967296}"#).await.assert_refusal(400, "invalid value");
    post(address, r#"{"queue": "q", "kind": "gang"}"#).await.assert_refusal(422, "`kind`");
    post(address, r#"{"queue": "q", "tasks": 2}"#).await.assert_refusal(422, "`tasks`");
    assert_eq!(probe.submits(), 0);
    server.shutdown().await;
}

#[tokio::test]
async fn bad_headers_are_refused() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().caller;
    let body = work_body("x");
    let long = format!("idempotency-key: {}\r\n", "k".repeat(257));
    let cases = [
        ("authorization: Bearer a.b\r\nauthorization: Bearer c.d\r\n", "more than once"),
        ("idempotency-key: a\r\nidempotency-key: a\r\n", "more than once"),
        ("authorization: Basic abc\r\n", "Bearer"),
        ("authorization: Bearer \r\n", "Bearer"),
        ("idempotency-key: \r\n", "1 to 256 bytes"),
        (&long, "1 to 256 bytes"),
    ];
    for (headers, part) in cases {
        let response = send(address, "POST", "/v1/requests", headers, &body).await;
        response.assert_refusal(400, part);
    }
    let mut bytes = request_bytes("POST", "/v1/requests", "authorization: Bearer @\r\n", b"{}");
    let index = bytes.iter().position(|&byte| byte == b'@').unwrap();
    bytes[index] = 0xff;
    send_raw(address, &bytes).await.unwrap().assert_refusal(400, "visible ASCII");
    assert_eq!(probe.submits(), 0);
    server.shutdown().await;
}

#[tokio::test]
async fn text_that_is_not_utf8_is_refused() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().caller;
    let bytes = request_bytes("POST", "/v1/requests", "", b"{\"queue\": \"\xff\"}");
    send_raw(address, &bytes).await.unwrap().assert_refusal(400, "not UTF-8 at byte 11");
    for (method, path) in [("GET", "/v1/jobs/%ff"), ("POST", "/v1/%ff/requests")] {
        let body = work_body("x");
        send(address, method, path, "", &body).await.assert_refusal(400, "the path is not UTF-8");
    }
    assert_eq!(probe.submits(), 0);
    server.shutdown().await;
}

#[tokio::test]
async fn long_bodies_are_refused() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().caller;
    post(address, &work_body(&"x".repeat(60_000))).await.assert_refusal(413, "2048 bytes");
    let chunk = format!("800\r\n{}\r\n", "x".repeat(0x800));
    let head = "POST /v1/requests HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    let bytes = format!("{head}{}0\r\n\r\n", chunk.repeat(8));
    send_raw(address, bytes.as_bytes()).await.unwrap().assert_refusal(413, "2048 bytes");
    let head = "POST /v1/requests HTTP/1.1\r\nhost: t\r\nexpect: 100-continue\r\n\
                content-length: 99999999999\r\nconnection: close\r\n\r\n";
    send_raw(address, head.as_bytes()).await.unwrap().assert_refusal(413, "2048 bytes");
    assert_eq!(probe.submits(), 0);
    server.shutdown().await;
}

#[tokio::test]
async fn slow_senders_are_cut_off() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().caller;
    let mut head_only = TcpStream::connect(address).await.unwrap();
    head_only.write_all(b"POST /v1/requests HTTP/1.1\r\nhost:").await.unwrap();
    let mut body_part = TcpStream::connect(address).await.unwrap();
    let bytes = request_bytes("POST", "/v1/requests", "", work_body("x").as_bytes());
    body_part.write_all(&bytes[..bytes.len() - 4]).await.unwrap();
    // Other callers are served meanwhile.
    assert_eq!(post(address, &work_body("y")).await.json()["detail"], "y");
    read_response(&mut body_part).await.unwrap().assert_refusal(408, "in time");
    let answered = read_response(&mut head_only).await;
    assert!(answered.is_none_or(|response| response.status == 408));
    assert_eq!(probe.submits(), 1);
    server.shutdown().await;
}

#[tokio::test]
async fn a_body_that_is_cut_off_is_not_run() {
    let (server, probe) = start_echo().await;
    let address = server.addresses().caller;
    let bytes = request_bytes("POST", "/v1/requests", "", work_body("x").as_bytes());
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(&bytes[..bytes.len() - 4]).await.unwrap();
    socket.shutdown().await.unwrap();
    if let Some(response) = read_response(&mut socket).await {
        response.assert_refusal(400, "ended inside the body");
    }
    assert_eq!(probe.submits(), 0);
    assert_eq!(post(address, &work_body("y")).await.status, 200);
    server.shutdown().await;
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused_in_the_same_form() {
    let (server, _) = start_echo().await;
    let address = server.addresses().caller;
    send(address, "GET", "/v2/nothing", "", "").await.assert_refusal(404, "nothing at this path");
    send(address, "PUT", "/v1/requests", "", "").await.assert_refusal(405, "this method");
    send(address, "GET", "/v1/jobs/17", "", "").await.assert_refusal(404, "not a job id");
    let answer = send(address, "GET", "/v1/jobs/t~q~00000000000000ff", "", "").await;
    assert_eq!((answer.status, answer.body.contains("t~q~00000000000000ff")), (200, true));
    let answer = send(address, "DELETE", "/v1/jobs/t%7Eq%7E00000000000000ff", "", "").await;
    assert_eq!(answer.status, 200);
    server.shutdown().await;
}

#[tokio::test]
async fn a_half_closed_caller_gets_its_answer() {
    let (server, probe) = start_with(test_config("entry-1"), |input| match input {
        NodeInput::Caller { .. } => Vec::new(),
        other => echo_script(other),
    })
    .await;
    let mut socket = TcpStream::connect(server.addresses().caller).await.unwrap();
    let bytes = request_bytes("POST", "/v1/requests", "", work_body("whole").as_bytes());
    socket.write_all(&bytes).await.unwrap();
    socket.shutdown().await.unwrap();
    probe.wait_for(1, support::is_submit).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let NodeInput::Caller { call, request } = &probe.inputs()[0] else { panic!() };
    probe.act(support::echo_answer(*call, request));
    let answer = read_response(&mut socket).await.unwrap();
    assert_eq!((answer.status, &answer.json()["detail"]), (200, &"whole".into()));
    assert_eq!(probe.count(|input| matches!(input, NodeInput::CallerDisconnected { .. })), 0);
    server.shutdown().await;
}

#[tokio::test]
async fn a_caller_that_goes_is_reported() {
    let (server, probe) = start_with(test_config("entry-1"), |input| match input {
        NodeInput::Caller { .. } => Vec::new(),
        other => echo_script(other),
    })
    .await;
    let mut socket = TcpStream::connect(server.addresses().caller).await.unwrap();
    let bytes = request_bytes("POST", "/v1/requests", "", work_body("x").as_bytes());
    socket.write_all(&bytes).await.unwrap();
    probe.wait_for(1, support::is_submit).await;
    drop(socket);
    probe.wait_for(1, |input| matches!(input, NodeInput::CallerDisconnected { .. })).await;
    let NodeInput::Caller { call, .. } = probe.inputs()[0] else { panic!() };
    assert!(probe.inputs().contains(&NodeInput::CallerDisconnected { call }));
    server.shutdown().await;
}

#[tokio::test]
async fn connections_beyond_the_bound_are_refused() {
    let limits = LimitSettings { caller_connections: 2, ..LimitSettings::default() };
    let config = test_config("entry-1").with_limits(limits);
    let (server, _) = start_with(config, echo_script).await;
    let address = server.addresses().caller;
    let held =
        [TcpStream::connect(address).await.unwrap(), TcpStream::connect(address).await.unwrap()];
    post(address, &work_body("x")).await.assert_refusal(503, "too many connections");
    drop(held);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(post(address, &work_body("x")).await.status, 200);
    server.shutdown().await;
}

#[tokio::test]
async fn garbage_is_closed() {
    let (server, _) = start_echo().await;
    for address in [server.addresses().caller, server.addresses().operator, server.addresses().peer]
    {
        let mut socket = TcpStream::connect(address).await.unwrap();
        let _ = socket.write_all(&[0xff; 4_096]).await;
        let mut bytes = Vec::new();
        let end = timeout(support::TEST_TIMEOUT, socket.read_to_end(&mut bytes)).await;
        assert!(end.is_ok(), "{address} keeps a connection open after invalid input");
    }
    assert_eq!(post(server.addresses().caller, &work_body("x")).await.status, 200);
    server.shutdown().await;
}
