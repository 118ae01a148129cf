//! The backlog: the order in which steps are placed.
//!
//! Jobs that can still be useful come before those that cannot: after an outage a whole backlog may
//! be too late for anyone, and would take the capacity of jobs that are not. Then steps are sorted
//! by priority class, and within a class by whether their teams use less than their shares of the
//! cell. Among these, steps of jobs that can meet their latency objective come first, and the one
//! with the least slack before others, so that a burst of one kind of job does not make others miss
//! their objectives.
//!
//! With `features.admission`, jobs that can no longer meet their objectives come after those of all classes that
//! can, unless they are of the most urgent class. A late result has lost most of its value already. Placed first,
//! it makes the next job late as well, and in an overload every job of the less urgent classes ends late.

use {
    super::{CellCore, place_wait::TimeLeft},
    crate::{JobRecord, message::PhaseRef, table::JobEntry},
};

/// Minimum time between two placements, in milliseconds.
pub(super) const MIN_PLACE_INTERVAL_MS: u64 = 4;
/// Time between placements when nothing changes, in milliseconds.
pub(super) const REVIEW_INTERVAL_MS: u64 = 250;
/// The most urgent priority class, that of short calls.
pub(super) const URGENT_PRIORITY: u32 = 0;
/// Time from the placement of a task to its start, and from its end to the response to the caller, in
/// milliseconds: a commit and a request each way.
pub(super) const REPORT_MS: f64 = 100.0;
/// Number of workers in a typical call to the adviser.
const TYPICAL_CALL_WORKERS: usize = 30;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;
/// A late job is still useful up to this multiple of its latency objective.
pub(super) const USEFUL_FACTOR: f64 = 3.0;

/// A step's rank in the backlog; the lowest is placed first.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(super) struct BacklogRank {
    /// The job can no longer be useful.
    is_too_late: bool,
    /// The job can no longer meet its objective, and gives way to jobs of all classes that can.
    gives_way: bool,
    priority: u32,
    /// The job's team uses its share of the cell or more.
    is_share_full: bool,
    /// The job can no longer meet its objective.
    is_late: bool,
    latest_start_ms: f64,
}

/// The latency objective of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct JobObjective {
    /// Part that grows with the job's run time, in milliseconds.
    pub(super) scaled_ms: f64,
    /// Constant part, in milliseconds.
    pub(super) fixed_ms: f64,
}

impl BacklogRank {
    /// Returns whether the job can no longer be useful.
    pub(super) fn is_too_late(&self) -> bool {
        self.is_too_late
    }

    /// Returns whether the job gives way to jobs of all classes that can meet their objectives.
    pub(super) fn gives_way(&self) -> bool {
        self.gives_way
    }
}

impl CellCore {
    /// Returns the phases with tasks to place, in the order of placement.
    pub(super) fn backlog(&self) -> Vec<PhaseRef> {
        let mut backlog: Vec<(BacklogRank, PhaseRef)> = Vec::new();
        for key in &self.live {
            let job = &self.jobs[*key];
            let mut rank = None;
            for phase in 0..job.phases.len() {
                if job.phases[phase].unassigned > 0 && job.is_ready(phase) {
                    let rank = *rank.get_or_insert_with(|| self.backlog_rank(job));
                    backlog.push((rank, PhaseRef { job: *key, phase }));
                }
            }
        }
        backlog.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        backlog.into_iter().map(|(_, phase)| phase).collect()
    }

    /// Returns the rank of a job's steps.
    pub(super) fn backlog_rank(&self, job: &JobEntry) -> BacklogRank {
        let priority = self.priority_of(&job.record);
        if job.record.steps.iter().any(|step| step.is_service) {
            // A service is wanted for as long as it is not cancelled, so it is never late.
            let latest_start_ms = job.record.accepted_ms as f64;
            return BacklogRank { priority, latest_start_ms, ..BacklogRank::default() };
        }
        let (due_ms, useful_until_ms) = self.deadlines(job);
        let left_ms = self.remaining_path_ms(job);
        let earliest_end_ms = self.time.wall_ms as f64 + left_ms;
        let delay_ms = self.typical_call_ms(&job.record) + REPORT_MS;
        let gives_way = self.settings.features.admission
            && priority > URGENT_PRIORITY
            && earliest_end_ms + delay_ms > due_ms;
        let is_late = gives_way || earliest_end_ms > due_ms;
        let end_ms = if is_late { useful_until_ms } else { due_ms };
        BacklogRank {
            is_too_late: earliest_end_ms > useful_until_ms,
            gives_way,
            priority,
            is_share_full: self.shares.is_full(self.service_of(&job.record), &job.record.team),
            is_late,
            latest_start_ms: end_ms - left_ms,
        }
    }

    /// Returns the duration of a typical call to the adviser of a job's queue, in milliseconds; 0 if there is
    /// none.
    pub(super) fn typical_call_ms(&self, record: &JobRecord) -> f64 {
        let queue = self.config.queues.get(&record.queue);
        let advice = queue.and_then(|queue| queue.advice);
        let call_us = advice.map_or(0, |timing| timing.duration_us(TYPICAL_CALL_WORKERS));
        call_us as f64 / US_PER_MS
    }

    /// Returns the rank that a job will have if it is admitted now.
    pub(super) fn rank_of_new(&self, record: &JobRecord) -> BacklogRank {
        let slack_ms = self.objective_ms(record) - self.path_ms(record);
        BacklogRank {
            priority: self.priority_of(record),
            is_share_full: self.shares.is_full(self.service_of(record), &record.team),
            latest_start_ms: self.time.wall_ms as f64 + slack_ms,
            ..BacklogRank::default()
        }
    }

