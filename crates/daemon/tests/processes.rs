//! Runs every script of `tests/scenarios/processes` against the built daemon.

use {
    anyhow::Context,
    damaskrack_scenario::{ProcessOptions, ScenarioScript, run_processes},
    libtest_mimic::{Arguments, Failed, Trial},
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::Arc,
    },
};

/// Default number of scripts that run at a time, each with its own processes.
const SCRIPTS_AT_ONCE: usize = 5;

fn script_files() -> anyhow::Result<Vec<PathBuf>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios/processes");
    let mut files = Vec::new();
    for entry in fs::read_dir(&directory).with_context(|| directory.display().to_string())? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "scn") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Creates the directory for a run's logs, which are kept until the next run to investigate failures.
fn log_directory(name: &str, seed: u64) -> anyhow::Result<PathBuf> {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{seed}"));
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory)?;
    Ok(directory)
}

fn run_trial(script: &ScenarioScript, name: &str, seed: u64) -> Result<(), Failed> {
    let log_directory = log_directory(name, seed).map_err(|error| format!("{error:#}"))?;
    let program = PathBuf::from(env!("CARGO_BIN_EXE_damaskrackd"));
    let options = ProcessOptions { program, log_directory: Some(log_directory.clone()) };
    let verdict = run_processes(script, seed, &options);
    if verdict.is_good() {
        return Ok(());
    }
    let complaints = verdict.complaints().join("\n");
    Err(format!("{complaints}\n{:?}\nlogs: {}", verdict.figures, log_directory.display()).into())
}

fn trials_of(path: &Path) -> anyhow::Result<Vec<Trial>> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let text = fs::read_to_string(path).with_context(|| name.clone())?;
    let script = Arc::new(ScenarioScript::parse(&text).with_context(|| name.clone())?);
    anyhow::ensure!(script.needs_processes(), "{name}: `processes` is missing");
    let (first, last) = script.seeds();
    let trial = |seed| {
        let (script, name) = (Arc::clone(&script), name.clone());
        let title = format!("{name}::seed-{seed}");
        Trial::test(title, move || run_trial(&script, &name, seed))
    };
    Ok((first..=last).map(trial).collect())
}

fn main() -> anyhow::Result<ExitCode> {
    let mut arguments = Arguments::from_args();
    arguments.test_threads.get_or_insert(SCRIPTS_AT_ONCE);
    let mut trials = Vec::new();
    for path in script_files()? {
        trials.extend(trials_of(&path)?);
    }
    Ok(libtest_mimic::run(&arguments, trials).exit_code())
}
