//! The sections in which a manifest is stored.
//!
//! A store value holds at most a megabyte, and most changes affect one kind of entry. Each section
//! is stored under a key that contains the hash of its content, so values are immutable and the
//! head alone selects the active ones.

use {
    crate::{ManifestDocument, ManifestError, duplicates::duplicate_fields, shape},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Length of the hash in a section's key, in bytes before hexadecimal encoding.
const SECTION_HASH_BYTES: usize = 16;

/// A section of a manifest, which holds the entries of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManifestSection {
    /// The teams.
    Teams,
    /// The keys.
    Keys,
    /// The availability zones.
    Zones,
    /// The queues.
    Queues,
}

impl ManifestSection {
    /// All sections, in document order.
    pub const ALL: [Self; 4] = [Self::Teams, Self::Keys, Self::Zones, Self::Queues];

    /// Returns the name of the section's field in the document.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_manifest::ManifestSection;
    ///
    /// assert_eq!(ManifestSection::Teams.name(), "teams");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Teams => "teams",
            Self::Keys => "keys",
            Self::Zones => "zones",
            Self::Queues => "queues",
        }
    }

    /// Returns the section whose field has this name.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_manifest::ManifestSection;
    ///
    /// assert_eq!(ManifestSection::from_name("keys"), Some(ManifestSection::Keys));
    /// assert_eq!(ManifestSection::from_name("racks"), None);
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.name() == name)
    }
}

impl fmt::Display for ManifestSection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Returns a section's entries as JSON, as stored.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{ManifestDocument, ManifestSection, section_json};
///
/// let document = ManifestDocument::default();
/// assert_eq!(section_json(&document, ManifestSection::Teams), "[]");
/// ```
#[must_use]
pub fn section_json(document: &ManifestDocument, section: ManifestSection) -> String {
    match section {
        ManifestSection::Teams => entries_json(&document.teams),
        ManifestSection::Keys => entries_json(&document.keys),
        ManifestSection::Zones => entries_json(&document.zones),
        ManifestSection::Queues => entries_json(&document.queues),
    }
}

fn entries_json(entries: &[impl Serialize]) -> String {
    serde_json::to_string(entries).expect("entries contain only strings, numbers and booleans")
}

/// Returns the hash that identifies a section's content: the first 16 bytes of its SHA-256.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::section_hash;
///
/// assert_eq!(section_hash("[]"), "4f53cda18c2baa0c0354bb5f9a3ecbe5");
/// ```
#[must_use]
pub fn section_hash(json: &str) -> String {
    let digest = Sha256::digest(json.as_bytes());
    hex::encode(&digest[..SECTION_HASH_BYTES])
}

/// Replaces a section of `document` with the entries in `json`.
///
/// # Errors
///
/// Returns every structural error and leaves `document` unchanged. References between sections
/// are not checked, because the sections of a manifest are read one at a time.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{ManifestDocument, ManifestSection, replace_section};
///
/// let mut document = ManifestDocument::default();
/// let json = r#"[{"name": "zadar-1", "state": "out"}]"#;
/// replace_section(&mut document, ManifestSection::Zones, json).unwrap();
/// assert_eq!(document.zones[0].name.as_str(), "zadar-1");
/// assert!(replace_section(&mut document, ManifestSection::Zones, "[{}]").is_err());
/// ```
pub fn replace_section(
    document: &mut ManifestDocument,
    section: ManifestSection,
    json: &str,
) -> Result<(), Vec<ManifestError>> {
    let path = format!("$.{}", section.name());
    let value: Value = parse_json(&path, json)?;
    let errors = shape::section_errors(section, &value);
    if !errors.is_empty() {
        return Err(errors);
    }
    match section {
        ManifestSection::Teams => document.teams = parse_entries(&path, json)?,
        ManifestSection::Keys => document.keys = parse_entries(&path, json)?,
        ManifestSection::Zones => document.zones = parse_entries(&path, json)?,
        ManifestSection::Queues => document.queues = parse_entries(&path, json)?,
    }
    Ok(())
}

/// Parses JSON text and reports an error at `path`.
pub(crate) fn parse_json<T: DeserializeOwned>(
    path: &str,
    json: &str,
) -> Result<T, Vec<ManifestError>> {
    serde_json::from_str(json).map_err(|error| vec![ManifestError::new(path, error.to_string())])
}

/// Parses JSON text whose structure has been checked. Only a duplicate field can still fail,
/// because the check saw only its last value.
pub(crate) fn parse_entries<T: DeserializeOwned>(
    path: &str,
    json: &str,
) -> Result<T, Vec<ManifestError>> {
    parse_json(path, json).map_err(|errors| {
        let duplicates = duplicate_fields(path, json);
        if duplicates.is_empty() { errors } else { duplicates }
    })
}
