//! The expected end of a job that is offered, and whether it is early enough to admit the job.
//!
//! Most of the wait comes from the steps of the same class of work: a job waits for those before it, which start
//! at the rate that the class was measured to get. That rate includes whatever limits the class: work of more
//! urgent classes, fragmented capacity, the adviser, slow workers.
//!
//! A job that misses its objective goes behind the newer ones that can still meet theirs. It is then
//! expected to end after all useful work of its class, as the average job does. A job that is expected
//! to end after three times its objective is refused.

use super::backlog::USEFUL_FACTOR;

/// Factor for a team whose demand is far beyond its share: a job that misses its objective at all
/// delays the jobs of others for a fifth of its value.
const BURST_FACTOR: f64 = 1.0;

/// Times of a job that do not depend on the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct JobTimes {
    /// Run time of the longest chain of steps with a call to the adviser for each, in milliseconds.
    pub(super) critical_path_ms: f64,
    /// Latency objective, in milliseconds.
    pub(super) objective_ms: f64,
    /// Number of steps of that chain after the first.
    pub(super) later_steps: usize,
}

/// An amount of waiting work of a class. Work is a share of the capacity multiplied by a time in
/// milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct WorkAhead {
    /// Work of all teams, of each no more than its limit allows.
    pub(super) all: f64,
    /// Work of the job's team.
    pub(super) own: f64,
}

/// The load that a job meets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LoadAhead {
    /// There is free capacity for the job and for all that waits before it.
    pub(super) is_capacity_free: bool,
    /// Share of the capacity at which work of the class starts while it waits; `None` if unknown.
    pub(super) rate: Option<f64>,
    /// Part of the rate that admitted jobs leave to those that come back after a refusal.
    pub(super) spare_part: f64,
    /// Work before the job if it meets its objective.
    pub(super) in_time: WorkAhead,
    /// Work before the job if it misses its objective.
    pub(super) waiting: WorkAhead,
    /// Work of the class that was refused and is expected to come back.
    pub(super) refused: f64,
    /// Part of the rate that the job's team can count on.
    pub(super) team_part: f64,
    /// How far the team's demand is beyond its share, from 0 (within or near it) to 1 (far).
    pub(super) burst: f64,
    /// How much longer steps of this size wait than others of the class.
    pub(super) size_factor: f64,
    /// Recent average wait of steps of the class, in milliseconds.
    pub(super) recent_wait_ms: f64,
}

/// Decision on an offered job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Verdict {
    Admit,
    /// The job is expected to end too late.
    Refuse {
        /// Expected end, in milliseconds from now.
        expected_end_ms: f64,
        /// Latest end with which it would be admitted, likewise.
        limit_ms: f64,
        /// The job would be admitted if its team were within its share.
        is_for_share: bool,
        /// Time after which the job would be admitted, in milliseconds.
        retry_ms: f64,
    },
}

impl Verdict {
    /// Decides on a job.
    pub(super) fn on(times: JobTimes, load: &LoadAhead) -> Self {
        let Some(rate) = load.rate.filter(|rate| *rate > 0.0) else { return Self::Admit };
        if load.is_capacity_free {
            return Self::Admit;
        }
        let expected_end_ms = load.expected_end_ms(times, rate);
        let factor = USEFUL_FACTOR + (BURST_FACTOR - USEFUL_FACTOR) * load.burst;
        let limit_ms = factor * times.objective_ms;
        if expected_end_ms <= limit_ms {
            return Self::Admit;
        }
        // Refused work that comes back takes its turn, so those refused later return later.
        let returning_ms = load.refused / (rate * load.spare_part);
        let retry_ms = expected_end_ms - limit_ms + returning_ms;
        Self::Refuse {
            expected_end_ms,
            limit_ms,
            is_for_share: expected_end_ms <= USEFUL_FACTOR * times.objective_ms,
            retry_ms,
        }
    }
}

impl LoadAhead {
    /// Returns the expected end of a job, in milliseconds from now.
    fn expected_end_ms(&self, times: JobTimes, rate: f64) -> f64 {
        let end_in_time_ms = self.end_after(times, self.wait_ms(self.in_time, rate));
        if end_in_time_ms <= times.objective_ms {
            return end_in_time_ms;
        }
        self.end_after(times, self.wait_ms(self.waiting, rate))
    }

    /// Returns the end of a job whose first step waits for some time.
    fn end_after(&self, times: JobTimes, wait_ms: f64) -> f64 {
        let later_wait_ms = times.later_steps as f64 * wait_ms.min(self.recent_wait_ms);
        times.critical_path_ms + wait_ms + later_wait_ms
    }

    /// Returns how long some work takes to start. A team's own share is free for it however much the
    /// others want; one that is far beyond its share waits for its own work as well.
    fn wait_ms(&self, work: WorkAhead, rate: f64) -> f64 {
        let by_all_ms = work.all / rate;
        let by_share_ms = if work.own > 0.0 { work.own / (rate * self.team_part) } else { 0.0 };
        let (short_ms, long_ms) = (by_all_ms.min(by_share_ms), by_all_ms.max(by_share_ms));
        (short_ms + (long_ms - short_ms) * self.burst) * self.size_factor
    }
}
