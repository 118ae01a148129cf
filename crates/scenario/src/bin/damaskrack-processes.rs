//! Runs scripts against real daemons, or measures a cell of real daemons.

use {
    anyhow::Context,
    clap::Parser,
    damaskrack_scenario::{ProcessOptions, ScenarioScript, measure_processes, run_processes},
    std::{fs, path::PathBuf, process::ExitCode},
};

/// Runs scripts against real daemons; without scripts it measures a cell and prints JSON.
#[derive(Debug, Parser)]
#[command(version, about)]
struct ProcessArgs {
    /// Scripts that are marked `processes`.
    scripts: Vec<PathBuf>,
    /// The daemon's program.
    #[arg(long, default_value = "target/release/damaskrackd")]
    program: PathBuf,
    /// Seed of the targets and entries that a script leaves open.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory that the daemons' logs go to.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Callers at once while measuring; may be repeated.
    #[arg(long, default_values_t = [16, 64, 256])]
    callers: Vec<usize>,
}

fn main() -> anyhow::Result<ExitCode> {
    let args = ProcessArgs::parse();
    let options = ProcessOptions { program: args.program, log_directory: args.logs };
    if args.scripts.is_empty() {
        let figures = measure_processes(&options, &args.callers)?;
        println!("{}", serde_json::to_string_pretty(&figures)?);
        return Ok(ExitCode::SUCCESS);
    }
    let mut code = ExitCode::SUCCESS;
    for path in &args.scripts {
        let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
        let script = ScenarioScript::parse(&text).with_context(|| path.display().to_string())?;
        let verdict = run_processes(&script, args.seed, &options);
        let status = if verdict.is_good() { "ok" } else { "BAD" };
        println!("{status} {} seed {} {:?}", path.display(), args.seed, verdict.figures);
        verdict.complaints().iter().for_each(|complaint| println!("  {complaint}"));
        if !verdict.is_good() {
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}
