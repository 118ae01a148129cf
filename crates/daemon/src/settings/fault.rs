//! Errors of a settings file.

use std::fmt;

/// One invalid value in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// Path in the JSON, such as `$.intervals.heartbeat_ms`.
    pub path: String,
    /// Description of the fault.
    pub problem: String,
}

impl SettingsFault {
    /// Creates a fault.
    pub(crate) fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { path: path.into(), problem: problem.into() }
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Every fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The faults, in the order of the file's schema.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings are invalid:")?;
        self.faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}

impl std::error::Error for SettingsError {}
