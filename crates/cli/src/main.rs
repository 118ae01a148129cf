//! The command-line tool for callers and operators of a cell.

use std::process::ExitCode;

fn main() -> ExitCode {
    damaskrack_cli::run_cli(std::env::args_os())
}
