//! Outlier detection: quarantines workers whose tasks fail and identifies jobs that fail on every
//! worker.
//!
//! A worker on which every task fails at once frees its resources fastest and so attracts the most
//! work. It is detected by comparing its failure rate with that of the other workers, quarantined
//! for a while, and then probed with one task at a time. A job that fails on most of the workers
//! that ran it is itself at fault, and its failures count against no worker. The share of workers
//! that may be quarantined, in total and per minute, is limited, because failures on many workers
//! at once more likely have a common cause elsewhere.

use {
    damaskrack_model::ClockTime,
    std::collections::{BTreeMap, VecDeque},
};

/// Number of a worker's latest outcomes that are evaluated. Older ones are dropped, so that a long
/// series of successes does not hide that a worker has begun to fail.
const MAX_OUTCOMES: usize = 10;

/// Age up to which an outcome is evaluated, in milliseconds.
const OUTCOME_WINDOW_MS: u64 = 60_000;

/// Fewest failures in the window for which a worker is quarantined.
const MIN_FAILURES: u32 = 6;

/// Lowest failure rate at which a worker is quarantined, in percent.
const MIN_RATE_PERCENT: u32 = 60;

/// Lowest ratio of a worker's failure rate to that of the other workers at which it is quarantined.
const MIN_RATE_RATIO: u32 = 3;

/// Fewest workers on which a job must have failed before the job can be at fault.
const MIN_FAILED_WORKERS: usize = 3;

/// Most jobs whose outcomes are tracked.
const MAX_TRACKED_JOBS: usize = 256;
/// Most workers recorded for each of them, separately for failed and for successful tasks.
const MAX_WORKERS_PER_JOB: usize = 16;

/// Most workers in quarantine or being probed, in percent of all; at least one.
const MAX_QUARANTINED_PERCENT: usize = 25;

/// Most trusted workers quarantined within a minute, in percent of all; at least one.
const MAX_QUARANTINES_PER_MINUTE_PERCENT: usize = 10;

/// Window of the limit on new quarantines, in milliseconds.
const QUARANTINE_RATE_WINDOW_MS: u64 = 60_000;

/// Length of the first quarantine, in milliseconds; it doubles with every failed probe.
const QUARANTINE_MS: u64 = 30_000;

/// Most times that the quarantine is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Consecutive tasks that must succeed before a probed worker is trusted again.
const PROBE_SUCCESSES: u32 = 3;

/// Whether a worker may be given new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEligibility {
    /// It may be given tasks.
    Eligible,
    /// It is being probed and may be given one task at a time.
    ProbeOnly,
    /// It is quarantined and may be given none.
    Ineligible,
}

/// A change of a worker's eligibility.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange<W> {
    /// Its failure rate was too high, or its probe failed; it is given no tasks for now.
    Quarantined(W),
    /// Its quarantine has ended and it is being probed.
    Probing(W),
    /// It passed its probes and is trusted again.
    Returned(W),
}

/// How a task ended on a worker.
#[derive(Debug, Clone)]
struct TaskOutcome<J> {
    job: J,
    is_failed: bool,
    at: ClockTime,
}

/// State of a worker in the quarantine cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HealthState {
    Trusted,
    Quarantined { until: ClockTime },
    Probing { succeeded: u32 },
}

/// State and recent outcomes of one worker.
#[derive(Debug, Clone)]
struct HealthEntry<J> {
    state: HealthState,
    /// Quarantines since the worker was last trusted.
    quarantine_count: u32,
    outcomes: VecDeque<TaskOutcome<J>>,
}

impl<J> Default for HealthEntry<J> {
    fn default() -> Self {
        Self { state: HealthState::Trusted, quarantine_count: 0, outcomes: VecDeque::new() }
    }
}

/// Workers on which tasks of one job ended.
#[derive(Debug, Clone)]
struct JobOutcomes<W> {
    failed: Vec<W>,
    succeeded: Vec<W>,
    /// When the latest task ended.
    updated_at: ClockTime,
}

impl<W> JobOutcomes<W> {
    fn is_at_fault(&self) -> bool {
        self.failed.len() >= MIN_FAILED_WORKERS && self.failed.len() > self.succeeded.len()
    }
}

