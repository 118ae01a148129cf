//! Runs scenario scripts over many seeds and prints violations and unmet expectations.

use {
    anyhow::{Context, Result, bail},
    clap::Parser,
    damaskrack_scenario::{
        RunFigures, RunOptions, RunVerdict, ScenarioScript, TraceFilter, run_script,
    },
    serde::Serialize,
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
    },
};

/// Runs scenario scripts over many seeds.
#[derive(Debug, Parser)]
#[command(version, about)]
struct ScenarioArgs {
    /// Scripts, or directories that hold `*.scn` files.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Seeds, such as 1..500, both ends included; each script's own if absent.
    #[arg(long, value_parser = parse_seeds)]
    seeds: Option<(u64, u64)>,
    /// Writes a JSON report to this file.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Threads to run with.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Prints every event of the run; for one script and one seed.
    #[arg(long)]
    trace: bool,
    /// Traces only lines that contain this text; may be repeated.
    #[arg(long)]
    grep: Vec<String>,
    /// Traces from this millisecond on.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Traces until this millisecond; 0 for no end.
    #[arg(long, default_value_t = 0)]
    until: u64,
    /// Traces heartbeats, digests, reports and watches too.
    #[arg(long)]
    verbose: bool,
    /// Prints each node's tables at the end.
    #[arg(long)]
    dump: bool,
    /// Complaints printed for each run.
    #[arg(long, default_value_t = 5)]
    complaints: usize,
}

fn parse_seeds(text: &str) -> Result<(u64, u64), String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| text.parse::<u64>().map_err(|_| "expected A..B".to_owned());
    let (first, last) = (number(first)?, number(last)?);
    if first > last { Err("the range is empty".to_owned()) } else { Ok((first, last)) }
}

#[derive(Debug)]
struct NamedScript {
    name: String,
    script: ScenarioScript,
}

#[derive(Debug, Default, Serialize)]
struct ScriptReport {
    script: String,
    runs: u64,
    figures: RunFigures,
    violations: u64,
    unmet: u64,
    bad_seeds: Vec<u64>,
    complaints: Vec<String>,
}

fn find_scripts(path: &Path) -> Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut found = Vec::new();
    for entry in fs::read_dir(path).with_context(|| format!("cannot read {}", path.display()))? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "scn") {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}

fn read_scripts(paths: &[PathBuf]) -> Result<Vec<NamedScript>> {
    let mut scripts = Vec::new();
    for path in paths {
        for file in find_scripts(path)? {
            let text = fs::read_to_string(&file)
                .with_context(|| format!("cannot read {}", file.display()))?;
            let script =
                ScenarioScript::parse(&text).with_context(|| file.display().to_string())?;
            let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            if !script.needs_processes() {
                scripts.push(NamedScript { name, script });
            }
        }
    }
    Ok(scripts)
}

fn run_all(args: &ScenarioArgs, scripts: &[NamedScript]) -> Vec<ScriptReport> {
    let mut work = Vec::new();
    for (index, named) in scripts.iter().enumerate() {
        let (first, last) = args.seeds.unwrap_or(named.script.seeds());
        work.extend((first..=last).map(|seed| (index, seed)));
    }
    let report =
        |named: &NamedScript| ScriptReport { script: named.name.clone(), ..Default::default() };
    let reports = Mutex::new(scripts.iter().map(report).collect::<Vec<_>>());
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..args.threads.max(1) {
            scope.spawn(|| {
                while let Some(&(index, seed)) = work.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let verdict = run_script(&scripts[index].script, seed, &options(args));
                    let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
                    add_verdict(args, &mut reports[index], &verdict);
                }
            });
        }
    });
    reports.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn options(args: &ScenarioArgs) -> RunOptions {
    let filter = TraceFilter {
        words: args.grep.clone(),
        from_ms: args.from,
        until_ms: args.until,
        is_verbose: args.verbose,
    };
    RunOptions { trace: args.trace.then_some(filter), keeps_dumps: args.dump }
}

fn add_verdict(args: &ScenarioArgs, report: &mut ScriptReport, verdict: &RunVerdict) {
    report.runs += 1;
    report.figures.add(&verdict.figures);
    report.violations += verdict.violations.len() as u64;
    report.unmet += verdict.failures.len() as u64;
    for dump in &verdict.dumps {
        println!("{dump}");
    }
    if verdict.is_good() {
        return;
    }
    report.bad_seeds.push(verdict.seed);
    let complaints = verdict.complaints();
    for complaint in complaints.iter().take(args.complaints) {
        println!("{} seed {}: {complaint}", report.script, verdict.seed);
    }
    report.complaints.extend(
        complaints
            .into_iter()
            .take(args.complaints)
            .map(|text| format!("seed {}: {text}", verdict.seed)),
    );
}

fn print_reports(reports: &[ScriptReport]) {
    println!(
        "{:<34} {:>5} {:>7} {:>8} {:>8} {:>10} {:>6} {:>9}",
        "script", "runs", "faults", "starts", "answers", "violations", "unmet", "bad seeds"
    );
    let mut total = ScriptReport { script: "total".to_owned(), ..Default::default() };
    for report in reports {
        print_report(report);
        total.runs += report.runs;
        total.figures.add(&report.figures);
        total.violations += report.violations;
        total.unmet += report.unmet;
        total.bad_seeds.extend(&report.bad_seeds);
    }
    print_report(&total);
}

fn print_report(report: &ScriptReport) {
    println!(
        "{:<34} {:>5} {:>7} {:>8} {:>8} {:>10} {:>6} {:>9}",
        report.script,
        report.runs,
        report.figures.faults,
        report.figures.starts,
        report.figures.answers,
        report.violations,
        report.unmet,
        report.bad_seeds.len()
    );
}

fn main() -> Result<ExitCode> {
    let args = ScenarioArgs::parse();
    let scripts = read_scripts(&args.paths)?;
    let is_single_run = scripts.len() == 1 && args.seeds.is_some_and(|(first, last)| first == last);
    if args.trace && !is_single_run {
        bail!("--trace takes one script and one seed, such as --seeds 7");
    }
    let reports = run_all(&args, &scripts);
    print_reports(&reports);
    if let Some(path) = &args.report {
        let json = serde_json::to_string_pretty(&reports)?;
        fs::write(path, json).with_context(|| format!("cannot write {}", path.display()))?;
    }
    let is_good = reports.iter().all(|report| report.bad_seeds.is_empty());
    Ok(if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
