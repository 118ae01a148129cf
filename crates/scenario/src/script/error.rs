//! Error of the script parser.

use std::fmt;

/// A syntax error in a script, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptError {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Description of the error.
    pub reason: String,
}

impl ScriptError {
    pub(crate) fn new(line: usize, column: usize, reason: impl Into<String>) -> Self {
        Self { line, column, reason: reason.into() }
    }
}

impl fmt::Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: {}", self.line, self.column, self.reason)
    }
}

impl std::error::Error for ScriptError {}
