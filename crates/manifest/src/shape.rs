//! The expected fields of each object in a manifest.
//!
//! The derived deserializer stops at the first error and does not report the array index. Checking
//! the JSON against these tables first finds every structural error, with its path, in one pass;
//! the derived deserializer then sees only well-formed input.

use {
    crate::{ManifestError, ManifestSection, ZoneState},
    damaskrack_model::{KeyName, PriorityClass, QueueName, TeamName, ZoneName},
    serde::de::DeserializeOwned,
    serde_json::{Map, Value},
};

/// Expected content of a field.
enum FieldShape {
    /// A scalar; the function returns an error message for a value of another type.
    Scalar(fn(&Value) -> Option<String>),
    /// A nested object.
    Object(&'static [FieldRule]),
}

/// An optional or required field of an object.
struct FieldRule {
    name: &'static str,
    required: bool,
    shape: FieldShape,
}

const fn required(name: &'static str, check: fn(&Value) -> Option<String>) -> FieldRule {
    FieldRule { name, required: true, shape: FieldShape::Scalar(check) }
}

const fn optional(name: &'static str, check: fn(&Value) -> Option<String>) -> FieldRule {
    FieldRule { name, required: false, shape: FieldShape::Scalar(check) }
}

const fn object(name: &'static str, rules: &'static [FieldRule]) -> FieldRule {
    FieldRule { name, required: true, shape: FieldShape::Object(rules) }
}

const RESOURCES: &[FieldRule] = &[
    optional("millicores", type_error::<u64>),
    optional("memory_bytes", type_error::<u64>),
    optional("accelerators", type_error::<u64>),
];

const LIMIT: &[FieldRule] = &[required("tasks", type_error::<u32>), object("resources", RESOURCES)];

const TEAM: &[FieldRule] = &[
    required("name", type_error::<TeamName>),
    required("share", type_error::<u32>),
    object("limit", LIMIT),
];

const KEY: &[FieldRule] = &[
    required("name", type_error::<KeyName>),
    required("team", type_error::<TeamName>),
    required("salt", type_error::<String>),
    required("hash", type_error::<String>),
    optional("not_before_unix_ms", type_error::<Option<u64>>),
    optional("not_after_unix_ms", type_error::<Option<u64>>),
];

const ZONE: &[FieldRule] =
    &[required("name", type_error::<ZoneName>), required("state", type_error::<ZoneState>)];

const QUEUE: &[FieldRule] = &[
    required("name", type_error::<QueueName>),
    required("team", type_error::<TeamName>),
    optional("open", type_error::<bool>),
    optional("highest_priority", type_error::<PriorityClass>),
];

fn entry_rules(section: ManifestSection) -> &'static [FieldRule] {
    match section {
        ManifestSection::Teams => TEAM,
        ManifestSection::Keys => KEY,
        ManifestSection::Zones => ZONE,
        ManifestSection::Queues => QUEUE,
    }
}

fn type_error<T: DeserializeOwned>(value: &Value) -> Option<String> {
    T::deserialize(value).err().map(|error| error.to_string())
}

/// Returns every structural error of a manifest.
pub(crate) fn document_errors(document: &Value) -> Vec<ManifestError> {
    let Value::Object(fields) = document else {
        return vec![wrong_type("$", "an object", document)];
    };
    let mut errors = Vec::new();
    for (name, value) in fields {
        match ManifestSection::from_name(name) {
            Some(section) => errors.extend(section_errors(section, value)),
            None => errors.push(ManifestError::new(child_path("$", name), "unknown field")),
        }
    }
    errors
}

/// Returns every structural error of a section.
pub(crate) fn section_errors(section: ManifestSection, value: &Value) -> Vec<ManifestError> {
    let path = child_path("$", section.name());
    let Value::Array(entries) = value else {
        return vec![wrong_type(&path, "an array", value)];
    };
    let mut errors = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        object_errors(&format!("{path}[{index}]"), entry_rules(section), entry, &mut errors);
    }
    errors
}

fn object_errors(
    path: &str,
    rules: &'static [FieldRule],
    value: &Value,
    errors: &mut Vec<ManifestError>,
) {
    let Value::Object(fields) = value else {
        errors.push(wrong_type(path, "an object", value));
        return;
    };
    push_unknown_fields(path, rules, fields, errors);
    for rule in rules {
        let path = child_path(path, rule.name);
        match fields.get(rule.name) {
            Some(value) => field_errors(&path, &rule.shape, value, errors),
            None if rule.required => errors.push(ManifestError::new(path, "missing field")),
            None => {}
        }
    }
}

fn push_unknown_fields(
    path: &str,
    rules: &[FieldRule],
    fields: &Map<String, Value>,
    errors: &mut Vec<ManifestError>,
) {
    for name in fields.keys() {
        if !rules.iter().any(|rule| rule.name == name) {
            errors.push(ManifestError::new(child_path(path, name), "unknown field"));
        }
    }
}

fn field_errors(path: &str, shape: &FieldShape, value: &Value, errors: &mut Vec<ManifestError>) {
    match shape {
        FieldShape::Object(rules) => object_errors(path, rules, value, errors),
        FieldShape::Scalar(check) => {
            errors.extend(check(value).map(|problem| ManifestError::new(path, problem)));
        }
    }
}

/// Appends a field name to a path; a name that is not an ASCII identifier is quoted.
pub(crate) fn child_path(path: &str, name: &str) -> String {
    let is_plain = !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    if is_plain { format!("{path}.{name}") } else { format!("{path}[{name:?}]") }
}

fn wrong_type(path: &str, expected: &str, value: &Value) -> ManifestError {
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
