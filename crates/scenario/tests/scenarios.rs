//! Runs every script of `tests/scenarios` as one test per seed.

use {
    anyhow::Context,
    damaskrack_scenario::{RunOptions, ScenarioScript, run_script},
    libtest_mimic::{Arguments, Failed, Trial},
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::Arc,
    },
};

fn script_files() -> anyhow::Result<Vec<PathBuf>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios");
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

fn run_trial(script: &ScenarioScript, seed: u64) -> Result<(), Failed> {
    let verdict = run_script(script, seed, &RunOptions::default());
    if verdict.is_good() { Ok(()) } else { Err(verdict.complaints().join("\n").into()) }
}

/// Scripts for real processes are skipped, because they need the daemon's executable.
fn trials_of(path: &Path) -> anyhow::Result<Vec<Trial>> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let text = fs::read_to_string(path).with_context(|| name.clone())?;
    let script = Arc::new(ScenarioScript::parse(&text).with_context(|| name.clone())?);
    if script.needs_processes() {
        return Ok(Vec::new());
    }
    let (first, last) = script.seeds();
    let trial = |seed| {
        let script = Arc::clone(&script);
        Trial::test(format!("{name}::seed-{seed}"), move || run_trial(&script, seed))
    };
    Ok((first..=last).map(trial).collect())
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = Arguments::from_args();
    let mut trials = Vec::new();
    for path in script_files()? {
        trials.extend(trials_of(&path)?);
    }
    Ok(libtest_mimic::run(&arguments, trials).exit_code())
}
