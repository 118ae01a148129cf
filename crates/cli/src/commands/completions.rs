//! `damaskrack completions`: prints a completion script.

use {
    crate::{ExitStatus, args::CliArgs, context::CommandContext},
    clap::CommandFactory,
    clap_complete::Shell,
};

pub(crate) fn run(context: &mut CommandContext<'_>, shell: Shell) -> anyhow::Result<ExitStatus> {
    clap_complete::generate(shell, &mut CliArgs::command(), "damaskrack", &mut context.out());
    Ok(ExitStatus::Ok)
}
