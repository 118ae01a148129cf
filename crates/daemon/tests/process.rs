//! The `damaskrackd` program: its command line, signals and metrics.

#![allow(clippy::unwrap_used)]

mod support;

use {
    nix::sys::signal::Signal,
    serde_json::{Value, json},
    std::{
        fs,
        io::{Read, Write},
        net::{TcpStream, UdpSocket},
        path::Path,
        process::{Command, Output},
        time::Duration,
    },
    support::program::DaemonProgram,
    tempfile::TempDir,
};

fn settings(statsd: &str) -> Value {
    json!({
        "member": "entry-1",
        "availability_zone": "zone-a",
        "caller_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "store_address": "127.0.0.1:9",
        "hosts_address": "127.0.0.1:9",
        "metrics": { "statsd_address": statsd, "prefix": "cell" },
        "intervals": { "shutdown_ms": 100 },
    })
}

fn write_settings(directory: &TempDir, settings: &Value) -> std::path::PathBuf {
    let path = directory.path().join("settings.json");
    fs::write(&path, settings.to_string()).unwrap();
    path
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_damaskrackd")).args(arguments).output().unwrap()
}

fn check(path: &Path) -> Output {
    run(&["--settings", path.to_str().unwrap(), "--check"])
}

#[test]
fn settings_are_checked_without_a_start() {
    let directory = TempDir::new().unwrap();
    let path = write_settings(&directory, &settings("127.0.0.1:9"));
    assert_eq!(check(&path).status.code(), Some(0));
    let mut bad = settings("127.0.0.1:9");
    bad["intervals"]["heartbeat_ms"] = json!("soon");
    bad["member"] = json!("");
    let output = check(&write_settings(&directory, &bad));
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("$.intervals.heartbeat_ms: expected a whole number"), "{text}");
    assert!(text.contains("$.member: a name must not be empty"), "{text}");
    assert_eq!(check(&directory.path().join("absent.json")).status.code(), Some(2));
}

#[test]
fn the_schema_is_printed() {
    let output = run(&["--print-schema"]);
    let schema: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(schema["title"], "SettingsDocument");
    assert_eq!(schema["additionalProperties"], false);
}

#[test]
fn signals_dump_and_shut_down() {
    let directory = TempDir::new().unwrap();
    let metrics = UdpSocket::bind("127.0.0.1:0").unwrap();
    metrics.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let statsd = metrics.local_addr().unwrap().to_string();
    let daemon = DaemonProgram::start(&write_settings(&directory, &settings(&statsd)));
    let started = daemon.wait_for("daemon_started");
    let operator = started["operator_address"].as_str().unwrap();
    let mut socket = TcpStream::connect(operator).unwrap();
    socket.write_all(b"GET /healthz HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    socket.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    daemon.signal(Signal::SIGUSR1);
    let dump = daemon.wait_for("state_dump");
    let state: Value = serde_json::from_str(dump["state"].as_str().unwrap()).unwrap();
    assert!(state["daemon"]["links"]["outgoing"].is_array());
    let mut datagram = [0; 2_048];
    let length = metrics.recv(&mut datagram).unwrap();
    let text = String::from_utf8_lossy(&datagram[..length]).into_owned();
    assert!(text.contains("cell.caller.in_flight:0|g"), "{text}");
    daemon.signal(Signal::SIGTERM);
    daemon.wait_for("daemon_stopped");
    assert_eq!(daemon.wait(), Some(0));
}

#[test]
fn a_taken_address_is_named() {
    let directory = TempDir::new().unwrap();
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let mut settings = settings("127.0.0.1:9");
    settings["caller_address"] = json!(address);
    let path = write_settings(&directory, &settings);
    let output = run(&["--settings", path.to_str().unwrap()]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains(&format!("cannot listen for callers on {address}")), "{text}");
}
