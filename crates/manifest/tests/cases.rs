//! Runs each file under `tests/cases`: a manifest and the faults that must be found in it.

use {
    damaskrack_manifest::{ManifestError, check_manifest, parse_manifest},
    serde::Deserialize,
    serde_json::Value,
    std::{fs, path::Path},
};

/// A case: `manifest` is the document itself, or a string that holds its text.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultCase {
    manifest: Value,
    faults: Vec<String>,
}

fn found_faults(manifest: &Value) -> Vec<ManifestError> {
    let text = match manifest {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    match parse_manifest(&text) {
        Ok(document) => check_manifest(&document),
        Err(faults) => faults,
    }
}

fn run_case(path: &Path) -> datatest_stable::Result<()> {
    let case: FaultCase = serde_json::from_str(&fs::read_to_string(path)?)?;
    let found: Vec<_> = found_faults(&case.manifest).iter().map(ToString::to_string).collect();
    if found == case.faults {
        return Ok(());
    }
    Err(format!("expected {:#?}\nfound {found:#?}", case.faults).into())
}

datatest_stable::harness! {
    { test = run_case, root = "tests/cases", pattern = r"\.json$" },
}
