//! Validation errors with their location in the manifest.

use std::fmt;

/// A location in a manifest and the rule that it violates.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::ManifestError;
///
/// let error = ManifestError::new("$.teams[0].share", "must be at least 1");
/// assert_eq!(error.to_string(), "$.teams[0].share: must be at least 1");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestError {
    /// JSON path, such as `$.keys[3].team`.
    pub path: String,
    /// Description of the error.
    pub problem: String,
}

impl ManifestError {
    /// Creates an error.
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
