//! Commands for operators: manifests, keys and state dumps.

use {
    crate::support::{FakeDaemon, run_against, run_tool},
    damaskrack_manifest::{KeyCheckOutcome, KeyEntry, check_key, parse_manifest},
    serde_json::{Value, json},
    std::io::Write,
    tempfile::NamedTempFile,
};

const EXAMPLE_MANIFEST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/manifest.json");

fn manifest_in_force() -> String {
    let zones = json!([{"name": "zone-a", "state": "out"}]);
    json!({"version": 4, "manifest": {"zones": zones}}).to_string()
}

fn put_response(version: u64, outcome: &str, reason: &str) -> String {
    json!({
        "version": version, "outcome": outcome, "reason": reason, "detail": "because",
        "job": null, "status": null,
    })
    .to_string()
}

fn daemon_responding_to_put(http_status: u16, body: String) -> FakeDaemon {
    FakeDaemon::start(move |request, _| match request.request_line.as_str() {
        "GET /v1/manifest" => Some((200, manifest_in_force())),
        _ => Some((http_status, body.clone())),
    })
}

fn file_with(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("a written file");
    file
}

#[test]
fn the_example_is_valid() {
    let run = run_tool(&["manifest", "check", EXAMPLE_MANIFEST], &[]);
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.stdout.starts_with("valid\n"), "{run:?}");
}

#[test]
fn faults_are_listed_by_path() {
    let file = file_with(r#"{"keys": [{"name": "k"}], "zones": [{"name": "a", "state": 3}]}"#);
    let path = file.path().to_str().unwrap();
    let run = run_tool(&["manifest", "check", path], &[]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stdout.contains("$.keys[0].team: missing field\n"), "{run:?}");

    let run = run_tool(&["manifest", "check", path, "--output", "json"], &[]);
    let report: Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(report["valid"], false);
    assert_eq!(report["faults"][3]["path"], "$.zones[0].state");
}

#[test]
fn an_invalid_manifest_is_never_sent() {
    let daemon = daemon_responding_to_put(200, put_response(5, "done", "ok"));
    let file = file_with(r#"{"queues": [{"name": "q", "team": "nobody"}]}"#);
    let run = run_against(&daemon, &["manifest", "apply", file.path().to_str().unwrap()]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stderr.contains("$.queues[0].team"), "{run:?}");
    assert_eq!(daemon.received().len(), 0);
}

#[test]
fn applying_starts_from_the_version_in_force_and_lists_changes() {
    let daemon = daemon_responding_to_put(200, put_response(5, "done", "ok"));
    let run = run_against(&daemon, &["manifest", "apply", EXAMPLE_MANIFEST]);
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.stdout.contains("version 5: accepted"), "{run:?}");
    assert!(run.stdout.contains("~ zones zone-a: state \"out\" -> \"in\""), "{run:?}");
    let body: Value = serde_json::from_str(&daemon.received()[1].body).unwrap();
    assert_eq!(daemon.received()[1].request_line, "PUT /v1/manifest");
    assert_eq!(body["base"], 4);
    assert_eq!(body["manifest"]["zones"][2]["name"], "zone-c");
}

#[test]
fn a_spreading_change_is_reported_as_such() {
    let daemon = daemon_responding_to_put(202, put_response(5, "done", "spreading"));
    let run = run_against(&daemon, &["manifest", "apply", EXAMPLE_MANIFEST]);
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.stdout.contains("version 5: written, spreading"), "{run:?}");
}

