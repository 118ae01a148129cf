//! Workers that fail what they start, and jobs that fail wherever they start.
//!
//! A worker that fails everything frees its room fastest and so attracts the most work. It is
//! found by its failure rate against that of the other workers and gets no work for a while;
//! then it is probed with one task at a time. A job that fails on most of the workers that tried
//! it is itself at fault, and its failures count against no worker. A velocity limit bounds how
//! much of the fleet such judgements can take out, because a fault that looks like that of many
//! workers at once is more likely to lie elsewhere.

use {
    damaskrack_model::ClockTime,
    std::collections::{BTreeMap, VecDeque},
};

/// Outcomes of a worker that are judged. Only the latest count, so that a long good record does
/// not protect a worker that has begun to fail.
const MAX_OUTCOMES: usize = 10;

/// Time for which an outcome counts, in milliseconds.
const MEMORY_MS: u64 = 60_000;

/// Failures among them before a worker is judged.
const MIN_FAILURES: u32 = 6;

/// Failure rate from which a worker is quarantined, in percent.
const MIN_RATE_PERCENT: u32 = 60;

/// How many times the failure rate of the other workers it must reach.
const RATE_RATIO: u32 = 3;

/// Workers that must have failed a job before the job can be at fault.
const MIN_BLAMING_WORKERS: usize = 3;

/// Jobs remembered for blame, and workers remembered for each.
const MAX_BLAMED_JOBS: usize = 256;
const MAX_WITNESSES: usize = 16;

/// Most workers in quarantine, in percent of all; at least one.
const MAX_QUARANTINED_PERCENT: usize = 25;

/// Most workers put into quarantine within a minute, in percent of all; at least one.
const MAX_PER_MINUTE_PERCENT: usize = 10;

/// Span of the velocity limit, in milliseconds.
const VELOCITY_SPAN_MS: u64 = 60_000;

/// First quarantine, in milliseconds; doubles with every failed probe.
const QUARANTINE_MS: u64 = 30_000;

/// Most doublings of the quarantine.
const MAX_DOUBLINGS: u32 = 5;

/// Tasks that must succeed one after the other before a probed worker is trusted.
const PROBE_SUCCESSES: u32 = 3;

/// Whether a worker gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEligibility {
    /// It gets work.
    Eligible,
    /// It gets one task at a time.
    ProbeOnly,
    /// It gets none.
    Ineligible,
}

/// A change of a worker's gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange<W> {
    /// It failed too much and gets no work for now.
    Quarantined(W),
    /// Its quarantine is over and it is probed.
    Probing(W),
    /// It passed its probes.
    Returned(W),
}

/// How a task ended.
#[derive(Debug, Clone)]
struct TaskOutcome<J> {
    job: J,
    is_failed: bool,
    at: ClockTime,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HealthState {
    Trusted,
    Quarantined { until: ClockTime },
    Probing { succeeded: u32 },
}

#[derive(Debug, Clone)]
struct HealthRow<J> {
    state: HealthState,
    strikes: u32,
    outcomes: VecDeque<TaskOutcome<J>>,
}

impl<J> Default for HealthRow<J> {
    fn default() -> Self {
        Self { state: HealthState::Trusted, strikes: 0, outcomes: VecDeque::new() }
    }
}

/// Workers that tried a job.
#[derive(Debug, Clone)]
struct BlameRow<W> {
    failed: Vec<W>,
    succeeded: Vec<W>,
    seen_at: ClockTime,
}

impl<W> BlameRow<W> {
    fn is_at_fault(&self) -> bool {
        self.failed.len() >= MIN_BLAMING_WORKERS && self.failed.len() > self.succeeded.len()
    }
}

/// Tasks of a worker that count in its judgement.
#[derive(Debug, Clone, Copy, Default)]
struct OutcomeTally {
    succeeded: u32,
    failed: u32,
}

impl OutcomeTally {
    fn total(self) -> u32 {
        self.succeeded.saturating_add(self.failed)
    }

    /// Tells whether the rate stands out against that of the others.
    fn stands_out(self, others: Self) -> bool {
        let percent = |failed: u32, total: u32| u64::from(failed) * 100 / u64::from(total.max(1));
        let rate = percent(self.failed, self.total());
        let other_rate = percent(others.failed, others.total());
        self.failed >= MIN_FAILURES
            && rate >= MIN_RATE_PERCENT.into()
            && rate >= other_rate * u64::from(RATE_RATIO)
    }
}

/// Judges workers by how their tasks end.
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
    rows: BTreeMap<W, HealthRow<J>>,
    jobs: BTreeMap<J, BlameRow<W>>,
    recent: VecDeque<ClockTime>,
}

impl<W, J> Default for WorkerHealth<W, J> {
    fn default() -> Self {
        Self { rows: BTreeMap::new(), jobs: BTreeMap::new(), recent: VecDeque::new() }
    }
}

