//! Checks of keys: secrets, validity periods, withdrawal and names with dots.

use {
    damaskrack_manifest::{KeyCheckOutcome, KeyEntry, KeyIndex, check_key, is_key_valid, make_key},
    damaskrack_model::{KeyName, TeamName},
};

const SALT: [u8; 16] = [9; 16];

fn entry(name: &str, secret: &str) -> KeyEntry {
    make_key(
        &KeyName::new(name).expect("a valid name"),
        &TeamName::new("harbour").expect("a valid name"),
        secret,
        &SALT,
    )
}

/// Checks a key by list and by index and asserts that both give the same outcome.
fn check(entries: &[KeyEntry], presented: &str, now_unix_ms: u64) -> KeyCheckOutcome {
    let outcome = check_key(entries, presented, now_unix_ms);
    assert_eq!(outcome, KeyIndex::new(entries).check_key(presented, now_unix_ms));
    outcome
}

fn is_valid(entries: &[KeyEntry], name: &str, team: &str, now_unix_ms: u64) -> bool {
    let (key, team) =
        (KeyName::new(name).expect("a valid name"), TeamName::new(team).expect("a valid name"));
    let valid = is_key_valid(entries, &key, &team, now_unix_ms);
    assert_eq!(valid, KeyIndex::new(entries).is_key_valid(&key, &team, now_unix_ms));
    valid
}

#[test]
fn only_the_right_secret_of_a_known_name_is_valid() {
    let entries = [entry("office", "s3cret"), entry("quay", "other")];
    let valid =
        KeyCheckOutcome::Valid { key: "office".parse().unwrap(), team: "harbour".parse().unwrap() };
    assert_eq!(check(&entries, "office.s3cret", 0), valid);
    for presented in [
        "office.other",
        "office.",
        "office",
        ".s3cret",
        "",
        ".",
        "nobody.s3cret",
        "a b.s3cret",
        "office.s3cret ",
    ] {
        assert_eq!(check(&entries, presented, 0), KeyCheckOutcome::Refused, "{presented:?}");
    }
}

#[test]
fn a_name_may_contain_dots() {
    let entries = [entry("office.zadar", "s3cret")];
    assert!(matches!(check(&entries, "office.zadar.s3cret", 0), KeyCheckOutcome::Valid { .. }));
}

#[test]
fn validity_includes_its_start_and_excludes_its_end() {
    let mut entry = entry("office", "s3cret");
    (entry.not_before_unix_ms, entry.not_after_unix_ms) = (Some(10), Some(20));
    let entries = [entry];
    for (now_unix_ms, expected) in [(9, false), (10, true), (19, true), (20, false)] {
        let outcome = check(&entries, "office.s3cret", now_unix_ms);
        assert_eq!(matches!(outcome, KeyCheckOutcome::Valid { .. }), expected);
        assert_eq!(is_valid(&entries, "office", "harbour", now_unix_ms), expected);
    }
}

#[test]
fn a_key_is_good_for_its_own_team_and_until_it_is_withdrawn() {
    let entries = [entry("office", "s3cret")];
    assert!(is_valid(&entries, "office", "harbour", 0));
    assert!(!is_valid(&entries, "office", "estate", 0));
    assert!(!is_valid(&[], "office", "harbour", 0));
}

#[test]
fn a_malformed_entry_fits_no_secret() {
    let mut entry = entry("office", "s3cret");
    entry.hash = String::new();
    assert_eq!(check(&[entry], "office.s3cret", 0), KeyCheckOutcome::Refused);
}

#[test]
fn an_unknown_name_with_an_all_zero_hash_is_refused() {
    assert_eq!(check(&[], "nobody.", 0), KeyCheckOutcome::Refused);
}

#[test]
fn debug_shows_no_hash() {
    let entries = [entry("office", "s3cret")];
    assert_eq!(format!("{:?}", KeyIndex::new(&entries)), "KeyIndex { keys: 1 }");
}
