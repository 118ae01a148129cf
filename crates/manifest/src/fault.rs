//! What is wrong with a manifest, and where.

use std::fmt;

/// A place in a manifest and the rule that it breaks.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::ManifestError;
///
/// let fault = ManifestError::new("$.teams[0].share", "must be at least 1");
/// assert_eq!(fault.to_string(), "$.teams[0].share: must be at least 1");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestError {
    /// Where in the JSON, such as `$.keys[3].team`.
    pub path: String,
    /// What is wrong there.
    pub problem: String,
}

impl ManifestError {
    /// Makes a fault.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { path: path.into(), problem: problem.into() }
    }
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

impl std::error::Error for ManifestError {}
