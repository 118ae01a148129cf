//! Computes the figures of a run: waits, utilization, shares, lost work and work during the outage
//! of a zone.

use {
    super::{
        mix::{WorkCategory, WorkMix},
        outcome::{ControlCost, PolicyRun, TaskRun},
    },
    damaskrack_model::{Resources, WorkKind},
    damaskrack_policy::{TeamDemand, entitlements},
    hdrhistogram::Histogram,
    serde::Serialize,
    std::collections::BTreeMap,
};

/// Interval of samples, in milliseconds.
const SAMPLE_MS: u64 = 500;

/// Window over which shares are averaged, in milliseconds.
const WINDOW_MS: u64 = 60_000;

/// Time in which the workers of a returned zone fill up again, in milliseconds.
const REFILL_MS: u64 = 30_000;

/// Demand beyond the capacity, as a fraction of it, from which the cell counts as full.
const FULL_MARGIN: f64 = 0.02;

/// Longest permitted wait of urgent work of an entitled team, in milliseconds.
const URGENT_WAIT_LIMIT_MS: u64 = 4_000;

/// Upper bound of the histograms, in milliseconds.
const MAX_RECORDED_MS: u64 = 100_000_000;

/// Free capacity of a worker that does not cover this counts as stranded.
const SMALLEST_TASK: Resources =
    Resources { millicores: 500, memory_bytes: 1 << 30, accelerators: 0 };

/// Waits of one category of work.
#[derive(Debug, Clone, Serialize)]
pub(super) struct WaitFigures {
    #[serde(rename = "sort")]
    pub(super) category: WorkCategory,
    pub(super) tasks: u64,
    pub(super) never_started: u64,
    pub(super) p50_ms: u64,
    pub(super) p99_ms: u64,
    pub(super) max_ms: u64,
}

/// Distance of the share of a team from its entitlement in minutes in which the cell was full.
#[derive(Debug, Clone, Serialize)]
pub(super) struct ShareFigures {
    pub(super) team: &'static str,
    pub(super) minutes: usize,
    pub(super) mean_error: f64,
    pub(super) worst_error: f64,
    /// Largest shortfall below the entitlement.
    pub(super) worst_below: f64,
    /// Start of the minute with the largest shortfall, in seconds.
    pub(super) worst_below_at_s: u64,
    /// Largest shortfall in a minute that contains no change of the zone.
    pub(super) steady_below: f64,
}

/// State of the cell at one time; amounts are fractions of its capacity.
#[derive(Debug, Clone, Serialize)]
pub(super) struct CellSample {
    pub(super) at_ms: u64,
    pub(super) is_full: bool,
    pub(super) cores: f64,
    pub(super) memory: f64,
    pub(super) stranded_cores: f64,
    pub(super) stranded_memory: f64,
    pub(super) shares: Vec<f64>,
    pub(super) entitled: Vec<f64>,
}

/// Figures of one policy.
#[derive(Debug, Clone, Serialize)]
pub(super) struct PolicyFigures {
    pub(super) policy: String,
    pub(super) waits: Vec<WaitFigures>,
    /// Waits of urgent work that was submitted while the cell was full.
    pub(super) urgent_full: WaitFigures,
    /// Number of such tasks that waited longer than the limit or never started.
    pub(super) urgent_late: u64,
    pub(super) full_samples: usize,
    pub(super) cores_used: f64,
    pub(super) memory_used: f64,
    pub(super) stranded_cores: f64,
    pub(super) stranded_memory: f64,
    pub(super) shares: Vec<ShareFigures>,
    pub(super) runs_cut: u64,
    /// Work that was repeated or discarded, as a fraction of all work.
    pub(super) lost_work: f64,
    /// Cores in use during the outage of the zone and for half as long after, as a fraction of those
    /// in service.
    pub(super) zone_work: f64,
    /// Number of completed tasks.
    pub(super) done_tasks: u64,
    /// Core-seconds of completed tasks.
    pub(super) done_core_s: f64,
    pub(super) control: Option<ControlCost>,
    #[serde(skip)]
    pub(super) samples: Vec<CellSample>,
}

/// Runs of each task, by arrival and task number, in order of start.
type RunsByTask<'a> = BTreeMap<(usize, u32), Vec<&'a TaskRun>>;

