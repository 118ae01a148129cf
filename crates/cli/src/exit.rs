//! Exit codes, for scripts.

use {damaskrack_model::OutcomeKind, std::process::ExitCode};

/// Exit code of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Ok,
    /// The command was refused and certainly had no effect: nothing was run or changed.
    Refused,
    /// The command line or a file named on it is wrong.
    Usage,
    /// The work ran and failed.
    Failed,
    /// The work may have run, or the change may have been made; the result is unknown.
    Unknown,
    /// No daemon could be reached, so nothing was sent.
    Unreachable,
}

impl ExitStatus {
    /// Returns the code that the process exits with.
    ///
    /// # Examples
    ///
    /// ```
    /// use {damaskrack_cli::ExitStatus, std::process::ExitCode};
    ///
    /// assert_eq!(ExitStatus::Unreachable.code(), ExitCode::from(5));
    /// ```
    #[must_use]
    pub fn code(self) -> ExitCode {
        ExitCode::from(match self {
            Self::Ok => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Failed => 3,
            Self::Unknown => 4,
            Self::Unreachable => 5,
        })
    }
}

impl From<OutcomeKind> for ExitStatus {
    fn from(outcome: OutcomeKind) -> Self {
        match outcome {
            OutcomeKind::Done => Self::Ok,
            OutcomeKind::NotRun => Self::Refused,
            OutcomeKind::Failed => Self::Failed,
            OutcomeKind::Unknown => Self::Unknown,
        }
    }
}
