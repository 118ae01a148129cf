//! `damaskrack local`: runs a whole cell in one process, for demonstrations.

mod cell;
mod demo;

use {
    self::cell::LocalCell,
    crate::{ExitStatus, args::LocalArgs, context::CommandContext, error::CliError},
    anyhow::Context,
    damaskrack_daemon::{LogFormat, LogSettings, LogThreshold},
    std::time::Duration,
    tokio::time::timeout,
};

/// Timeout for everything that `--once` does.
const ONCE_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) async fn run(
    context: &mut CommandContext<'_>,
    args: &LocalArgs,
) -> anyhow::Result<ExitStatus> {
    let level = if args.once { LogThreshold::Off } else { LogThreshold::Warning };
    let cell = LocalCell::start(LogSettings { format: LogFormat::Terminal, level }).await?;
    let result = if args.once {
        run_once(context, &cell).await
    } else {
        run_until_interrupt(context, &cell).await
    };
    cell.shutdown().await;
    result
}

async fn run_once(
    context: &mut CommandContext<'_>,
    cell: &LocalCell,
) -> anyhow::Result<ExitStatus> {
    let report = timeout(ONCE_TIMEOUT, demo::run_once(cell)).await.map_err(|_| {
        let problem = format!("no answers within {} s", ONCE_TIMEOUT.as_secs());
        CliError::new(ExitStatus::Failed, problem, "`damaskrack local`, whose log says more")
    })??;
    context.print_text(serde_json::to_string_pretty(&report)? + "\n")?;
    Ok(report.status())
}

async fn run_until_interrupt(
    context: &mut CommandContext<'_>,
    cell: &LocalCell,
) -> anyhow::Result<ExitStatus> {
    demo::apply_example_manifest(cell).await?;
    context.print_text(demo::startup_message(cell))?;
    tokio::signal::ctrl_c().await.context("cannot wait for an interrupt")?;
    context.print_text("shutting down\n")?;
    Ok(ExitStatus::Ok)
}
