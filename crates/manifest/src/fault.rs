//! What is wrong with a manifest, and where.

use std::fmt;

/// A place in a manifest and the rule that it breaks.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::ManifestFault;
///
/// let fault = ManifestFault::new("$.teams[0].share", "must be at least 1");
/// assert_eq!(fault.to_string(), "$.teams[0].share: must be at least 1");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestFault {
    /// Where in the JSON, such as `$.keys[3].team`.
    pub path: String,
    /// What is wrong there.
    pub problem: String,
}

impl ManifestFault {
    /// Makes a fault.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { path: path.into(), problem: problem.into() }
    }
}

impl fmt::Display for ManifestFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

impl std::error::Error for ManifestFault {}