    /// Returns the times by which a job should end and up to which it is still useful, in Unix
    /// milliseconds.
    fn deadlines(&self, job: &JobEntry) -> (f64, f64) {
        let objective_ms = self.objective_ms(&job.record);
        let arrived_ms = self.arrived_ms(job);
        (arrived_ms + objective_ms, arrived_ms + USEFUL_FACTOR * objective_ms)
    }

    /// Returns the time from which a job's objective counts, in Unix milliseconds.
    pub(super) fn arrived_ms(&self, job: &JobEntry) -> f64 {
        let due_ms = job.due_ms(job.occurrences_created.saturating_sub(1));
        job.record.accepted_ms.max(due_ms) as f64
    }

    /// Returns for how long a job may still wait and meet its objective, in milliseconds; less than 0 if it
    /// cannot.
    pub(super) fn slack_ms(&self, job: &JobEntry) -> f64 {
        let earliest_end_ms = self.time.wall_ms as f64 + self.remaining_path_ms(job);
        self.deadlines(job).0 - earliest_end_ms
    }

    /// Returns the priority class of a job's queue; 0 is the most urgent.
    pub(super) fn priority_of(&self, job: &JobRecord) -> u32 {
        self.config.queues.get(&job.queue).map_or(0, |queue| queue.priority)
    }

    /// Returns the time that is left until a step has to end for its job to meet its objective, and to be of
    /// any use.
    pub(super) fn time_left(&self, phase: PhaseRef) -> TimeLeft {
        let job = &self.jobs[phase.job];
        let next_ms = (self.remaining_path_ms(job) - self.expected_run_ms(phase)).max(0.0);
        let (due_ms, useful_until_ms) = self.deadlines(job);
        let now_ms = self.time.wall_ms as f64;
        TimeLeft {
            objective_ms: due_ms - next_ms - now_ms,
            useful_ms: useful_until_ms - next_ms - now_ms,
        }
    }

    /// Returns the time at which a step of a job became due, in Unix milliseconds.
    pub(super) fn step_due_ms(&self, phase: PhaseRef) -> u64 {
        let job = &self.jobs[phase.job];
        let due_ms = job.due_ms(job.phases[phase.phase].occurrence);
        job.record.accepted_ms.max(due_ms)
    }

    /// Returns whether a job would end too late to be useful even if all its remaining tasks
    /// started now.
    pub(super) fn cannot_meet_deadline(&self, job: &JobEntry) -> bool {
        self.time.wall_ms as f64 + self.remaining_path_ms(job) > self.deadlines(job).1
    }

    /// Returns the maximum time for which a job may wait and still end while it is useful, in
    /// milliseconds.
    pub(super) fn max_wait_ms(&self, record: &JobRecord) -> f64 {
        USEFUL_FACTOR * self.objective_ms(record) - self.path_ms(record)
    }

    /// Returns the latency objective of a job, in milliseconds.
    fn objective_ms(&self, record: &JobRecord) -> f64 {
        let objective = self.objective(record);
        objective.scaled_ms + objective.fixed_ms
    }

    /// Returns the expected run time of a job's critical path on average workers, in milliseconds.
    pub(super) fn path_ms(&self, record: &JobRecord) -> f64 {
        critical_path_ms(record, |_| true) * self.run_ratio(&record.queue)
    }

    /// Returns the expected run time of the critical path through the steps that have not ended.
    fn remaining_path_ms(&self, job: &JobEntry) -> f64 {
        remaining_critical_path_ms(job) * self.run_ratio(&job.record.queue)
    }

    /// Returns the expected run time of the steps after a step, in milliseconds.
    pub(super) fn later_path_ms(&self, record: &JobRecord, step: usize) -> f64 {
        later_path_ms(record, step) * self.run_ratio(&record.queue)
    }

    /// Returns the parts of a job's latency objective.
    pub(super) fn objective(&self, record: &JobRecord) -> JobObjective {
        let queue = self.config.queues.get(&record.queue);
        let slack = queue.map_or(1.0, |queue| queue.slack_factor.max(1.0));
        JobObjective {
            scaled_ms: slack * self.path_ms(record),
            fixed_ms: queue.map_or(0.0, |queue| queue.latency_objective_ms as f64),
        }
    }
}

/// Returns the longest path through the estimates of the steps after a step, in milliseconds.
fn later_path_ms(record: &JobRecord, step: usize) -> f64 {
    let count = record.steps.len();
    let mut later: Vec<u64> = vec![0; count];
    for index in (step + 1..count).rev() {
        let path_ms = later[index].saturating_add(record.steps[index].estimate_ms);
        for after in &record.steps[index].after {
            if let Some(known) = later.get_mut(*after as usize) {
                *known = path_ms.max(*known);
            }
        }
    }
    later[step] as f64
}

fn remaining_critical_path_ms(job: &JobEntry) -> f64 {
    critical_path_ms(&job.record, |step| {
        job.phases.get(step).is_none_or(|phase| phase.unfinished > 0)
    })
}

/// Returns the critical path through the estimates of the steps for which `counts` is true, in
/// milliseconds.
fn critical_path_ms(record: &JobRecord, counts: impl Fn(usize) -> bool) -> f64 {
    if let [step] = record.steps.as_slice() {
        return if counts(0) { step.estimate_ms as f64 } else { 0.0 };
    }
    let mut ends: Vec<u64> = Vec::with_capacity(record.steps.len());
    for (index, step) in record.steps.iter().enumerate() {
        let own = if counts(index) { step.estimate_ms } else { 0 };
        let start = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
        ends.push(start.copied().unwrap_or(0).saturating_add(own));
    }
    ends.into_iter().max().unwrap_or(0) as f64
}