/// Computes the figures of a run.
pub(super) fn measure(mix: &WorkMix, run: &PolicyRun) -> PolicyFigures {
    let mut tasks: RunsByTask<'_> = BTreeMap::new();
    for task_run in &run.runs {
        tasks.entry((task_run.arrival, task_run.task)).or_default().push(task_run);
    }
    tasks.values_mut().for_each(|task_runs| task_runs.sort_by_key(|run| run.start_ms));
    let samples = sample_cell(mix, &run.runs, &tasks);
    let categories = [
        WorkCategory::Check,
        WorkCategory::Service,
        WorkCategory::Gang,
        WorkCategory::Batch,
        WorkCategory::Small,
    ];
    let waits = categories.map(|category| wait_figures(mix, &tasks, category, |_| true)).to_vec();
    let is_full_at = |at_ms: u64| {
        let index = usize::try_from(at_ms / SAMPLE_MS).unwrap_or(0);
        samples.get(index).is_some_and(|sample| sample.is_full)
    };
    let urgent_full = wait_figures(mix, &tasks, WorkCategory::Check, is_full_at);
    let urgent_late = count_late(mix, &tasks, is_full_at);
    let full: Vec<&CellSample> = samples.iter().filter(|sample| sample.is_full).collect();
    let mean =
        |fraction: fn(&CellSample) -> f64| average(full.iter().map(|sample| fraction(sample)));
    let (done_tasks, done_core_s) = done_work(mix, &tasks);
    PolicyFigures {
        policy: run.policy.clone(),
        waits: waits.into_iter().filter(|figures| figures.tasks > 0).collect(),
        urgent_full,
        urgent_late,
        full_samples: full.len(),
        cores_used: mean(|sample| sample.cores),
        memory_used: mean(|sample| sample.memory),
        stranded_cores: mean(|sample| sample.stranded_cores),
        stranded_memory: mean(|sample| sample.stranded_memory),
        shares: (0..mix.teams.len()).map(|team| share_figures(mix, &samples, team)).collect(),
        runs_cut: run.runs.iter().filter(|run| !run.is_complete && run.end_ms < mix.run_ms).count()
            as u64,
        lost_work: lost_work(mix, &tasks),
        zone_work: zone_work(mix, &samples),
        done_tasks,
        done_core_s,
        control: run.control,
        samples,
    }
}

#[allow(clippy::cast_precision_loss)]
fn average(values: impl Iterator<Item = f64>) -> f64 {
    let (mut sum, mut count) = (0.0, 0_u64);
    for value in values {
        sum += value;
        count += 1;
    }
    if count == 0 { 0.0 } else { sum / count as f64 }
}

/// Returns the wait of every task of a category, `None` if it never started; a gang counts once and
/// waits until its last task starts.
fn task_waits<'a>(
    mix: &'a WorkMix,
    tasks: &'a RunsByTask<'_>,
    category: WorkCategory,
    is_counted: impl Fn(u64) -> bool + 'a,
) -> impl Iterator<Item = Option<u64>> + 'a {
    let arrivals = mix.arrivals.iter().enumerate();
    let chosen = arrivals
        .filter(move |(_, arrival)| arrival.category == category && is_counted(arrival.at_ms));
    chosen.flat_map(move |(index, arrival)| {
        let start = move |task: u32| {
            let task_runs = tasks.get(&(index, task))?;
            Some(task_runs.first()?.start_ms.saturating_sub(arrival.at_ms))
        };
        let waits: Vec<Option<u64>> = (0..arrival.tasks).map(start).collect();
        if arrival.kind == WorkKind::Gang {
            let whole = waits.iter().copied().collect::<Option<Vec<u64>>>();
            vec![whole.and_then(|waits| waits.into_iter().max())]
        } else {
            waits
        }
    })
}

fn wait_figures(
    mix: &WorkMix,
    tasks: &RunsByTask<'_>,
    category: WorkCategory,
    is_counted: impl Fn(u64) -> bool,
) -> WaitFigures {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("the bounds are valid");
    let mut never_started = 0;
    for wait in task_waits(mix, tasks, category, is_counted) {
        match wait {
            Some(wait_ms) => histogram.saturating_record(wait_ms),
            None => never_started += 1,
        }
    }
    WaitFigures {
        category,
        tasks: histogram.len() + never_started,
        never_started,
        p50_ms: histogram.value_at_quantile(0.5),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
    }
}

fn count_late(mix: &WorkMix, tasks: &RunsByTask<'_>, is_counted: impl Fn(u64) -> bool) -> u64 {
    let waits = task_waits(mix, tasks, WorkCategory::Check, is_counted);
    waits.filter(|wait| wait.is_none_or(|wait_ms| wait_ms > URGENT_WAIT_LIMIT_MS)).count() as u64
}

