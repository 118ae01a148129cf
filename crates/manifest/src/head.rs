//! Which sections are in force.

use {
    crate::{ManifestError, ManifestSection},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Store key of the manifest's head.
pub const HEAD_KEY: &str = "manifest/head";

/// The one value that a change of the manifest replaces by compare-and-swap.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::ManifestHead;
///
/// let head = ManifestHead { version: 3, change: 99, ..ManifestHead::default() };
/// assert_eq!(ManifestHead::from_json(&head.to_json()), Ok(head));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestHead {
    /// Number of changes so far; it only grows.
    pub version: u64,
    /// Random number of the change, by which a writer whose answer was lost recognises its write.
    pub change: u64,
    /// Hash of each section's content, by the section's name.
    pub sections: BTreeMap<String, String>,
}

impl ManifestHead {
    /// Returns the form in which the store holds the head.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_manifest::ManifestHead;
    ///
    /// let json = ManifestHead::default().to_json();
    /// assert_eq!(json, r#"{"version":0,"change":0,"sections":{}}"#);
    /// ```
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a head holds only numbers and texts")
    }

    /// Reads a head.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_manifest::ManifestHead;
    ///
    /// assert!(ManifestHead::from_json("{}").is_err());
    /// ```
    pub fn from_json(json: &str) -> Result<Self, ManifestError> {
        serde_json::from_str(json).map_err(|error| ManifestError::new("$", error.to_string()))
    }
}

/// Returns the store key of a section's content.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{ManifestSection, section_key};
///
/// assert_eq!(section_key(ManifestSection::Teams, "4f53"), "manifest/section/teams/4f53");
/// ```
#[must_use]
pub fn section_key(section: ManifestSection, hash: &str) -> String {
    format!("manifest/section/{}/{hash}", section.name())
}
