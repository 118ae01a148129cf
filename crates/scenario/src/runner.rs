//! Runs a script with a seed and checks the recorded history.

use {
    crate::{
        expect::check_expectation,
        observe::{RunHistory, Violation, every_observer},
        script::ScenarioScript,
        world::{SimWorld, TraceFilter},
    },
    damaskrack_model::{NameError, OutcomeKind},
    serde::Serialize,
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Counters of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RunFigures {
    /// Faults injected.
    pub faults: u64,
    /// Starts on workers, each checked by the observers.
    pub starts: u64,
    /// Responses that callers received, each checked by the observers.
    pub answers: u64,
    /// Responses that report the work as done.
    pub done: u64,
    /// Responses that report the work as failed.
    pub failed: u64,
    /// Responses that report the work as not run.
    pub not_run: u64,
    /// Responses that don't tell whether the work ran.
    pub unknown: u64,
    /// Connections that broke before a response.
    pub broken: u64,
    /// Work items that callers submitted.
    pub works: u64,
    /// Starts that a worker refused for lack of free capacity.
    pub refused_full: u64,
    /// Calls that a worker refused for a stale epoch.
    pub refused_stale: u64,
    /// Starts that a worker refused because their lease had expired.
    pub refused_expired: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Messages between nodes that place, end and track work, heartbeats included.
    pub messages: u64,
    /// Messages between nodes that carry callers' requests, queries and responses.
    pub caller_messages: u64,
}

impl RunFigures {
    /// Sets the counters of starts, works and responses from a history.
    pub(crate) fn count_seen(&mut self, history: &RunHistory) {
        self.starts = history.runs.len() as u64;
        self.works = history.works.len() as u64;
        self.count_answers(history);
    }

    /// Counts the responses that callers received, by outcome.
    fn count_answers(&mut self, history: &RunHistory) {
        for attempt in history.works.iter().flat_map(|work| &work.tries) {
            self.broken += u64::from(attempt.is_broken);
            for answer in &attempt.answers {
                self.answers += 1;
                let counter = match answer.outcome {
                    OutcomeKind::Done => &mut self.done,
                    OutcomeKind::Failed => &mut self.failed,
                    OutcomeKind::NotRun => &mut self.not_run,
                    OutcomeKind::Unknown => &mut self.unknown,
                };
                *counter += 1;
            }
        }
    }

    /// Adds the counters of another run.
    pub fn add(&mut self, other: &Self) {
        self.faults += other.faults;
        self.starts += other.starts;
        self.answers += other.answers;
        self.done += other.done;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.broken += other.broken;
        self.works += other.works;
        self.refused_full += other.refused_full;
        self.refused_stale += other.refused_stale;
        self.refused_expired += other.refused_expired;
        self.store_calls += other.store_calls;
        self.messages += other.messages;
        self.caller_messages += other.caller_messages;
    }
}

/// Result of checking a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunVerdict {
    /// Seed of the run.
    pub seed: u64,
    /// Broken invariants that the observers found.
    pub violations: Vec<Violation>,
    /// Expectations that were not met.
    pub failures: Vec<String>,
    /// Counters of the run.
    pub figures: RunFigures,
    /// Each node's tables at the end, if [`RunOptions::keeps_dumps`] is set.
    pub dumps: Vec<String>,
}

impl RunVerdict {
    /// Returns whether the run has no violation and no failed expectation.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }

    /// Returns one line for each violation and each failed expectation.
    #[must_use]
    pub fn complaints(&self) -> Vec<String> {
        let violations = self.violations.iter().map(|violation| {
            format!("at {} ms: {}: {}", violation.at_ms, violation.point, violation.detail)
        });
        violations.chain(self.failures.iter().cloned()).collect()
    }
}

/// Options for running a script.
#[derive(Debug, Clone, Default)]
pub struct RunOptions {
    /// Events to trace; `None` traces nothing.
    pub trace: Option<TraceFilter>,
    /// Whether to dump each node's tables at the end.
    pub keeps_dumps: bool,
}

/// Runs a script with a seed. The same script and seed always give the same verdict.
///
/// A panic of the node logic is reported as a failure.
///
/// # Examples
///
/// ```
/// use damaskrack_scenario::{RunOptions, ScenarioScript, run_script};
///
/// let script = ScenarioScript::parse("cell nodes=1 racks=1\nrun 100ms\n")?;
/// let options = RunOptions::default();
/// assert_eq!(run_script(&script, 7, &options), run_script(&script, 7, &options));
/// # Ok::<(), damaskrack_scenario::ScriptError>(())
/// ```
#[must_use]
pub fn run_script(script: &ScenarioScript, seed: u64, options: &RunOptions) -> RunVerdict {
    let run = AssertUnwindSafe(|| run_world(script, seed, options));
    catch_unwind(run).unwrap_or_else(|payload| {
        let text = payload.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no message");
        failed_run(seed, format!("the node panicked: {text}"))
    })
}

/// Returns the verdict of a run that could not be completed.
pub(crate) fn failed_run(seed: u64, reason: String) -> RunVerdict {
    RunVerdict {
        seed,
        violations: Vec::new(),
        failures: vec![reason],
        figures: RunFigures::default(),
        dumps: Vec::new(),
    }
}

/// History of a run, for programs that evaluate it by their own measures.
#[derive(Debug, Clone)]
pub struct RecordedRun {
    /// Everything that the stand-ins and the callers recorded.
    pub history: RunHistory,
    /// Counters of the run.
    pub figures: RunFigures,
}

/// Runs a script with a seed and returns its history without checking it.
///
/// # Errors
///
/// Returns an error if a generated name is invalid, which would be a bug in this crate.
///
/// # Examples
///
/// ```
/// use damaskrack_scenario::{ScenarioScript, record_run};
///
/// let script = ScenarioScript::parse("cell nodes=1 racks=1\nrun 100ms\n")?;
/// assert!(record_run(&script, 7)?.history.runs.is_empty());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn record_run(script: &ScenarioScript, seed: u64) -> Result<RecordedRun, NameError> {
    let mut world = SimWorld::new(script, seed, None)?;
    world.run_until(script.run_ms);
    Ok(take_record(&mut world))
}

fn take_record(world: &mut SimWorld) -> RecordedRun {
    let mut figures = world.figures();
    let history = world.take_history();
    figures.count_seen(&history);
    RecordedRun { history, figures }
}

fn run_world(script: &ScenarioScript, seed: u64, options: &RunOptions) -> RunVerdict {
    let mut world = match SimWorld::new(script, seed, options.trace.clone()) {
        Ok(world) => world,
        Err(error) => return failed_run(seed, error.to_string()),
    };
    world.run_until(script.run_ms);
    let dumps = if options.keeps_dumps { world.dumps() } else { Vec::new() };
    let RecordedRun { history, figures } = take_record(&mut world);
    RunVerdict { dumps, ..judge_run(script, seed, &history, figures) }
}

/// Checks a run's history against every observer and the script's expectations.
pub(crate) fn judge_run(
    script: &ScenarioScript,
    seed: u64,
    history: &RunHistory,
    figures: RunFigures,
) -> RunVerdict {
    let observers = every_observer();
    let found = observers.iter().flat_map(|observer| observer.check(history, &script.bounds));
    let mut violations: Vec<Violation> = found.collect();
    violations.sort_by_key(|violation| violation.at_ms);
    let failures =
        script.expects.iter().filter_map(|expect| check_expectation(expect, history)).collect();
    RunVerdict { seed, violations, failures, figures, dumps: Vec::new() }
}
