//! The command-line tool `damaskrack`, as a library that `main.rs` and the examples in doc comments
//! call.
//!
//! Responses go to standard output, as a table or as JSON; progress and errors go to standard
//! error, so that a pipeline can always parse the output. The exit code tells a script the outcome
//! without parsing.

mod answer;
mod args;
mod byte_size;
mod client;
mod commands;
mod context;
mod error;
mod exit;
mod job_timeline;
mod log_line;
mod progress;
mod submission;
mod table;

use {
    crate::{args::CliArgs, context::CommandContext, error::report_error},
    clap::Parser,
    std::{ffi::OsString, io, process::ExitCode},
    tokio::runtime::Runtime,
};

pub use crate::exit::ExitStatus;

/// Runs the tool with command-line arguments, of which the first is the program's name.
///
/// # Examples
///
/// ```
/// use std::process::ExitCode;
///
/// assert_eq!(damaskrack_cli::run_cli(["damaskrack", "no-such-command"]), ExitCode::from(2));
/// ```
pub fn run_cli(args: impl IntoIterator<Item = impl Into<OsString> + Clone>) -> ExitCode {
    match CliArgs::try_parse_from(args) {
        Ok(args) => run_command(args).code(),
        Err(error) => {
            let is_usage_error = error.use_stderr();
            // If the output is closed, there is nowhere to report to.
            let _ = error.print();
            if is_usage_error { ExitStatus::Usage.code() } else { ExitStatus::Ok.code() }
        }
    }
}

fn run_command(args: CliArgs) -> ExitStatus {
    let mut stdout = io::stdout().lock();
    let mut context = CommandContext::new(args.options, &mut stdout);
    let result = Runtime::new()
        .map_err(Into::into)
        .and_then(|runtime| runtime.block_on(commands::run(&mut context, args.command)));
    result.unwrap_or_else(|error| report_error(&error))
}
