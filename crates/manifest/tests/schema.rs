//! The committed JSON Schema matches the types.

use {damaskrack_manifest::manifest_schema, std::fs};

const SCHEMA_PATH: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/schema/manifest.schema.json");

#[test]
fn committed_schema_is_current() {
    if std::env::var_os("DAMASKRACK_WRITE_SCHEMA").is_some() {
        fs::write(SCHEMA_PATH, manifest_schema()).expect("the schema can be written");
    }
    let committed = fs::read_to_string(SCHEMA_PATH).expect("the schema is committed");
    assert!(
        committed == manifest_schema(),
        "docs/schema/manifest.schema.json is out of date; run this test once with \
         DAMASKRACK_WRITE_SCHEMA=1"
    );
}
