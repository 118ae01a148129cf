//! `damaskrack local`: a whole cell in one process.

use crate::{ExitStatus, args::LocalArgs, context::CommandContext, failure::CliFailure};

pub(crate) async fn run(
    _context: &mut CommandContext<'_>,
    _args: &LocalArgs,
) -> anyhow::Result<ExitStatus> {
    Err(CliFailure::new(ExitStatus::Failed, "not built yet", "start separate processes").into())
}
