//! The expected fields of each object in a manifest.
//!
//! The derived deserializer stops at the first error and does not say which element of an array
//! it was in. Walking the JSON against these tables first finds every fault of form in one pass
//! and names its path; the derived deserializer then only sees well-formed input.

use {
    crate::{ManifestError, ManifestSection, ZoneState},
    damaskrack_model::{KeyName, PriorityClass, QueueName, TeamName, ZoneName},
    serde::de::DeserializeOwned,
    serde_json::{Map, Value},
};

/// What a field holds.
enum FieldShape {
    /// A value of one type; the function explains why a value is not of that type.
    Scalar(fn(&Value) -> Option<String>),
    /// An object with fields of its own.
    Object(&'static [FieldRule]),
}

/// One field that an object may or must have.
struct FieldRule {
    name: &'static str,
    required: bool,
    shape: FieldShape,
}

const fn required(name: &'static str, explain: fn(&Value) -> Option<String>) -> FieldRule {
    FieldRule { name, required: true, shape: FieldShape::Scalar(explain) }
}

const fn optional(name: &'static str, explain: fn(&Value) -> Option<String>) -> FieldRule {
    FieldRule { name, required: false, shape: FieldShape::Scalar(explain) }
}

const fn object(name: &'static str, rules: &'static [FieldRule]) -> FieldRule {
    FieldRule { name, required: true, shape: FieldShape::Object(rules) }
}

const RESOURCES: &[FieldRule] = &[
    optional("millicores", explain::<u64>),
    optional("memory_bytes", explain::<u64>),
    optional("accelerators", explain::<u64>),
];

const LIMIT: &[FieldRule] = &[required("tasks", explain::<u32>), object("resources", RESOURCES)];

const TEAM: &[FieldRule] = &[
    required("name", explain::<TeamName>),
    required("share", explain::<u32>),
    object("limit", LIMIT),
];

const KEY: &[FieldRule] = &[
    required("name", explain::<KeyName>),
    required("team", explain::<TeamName>),
    required("salt", explain::<String>),
    required("hash", explain::<String>),
    optional("not_before_unix_ms", explain::<Option<u64>>),
    optional("not_after_unix_ms", explain::<Option<u64>>),
];

const ZONE: &[FieldRule] =
    &[required("name", explain::<ZoneName>), required("state", explain::<ZoneState>)];

const QUEUE: &[FieldRule] = &[
    required("name", explain::<QueueName>),
    required("team", explain::<TeamName>),
    optional("open", explain::<bool>),
    optional("highest_priority", explain::<PriorityClass>),
];

fn entry_rules(section: ManifestSection) -> &'static [FieldRule] {
    match section {
        ManifestSection::Teams => TEAM,
        ManifestSection::Keys => KEY,
        ManifestSection::Zones => ZONE,
        ManifestSection::Queues => QUEUE,
    }
}

fn explain<T: DeserializeOwned>(value: &Value) -> Option<String> {
    T::deserialize(value).err().map(|error| error.to_string())
}

/// Collects every fault of form in a whole manifest.
pub(crate) fn document_faults(document: &Value) -> Vec<ManifestError> {
    let Value::Object(fields) = document else {
        return vec![wrong_kind("$", "an object", document)];
    };
    let mut faults = Vec::new();
    for (name, value) in fields {
        match ManifestSection::from_name(name) {
            Some(section) => faults.extend(section_faults(section, value)),
            None => faults.push(ManifestError::new(child_path("$", name), "unknown field")),
        }
    }
    faults
}

/// Collects every fault of form in one section.
pub(crate) fn section_faults(section: ManifestSection, value: &Value) -> Vec<ManifestError> {
    let path = child_path("$", section.name());
    let Value::Array(entries) = value else {
        return vec![wrong_kind(&path, "an array", value)];
    };
    let mut faults = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        object_faults(&format!("{path}[{index}]"), entry_rules(section), entry, &mut faults);
    }
    faults
}

fn object_faults(
    path: &str,
    rules: &'static [FieldRule],
    value: &Value,
    faults: &mut Vec<ManifestError>,
) {
    let Value::Object(fields) = value else {
        faults.push(wrong_kind(path, "an object", value));
        return;
    };
    push_unknown_fields(path, rules, fields, faults);
    for rule in rules {
        let path = child_path(path, rule.name);
        match fields.get(rule.name) {
            Some(value) => field_faults(&path, &rule.shape, value, faults),
            None if rule.required => faults.push(ManifestError::new(path, "missing field")),
            None => {}
        }
    }
}

fn push_unknown_fields(
    path: &str,
    rules: &[FieldRule],
    fields: &Map<String, Value>,
    faults: &mut Vec<ManifestError>,
) {
    for name in fields.keys() {
        if !rules.iter().any(|rule| rule.name == name) {
            faults.push(ManifestError::new(child_path(path, name), "unknown field"));
        }
    }
}

fn field_faults(path: &str, shape: &FieldShape, value: &Value, faults: &mut Vec<ManifestError>) {
    match shape {
        FieldShape::Object(rules) => object_faults(path, rules, value, faults),
        FieldShape::Scalar(explain) => {
            faults.extend(explain(value).map(|problem| ManifestError::new(path, problem)));
        }
    }
}

/// Appends a field name to a path; a name that is not a plain word is quoted.
pub(crate) fn child_path(path: &str, name: &str) -> String {
    let is_plain = !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    if is_plain { format!("{path}.{name}") } else { format!("{path}[{name:?}]") }
}

fn wrong_kind(path: &str, expected: &str, value: &Value) -> ManifestError {
    let found = match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    };
    ManifestError::new(path, format!("expected {expected}, found {found}"))
}
