//! Semantic checks: limits, unique names, references between sections and value ranges.

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

/// Maximum number of teams in a manifest.
pub const MAX_TEAMS: usize = 1_000;

/// Maximum number of keys in a manifest.
pub const MAX_KEYS: usize = 10_000;

/// Maximum number of availability zones in a manifest.
pub const MAX_ZONES: usize = 200;

/// Maximum number of queues in a manifest.
pub const MAX_QUEUES: usize = 2_000;

/// Exclusive upper limit of a serialized section, in bytes; a store value holds no more.
pub const MAX_SECTION_BYTES: usize = 1_000_000;

/// Checks the rules that a structurally valid manifest can still violate.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{check_manifest, parse_manifest};
///
/// let manifest = parse_manifest(r#"{"queues": [{"name": "checks", "team": "harbour"}]}"#);
/// let errors = check_manifest(&manifest.unwrap());
/// assert_eq!(errors[0].to_string(), "$.queues[0].team: no team has the name \"harbour\"");
/// ```
#[must_use]
pub fn check_manifest(document: &ManifestDocument) -> Vec<ManifestError> {
    let mut errors = size_errors(document);
    if errors.is_empty() {
        push_duplicate_names(document, &mut errors);
        push_missing_teams(document, &mut errors);
        push_team_errors(&document.teams, &mut errors);
        push_key_errors(&document.keys, &mut errors);
    }
    errors
}

fn size_errors(document: &ManifestDocument) -> Vec<ManifestError> {
    let mut errors = Vec::new();
    for section in ManifestSection::ALL {
        let path = format!("$.{}", section.name());
        let (count, max) = entry_count(document, section);
        if count > max {
            errors.push(ManifestError::new(path, format!("{count} entries; at most {max}")));
            continue;
        }
        let bytes = section_json(document, section).len();
        if bytes >= MAX_SECTION_BYTES {
            let problem = format!("{bytes} bytes; must be below {MAX_SECTION_BYTES}");
            errors.push(ManifestError::new(path, problem));
        }
    }
    errors
}

fn entry_count(document: &ManifestDocument, section: ManifestSection) -> (usize, usize) {
    match section {
        ManifestSection::Teams => (document.teams.len(), MAX_TEAMS),
        ManifestSection::Keys => (document.keys.len(), MAX_KEYS),
        ManifestSection::Zones => (document.zones.len(), MAX_ZONES),
        ManifestSection::Queues => (document.queues.len(), MAX_QUEUES),
    }
}

fn push_duplicate_names(document: &ManifestDocument, errors: &mut Vec<ManifestError>) {
    push_duplicates("teams", document.teams.iter().map(|team| &team.name), errors);
    push_duplicates("keys", document.keys.iter().map(|key| &key.name), errors);
    push_duplicates("zones", document.zones.iter().map(|zone| &zone.name), errors);
    push_duplicates("queues", document.queues.iter().map(|queue| &queue.name), errors);
}

fn push_duplicates<N: Display + Eq + Hash>(
    section: &str,
    names: impl Iterator<Item = N>,
    errors: &mut Vec<ManifestError>,
) {
    let mut seen = HashMap::new();
    for (index, name) in names.enumerate() {
        if let Some(first) = seen.get(&name) {
            let problem = format!("\"{name}\" is already the name of $.{section}[{first}]");
            errors.push(ManifestError::new(format!("$.{section}[{index}].name"), problem));
        } else {
            seen.insert(name, index);
        }
    }
}

fn push_missing_teams(document: &ManifestDocument, errors: &mut Vec<ManifestError>) {
    let known: HashSet<&TeamName> = document.teams.iter().map(|team| &team.name).collect();
    let key_teams = document.keys.iter().map(|key| &key.team).enumerate();
    let queue_teams = document.queues.iter().map(|queue| &queue.team).enumerate();
    let references = key_teams
        .map(|(index, team)| ("keys", index, team))
        .chain(queue_teams.map(|(index, team)| ("queues", index, team)));
    for (section, index, team) in references {
        if !known.contains(team) {
            let problem = format!("no team has the name \"{team}\"");
            errors.push(ManifestError::new(format!("$.{section}[{index}].team"), problem));
        }
    }
}

fn push_team_errors(teams: &[TeamEntry], errors: &mut Vec<ManifestError>) {
    for (index, team) in teams.iter().enumerate() {
        let resources = team.limit.resources;
        let rules = [
            ("share", team.share > 0, "must be at least 1"),
            ("limit.tasks", team.limit.tasks > 0, "must be at least 1"),
            ("limit.resources.millicores", resources.millicores > 0, "must be above 0"),
            ("limit.resources.memory_bytes", resources.memory_bytes > 0, "must be above 0"),
        ];
        for (field, is_met, problem) in rules {
            if !is_met {
                errors.push(ManifestError::new(format!("$.teams[{index}].{field}"), problem));
            }
        }
    }
}

fn push_key_errors(keys: &[KeyEntry], errors: &mut Vec<ManifestError>) {
    for (index, key) in keys.iter().enumerate() {
        let salt = hex_problem(&key.salt, MIN_SALT_BYTES, MAX_SALT_BYTES);
        let hash = hex_problem(&key.hash, SECRET_HASH_BYTES, SECRET_HASH_BYTES);
        let problems =
            [("salt", salt), ("hash", hash), ("not_after_unix_ms", validity_problem(key))];
        for (field, problem) in problems {
            let path = || format!("$.keys[{index}].{field}");
            errors.extend(problem.map(|problem| ManifestError::new(path(), problem)));
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

fn validity_problem(key: &KeyEntry) -> Option<String> {
    match (key.not_before_unix_ms, key.not_after_unix_ms) {
        (Some(start), Some(end)) if start >= end => {
            Some("must be later than not_before_unix_ms".to_owned())
        }
        _ => None,
    }
}
