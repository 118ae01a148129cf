//! Parsing of manifests.

use {
    crate::{
        ManifestDocument, ManifestError,
        section::{parse_entries, parse_json},
        shape,
    },
    serde_json::Value,
};

/// Parses a manifest and reports the path of every structural error.
///
/// Rules between entries are checked by [`check_manifest`](crate::check_manifest).
///
/// # Errors
///
/// Returns all errors: invalid JSON, unknown, missing or repeated fields, wrong types.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::parse_manifest;
///
/// let manifest = parse_manifest(r#"{"zones": [{"name": "zadar-1", "state": "in"}]}"#).unwrap();
/// assert_eq!(manifest.zones.len(), 1);
///
/// let errors = parse_manifest(r#"{"zones": [{"name": "zadar-1", "state": 1}]}"#).unwrap_err();
/// assert_eq!(errors[0].path, "$.zones[0].state");
/// ```
pub fn parse_manifest(json: &str) -> Result<ManifestDocument, Vec<ManifestError>> {
    let value: Value = parse_json("$", json)?;
    let errors = shape::document_errors(&value);
    if !errors.is_empty() {
        return Err(errors);
    }
    parse_entries("$", json)
}
