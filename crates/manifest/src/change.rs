//! Differences between two manifests.
//!
//! Operators review the list before they submit a manifest and after it is accepted, so it reports
//! entries and fields rather than lines of JSON. Changes of salts and hashes are listed without
//! their values.

use {
    crate::{ManifestDocument, ManifestSection},
    serde::Serialize,
    serde_json::{Map, Value},
    std::{collections::BTreeMap, fmt},
};

/// Fields whose values must not appear on terminals or in logs.
const HIDDEN_FIELDS: [&str; 2] = ["salt", "hash"];

/// An entry that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ManifestChange {
    /// Section of the entry.
    pub section: ManifestSection,
    /// Name of the entry.
    pub name: String,
    /// How it changed.
    pub kind: ChangeKind,
}

/// How an entry changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new manifest has it.
    Added,
    /// Only the old manifest has it.
    Removed,
    /// Its fields with different values.
    Changed(Vec<FieldChange>),
}

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Path of the field in its entry, such as `limit.tasks`.
    pub field: String,
    /// Its old value as JSON.
    pub old: String,
    /// Its new value as JSON.
    pub new: String,
}

impl fmt::Display for ManifestChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { section, name, kind } = self;
        match kind {
            ChangeKind::Added => write!(f, "+ {section} {name}"),
            ChangeKind::Removed => write!(f, "- {section} {name}"),
            ChangeKind::Changed(fields) => {
                write!(f, "~ {section} {name}:")?;
                for (index, field) in fields.iter().enumerate() {
                    let separator = if index == 0 { " " } else { ", " };
                    write!(f, "{separator}{field}")?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} -> {}", self.field, self.old, self.new)
    }
}

/// Lists the entries that differ, sorted by section and then by name.
///
/// The order of entries is not significant and is not compared.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{diff_manifests, parse_manifest};
///
/// let old = parse_manifest(r#"{"zones": [{"name": "zadar-1", "state": "in"}]}"#).unwrap();
/// let new = parse_manifest(r#"{"zones": [{"name": "zadar-1", "state": "out"}]}"#).unwrap();
/// let changes = diff_manifests(&old, &new);
/// assert_eq!(changes[0].to_string(), r#"~ zones zadar-1: state "in" -> "out""#);
/// ```
#[must_use]
pub fn diff_manifests(old: &ManifestDocument, new: &ManifestDocument) -> Vec<ManifestChange> {
    let mut changes = Vec::new();
    for section in ManifestSection::ALL {
        let olds = fields_by_name(old, section);
        let news = fields_by_name(new, section);
        changes.extend(section_changes(section, &olds, &news));
    }
    changes
}

/// Field values by field path, by entry name.
type EntryTable = BTreeMap<String, BTreeMap<String, String>>;

fn section_changes(
    section: ManifestSection,
    olds: &EntryTable,
    news: &EntryTable,
) -> Vec<ManifestChange> {
    let added_names = news.keys().filter(|name| !olds.contains_key(*name));
    let mut changes: Vec<_> = olds
        .iter()
        .filter_map(|(name, old)| {
            let kind = entry_change(old, news.get(name))?;
            Some(ManifestChange { section, name: name.clone(), kind })
        })
        .chain(added_names.map(|name| ManifestChange {
            section,
            name: name.clone(),
            kind: ChangeKind::Added,
        }))
        .collect();
    changes.sort_by(|left, right| left.name.cmp(&right.name));
    changes
}

fn entry_change(
    old: &BTreeMap<String, String>,
    new: Option<&BTreeMap<String, String>>,
) -> Option<ChangeKind> {
    let Some(new) = new else {
        return Some(ChangeKind::Removed);
    };
    let names = old.keys().chain(new.keys().filter(|name| !old.contains_key(*name)));
    let fields: Vec<_> = names
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| field_change(name, old.get(name), new.get(name)))
        .collect();
    if fields.is_empty() { None } else { Some(ChangeKind::Changed(fields)) }
}

fn field_change(name: &str, old: Option<&String>, new: Option<&String>) -> FieldChange {
    let show = |value: Option<&String>| match value {
        Some(_) if HIDDEN_FIELDS.contains(&name) => "(hidden)".to_owned(),
        Some(text) => text.clone(),
        None => "none".to_owned(),
    };
    FieldChange { field: name.to_owned(), old: show(old), new: show(new) }
}

fn fields_by_name(document: &ManifestDocument, section: ManifestSection) -> EntryTable {
    match section {
        ManifestSection::Teams => entry_table(&document.teams, |team| team.name.as_str()),
        ManifestSection::Keys => entry_table(&document.keys, |key| key.name.as_str()),
        ManifestSection::Zones => entry_table(&document.zones, |zone| zone.name.as_str()),
        ManifestSection::Queues => entry_table(&document.queues, |queue| queue.name.as_str()),
    }
}

fn entry_table<E: Serialize>(entries: &[E], entry_name: impl Fn(&E) -> &str) -> EntryTable {
    entries.iter().map(|entry| (entry_name(entry).to_owned(), entry_fields(entry))).collect()
}

fn entry_fields(entry: &impl Serialize) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let value =
        serde_json::to_value(entry).expect("entries contain only strings, numbers and booleans");
    if let Value::Object(object) = value {
        push_fields("", &object, &mut fields);
    }
    fields
}

fn push_fields(prefix: &str, object: &Map<String, Value>, fields: &mut BTreeMap<String, String>) {
    for (name, value) in object {
        let path = format!("{prefix}{name}");
        match value {
            Value::Object(inner) => push_fields(&format!("{path}."), inner, fields),
            other => {
                fields.insert(path, other.to_string());
            }
        }
    }
}
