//! The order in which steps get room.
//!
//! Priority classes come first. Within a class the step whose job has the least time left until
//! its latency objective comes first, so a burst of one kind does not push others behind their
//! objectives. Jobs that are hopelessly late come after those that can still be in time.

use {
    super::CellCore,
    crate::{JobRecord, message::PhaseRef, table::JobEntry},
};

/// Least time between two looks at the line, in milliseconds.
pub(super) const MIN_PLACE_INTERVAL_MS: u64 = 4;
/// Time between reviews of the line when nothing happens, in milliseconds.
pub(super) const REVIEW_INTERVAL_MS: u64 = 250;
/// Up to this multiple of its objective, a late job is still worth something.
const USEFUL_FACTOR: f64 = 3.0;

/// A step's place in the line; lower comes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct BacklogRank {
    priority: u32,
    lateness: u8,
    due_ms: f64,
}

impl CellCore {
    /// Returns the steps that have tasks to start, in the order in which they get room.
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

    fn backlog_rank(&self, job: &JobEntry) -> BacklogRank {
        let (in_time_ms, late_ms) = self.deadlines(job);
        let left_ms = remaining_critical_path_ms(job);
        let (lateness, end_ms) = match self.time.wall_ms as f64 + left_ms {
            end if end <= in_time_ms => (0, in_time_ms),
            end if end <= late_ms => (1, late_ms),
            _ => (2, late_ms),
        };
        BacklogRank { priority: self.priority_of(&job.record), lateness, due_ms: end_ms - left_ms }
    }

    /// When a job should have ended, and after when nobody needs it, in Unix milliseconds.
    fn deadlines(&self, job: &JobEntry) -> (f64, f64) {
        let objective_ms = self.objective_ms(&job.record);
        let due_ms = job.due_ms(job.occurrences_created.saturating_sub(1));
        let arrived_ms = job.record.accepted_ms.max(due_ms) as f64;
        (arrived_ms + objective_ms, arrived_ms + USEFUL_FACTOR * objective_ms)
    }

    pub(super) fn priority_of(&self, job: &JobRecord) -> u32 {
        self.config.queues.get(&job.queue).map_or(0, |queue| queue.priority)
    }

    /// Tells whether a job would be too late even if all that is left of it started now.
    pub(super) fn cannot_meet_deadline(&self, job: &JobEntry) -> bool {
        self.time.wall_ms as f64 + remaining_critical_path_ms(job) > self.deadlines(job).1
    }

    /// Longest time that a job may wait before it starts and still be worth something, in
    /// milliseconds.
    pub(super) fn max_wait_ms(&self, record: &JobRecord) -> f64 {
        USEFUL_FACTOR * self.objective_ms(record) - critical_path_ms(record, |_| true)
    }

    /// Time within which a job should end, in milliseconds.
    fn objective_ms(&self, record: &JobRecord) -> f64 {
        let queue = self.config.queues.get(&record.queue);
        let slack = queue.map_or(1.0, |queue| queue.slack_factor.max(1.0));
        slack * critical_path_ms(record, |_| true)
            + queue.map_or(0.0, |queue| queue.latency_objective_ms as f64)
    }
}

fn remaining_critical_path_ms(job: &JobEntry) -> f64 {
    critical_path_ms(&job.record, |step| {
        job.phases.get(step).is_none_or(|phase| phase.unfinished > 0)
    })
}

/// Longest chain of the estimates of the steps that count.
fn critical_path_ms(record: &JobRecord, counts: impl Fn(usize) -> bool) -> f64 {
    let mut ends: Vec<u64> = Vec::with_capacity(record.steps.len());
    for (index, step) in record.steps.iter().enumerate() {
        let own = if counts(index) { step.estimate_ms } else { 0 };
        let start = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
        ends.push(start.copied().unwrap_or(0) + own);
    }
    ends.into_iter().max().unwrap_or(0) as f64
}
