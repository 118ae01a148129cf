//! Runs recorded by the workers, for checks that do not depend on the daemons' reports.

use {
    damaskrack_model::{AttemptId, Resources, TaskResult, WorkerName, ZoneName},
    serde::{Deserialize, Serialize},
};

/// One run of an attempt on a worker. Times are readings of the clock that all stand-ins share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObservedRun {
    /// Worker that ran the attempt.
    pub worker: WorkerName,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Attempt that was run.
    pub attempt: AttemptId,
    /// Resources that the attempt was started with.
    pub resources: Resources,
    /// Highest resource usage.
    pub peak_use: Resources,
    /// Start time, in milliseconds.
    pub start_ms: u64,
    /// End time, in milliseconds; `None` while the attempt runs.
    pub end_ms: Option<u64>,
    /// Result; `None` while the attempt runs.
    pub result: Option<TaskResult>,
}

impl ObservedRun {
    /// Returns whether two runs overlap in time.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let is_before = |a: &Self, b: &Self| a.end_ms.is_some_and(|end_ms| end_ms <= b.start_ms);
        !is_before(self, other) && !is_before(other, self)
    }
}

/// Returns pairs of runs of the same task that overlap in time, on one worker or two.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::find_double_runs;
///
/// assert!(find_double_runs(&[]).is_empty());
/// ```
#[must_use]
pub fn find_double_runs(runs: &[ObservedRun]) -> Vec<(&ObservedRun, &ObservedRun)> {
    let mut sorted: Vec<&ObservedRun> = runs.iter().collect();
    sorted.sort_by_key(|run| (&run.attempt.job, run.attempt.task, run.start_ms));
    let is_same_task = |a: &ObservedRun, b: &ObservedRun| {
        (&a.attempt.job, a.attempt.task) == (&b.attempt.job, b.attempt.task)
    };
    let mut doubles = Vec::new();
    for group in sorted.chunk_by(|a, b| is_same_task(a, b)) {
        for (index, first) in group.iter().enumerate() {
            let later = group[index + 1..].iter().filter(|second| first.overlaps(second));
            doubles.extend(later.map(|second| (*first, *second)));
        }
    }
    doubles
}

/// Returns the runs at whose start the worker ran more than `slots` tasks, or tasks whose declared
/// resources exceed `capacity`.
#[must_use]
pub fn find_overcommits(
    runs: &[ObservedRun],
    capacity: Resources,
    slots: u32,
) -> Vec<&ObservedRun> {
    let is_held_at = |other: &&ObservedRun, run: &ObservedRun| {
        other.worker == run.worker
            && other.start_ms <= run.start_ms
            && other.end_ms.is_none_or(|end_ms| end_ms > run.start_ms)
    };
    let is_over = |run: &&ObservedRun| {
        let held: Vec<_> = runs.iter().filter(|other| is_held_at(other, run)).collect();
        let sum =
            held.iter().fold(Resources::ZERO, |sum, other| sum.saturating_add(other.resources));
        held.len() > slots as usize || !capacity.covers(sum)
    };
    runs.iter().filter(is_over).collect()
}
