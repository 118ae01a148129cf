//! Differences between manifests.

use damaskrack_manifest::{diff_manifests, parse_manifest};

const OLD: &str = r#"{
    "teams": [
        {"name": "harbour", "share": 3, "limit": {"tasks": 5, "resources": {"millicores": 1}}},
        {"name": "boilers", "share": 1, "limit": {"tasks": 5, "resources": {}}}
    ],
    "keys": [{"name": "office", "team": "harbour", "salt": "00", "hash": "aa"}]
}"#;

const NEW: &str = r#"{
    "teams": [
        {"name": "estate", "share": 1, "limit": {"tasks": 5, "resources": {}}},
        {"name": "harbour", "share": 4, "limit": {"tasks": 6, "resources": {"millicores": 1}}}
    ],
    "keys": [{"name": "office", "team": "harbour", "salt": "00", "hash": "bb", "not_after_unix_ms": 9}]
}"#;

#[test]
fn changes_name_entries_and_fields_but_no_hash() {
    let (old, new) = (parse_manifest(OLD).unwrap(), parse_manifest(NEW).unwrap());
    let lines: Vec<_> = diff_manifests(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "- teams boilers",
            "+ teams estate",
            "~ teams harbour: limit.tasks 5 -> 6, share 3 -> 4",
            "~ keys office: hash (hidden) -> (hidden), not_after_unix_ms none -> 9",
        ]
    );
}

#[test]
fn equal_manifests_have_no_changes() {
    let manifest = parse_manifest(OLD).unwrap();
    assert_eq!(diff_manifests(&manifest, &manifest), []);
}
