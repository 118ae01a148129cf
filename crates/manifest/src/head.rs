//! The head, which selects the active sections.

use {
    crate::{ManifestError, ManifestSection},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Store key of the manifest's head.
pub const HEAD_KEY: &str = "manifest/head";

/// The value that every manifest change replaces by compare-and-swap.
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
    /// Number of changes so far; never decreases.
    pub version: u64,
    /// Random number of the change, by which a writer that lost the response recognizes its write.
    pub change: u64,
    /// Hash of each section's content, keyed by section name.
    pub sections: BTreeMap<String, String>,
}

impl ManifestHead {
    /// Serializes the head as stored.
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
        serde_json::to_string(self).expect("a head contains only numbers and strings")
    }

    /// Parses a stored head.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid head.
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