fn done_work(mix: &WorkMix, tasks: &RunsByTask<'_>) -> (u64, f64) {
    let (mut count, mut core_s) = (0, 0.0);
    for ((arrival, _), task_runs) in tasks {
        if task_runs.iter().any(|run| run.is_complete) {
            count += 1;
            core_s += core_seconds(mix.arrivals[*arrival].need, mix.arrivals[*arrival].run_ms);
        }
    }
    (count, core_s)
}

#[allow(clippy::cast_precision_loss)]
fn core_seconds(need: Resources, run_ms: u64) -> f64 {
    need.millicores as f64 / 1_000.0 * run_ms as f64 / 1_000.0
}

/// Returns the fraction of the work of completed tasks that was done more than once.
fn lost_work(mix: &WorkMix, tasks: &RunsByTask<'_>) -> f64 {
    let (mut lost, mut total) = (0.0, 0.0);
    for ((arrival, _), task_runs) in tasks {
        let arrival = &mix.arrivals[*arrival];
        if arrival.kind == WorkKind::Service || !task_runs.iter().any(|run| run.is_complete) {
            continue;
        }
        let spent_ms: u64 = task_runs.iter().map(|run| run.end_ms - run.start_ms).sum();
        total += core_seconds(arrival.need, spent_ms);
        lost += core_seconds(arrival.need, spent_ms.saturating_sub(arrival.run_ms));
    }
    if total == 0.0 { 0.0 } else { lost / total }
}

fn zone_work(mix: &WorkMix, samples: &[CellSample]) -> f64 {
    let (out_ms, in_ms) = mix.zone_out_ms;
    let until_ms = in_ms + (in_ms - out_ms) / 2;
    let window = samples.iter().filter(|sample| (out_ms..until_ms).contains(&sample.at_ms));
    average(window.map(|sample| sample.cores))
}

/// Averages a team's share and entitlement over every minute in which the cell was full.
fn share_figures(mix: &WorkMix, samples: &[CellSample], team: usize) -> ShareFigures {
    let per_window = usize::try_from(WINDOW_MS / SAMPLE_MS).unwrap_or(1);
    let mut errors = Vec::new();
    // Windows start every second, so that a bad minute is not split between two windows.
    for window in samples.windows(per_window).step_by(2) {
        if !window.iter().all(|sample| sample.is_full) {
            continue;
        }
        let share = average(window.iter().map(|sample| sample.shares[team]));
        let entitled = average(window.iter().map(|sample| sample.entitled[team]));
        errors.push((window[0].at_ms / 1_000, share - entitled));
    }
    let (out_ms, in_ms) = mix.zone_out_ms;
    let is_steady = |at_s: u64| {
        let from_ms = at_s * 1_000;
        let touches = |change_ms| from_ms <= change_ms && change_ms < from_ms + WINDOW_MS;
        !touches(out_ms) && !touches(in_ms) && !touches(in_ms + REFILL_MS)
    };
    let steady = errors.iter().filter(|(at_s, _)| is_steady(*at_s));
    let steady_below = steady.map(|(_, error)| -error).fold(0.0, f64::max);
    let lowest = errors.iter().copied().min_by(|left, right| left.1.total_cmp(&right.1));
    let (worst_below_at_s, lowest) = lowest.unwrap_or_default();
    ShareFigures {
        team: mix.teams[team].name,
        minutes: errors.len(),
        mean_error: average(errors.iter().map(|(_, error)| error.abs())),
        worst_error: errors.iter().map(|(_, error)| error.abs()).fold(0.0, f64::max),
        worst_below: (-lowest).max(0.0),
        worst_below_at_s,
        steady_below,
    }
}

/// A change of the demand or of the running tasks.
#[derive(Debug, Clone, Copy)]
enum CellChange {
    Wanted { team: usize, need: Resources, is_more: bool },
    Running { team: usize, worker: usize, need: Resources, is_more: bool },
}

