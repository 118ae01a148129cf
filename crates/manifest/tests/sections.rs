//! Sections and size limits.

use damaskrack_manifest::{
    MAX_KEYS, MAX_SECTION_BYTES, MAX_TEAMS, ManifestDocument, ManifestSection, ZoneEntry,
    ZoneState, check_manifest, make_key, parse_manifest, replace_section, section_hash,
    section_json,
};

fn zone(name: &str) -> ZoneEntry {
    ZoneEntry { name: name.parse().expect("a valid name"), state: ZoneState::In }
}

#[test]
fn a_document_is_rebuilt_from_its_sections() {
    let json = include_str!("../../../examples/manifest.json");
    let document = parse_manifest(json).unwrap();
    let mut rebuilt = ManifestDocument::default();
    for section in ManifestSection::ALL {
        replace_section(&mut rebuilt, section, &section_json(&document, section)).unwrap();
    }
    assert_eq!(rebuilt, document);
    assert_eq!(check_manifest(&document), []);
}

#[test]
fn a_hash_follows_the_content() {
    assert_eq!(section_hash("[]"), section_hash("[]"));
    assert_ne!(section_hash("[]"), section_hash("[ ]"));
    assert_eq!(section_hash("").len(), 32);
}

#[test]
fn a_bad_section_changes_nothing() {
    let mut document = ManifestDocument { zones: vec![zone("a")], ..Default::default() };
    for json in ["", "{}", "[1]", r#"[{"name":"b","state":"in","name":"c"}]"#] {
        let errors = replace_section(&mut document, ManifestSection::Zones, json).unwrap_err();
        assert!(errors[0].path.starts_with("$.zones"), "{errors:?}");
    }
    assert_eq!(document.zones, [zone("a")]);

    let json = r#"[{"name":"b","state":"in","state":"out"}]"#;
    let errors = replace_section(&mut document, ManifestSection::Zones, json).unwrap_err();
    assert_eq!(errors[0].path, "$.zones[0].state");
}

#[test]
fn too_many_entries_are_refused() {
    let json = include_str!("../../../examples/manifest.json");
    let mut document = parse_manifest(json).unwrap();
    document.teams = vec![document.teams[0].clone(); MAX_TEAMS + 1];
    document.zones = (0..201).map(|index| zone(&format!("z{index}"))).collect();
    let errors: Vec<_> = check_manifest(&document).iter().map(ToString::to_string).collect();
    assert_eq!(
        errors,
        ["$.teams: 1001 entries; at most 1000", "$.zones: 201 entries; at most 200"]
    );
}

#[test]
fn a_section_too_large_for_the_store_is_refused() {
    let (name, team) = ("k".parse().unwrap(), "t".parse().unwrap());
    let key = make_key(&name, &team, "secret", &[7; 64]);
    let document = ManifestDocument { keys: vec![key; MAX_KEYS], ..Default::default() };
    let errors = check_manifest(&document);
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].path, "$.keys");
    assert!(errors[0].problem.ends_with(&format!("must be below {MAX_SECTION_BYTES}")));
}
