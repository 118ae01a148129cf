//! Validates JSON against the schema of the settings.
//!
//! The derived deserializer stops at the first error and reports no path. Validating the JSON
//! against the schema, which is printed for operators anyway, finds every structural fault in one
//! pass, and each limit is defined in one place only.

use {crate::settings::SettingsFault, damaskrack_model::MemberName, serde_json::Value};

/// Permitted lengths of a salt, in bytes.
const SALT_BYTES: std::ops::RangeInclusive<usize> = 16..=64;
/// Length of a SHA-256 hash, in bytes.
const HASH_BYTES: usize = 32;

/// Collects the faults of a JSON value.
#[derive(Debug, Default)]
pub(crate) struct SchemaValidator {
    faults: Vec<SettingsFault>,
}

impl SchemaValidator {
    /// Returns every fault of `value` with respect to a schema without references.
    pub(crate) fn find_faults(schema: &Value, value: &Value) -> Vec<SettingsFault> {
        let mut validator = Self::default();
        validator.validate("$", schema, value);
        validator.faults
    }

    fn report(&mut self, path: &str, problem: impl Into<String>) {
        self.faults.push(SettingsFault::new(path, problem));
    }

    fn validate(&mut self, path: &str, schema: &Value, value: &Value) {
        if let Some(choices) = schema["anyOf"].as_array() {
            return self.validate_choices(path, choices, value);
        }
        if let Some(allowed) = allowed_values(schema) {
            return self.validate_enum(path, &allowed, value);
        }
        if !has_type(schema, value) {
            return self.report(path, format!("expected {}", describe_type(schema)));
        }
        match value {
            Value::Object(_) => self.validate_object(path, schema, value),
            Value::Array(items) => {
                for (index, item) in items.iter().enumerate() {
                    self.validate(&format!("{path}[{index}]"), &schema["items"], item);
                }
            }
            Value::Number(_) => self.validate_number(path, schema, value),
            Value::String(text) => self.validate_string(path, schema, text),
            Value::Null | Value::Bool(_) => {}
        }
    }

    /// Validates an optional value, which the schema describes as a choice of its type and null.
    fn validate_choices(&mut self, path: &str, choices: &[Value], value: &Value) {
        if value.is_null() && choices.iter().any(|choice| has_type(choice, value)) {
            return;
        }
        if let Some(choice) = choices.iter().find(|choice| choice["type"] != "null") {
            self.validate(path, choice, value);
        }
    }

    fn validate_enum(&mut self, path: &str, allowed: &[&Value], value: &Value) {
        if !allowed.contains(&value) {
            let names: Vec<_> = allowed.iter().map(ToString::to_string).collect();
            self.report(path, format!("expected one of {}", names.join(", ")));
        }
    }

    fn validate_object(&mut self, path: &str, schema: &Value, value: &Value) {
        let (Some(rules), Some(fields)) = (schema["properties"].as_object(), value.as_object())
        else {
            return;
        };
        for name in schema["required"].as_array().into_iter().flatten() {
            if name.as_str().is_some_and(|name| !fields.contains_key(name)) {
                self.report(&format!("{path}.{}", name.as_str().unwrap_or_default()), "missing");
            }
        }
        for (name, field) in fields {
            let path = format!("{path}.{name}");
            match rules.get(name) {
                Some(rule) => self.validate(&path, rule, field),
                None => self.report(&path, "unknown field"),
            }
        }
    }

    fn validate_number(&mut self, path: &str, schema: &Value, value: &Value) {
        let Some(number) = value.as_u64() else {
            return self.report(path, "expected a whole number that is not negative");
        };
        if let Some(minimum) = schema["minimum"].as_u64().filter(|&minimum| number < minimum) {
            self.report(path, format!("{number} is below the minimum {minimum}"));
        }
        if let Some(maximum) = schema["maximum"].as_u64().filter(|&maximum| number > maximum) {
            self.report(path, format!("{number} is above the maximum {maximum}"));
        }
    }

    fn validate_string(&mut self, path: &str, schema: &Value, text: &str) {
        let problem = match schema["format"].as_str() {
            Some("name") => MemberName::new(text).err().map(|error| error.to_string()),
            Some("ip-port") => address_problem(text),
            Some("salt") => hex_problem(text, SALT_BYTES),
            Some("sha256") => hex_problem(text, HASH_BYTES..=HASH_BYTES),
            _ => None,
        };
        if let Some(problem) = problem {
            self.report(path, problem);
        }
    }
}

/// Returns the values of an enumeration, written as a list or as a choice of constants.
fn allowed_values(schema: &Value) -> Option<Vec<&Value>> {
    if let Some(values) = schema["enum"].as_array() {
        return Some(values.iter().collect());
    }
    schema["oneOf"]
        .as_array()
        .map(|choices| choices.iter().map(|choice| &choice["const"]).collect())
}

fn has_type(schema: &Value, value: &Value) -> bool {
    let name = match value {
        Value::Null => "null",
        Value::Bool(_) => "boolean",
        Value::Number(_) => "integer",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    };
    match &schema["type"] {
        Value::String(expected) => expected == name,
        Value::Array(expected) => expected.iter().any(|expected| expected == name),
        _ => true,
    }
}

fn describe_type(schema: &Value) -> String {
    match &schema["type"] {
        Value::String(name) if name == "integer" => "a whole number".to_owned(),
        Value::String(name) if matches!(name.as_str(), "array" | "object") => format!("an {name}"),
        Value::String(name) => format!("a {name}"),
        other => other.to_string(),
    }
}

fn address_problem(text: &str) -> Option<String> {
    let is_valid = text.parse::<std::net::SocketAddr>().is_ok();
    (!is_valid).then(|| "expected IP:PORT, such as 127.0.0.1:7101".to_owned())
}

fn hex_problem(text: &str, bytes: std::ops::RangeInclusive<usize>) -> Option<String> {
    match hex::decode(text) {
        Ok(decoded) if bytes.contains(&decoded.len()) => None,
        Ok(decoded) if bytes.start() == bytes.end() => {
            Some(format!("expected {} bytes, not {}", bytes.start(), decoded.len()))
        }
        Ok(decoded) => {
            let (minimum, maximum) = bytes.into_inner();
            Some(format!("expected {minimum} to {maximum} bytes, not {}", decoded.len()))
        }
        Err(_) => Some("expected hexadecimal digits".to_owned()),
    }
}