fn list_changes(mix: &WorkMix, runs: &[TaskRun], tasks: &RunsByTask<'_>) -> Vec<(u64, CellChange)> {
    let mut changes = Vec::new();
    for (index, arrival) in mix.arrivals.iter().enumerate() {
        let (team, need) = (arrival.team, arrival.need);
        for task in 0..arrival.tasks {
            changes.push((arrival.at_ms, CellChange::Wanted { team, need, is_more: true }));
            let task_runs = tasks.get(&(index, task));
            if let Some(whole) =
                task_runs.and_then(|task_runs| task_runs.iter().find(|run| run.is_complete))
            {
                changes.push((whole.end_ms, CellChange::Wanted { team, need, is_more: false }));
            }
        }
    }
    for run in runs {
        let arrival = &mix.arrivals[run.arrival];
        let (team, worker, need) = (arrival.team, run.worker, arrival.need);
        let running = |is_more| CellChange::Running { team, worker, need, is_more };
        changes.push((run.start_ms, running(true)));
        changes.push((run.end_ms, running(false)));
    }
    changes.sort_by_key(|(at_ms, _)| *at_ms);
    changes
}

/// Running totals from which the samples are taken.
#[derive(Debug)]
struct CellTotals {
    wanted: Vec<Resources>,
    used: Vec<Resources>,
    on_worker: Vec<Resources>,
    tasks: Vec<u32>,
}

impl CellTotals {
    fn apply(&mut self, change: CellChange) {
        let shift = |sum: &mut Resources, need: Resources, is_more: bool| {
            *sum = if is_more { sum.saturating_add(need) } else { sum.saturating_sub(need) };
        };
        match change {
            CellChange::Wanted { team, need, is_more } => {
                shift(&mut self.wanted[team], need, is_more);
            }
            CellChange::Running { team, worker, need, is_more } => {
                shift(&mut self.used[team], need, is_more);
                shift(&mut self.on_worker[worker], need, is_more);
                let tasks = &mut self.tasks[worker];
                *tasks = if is_more { *tasks + 1 } else { tasks.saturating_sub(1) };
            }
        }
    }
}

fn sample_cell(mix: &WorkMix, runs: &[TaskRun], tasks: &RunsByTask<'_>) -> Vec<CellSample> {
    let changes = list_changes(mix, runs, tasks);
    let mut totals = CellTotals {
        wanted: vec![Resources::ZERO; mix.teams.len()],
        used: vec![Resources::ZERO; mix.teams.len()],
        on_worker: vec![Resources::ZERO; mix.workers()],
        tasks: vec![0; mix.workers()],
    };
    let mut samples = Vec::new();
    let mut next = 0;
    for at_ms in (0..mix.run_ms).step_by(usize::try_from(SAMPLE_MS).unwrap_or(1)) {
        while let Some((change_ms, change)) = changes.get(next)
            && *change_ms <= at_ms
        {
            totals.apply(*change);
            next += 1;
        }
        samples.push(take_sample(mix, &totals, at_ms));
    }
    samples
}

fn take_sample(mix: &WorkMix, totals: &CellTotals, at_ms: u64) -> CellSample {
    let is_out = (mix.zone_out_ms.0..mix.zone_out_ms.1).contains(&at_ms);
    let is_open = |worker: usize| !is_out || worker / mix.workers_per_rack % 3 != 1;
    let open = (0..mix.workers()).filter(|&worker| is_open(worker)).count() as u64;
    let capacity = mix.worker.checked_mul(open).unwrap_or(mix.worker);
    let demand = |team: usize| TeamDemand {
        weight: mix.teams[team].share,
        wanted: totals.wanted[team],
        limit: mix.capacity(),
    };
    let demands: Vec<TeamDemand> = (0..mix.teams.len()).map(demand).collect();
    let sum = |amounts: &[Resources]| {
        amounts.iter().fold(Resources::ZERO, |sum, amount| sum.saturating_add(*amount))
    };
    let used = sum(&totals.used);
    let mut stranded = Resources::ZERO;
    for worker in (0..mix.workers()).filter(|&worker| is_open(worker)) {
        let free = mix.worker.saturating_sub(totals.on_worker[worker]);
        if !free.covers(SMALLEST_TASK) || totals.tasks[worker] >= mix.slots {
            stranded = stranded.saturating_add(free);
        }
    }
    CellSample {
        at_ms,
        is_full: sum(&totals.wanted).dominant_share(capacity) > 1.0 + FULL_MARGIN,
        cores: fraction(used.millicores, capacity.millicores),
        memory: fraction(used.memory_bytes, capacity.memory_bytes),
        stranded_cores: fraction(stranded.millicores, capacity.millicores),
        stranded_memory: fraction(stranded.memory_bytes, capacity.memory_bytes),
        shares: totals.used.iter().map(|used| used.dominant_share(capacity)).collect(),
        entitled: entitlements(capacity, &demands),
    }
}

#[allow(clippy::cast_precision_loss)]
fn fraction(amount: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { amount as f64 / whole as f64 }
}
