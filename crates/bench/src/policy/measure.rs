//! What a run amounts to: waiting, packing, shares, lost work and work while a zone is away.

use {
    super::{
        mix::{WorkMix, WorkSort},
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

/// Time over which a share is averaged, in milliseconds.
const WINDOW_MS: u64 = 60_000;

/// Time that a zone's workers take to fill again, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// Part of the cell that must be waiting for it to count as full.
const FULL_MARGIN: f64 = 0.02;

/// Bound of the wait of urgent work of an entitled team, in milliseconds.
const URGENT_BOUND_MS: u64 = 4_000;

/// Longest wait that is told apart, in milliseconds.
const MAX_VALUE: u64 = 100_000_000;

/// Room below which the rest of a worker counts as stranded.
const SMALLEST: Resources = Resources { millicores: 500, memory_bytes: 1 << 30, accelerators: 0 };

/// Waits of one sort of work.
#[derive(Debug, Clone, Serialize)]
pub(super) struct WaitFigures {
    pub(super) sort: WorkSort,
    pub(super) tasks: u64,
    pub(super) never_started: u64,
    pub(super) p50_ms: u64,
    pub(super) p99_ms: u64,
    pub(super) max_ms: u64,
}

/// How near a team came to its share, minute by minute, while the cell was full.
#[derive(Debug, Clone, Serialize)]
pub(super) struct ShareFigures {
    pub(super) team: &'static str,
    pub(super) minutes: usize,
    pub(super) mean_error: f64,
    pub(super) worst_error: f64,
    /// Largest amount by which it stayed below.
    pub(super) worst_below: f64,
    /// Start of the minute in which it was furthest below, in seconds.
    pub(super) worst_below_at_s: u64,
    /// Largest amount by which it stayed below in a minute that no change of the zone touches.
    pub(super) steady_below: f64,
}

/// A sample of the cell.
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

/// Everything about one policy.
#[derive(Debug, Clone, Serialize)]
pub(super) struct PolicyFigures {
    pub(super) policy: String,
    pub(super) waits: Vec<WaitFigures>,
    /// Waits of urgent work that was handed in while the cell was full.
    pub(super) urgent_full: WaitFigures,
    /// Such work that waited beyond the bound.
    pub(super) urgent_late: u64,
    pub(super) full_samples: usize,
    pub(super) cores_used: f64,
    pub(super) memory_used: f64,
    pub(super) stranded_cores: f64,
    pub(super) stranded_memory: f64,
    pub(super) shares: Vec<ShareFigures>,
    pub(super) runs_cut: u64,
    /// Work done again or thrown away, as a part of all work.
    pub(super) lost_work: f64,
    /// Cores at work while the zone was away and for half as long after, as a part of those in
    /// service.
    pub(super) zone_work: f64,
    /// Tasks that ended.
    pub(super) done_tasks: u64,
    /// Core-seconds of tasks that ended.
    pub(super) done_core_s: f64,
    pub(super) control: Option<ControlCost>,
    #[serde(skip)]
    pub(super) samples: Vec<CellSample>,
}

/// Runs of each task, in order of time.
type TaskTable<'a> = BTreeMap<(usize, u32), Vec<&'a TaskRun>>;

/// Measures a run.
pub(super) fn measure(mix: &WorkMix, run: &PolicyRun) -> PolicyFigures {
    let mut tasks: TaskTable<'_> = BTreeMap::new();
    for row in &run.runs {
        tasks.entry((row.arrival, row.task)).or_default().push(row);
    }
    tasks.values_mut().for_each(|rows| rows.sort_by_key(|row| row.start_ms));
    let samples = sample_cell(mix, &run.runs, &tasks);
    let sorts =
        [WorkSort::Check, WorkSort::Service, WorkSort::Gang, WorkSort::Batch, WorkSort::Small];
    let waits = sorts.map(|sort| wait_of(mix, &tasks, sort, |_| true)).to_vec();
    let is_full_at = |at_ms: u64| {
        let index = usize::try_from(at_ms / SAMPLE_MS).unwrap_or(0);
        samples.get(index).is_some_and(|sample| sample.is_full)
    };
    let urgent_full = wait_of(mix, &tasks, WorkSort::Check, is_full_at);
    let urgent_late = count_late(mix, &tasks, is_full_at);
    let full: Vec<&CellSample> = samples.iter().filter(|sample| sample.is_full).collect();
    let mean = |part: fn(&CellSample) -> f64| average(full.iter().map(|sample| part(sample)));
    let (done_tasks, done_core_s) = done_work(mix, &tasks);
    PolicyFigures {
        policy: run.policy.clone(),
        waits: waits.into_iter().filter(|row| row.tasks > 0).collect(),
        urgent_full,
        urgent_late,
        full_samples: full.len(),
        cores_used: mean(|sample| sample.cores),
        memory_used: mean(|sample| sample.memory),
        stranded_cores: mean(|sample| sample.stranded_cores),
        stranded_memory: mean(|sample| sample.stranded_memory),
        shares: (0..mix.teams.len()).map(|team| share_error(mix, &samples, team)).collect(),
        runs_cut: run.runs.iter().filter(|row| !row.is_whole && row.end_ms < mix.run_ms).count()
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

/// Returns the wait of every task of a sort; a gang waits until its last task starts.
fn waits_of<'a>(
    mix: &'a WorkMix,
    tasks: &'a TaskTable<'_>,
    sort: WorkSort,
    counts: impl Fn(u64) -> bool + 'a,
) -> impl Iterator<Item = Option<u64>> + 'a {
    let arrivals = mix.arrivals.iter().enumerate();
    let chosen = arrivals.filter(move |(_, arrival)| arrival.sort == sort && counts(arrival.at_ms));
    chosen.flat_map(move |(index, arrival)| {
        let start = move |task: u32| {
            let rows = tasks.get(&(index, task))?;
            Some(rows.first()?.start_ms.saturating_sub(arrival.at_ms))
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

fn wait_of(
    mix: &WorkMix,
    tasks: &TaskTable<'_>,
    sort: WorkSort,
    counts: impl Fn(u64) -> bool,
) -> WaitFigures {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_VALUE, 3).expect("the bounds are valid");
    let mut never_started = 0;
    for wait in waits_of(mix, tasks, sort, counts) {
        match wait {
            Some(wait_ms) => histogram.saturating_record(wait_ms),
            None => never_started += 1,
        }
    }
    WaitFigures {
        sort,
        tasks: histogram.len() + never_started,
        never_started,
        p50_ms: histogram.value_at_quantile(0.5),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
    }
}

fn count_late(mix: &WorkMix, tasks: &TaskTable<'_>, counts: impl Fn(u64) -> bool) -> u64 {
    let waits = waits_of(mix, tasks, WorkSort::Check, counts);
    waits.filter(|wait| wait.is_none_or(|wait_ms| wait_ms > URGENT_BOUND_MS)).count() as u64
}

fn done_work(mix: &WorkMix, tasks: &TaskTable<'_>) -> (u64, f64) {
    let (mut count, mut core_s) = (0, 0.0);
    for ((arrival, _), rows) in tasks {
        if rows.iter().any(|row| row.is_whole) {
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

/// Returns the part of all work of ended tasks that was done more than once.
fn lost_work(mix: &WorkMix, tasks: &TaskTable<'_>) -> f64 {
    let (mut lost, mut total) = (0.0, 0.0);
    for ((arrival, _), rows) in tasks {
        let arrival = &mix.arrivals[*arrival];
        if arrival.kind == WorkKind::Service || !rows.iter().any(|row| row.is_whole) {
            continue;
        }
        let spent_ms: u64 = rows.iter().map(|row| row.end_ms - row.start_ms).sum();
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
fn share_error(mix: &WorkMix, samples: &[CellSample], team: usize) -> ShareFigures {
    let per_window = usize::try_from(WINDOW_MS / SAMPLE_MS).unwrap_or(1);
    let mut errors = Vec::new();
    // Windows overlap by all but one second, so that no bad minute is cut in two.
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
        !touches(out_ms) && !touches(in_ms) && !touches(in_ms + SETTLE_MS)
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

/// A change of what runs or waits.
#[derive(Debug, Clone, Copy)]
enum CellChange {
    Wanted { team: usize, need: Resources, is_more: bool },
    Running { team: usize, worker: usize, need: Resources, is_more: bool },
}

fn list_changes(mix: &WorkMix, runs: &[TaskRun], tasks: &TaskTable<'_>) -> Vec<(u64, CellChange)> {
    let mut changes = Vec::new();
    for (index, arrival) in mix.arrivals.iter().enumerate() {
        let (team, need) = (arrival.team, arrival.need);
        for task in 0..arrival.tasks {
            changes.push((arrival.at_ms, CellChange::Wanted { team, need, is_more: true }));
            let rows = tasks.get(&(index, task));
            if let Some(whole) = rows.and_then(|rows| rows.iter().find(|row| row.is_whole)) {
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

/// Amounts that the samples are made of.
#[derive(Debug)]
struct CellSums {
    wanted: Vec<Resources>,
    used: Vec<Resources>,
    on_worker: Vec<Resources>,
    tasks: Vec<u32>,
}

impl CellSums {
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

fn sample_cell(mix: &WorkMix, runs: &[TaskRun], tasks: &TaskTable<'_>) -> Vec<CellSample> {
    let changes = list_changes(mix, runs, tasks);
    let mut sums = CellSums {
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
            sums.apply(*change);
            next += 1;
        }
        samples.push(take_sample(mix, &sums, at_ms));
    }
    samples
}

fn take_sample(mix: &WorkMix, sums: &CellSums, at_ms: u64) -> CellSample {
    let is_out = (mix.zone_out_ms.0..mix.zone_out_ms.1).contains(&at_ms);
    let is_open = |worker: usize| !is_out || worker / mix.workers_per_rack % 3 != 1;
    let open = (0..mix.workers()).filter(|&worker| is_open(worker)).count() as u64;
    let capacity = mix.worker.checked_mul(open).unwrap_or(mix.worker);
    let demand = |team: usize| TeamDemand {
        weight: mix.teams[team].share,
        wanted: sums.wanted[team],
        limit: mix.capacity(),
    };
    let demands: Vec<TeamDemand> = (0..mix.teams.len()).map(demand).collect();
    let sum =
        |rows: &[Resources]| rows.iter().fold(Resources::ZERO, |sum, row| sum.saturating_add(*row));
    let used = sum(&sums.used);
    let mut stranded = Resources::ZERO;
    for worker in (0..mix.workers()).filter(|&worker| is_open(worker)) {
        let free = mix.worker.saturating_sub(sums.on_worker[worker]);
        if !free.covers(SMALLEST) || sums.tasks[worker] >= mix.slots {
            stranded = stranded.saturating_add(free);
        }
    }
    CellSample {
        at_ms,
        is_full: sum(&sums.wanted).dominant_share(capacity) > 1.0 + FULL_MARGIN,
        cores: part(used.millicores, capacity.millicores),
        memory: part(used.memory_bytes, capacity.memory_bytes),
        stranded_cores: part(stranded.millicores, capacity.millicores),
        stranded_memory: part(stranded.memory_bytes, capacity.memory_bytes),
        shares: sums.used.iter().map(|used| used.dominant_share(capacity)).collect(),
        entitled: entitlements(capacity, &demands),
    }
}

#[allow(clippy::cast_precision_loss)]
fn part(amount: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { amount as f64 / whole as f64 }
}
