//! From text to a manifest.

use {
    crate::{
        ManifestDocument, ManifestError,
        section::{parse_entries, parse_json},
        shape,
    },
    serde_json::Value,
};

/// Reads a manifest and names the path of every fault of form.
///
/// The rules between entries are left to [`check_manifest`](crate::check_manifest).
///
/// # Errors
///
/// Returns the faults: text that is not JSON, unknown, missing or repeated fields, wrong types.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::parse_manifest;
///
/// let manifest = parse_manifest(r#"{"zones": [{"name": "zadar-1", "state": "in"}]}"#).unwrap();
/// assert_eq!(manifest.zones.len(), 1);
///
/// let faults = parse_manifest(r#"{"zones": [{"name": "zadar-1", "state": 1}]}"#).unwrap_err();
/// assert_eq!(faults[0].path, "$.zones[0].state");
/// ```
pub fn parse_manifest(json: &str) -> Result<ManifestDocument, Vec<ManifestError>> {
    let value: Value = parse_json("$", json)?;
    let faults = shape::document_faults(&value);
    if !faults.is_empty() {
        return Err(faults);
    }
    parse_entries("$", json)
}
