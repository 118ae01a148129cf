//! Properties of parsing: it round-trips and never panics.

use {
    damaskrack_manifest::{
        KeyEntry, ManifestDocument, QueueEntry, TeamEntry, TeamLimit, ZoneEntry, ZoneState,
        check_manifest, diff_manifests, parse_manifest,
    },
    damaskrack_model::{PriorityClass, Resources},
    quickcheck::{Arbitrary, Gen, quickcheck},
    serde_json::{Value, json},
    std::str::FromStr,
};

/// A document with names from a small set, so that duplicates and valid references both occur.
#[derive(Debug, Clone)]
struct AnyManifest(ManifestDocument);

fn any_name<N: FromStr<Err: std::fmt::Debug>>(g: &mut Gen) -> N {
    g.choose(&["a", "harbour", "zadar-1", "x.y:z_0"])
        .expect("not empty")
        .parse()
        .expect("a valid name")
}

fn any_list<E>(g: &mut Gen, any_item: impl Fn(&mut Gen) -> E) -> Vec<E> {
    (0..u8::arbitrary(g) % 4).map(|_| any_item(g)).collect()
}

fn any_team(g: &mut Gen) -> TeamEntry {
    let resources = Resources {
        millicores: u64::arbitrary(g),
        memory_bytes: u64::arbitrary(g),
        accelerators: u64::arbitrary(g),
    };
    let limit = TeamLimit { tasks: u32::arbitrary(g), resources };
    TeamEntry { name: any_name(g), share: u32::arbitrary(g), limit }
}

fn any_key(g: &mut Gen) -> KeyEntry {
    KeyEntry {
        name: any_name(g),
        team: any_name(g),
        salt: String::arbitrary(g),
        hash: String::arbitrary(g),
        not_before_unix_ms: Option::arbitrary(g),
        not_after_unix_ms: Option::arbitrary(g),
    }
}

fn any_zone(g: &mut Gen) -> ZoneEntry {
    ZoneEntry {
        name: any_name(g),
        state: *g.choose(&[ZoneState::In, ZoneState::Out]).expect("not empty"),
    }
}

fn any_queue(g: &mut Gen) -> QueueEntry {
    let classes = [PriorityClass::Low, PriorityClass::Normal, PriorityClass::Urgent];
    QueueEntry {
        name: any_name(g),
        team: any_name(g),
        open: bool::arbitrary(g),
        highest_priority: *g.choose(&classes).expect("not empty"),
    }
}

impl Arbitrary for AnyManifest {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(ManifestDocument {
            teams: any_list(g, any_team),
            keys: any_list(g, any_key),
            zones: any_list(g, any_zone),
            queues: any_list(g, any_queue),
        })
    }
}

/// JSON of arbitrary structure with field names and values that occur in manifests.
#[derive(Debug, Clone)]
struct AnyJson(Value);

const FIELD_NAMES: [&str; 10] =
    ["teams", "keys", "zones", "queues", "name", "team", "limit", "share", "state", "no such"];

fn any_json(g: &mut Gen, depth: u8) -> Value {
    match u8::arbitrary(g) % if depth == 0 { 5 } else { 9 } {
        0 => Value::Null,
        1 => json!(bool::arbitrary(g)),
        2 => json!(i64::arbitrary(g)),
        3 => json!(String::arbitrary(g)),
        4 => json!(g.choose(&["in", "harbour", "urgent"]).expect("not empty")),
        5 | 6 => any_list(g, |g| any_json(g, depth - 1)).into(),
        _ => any_list(g, |g| {
            ((*g.choose(&FIELD_NAMES).expect("not empty")).to_owned(), any_json(g, depth - 1))
        })
        .into_iter()
        .collect(),
    }
}

impl Arbitrary for AnyJson {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(any_json(g, 4))
    }
}

quickcheck! {
    fn parsing_gives_back_what_was_serialized(manifest: AnyManifest) -> bool {
        let json = serde_json::to_string(&manifest.0).unwrap();
        parse_manifest(&json).as_ref() == Ok(&manifest.0)
    }

    fn checking_and_comparing_never_panic(old: AnyManifest, new: AnyManifest) -> bool {
        let _ = check_manifest(&old.0);
        diff_manifests(&old.0, &new.0).is_empty() || old.0 != new.0
    }

    fn any_json_is_parsed_or_refused_with_paths(json: AnyJson) -> bool {
        match parse_manifest(&json.0.to_string()) {
            Ok(document) => parse_manifest(&serde_json::to_string(&document).unwrap()) == Ok(document),
            Err(errors) => !errors.is_empty() && errors.iter().all(|f| f.path.starts_with('$')),
        }
    }

    fn any_other_text_is_refused(text: String) -> bool {
        parse_manifest(&format!("{text}!")).is_err()
    }

    fn a_cut_manifest_is_refused(manifest: AnyManifest, cut: usize) -> bool {
        let json = serde_json::to_string(&manifest.0).unwrap();
        let cut = cut % json.len();
        !json.is_char_boundary(cut) || parse_manifest(&json[..cut]).is_err()
    }
}
