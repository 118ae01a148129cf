//! Runs each file under `tests/cases`, which holds a manifest and its expected errors.

use {
    damaskrack_manifest::{ManifestError, check_manifest, parse_manifest},
    serde::Deserialize,
    serde_json::Value,
    std::{fs, path::Path},
};

/// A test case; `manifest` is the document, or a string that holds its text.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ErrorCase {
    manifest: Value,
    #[serde(rename = "faults")]
    errors: Vec<String>,
}

fn find_errors(manifest: &Value) -> Vec<ManifestError> {
    let text = match manifest {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    match parse_manifest(&text) {
        Ok(document) => check_manifest(&document),
        Err(errors) => errors,
    }
}

fn run_case(path: &Path) -> datatest_stable::Result<()> {
    let case: ErrorCase = serde_json::from_str(&fs::read_to_string(path)?)?;
    let actual: Vec<_> = find_errors(&case.manifest).iter().map(ToString::to_string).collect();
    if actual == case.errors {
        return Ok(());
    }
    Err(format!("expected {:#?}\nfound {actual:#?}", case.errors).into())
}

datatest_stable::harness! {
    { test = run_case, root = "tests/cases", pattern = r"\.json$" },
}
