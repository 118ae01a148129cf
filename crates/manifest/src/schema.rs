//! The manifest's JSON Schema, for editors and pipelines.

use {crate::ManifestDocument, schemars::schema_for};

/// Returns the JSON Schema of the manifest, pretty-printed.
///
/// # Examples
///
/// ```
/// assert!(damaskrack_manifest::manifest_schema().contains("ManifestDocument"));
/// ```
#[must_use]
pub fn manifest_schema() -> String {
    let schema = schema_for!(ManifestDocument);
    serde_json::to_string_pretty(&schema).expect("a schema is plain JSON") + "\n"
}
