//! The rules between and beyond the entries of a manifest.

use {
    crate::{
        KeyEntry, ManifestDocument, ManifestError, ManifestSection, TeamEntry,
        secret::{MAX_SALT_BYTES, MIN_SALT_BYTES, SECRET_HASH_BYTES},
        section_json,
    },
    damaskrack_model::TeamName,
    std::{
        collections::{HashMap, HashSet},
        fmt::Display,
        hash::Hash,
    },
};

/// Most teams in a manifest.
pub const MAX_TEAMS: usize = 1_000;

/// Most keys in a manifest.
pub const MAX_KEYS: usize = 10_000;

/// Most availability zones in a manifest.
pub const MAX_ZONES: usize = 200;

/// Most queues in a manifest.
pub const MAX_QUEUES: usize = 2_000;

/// Every section is smaller than this when serialized, in bytes; a store value holds no more.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// Checks the rules that a well-formed manifest can still break.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{check_manifest, parse_manifest};
///
/// let manifest = parse_manifest(r#"{"queues": [{"name": "checks", "team": "harbour"}]}"#);
/// let faults = check_manifest(&manifest.unwrap());
/// assert_eq!(faults[0].to_string(), "$.queues[0].team: no team has the name \"harbour\"");
/// ```
#[must_use]
pub fn check_manifest(document: &ManifestDocument) -> Vec<ManifestError> {
    let mut faults = size_faults(document);
    if faults.is_empty() {
        push_repeated_names(document, &mut faults);
        push_missing_teams(document, &mut faults);
        push_team_faults(&document.teams, &mut faults);
        push_key_faults(&document.keys, &mut faults);
    }
    faults
}

fn size_faults(document: &ManifestDocument) -> Vec<ManifestError> {
    let mut faults = Vec::new();
    for section in ManifestSection::ALL {
        let path = format!("$.{}", section.name());
        let (count, max) = entry_count(document, section);
        if count > max {
            faults.push(ManifestError::new(path, format!("{count} entries; at most {max}")));
            continue;
        }
        let bytes = section_json(document, section).len();
        if bytes >= MAX_SECTION_BYTES {
            let problem = format!("{bytes} bytes; must be below {MAX_SECTION_BYTES}");
            faults.push(ManifestError::new(path, problem));
        }
    }
    faults
}

fn entry_count(document: &ManifestDocument, section: ManifestSection) -> (usize, usize) {
    match section {
        ManifestSection::Teams => (document.teams.len(), MAX_TEAMS),
        ManifestSection::Keys => (document.keys.len(), MAX_KEYS),
        ManifestSection::Zones => (document.zones.len(), MAX_ZONES),
        ManifestSection::Queues => (document.queues.len(), MAX_QUEUES),
    }
}

fn push_repeated_names(document: &ManifestDocument, faults: &mut Vec<ManifestError>) {
    push_repeats("teams", document.teams.iter().map(|team| &team.name), faults);
    push_repeats("keys", document.keys.iter().map(|key| &key.name), faults);
    push_repeats("zones", document.zones.iter().map(|zone| &zone.name), faults);
    push_repeats("queues", document.queues.iter().map(|queue| &queue.name), faults);
}

fn push_repeats<N: Display + Eq + Hash>(
    section: &str,
    names: impl Iterator<Item = N>,
    faults: &mut Vec<ManifestError>,
) {
    let mut seen = HashMap::new();
    for (index, name) in names.enumerate() {
        if let Some(first) = seen.get(&name) {
            let problem = format!("\"{name}\" is already the name of $.{section}[{first}]");
            faults.push(ManifestError::new(format!("$.{section}[{index}].name"), problem));
        } else {
            seen.insert(name, index);
        }
    }
}

fn push_missing_teams(document: &ManifestDocument, faults: &mut Vec<ManifestError>) {
    let known: HashSet<&TeamName> = document.teams.iter().map(|team| &team.name).collect();
    let key_teams = document.keys.iter().map(|key| &key.team).enumerate();
    let queue_teams = document.queues.iter().map(|queue| &queue.team).enumerate();
    let references = key_teams
        .map(|(index, team)| ("keys", index, team))
        .chain(queue_teams.map(|(index, team)| ("queues", index, team)));
    for (section, index, team) in references {
        if !known.contains(team) {
            let problem = format!("no team has the name \"{team}\"");
            faults.push(ManifestError::new(format!("$.{section}[{index}].team"), problem));
        }
    }
}

fn push_team_faults(teams: &[TeamEntry], faults: &mut Vec<ManifestError>) {
    for (index, team) in teams.iter().enumerate() {
        let resources = team.limit.resources;
        let rules = [
            ("share", team.share > 0, "must be at least 1"),
            ("limit.tasks", team.limit.tasks > 0, "must be at least 1"),
            ("limit.resources.millicores", resources.millicores > 0, "must be above 0"),
            ("limit.resources.memory_bytes", resources.memory_bytes > 0, "must be above 0"),
        ];
        for (field, holds, problem) in rules {
            if !holds {
                faults.push(ManifestError::new(format!("$.teams[{index}].{field}"), problem));
            }
        }
    }
}

fn push_key_faults(keys: &[KeyEntry], faults: &mut Vec<ManifestError>) {
    for (index, key) in keys.iter().enumerate() {
        let salt = hex_problem(&key.salt, MIN_SALT_BYTES, MAX_SALT_BYTES);
        let hash = hex_problem(&key.hash, SECRET_HASH_BYTES, SECRET_HASH_BYTES);
        let problems = [("salt", salt), ("hash", hash), ("not_after_unix_ms", span_problem(key))];
        for (field, problem) in problems {
            let path = || format!("$.keys[{index}].{field}");
            faults.extend(problem.map(|problem| ManifestError::new(path(), problem)));
        }
    }
}

fn hex_problem(text: &str, min_bytes: usize, max_bytes: usize) -> Option<String> {
    let Ok(bytes) = hex::decode(text) else {
        return Some("must be hexadecimal digits, two a byte".to_owned());
    };
    if (min_bytes..=max_bytes).contains(&bytes.len()) {
        return None;
    }
    let wanted = if min_bytes == max_bytes {
        format!("{min_bytes}")
    } else {
        format!("{min_bytes} to {max_bytes}")
    };
    Some(format!("{} bytes; must be {wanted}", bytes.len()))
}

fn span_problem(key: &KeyEntry) -> Option<String> {
    match (key.not_before_unix_ms, key.not_after_unix_ms) {
        (Some(start), Some(end)) if start >= end => {
            Some("must be later than not_before_unix_ms".to_owned())
        }
        _ => None,
    }
}
