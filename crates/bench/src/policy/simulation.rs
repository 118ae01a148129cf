//! Runs a mix on real scheduler nodes in the simulated cell of `damaskrack-scenario`.

use {
    super::{
        mix::{MixArrival, WorkMix},
        outcome::{ControlCost, PolicyRun, TaskRun},
    },
    anyhow::{Context, Result},
    damaskrack_model::{PriorityClass, TaskResult, WorkKind},
    damaskrack_scenario::{BoundPlan, RecordedRun, ScenarioScript, every_observer, record_run},
    std::{fmt::Write, time::Instant},
};

/// Number of daemons.
const NODES: usize = 8;

/// Retries of a caller that gets the outcome `not_run`.
const RETRIES: u32 = 50;

/// Whether teams may use more than their share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BorrowingMode {
    Allowed,
    Forbidden,
}

/// Runs a mix; without borrowing, the limit of every team equals its share.
pub(super) fn run(mix: &WorkMix, mode: BorrowingMode, seed: u64) -> Result<PolicyRun> {
    let text = write_script(mix, mode);
    let script =
        ScenarioScript::parse(&text).context("cannot parse the scenario script of the mix")?;
    let started = Instant::now();
    let record = record_run(&script, seed)?;
    let wall_s = started.elapsed().as_secs_f64();
    let observers = every_observer();
    let bounds = BoundPlan::default();
    let violations_found =
        observers.iter().flat_map(|observer| observer.check(&record.history, &bounds));
    let mut violations = 0;
    for violation in violations_found {
        violations += 1;
        eprintln!("{} at {} ms: {}", violation.point, violation.at_ms, violation.detail);
    }
    let policy = match mode {
        BorrowingMode::Allowed => "damaskrack",
        BorrowingMode::Forbidden => "damaskrack, no borrowing",
    };
    let control = ControlCost {
        messages: record.figures.messages,
        caller_messages: record.figures.caller_messages,
        store_calls: record.figures.store_calls,
        starts: record.figures.starts,
        wall_s,
        violations,
    };
    let runs = task_runs(&record);
    Ok(PolicyRun { policy: policy.to_owned(), runs, control: Some(control) })
}

fn task_runs(record: &RecordedRun) -> Vec<TaskRun> {
    let history = &record.history;
    let run = |seen: &damaskrack_scenario::SeenRun| {
        let (work, _) = history.find_token(&seen.token)?;
        Some(TaskRun {
            arrival: work.tag.as_deref()?.strip_prefix('a')?.parse().ok()?,
            task: seen.run.attempt.task,
            worker: seen.run.worker.as_str().strip_prefix("worker-")?.parse::<usize>().ok()? - 1,
            start_ms: seen.run.start_ms,
            end_ms: seen.run.end_ms.unwrap_or(history.end_ms),
            is_complete: seen.run.result == Some(TaskResult::Succeeded),
        })
    };
    history.runs.iter().filter_map(run).collect()
}

fn write_script(mix: &WorkMix, mode: BorrowingMode) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "cell nodes={NODES} zones=3 racks={} workers-per-rack={} millicores={} memory={}g slots={} latency=1ms jitter=1ms",
        mix.racks,
        mix.workers_per_rack,
        mix.worker.millicores,
        mix.worker.memory_bytes >> 30,
        mix.slots
    );
    let total: u32 = mix.teams.iter().map(|team| team.share).sum();
    for team in &mix.teams {
        let team_part = |amount: u64| amount * u64::from(team.share) / u64::from(total);
        let limit = match mode {
            BorrowingMode::Allowed => String::new(),
            BorrowingMode::Forbidden => format!(
                " millicores={} memory={}g",
                team_part(mix.capacity().millicores),
                team_part(mix.capacity().memory_bytes) >> 30
            ),
        };
        let name = team.name;
        let _ = writeln!(text, "team {name} share={} tasks=100000{limit}", team.share);
        let _ = writeln!(text, "key key-{name} team={name}\nqueue {name} team={name}");
    }
    let (out_ms, in_ms) = mix.zone_out_ms;
    let _ = writeln!(text, "run {}ms\nat {out_ms}ms zone zone-2 out", mix.run_ms);
    let _ = writeln!(text, "at {in_ms}ms zone zone-2 in");
    for (index, arrival) in mix.arrivals.iter().enumerate() {
        write_arrival(&mut text, mix, index, arrival);
    }
    text
}

fn write_arrival(text: &mut String, mix: &WorkMix, index: usize, arrival: &MixArrival) {
    let (verb, kind) = match arrival.kind {
        WorkKind::Request => ("request", ""),
        WorkKind::Service => ("job", " kind=service"),
        WorkKind::Gang => ("job", " kind=gang"),
        WorkKind::Batch => ("job", " kind=batch"),
    };
    let tasks = match arrival.kind {
        WorkKind::Request => String::new(),
        _ => format!(" tasks={}", arrival.tasks),
    };
    let run = match arrival.kind {
        WorkKind::Service => String::new(),
        _ => format!(" run={}ms", arrival.run_ms),
    };
    let priority = match arrival.priority {
        PriorityClass::Low => "low",
        PriorityClass::Normal => "normal",
        PriorityClass::Urgent => "urgent",
    };
    let safety = if arrival.idempotent { "" } else { " idempotent=no idempotency-key=yes" };
    let _ = writeln!(
        text,
        "at {}ms {verb} queue={}{kind}{tasks}{run} millicores={} memory={}m priority={priority} retries={RETRIES}{safety} tag=a{index}",
        arrival.at_ms,
        mix.teams[arrival.team].name,
        arrival.need.millicores,
        arrival.need.memory_bytes >> 20
    );
}
