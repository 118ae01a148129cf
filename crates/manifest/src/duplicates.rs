//! Detection of duplicate fields in JSON objects.
//!
//! Parsers differ in which duplicate they keep, so the pipeline that wrote a manifest and the
//! daemon could read different manifests from the same text.

use {
    crate::{ManifestError, shape::child_path},
    serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor},
    std::{collections::HashSet, fmt},
};

/// Lists the duplicate fields of a JSON text whose root has the path `root`.
pub(crate) fn duplicate_fields(root: &str, json: &str) -> Vec<ManifestError> {
    let mut errors = Vec::new();
    let finder = DuplicateFinder { path: root.to_owned(), errors: &mut errors };
    // Invalid JSON is reported by the caller; duplicates found before the error are kept.
    let _ = finder.deserialize(&mut serde_json::Deserializer::from_str(json));
    errors
}

/// Visits one JSON value and records duplicate fields.
struct DuplicateFinder<'a> {
    path: String,
    errors: &'a mut Vec<ManifestError>,
}

impl<'de> DeserializeSeed<'de> for DuplicateFinder<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for DuplicateFinder<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        for index in 0.. {
            let path = format!("{}[{index}]", self.path);
            let finder = DuplicateFinder { path, errors: self.errors };
            if items.next_element_seed(finder)?.is_none() {
                break;
            }
        }
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        let mut names = HashSet::new();
        while let Some(name) = fields.next_key::<String>()? {
            let path = child_path(&self.path, &name);
            if !names.insert(name) {
                self.errors.push(ManifestError::new(path.clone(), "repeated field"));
            }
            fields.next_value_seed(DuplicateFinder { path, errors: self.errors })?;
        }
        Ok(())
    }
}