/// Numbers of a worker's evaluated outcomes.
#[derive(Debug, Clone, Copy, Default)]
struct OutcomeTally {
    succeeded: u32,
    failed: u32,
}

impl OutcomeTally {
    fn total(self) -> u32 {
        self.succeeded.saturating_add(self.failed)
    }

    /// Tells whether the failure rate is far enough above that of the other workers.
    fn is_outlier(self, others: Self) -> bool {
        let percent = |failed: u32, total: u32| u64::from(failed) * 100 / u64::from(total.max(1));
        let rate = percent(self.failed, self.total());
        let other_rate = percent(others.failed, others.total());
        self.failed >= MIN_FAILURES
            && rate >= MIN_RATE_PERCENT.into()
            && rate >= other_rate * u64::from(MIN_RATE_RATIO)
    }
}

/// Tracks the health of workers by how their tasks end.
///
/// `W` identifies a worker and `J` a job.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::ClockTime, damaskrack_policy::{WorkerEligibility, WorkerHealth}};
///
/// let mut health: WorkerHealth<u32, u32> = WorkerHealth::default();
/// for job in 0..6 {
///     health.record(1, job, true, ClockTime(0));
///     health.record(2, job, false, ClockTime(0));
/// }
/// health.review(8, ClockTime(0));
/// assert_eq!(health.eligibility(&1), WorkerEligibility::Ineligible);
/// assert_eq!(health.eligibility(&2), WorkerEligibility::Eligible);
/// ```
#[derive(Debug, Clone)]
pub struct WorkerHealth<W, J> {
    entries: BTreeMap<W, HealthEntry<J>>,
    jobs: BTreeMap<J, JobOutcomes<W>>,
    /// Times of the latest quarantines of trusted workers.
    recent_quarantines: VecDeque<ClockTime>,
}

impl<W, J> Default for WorkerHealth<W, J> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            jobs: BTreeMap::new(),
            recent_quarantines: VecDeque::new(),
        }
    }
}

impl<W: Ord + Clone, J: Ord + Clone> WorkerHealth<W, J> {
    /// Records how a task of a job ended on a worker.
    pub fn record(&mut self, worker: W, job: J, is_failed: bool, now: ClockTime) {
        self.record_job_outcome(&worker, &job, is_failed, now);
        let entry = self.entries.entry(worker).or_default();
        if entry.outcomes.len() == MAX_OUTCOMES {
            entry.outcomes.pop_front();
        }
        entry.outcomes.push_back(TaskOutcome { job, is_failed, at: now });
        if let HealthState::Probing { succeeded } = &mut entry.state {
            *succeeded = if is_failed { 0 } else { *succeeded + 1 };
        }
    }

    /// Evaluates every worker and returns the changes. `workers` is the total number of workers.
    pub fn review(&mut self, workers: usize, now: ClockTime) -> Vec<HealthChange<W>> {
        self.expire(now);
        let tallies: BTreeMap<W, OutcomeTally> = self
            .entries
            .iter()
            .map(|(worker, entry)| (worker.clone(), self.tally(entry)))
            .collect();
        let mut all = OutcomeTally::default();
        for tally in tallies.values() {
            all.succeeded = all.succeeded.saturating_add(tally.succeeded);
            all.failed = all.failed.saturating_add(tally.failed);
        }
        let mut changes = Vec::new();
        for (worker, tally) in tallies {
            let others = OutcomeTally {
                succeeded: all.succeeded - tally.succeeded,
                failed: all.failed - tally.failed,
            };
            changes.extend(self.review_worker(worker, tally, others, workers, now));
        }
        changes
    }

    /// Returns whether a worker may be given new tasks.
    #[must_use]
    pub fn eligibility(&self, worker: &W) -> WorkerEligibility {
        match self.entries.get(worker).map(|entry| entry.state) {
            None | Some(HealthState::Trusted) => WorkerEligibility::Eligible,
            Some(HealthState::Probing { .. }) => WorkerEligibility::ProbeOnly,
            Some(HealthState::Quarantined { .. }) => WorkerEligibility::Ineligible,
        }
    }

    /// Tells whether a job fails on most of the workers that ran it.
    #[must_use]
    pub fn is_job_at_fault(&self, job: &J) -> bool {
        self.jobs.get(job).is_some_and(JobOutcomes::is_at_fault)
    }

