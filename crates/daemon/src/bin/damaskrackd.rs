//! The daemon's command line.

use {
    anyhow::Context,
    clap::Parser,
    damaskrack_daemon::{
        DaemonConfig, DaemonLog, DaemonServer, SettingsDocument, SignalWatch, parse_settings,
        settings_schema,
    },
    damaskrack_outside::{HttpHosts, HttpStore, HttpWorker},
    std::{fs, path::PathBuf, process::ExitCode, sync::Arc},
};

/// Number of threads of the asynchronous runtime.
const WORKER_THREADS: usize = 2;
/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Schedules work of many teams on one cell.
#[derive(Debug, Parser)]
#[command(version)]
struct DaemonArgs {
    /// File with the settings, in JSON.
    #[arg(long, value_name = "FILE", required_unless_present = "print_schema")]
    settings: Option<PathBuf>,
    /// Checks the settings and exits: with 0 if they are good, with 2 if not.
    #[arg(long)]
    check: bool,
    /// Prints the JSON Schema of the settings and exits.
    #[arg(long)]
    print_schema: bool,
}

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    if args.print_schema {
        println!("{:#}", settings_schema());
        return ExitCode::SUCCESS;
    }
    let settings = match read_settings(&args.settings.unwrap_or_default()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("damaskrackd: {error:#}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damaskrackd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &PathBuf) -> anyhow::Result<SettingsDocument> {
    let text = fs::read_to_string(path)
        .with_context(|| format!("cannot read the settings {}", path.display()))?;
    parse_settings(&text).with_context(|| path.display().to_string())
}

fn run(settings: &SettingsDocument) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let log = DaemonLog::to_stderr(settings.log);
    runtime.block_on(async {
        let signals = SignalWatch::new().context("cannot listen for signals")?;
        let server = DaemonServer::start(
            DaemonConfig::from_settings(settings),
            log.logger.clone(),
            Arc::new(HttpStore::new(settings.store_address)),
            Arc::new(HttpHosts::new(settings.hosts_address)),
            Arc::new(HttpWorker::new()),
        )
        .await?;
        let signals = tokio::spawn(signals.follow(server.control()));
        server.wait().await;
        signals.abort();
        Ok(())
    })
}