impl<W: Ord + Clone, J: Ord + Clone> WorkerHealth<W, J> {
    /// Records how a task of a job ended on a worker.
    pub fn record(&mut self, worker: W, job: J, is_failed: bool, now: ClockTime) {
        self.note_witness(&worker, &job, is_failed, now);
        let row = self.rows.entry(worker).or_default();
        if row.outcomes.len() == MAX_OUTCOMES {
            row.outcomes.pop_front();
        }
        row.outcomes.push_back(TaskOutcome { job, is_failed, at: now });
        if let HealthState::Probing { succeeded } = &mut row.state {
            *succeeded = if is_failed { 0 } else { *succeeded + 1 };
        }
    }

    /// Judges every worker and returns what changed. `workers` is how many there are.
    pub fn review(&mut self, workers: usize, now: ClockTime) -> Vec<HealthChange<W>> {
        self.expire(now);
        let tallies: BTreeMap<W, OutcomeTally> =
            self.rows.iter().map(|(worker, row)| (worker.clone(), self.tally(row))).collect();
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

    /// Tells whether a worker gets work.
    #[must_use]
    pub fn eligibility(&self, worker: &W) -> WorkerEligibility {
        match self.rows.get(worker).map(|row| row.state) {
            None | Some(HealthState::Trusted) => WorkerEligibility::Eligible,
            Some(HealthState::Probing { .. }) => WorkerEligibility::ProbeOnly,
            Some(HealthState::Quarantined { .. }) => WorkerEligibility::Ineligible,
        }
    }

    /// Tells whether a job fails wherever it runs.
    #[must_use]
    pub fn is_job_at_fault(&self, job: &J) -> bool {
        self.jobs.get(job).is_some_and(BlameRow::is_at_fault)
    }

    /// Forgets a worker that has gone.
    pub fn forget(&mut self, worker: &W) {
        self.rows.remove(worker);
    }

    fn note_witness(&mut self, worker: &W, job: &J, is_failed: bool, now: ClockTime) {
        if !self.jobs.contains_key(job) && self.jobs.len() >= MAX_BLAMED_JOBS {
            self.jobs.retain(|_, row| now.since(row.seen_at) < MEMORY_MS);
            if self.jobs.len() >= MAX_BLAMED_JOBS {
                return;
            }
        }
        let row = self.jobs.entry(job.clone()).or_insert_with(|| BlameRow {
            failed: Vec::new(),
            succeeded: Vec::new(),
            seen_at: now,
        });
        row.seen_at = now;
        let witnesses = if is_failed { &mut row.failed } else { &mut row.succeeded };
        if witnesses.len() < MAX_WITNESSES && !witnesses.contains(worker) {
            witnesses.push(worker.clone());
        }
    }

    fn tally(&self, row: &HealthRow<J>) -> OutcomeTally {
        let mut tally = OutcomeTally::default();
        for outcome in &row.outcomes {
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
        let state = self.rows.get(&worker)?.state;
        match state {
            HealthState::Trusted
                if tally.stands_out(others) && self.may_quarantine(workers, now) =>
            {
                self.recent.push_back(now);
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
                self.rows.remove(&worker);
                Some(HealthChange::Returned(worker))
            }
            HealthState::Probing { .. } => None,
        }
    }

    fn quarantine(&mut self, worker: &W, now: ClockTime) {
        if let Some(row) = self.rows.get_mut(worker) {
            let until = now.plus(QUARANTINE_MS << row.strikes.min(MAX_DOUBLINGS));
            row.strikes = row.strikes.saturating_add(1);
            row.state = HealthState::Quarantined { until };
            row.outcomes.clear();
        }
    }

    fn probe(&mut self, worker: &W) {
        if let Some(row) = self.rows.get_mut(worker) {
            row.state = HealthState::Probing { succeeded: 0 };
            row.outcomes.clear();
        }
    }

    fn may_quarantine(&mut self, workers: usize, now: ClockTime) -> bool {
        while self.recent.front().is_some_and(|&then| now.since(then) >= VELOCITY_SPAN_MS) {
            self.recent.pop_front();
        }
        let is_out = |row: &&HealthRow<J>| row.state != HealthState::Trusted;
        let quarantined = self.rows.values().filter(is_out).count();
        let percent_of = |percent: usize| (workers * percent / 100).max(1);
        quarantined < percent_of(MAX_QUARANTINED_PERCENT)
            && self.recent.len() < percent_of(MAX_PER_MINUTE_PERCENT)
    }

    fn expire(&mut self, now: ClockTime) {
        for row in self.rows.values_mut() {
            row.outcomes.retain(|outcome| now.since(outcome.at) < MEMORY_MS);
        }
        self.rows.retain(|_, row| row.state != HealthState::Trusted || !row.outcomes.is_empty());
    }
}
