//! Finds fields that stand twice in one object.
//!
//! Which of the two counts differs from parser to parser, so the pipeline that wrote them and the
//! daemon could read different manifests out of one text.

use {
    crate::{ManifestError, shape::child_path},
    serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor},
    std::{collections::HashSet, fmt},
};

/// Lists the repeated fields in a JSON text whose root has the path `root`.
pub(crate) fn repeated_fields(root: &str, json: &str) -> Vec<ManifestError> {
    let mut faults = Vec::new();
    let finder = RepeatFinder { path: root.to_owned(), faults: &mut faults };
    // Text that is not JSON is somebody else's finding; what was found up to there stands.
    let _ = finder.deserialize(&mut serde_json::Deserializer::from_str(json));
    faults
}

/// Walks one JSON value.
struct RepeatFinder<'a> {
    path: String,
    faults: &'a mut Vec<ManifestError>,
}

impl<'de> DeserializeSeed<'de> for RepeatFinder<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for RepeatFinder<'_> {
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
            let finder = RepeatFinder { path, faults: self.faults };
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
                self.faults.push(ManifestError::new(path.clone(), "repeated field"));
            }
            fields.next_value_seed(RepeatFinder { path, faults: self.faults })?;
        }
        Ok(())
    }
}
