//! Errors with an exit code and a hint for the user.

use {
    crate::ExitStatus,
    std::{
        fmt,
        io::{self, Write},
    },
};

/// An error that ends the command, with its exit code and a hint for the user.
#[derive(Debug)]
pub(crate) struct CliError {
    pub(crate) status: ExitStatus,
    pub(crate) problem: String,
    pub(crate) hint: String,
}

impl CliError {
    pub(crate) fn new(
        status: ExitStatus,
        problem: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self { status, problem: problem.into(), hint: hint.into() }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\n  try: {}", self.problem, self.hint)
    }
}

impl std::error::Error for CliError {}

/// Prints an error and returns the exit code for it.
///
/// A broken pipe is not an error: the reader of the output needs no more of it.
pub(crate) fn report_error(error: &anyhow::Error) -> ExitStatus {
    let is_broken_pipe = error
        .downcast_ref::<io::Error>()
        .is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe);
    if is_broken_pipe {
        return ExitStatus::Ok;
    }
    // If standard error is closed, there is nowhere to report to.
    let _ = writeln!(io::stderr(), "error: {error:#}");
    error.downcast_ref::<CliError>().map_or(ExitStatus::Failed, |error| error.status)
}
