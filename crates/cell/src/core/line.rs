//! The order in which steps get room.
//!
//! Priority classes come first. Within a class the step whose job has the least time left until
//! its latency objective comes first, so a burst of one kind does not push others behind their
//! objectives. Jobs that are hopelessly late come after those that can still be in time.

use {super::CellCore, crate::message::PhaseRef};

/// Least time between two looks at the line, in milliseconds.
pub(super) const PLACE_PAUSE_MS: u64 = 4;
/// Time between reviews of the line when nothing happens, in milliseconds.
pub(super) const REVIEW_INTERVAL_MS: u64 = 250;
/// Up to this multiple of its objective, a late job is still worth something.
const LATE_FACTOR: f64 = 3.0;

/// A step's place in the line; lower comes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct LinePlace {
    priority: u32,
    lateness: u8,
    due_ms: f64,
}

impl CellCore {
    /// Returns the steps that have tasks to start, in the order in which they get room.
    pub(super) fn line(&self) -> Vec<PhaseRef> {
        let mut line: Vec<(LinePlace, PhaseRef)> = Vec::new();
        for key in &self.live {
            let job = &self.jobs[*key];
            let mut place = None;
            for phase in 0..job.phases.len() {
                if job.phases[phase].idle > 0 && job.is_ready(phase) {
                    let place = *place.get_or_insert_with(|| self.line_place(job));
                    line.push((place, PhaseRef { job: *key, phase }));
                }
            }
        }
        line.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        line.into_iter().map(|(_, phase)| phase).collect()
    }

    fn line_place(&self, job: &crate::table::JobEntry) -> LinePlace {
        let queue = self.config.queues.get(&job.record.queue);
        let priority = queue.map_or(0, |queue| queue.priority);
        let slack = queue.map_or(1.0, |queue| queue.slack_factor.max(1.0));
        let chain_ms = longest_chain_ms(job);
        let objective_ms = slack * chain_ms + queue.map_or(0.0, |q| q.latency_objective_ms as f64);
        let arrived_ms = job.record.accepted_ms.max(job.due_ms(job.begun.saturating_sub(1))) as f64;
        let now_ms = self.time.wall_ms as f64;
        let in_time_ms = arrived_ms + objective_ms;
        let late_ms = arrived_ms + LATE_FACTOR * objective_ms;
        let left_ms = remaining_chain_ms(job);
        let (lateness, end_ms) = match now_ms + left_ms {
            end if end <= in_time_ms => (0, in_time_ms),
            end if end <= late_ms => (1, late_ms),
            _ => (2, late_ms),
        };
        LinePlace { priority, lateness, due_ms: end_ms - left_ms }
    }
}

fn longest_chain_ms(job: &crate::table::JobEntry) -> f64 {
    chain_ms(job, |_| true)
}

fn remaining_chain_ms(job: &crate::table::JobEntry) -> f64 {
    chain_ms(job, |step| job.phases.get(step).is_none_or(|phase| phase.open > 0))
}

/// Longest chain of the estimates of the steps that count.
fn chain_ms(job: &crate::table::JobEntry, counts: impl Fn(usize) -> bool) -> f64 {
    let mut ends: Vec<u64> = Vec::with_capacity(job.record.steps.len());
    for (index, step) in job.record.steps.iter().enumerate() {
        let own = if counts(index) { step.estimate_ms } else { 0 };
        let start = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
        ends.push(start.copied().unwrap_or(0) + own);
    }
    ends.into_iter().max().unwrap_or(0) as f64
}
