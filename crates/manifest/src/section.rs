//! The parts in which a manifest is stored.
//!
//! A store value holds at most a megabyte, and most changes touch one kind of entry. Each section
//! is a value of its own whose key contains the hash of its content, so a value never changes
//! once written and the head alone decides which values are in force.

use {
    crate::{ManifestDocument, ManifestError, repeats::repeated_fields, shape},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Length of the hash in a section's key, in bytes before hexadecimal encoding.
const SECTION_HASH_BYTES: usize = 16;

/// One kind of entry in a manifest.
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
    /// Every section, in the order of the document.
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

/// Returns a section's entries as JSON, the form in which the store holds them.
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
    serde_json::to_string(entries).expect("entries hold only texts, numbers and booleans")
}

/// Returns the hash that names a section's content: the first 16 bytes of its SHA-256.
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

/// Replaces a section of `document` by the entries in `json`.
///
/// # Errors
///
/// Returns every fault of form; `document` is then unchanged. References between sections are
/// not checked, because the sections of one manifest are read one after the other.
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
    let faults = shape::section_faults(section, &value);
    if !faults.is_empty() {
        return Err(faults);
    }
    match section {
        ManifestSection::Teams => document.teams = parse_entries(&path, json)?,
        ManifestSection::Keys => document.keys = parse_entries(&path, json)?,
        ManifestSection::Zones => document.zones = parse_entries(&path, json)?,
        ManifestSection::Queues => document.queues = parse_entries(&path, json)?,
    }
    Ok(())
}

/// Parses JSON text; an error becomes a fault at `path`.
pub(crate) fn parse_json<T: DeserializeOwned>(
    path: &str,
    json: &str,
) -> Result<T, Vec<ManifestError>> {
    serde_json::from_str(json).map_err(|error| vec![ManifestError::new(path, error.to_string())])
}

/// Parses JSON text whose form has been checked; only a repeated field is still an error, because
/// the check saw the last of its values only.
pub(crate) fn parse_entries<T: DeserializeOwned>(
    path: &str,
    json: &str,
) -> Result<T, Vec<ManifestError>> {
    parse_json(path, json).map_err(|faults| {
        let repeats = repeated_fields(path, json);
        if repeats.is_empty() { faults } else { repeats }
    })
}