    /// Removes the state of a worker that no longer exists.
    pub fn forget(&mut self, worker: &W) {
        self.entries.remove(worker);
    }

    fn record_job_outcome(&mut self, worker: &W, job: &J, is_failed: bool, now: ClockTime) {
        if !self.jobs.contains_key(job) && self.jobs.len() >= MAX_TRACKED_JOBS {
            self.jobs.retain(|_, entry| now.since(entry.updated_at) < OUTCOME_WINDOW_MS);
            if self.jobs.len() >= MAX_TRACKED_JOBS {
                return;
            }
        }
        let entry = self.jobs.entry(job.clone()).or_insert_with(|| JobOutcomes {
            failed: Vec::new(),
            succeeded: Vec::new(),
            updated_at: now,
        });
        entry.updated_at = now;
        let workers = if is_failed { &mut entry.failed } else { &mut entry.succeeded };
        if workers.len() < MAX_WORKERS_PER_JOB && !workers.contains(worker) {
            workers.push(worker.clone());
        }
    }

    fn tally(&self, entry: &HealthEntry<J>) -> OutcomeTally {
        let mut tally = OutcomeTally::default();
        for outcome in &entry.outcomes {
            match outcome.is_failed {
                true if self.is_job_at_fault(&outcome.job) => {}
                true => tally.failed += 1,
                false => tally.succeeded += 1,
            }
        }
        tally
    }

    fn review_worker(
        &mut self,
        worker: W,
        tally: OutcomeTally,
        others: OutcomeTally,
        workers: usize,
        now: ClockTime,
    ) -> Option<HealthChange<W>> {
        let state = self.entries.get(&worker)?.state;
        match state {
            HealthState::Trusted
                if tally.is_outlier(others) && self.may_quarantine(workers, now) =>
            {
                self.recent_quarantines.push_back(now);
                self.quarantine(&worker, now);
                Some(HealthChange::Quarantined(worker))
            }
            HealthState::Trusted => None,
            HealthState::Quarantined { until } if now >= until => {
                self.probe(&worker);
                Some(HealthChange::Probing(worker))
            }
            HealthState::Quarantined { .. } => None,
            HealthState::Probing { .. } if tally.failed > 0 => {
                self.quarantine(&worker, now);
                Some(HealthChange::Quarantined(worker))
            }
            HealthState::Probing { succeeded } if succeeded >= PROBE_SUCCESSES => {
                self.entries.remove(&worker);
                Some(HealthChange::Returned(worker))
            }
            HealthState::Probing { .. } => None,
        }
    }

    fn quarantine(&mut self, worker: &W, now: ClockTime) {
        if let Some(entry) = self.entries.get_mut(worker) {
            let until = now.plus(QUARANTINE_MS << entry.quarantine_count.min(MAX_DOUBLINGS));
            entry.quarantine_count = entry.quarantine_count.saturating_add(1);
            entry.state = HealthState::Quarantined { until };
            entry.outcomes.clear();
        }
    }

    fn probe(&mut self, worker: &W) {
        if let Some(entry) = self.entries.get_mut(worker) {
            entry.state = HealthState::Probing { succeeded: 0 };
            entry.outcomes.clear();
        }
    }

    fn may_quarantine(&mut self, workers: usize, now: ClockTime) -> bool {
        while self
            .recent_quarantines
            .front()
            .is_some_and(|&then| now.since(then) >= QUARANTINE_RATE_WINDOW_MS)
        {
            self.recent_quarantines.pop_front();
        }
        let is_untrusted = |entry: &&HealthEntry<J>| entry.state != HealthState::Trusted;
        let quarantined = self.entries.values().filter(is_untrusted).count();
        let percent_of = |percent: usize| (workers * percent / 100).max(1);
        quarantined < percent_of(MAX_QUARANTINED_PERCENT)
            && self.recent_quarantines.len() < percent_of(MAX_QUARANTINES_PER_MINUTE_PERCENT)
    }

    fn expire(&mut self, now: ClockTime) {
        for entry in self.entries.values_mut() {
            entry.outcomes.retain(|outcome| now.since(outcome.at) < OUTCOME_WINDOW_MS);
        }
        self.entries
            .retain(|_, entry| entry.state != HealthState::Trusted || !entry.outcomes.is_empty());
    }
}
