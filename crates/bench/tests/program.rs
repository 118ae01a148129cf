//! Tests of the reports that the program writes.

#![allow(clippy::unwrap_used)]

use {
    serde_json::Value,
    std::{fs, path::Path, process::Command},
};

/// Runs the program and returns the result of its report without the wall-clock times.
fn report(out: &str, name: &str, arguments: &[&str]) -> Value {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(out);
    let output = Command::new(env!("CARGO_BIN_EXE_damaskrack-bench"))
        .args(arguments)
        .arg("--out")
        .arg(&out)
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = fs::read_to_string(out.join(format!("{name}.json"))).unwrap();
    let mut report: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(report["head"]["seed"], 3);
    let mut result = report["result"].take();
    if let Some(policies) = result["policies"].as_array_mut() {
        policies.iter_mut().for_each(|row| row["control"]["wall_s"] = Value::Null);
    }
    result
}

#[test]
fn a_mix_and_a_seed_give_the_same_figures() {
    let arguments = ["policy", "--mix", "hanafy", "--run-s", "30", "--seed", "3", "--short"];
    let first = report("policy-1", "policy-hanafy", &arguments);
    assert_eq!(first["policies"].as_array().unwrap().len(), 7);
    assert_eq!(first["policies"][0]["policy"], "damaskrack");
    assert!(first["policies"][0]["done_tasks"].as_u64().unwrap() > 0);
    assert_eq!(first["policies"][0]["control"]["violations"], 0);
    let second = report("policy-2", "policy-hanafy", &arguments);
    assert!(first == second, "two runs of one seed differ");
}

#[test]
fn every_offered_request_is_decided() {
    let size = ["--workers", "50", "--teams", "6", "--rates", "1000", "--run-ms", "1000"];
    let arguments = [["decide", "--seed", "3"].as_slice(), &size].concat();
    let report = report("decide-1", "decide", &arguments);
    let ticks = report["ticks"].as_array().unwrap();
    let loaded = ticks.iter().filter(|row| row["offered_per_s"] == 1_000);
    let decisions: Vec<u64> = loaded.map(|row| row["decisions"].as_u64().unwrap()).collect();
    assert_eq!(decisions.len(), 2);
    assert!(decisions.iter().all(|count| (990..=1_010).contains(count)), "{decisions:?}");
}
