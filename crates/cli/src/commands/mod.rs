//! The commands, one file each.

mod cancel;
mod completions;
mod explain;
mod job;
mod key_new;
mod local;
mod manifest_apply;
mod manifest_check;
mod manifest_show;
mod manifest_status;
mod state;
mod submit;
mod wait;

use crate::{
    ExitStatus,
    args::{CliCommand, KeyCommand, ManifestCommand},
    context::CommandContext,
};

/// Runs a command.
pub(crate) async fn run(
    context: &mut CommandContext<'_>,
    command: CliCommand,
) -> anyhow::Result<ExitStatus> {
    match command {
        CliCommand::Local(args) => local::run(context, &args).await,
        CliCommand::Manifest(command) => run_manifest(context, command).await,
        CliCommand::Key(KeyCommand::New(args)) => key_new::run(context, &args),
        CliCommand::Submit(args) => submit::run(context, &args).await,
        CliCommand::Job(args) => job::run(context, &args).await,
        CliCommand::Cancel(args) => cancel::run(context, &args).await,
        CliCommand::Explain(args) => explain::run(context, &args),
        CliCommand::State => state::run(context).await,
        CliCommand::Completions { shell } => completions::run(context, shell),
    }
}

async fn run_manifest(
    context: &mut CommandContext<'_>,
    command: ManifestCommand,
) -> anyhow::Result<ExitStatus> {
    match command {
        ManifestCommand::Check { file } => manifest_check::run(context, &file),
        ManifestCommand::Apply { file, base, dry_run } => {
            manifest_apply::run(context, &file, base, dry_run).await
        }
        ManifestCommand::Show { diff } => manifest_show::run(context, diff.as_deref()).await,
        ManifestCommand::Status => manifest_status::run(context).await,
    }
}
