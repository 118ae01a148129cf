//! Order of workers by speed for the tasks of a step.
//!
//! Fast workers are scarce, so a step takes the slowest ones on which its job still ends in time, and leaves
//! the others to steps that need them. If the job ends in time nowhere, it takes the fastest. Workers are ranked
//! by their levels of slowness. Whether one suffices depends on the slowness that it most likely does not exceed,
//! with a margin, so that a worker of which little is known does not count as fast.

use {
    super::{CellCore, backlog::REPORT_MS},
    crate::{
        message::PhaseRef,
        table::{SpeedClass, WorkerSpeed},
    },
    std::cmp::Reverse,
};

/// Factor by which the time that the objective leaves must exceed the expected run time for a worker to suffice. The
/// rest is for tasks that fail and run again, and for steps whose longest task takes longer than the others.
const END_MARGIN: f64 = 1.6;

/// Rank of a worker by its speed; the lowest is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SpeedRank {
    /// The job ends in time on the worker, which has this level. The slower one is preferred.
    Sufficient(Reverse<i16>),
    /// The job may end late on the worker, which has this level. The faster one is preferred.
    Late(i16),
    /// The worker is slower than usual, so nothing can be said about when a task ends there.
    Degraded,
}

impl SpeedRank {
    /// Rank of a worker whose speed does not matter.
    const ANY: Self = Self::Sufficient(Reverse(0));

    /// Returns whether the job ends in time on the worker.
    pub(super) fn is_sufficient(self) -> bool {
        matches!(self, Self::Sufficient(_))
    }
}

/// Which workers are fast enough for a step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum SpeedOrder {
    /// Speeds decide nothing.
    Ignored,
    /// Workers are equally fast but for degraded ones.
    Even,
    /// The step has no deadline: only slow workers are avoided.
    AvoidSlow,
    /// Workers suffice whose likely slowness is below a limit by [`END_MARGIN`].
    Deadline {
        /// That limit, as a multiple of the time on an average worker.
        max_slowness: f64,
    },
}

impl SpeedOrder {
    /// Returns the rank of a worker.
    pub(super) fn rank(self, speed: &WorkerSpeed) -> SpeedRank {
        if self != Self::Ignored && speed.class() == SpeedClass::Degraded {
            return SpeedRank::Degraded;
        }
        let level = speed.level();
        match self {
            Self::Ignored | Self::Even => SpeedRank::ANY,
            Self::AvoidSlow if speed.class() == SpeedClass::Slow => SpeedRank::Late(level),
            Self::AvoidSlow => SpeedRank::ANY,
            Self::Deadline { max_slowness }
                if speed.likely_slowness() * END_MARGIN <= max_slowness =>
            {
                SpeedRank::Sufficient(Reverse(level))
            }
            Self::Deadline { .. } => SpeedRank::Late(level),
        }
    }
}

/// What decides how slow a worker may be for a step, in milliseconds on an average worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SpeedNeed {
    /// Expected run time of a task.
    pub(super) run_ms: f64,
    /// Expected run time of the later steps.
    pub(super) later_ms: f64,
    /// Part of the job's objective that grows with its run time.
    pub(super) scaled_objective_ms: f64,
    /// Rest of the objective, less the time that has passed.
    pub(super) fixed_objective_ms: f64,
    /// Factor by which these run times are usually shorter than expected at most.
    pub(super) error_factor: f64,
}

impl SpeedNeed {
    /// Returns the slowness up to which a worker suffices, whatever the error of the estimates.
    ///
    /// An error changes the objective and the run time alike. So the bound is lowest for the shortest run
    /// time, beside which the time that has passed matters most, or for a straggler, beside which the
    /// fixed part of the objective does not matter.
    pub(super) fn max_slowness(&self) -> f64 {
        let scaled = (self.scaled_objective_ms - self.later_ms) / self.run_ms;
        let fixed = self.fixed_objective_ms * self.error_factor / self.run_ms;
        scaled + fixed.min(0.0)
    }
}

impl CellCore {
    /// Returns which workers are fast enough for a step.
    pub(super) fn speed_order(&self, phase: PhaseRef) -> SpeedOrder {
        if !self.settings.features.worker_speed {
            return SpeedOrder::Ignored;
        }
        if !self.speed_review.is_uneven() {
            return match self.speed_review.has_degraded() {
                true => SpeedOrder::Even,
                false => SpeedOrder::Ignored,
            };
        }
        let job = &self.jobs[phase.job];
        let step = job.phases[phase.phase].step;
        let run_ms = self.expected_run_ms(phase);
        if job.record.steps[step].is_service || run_ms <= 0.0 {
            return SpeedOrder::AvoidSlow;
        }
        let objective = self.objective(&job.record);
        let passed_ms = self.time.wall_ms as f64 - self.arrived_ms(job);
        let need = SpeedNeed {
            run_ms,
            later_ms: self.later_path_ms(&job.record, step),
            scaled_objective_ms: objective.scaled_ms,
            fixed_objective_ms: objective.fixed_ms - passed_ms - REPORT_MS,
            error_factor: self.run_times.of(&job.record.queue).error_factor(),
        };
        SpeedOrder::Deadline { max_slowness: need.max_slowness() }
    }
}