#[test]
fn a_conflict_is_refused_with_the_current_version() {
    let daemon = daemon_responding_to_put(409, put_response(6, "not_run", "conflict"));
    let run = run_against(&daemon, &["manifest", "apply", EXAMPLE_MANIFEST, "--base", "3"]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stderr.contains("version 6") && run.stderr.contains("--diff"), "{run:?}");
    assert!(daemon.received()[1].body.starts_with(r#"{"base":3,"#));
}

#[test]
fn a_dry_run_changes_nothing() {
    let daemon = daemon_responding_to_put(200, put_response(5, "done", "ok"));
    let run = run_against(&daemon, &["manifest", "apply", EXAMPLE_MANIFEST, "--dry-run"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.stdout.contains("against version 4"), "{run:?}");
    assert_eq!(daemon.request_lines(), ["GET /v1/manifest"]);
}

#[test]
fn the_manifest_in_force_is_shown_and_compared() {
    let daemon = daemon_responding_to_put(500, String::new());
    let run = run_against(&daemon, &["manifest", "show"]);
    let shown: Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(shown["zones"][0]["state"], "out");

    let run =
        run_against(&daemon, &["manifest", "show", "--diff", EXAMPLE_MANIFEST, "--output", "json"]);
    let report: Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(report["version"], 4);
    assert_eq!(report["changes"][0]["section"], "teams");
}

#[test]
fn an_operator_key_takes_precedence_over_the_other_key() {
    let daemon = daemon_responding_to_put(500, String::new());
    run_against(&daemon, &["manifest", "show", "--operator-key", "op.s3cret"]);
    run_against(&daemon, &["manifest", "show"]);
    let presented: Vec<_> =
        daemon.received().into_iter().map(|request| request.authorization).collect();
    assert_eq!(presented[0].as_deref(), Some("Bearer op.s3cret"));
    assert_eq!(presented[1].as_deref(), Some("Bearer office.s3cret"));
}

#[test]
fn a_refused_operator_key_is_reported_with_a_hint() {
    let refusal = json!({
        "outcome": "not_run", "reason": "key_refused", "detail": "no operator key",
        "job": null, "status": null,
    });
    let daemon = FakeDaemon::responding_with(401, &refusal.to_string());
    let run = run_against(&daemon, &["state"]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stderr.contains("DAMASKRACK_OPERATOR_KEY"), "{run:?}");
}

#[test]
fn status_shows_every_daemon() {
    let ready = FakeDaemon::responding_with(200, &manifest_in_force());
    let leaving = FakeDaemon::start(|request, _| match request.request_line.as_str() {
        "GET /readyz" => Some((503, "leaving".to_owned())),
        _ => Some((200, manifest_in_force())),
    });
    let addresses = format!("{},{}", ready.address, leaving.address);
    let args = ["manifest", "status", "--output", "json", "--operator-address", &addresses];
    let run = run_tool(&args, &[]);
    assert_eq!(run.code, Some(0), "{run:?}");
    let rows: Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!((&rows[0]["version"], &rows[0]["ready"]), (&json!(4), &json!(true)));
    assert_eq!((&rows[1]["version"], &rows[1]["ready"]), (&json!(4), &json!(false)));
}

#[test]
fn a_dump_is_printed_whole_or_summarized() {
    let daemon =
        FakeDaemon::responding_with(200, r#"{"member": "entry-1", "node": {"jobs": [1, 2]}}"#);
    let run = run_against(&daemon, &["state", "--output", "json"]);
    assert_eq!(serde_json::from_str::<Value>(&run.stdout).unwrap()["node"]["jobs"], json!([1, 2]));
    let run = run_against(&daemon, &["state"]);
    assert!(run.stdout.contains("node.jobs  2 rows\n"), "{run:?}");
}

#[test]
fn a_new_key_matches_its_entry_and_no_other() {
    let args = ["key", "new", "office", "--team", "harbour", "--output", "json"];
    let keys: Vec<Value> =
        (0..2).map(|_| serde_json::from_str(&run_tool(&args, &[]).stdout).expect("JSON")).collect();
    let entry: KeyEntry = serde_json::from_value(keys[0]["entry"].clone()).unwrap();
    let verdict = check_key(std::slice::from_ref(&entry), keys[0]["key"].as_str().unwrap(), 0);
    assert!(matches!(verdict, KeyCheckOutcome::Valid { .. }));
    let other = check_key(&[entry], keys[1]["key"].as_str().unwrap(), 0);
    assert_eq!(other, KeyCheckOutcome::Refused);
    assert_ne!(keys[0]["entry"]["salt"], keys[1]["entry"]["salt"]);
}

#[test]
fn an_operator_key_has_an_entry_for_settings() {
    let args = ["key", "new", "oncall", "--operator", "--output", "json"];
    let key: Value = serde_json::from_str(&run_tool(&args, &[]).stdout).unwrap();
    let fields: Vec<_> = key["entry"].as_object().unwrap().keys().collect();
    assert_eq!(fields, ["hash", "name", "salt"]);
}

#[test]
fn the_documented_demo_keys_are_those_of_the_example() {
    let readme = include_str!("../../../../examples/README.md");
    let manifest = parse_manifest(include_str!("../../../../examples/manifest.json")).unwrap();
    for entry in &manifest.keys {
        let start = format!("| `{}.", entry.name);
        let line = readme.lines().find(|line| line.starts_with(&start)).expect("a documented key");
        let presented = line.split('`').nth(1).unwrap();
        let now_unix_ms = entry.not_before_unix_ms.unwrap_or(0);
        let verdict = check_key(&manifest.keys, presented, now_unix_ms);
        assert!(matches!(verdict, KeyCheckOutcome::Valid { .. }), "{presented}");
        assert!(line.contains(&format!("`{}`", entry.team)), "{line}");
    }
}
