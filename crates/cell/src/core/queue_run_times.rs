//! Learned run times by queue.

use {
    crate::{
        QueueRatioRecord,
        table::{LogEstimate, restored_variance, stored_variance},
    },
    rustc_hash::FxHashMap,
};

/// Variance of the ratio of a queue's run times to their estimates before any is known.
const INITIAL_VARIANCE: f64 = 0.25;
/// Increase of the variance with each step, so that a queue whose tasks change is learned anew within some
/// fifty steps.
const DRIFT_VARIANCE: f64 = 0.000_2;
/// Variance of the error of a single step's estimate before any is known.
const INITIAL_SPREAD: f64 = 0.25;
/// Weight of a new step in that variance.
const SPREAD_WEIGHT: f64 = 0.03;
/// Bounds of that variance: below it, the times until the leader learns of starts and ends matter more, and
/// beyond it an estimate says nothing.
const SPREAD_RANGE: (f64, f64) = (0.01, 1.0);
/// Number of standard deviations within which four in five estimates lie.
const USUAL_DEVIATIONS: f64 = 1.28;

/// Ratio of run time to estimate in one queue, on an average worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct QueueRatio {
    log_ratio: LogEstimate,
    /// Variance of the logarithms of single steps around it.
    spread: f64,
    /// The ratio itself, which a placement looks up many times.
    ratio: f64,
}

impl Default for QueueRatio {
    fn default() -> Self {
        Self::new(LogEstimate::new(0.0, INITIAL_VARIANCE), INITIAL_SPREAD)
    }
}

impl QueueRatio {
    fn new(log_ratio: LogEstimate, spread: f64) -> Self {
        Self { log_ratio, spread, ratio: log_ratio.mean().exp() }
    }

    /// Returns the ratio.
    pub(super) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns the logarithm of the ratio.
    pub(super) fn log_ratio(&self) -> f64 {
        self.log_ratio.mean()
    }

    /// Returns the record for the store.
    pub(super) fn record(&self, queue: &str) -> QueueRatioRecord {
        QueueRatioRecord {
            queue: queue.to_owned(),
            log_ratio: self.log_ratio.stored_mean(),
            variance: stored_variance(self.log_ratio.variance()),
            spread: stored_variance(self.spread),
        }
    }

    /// Returns the logarithm of the ratio of a step of which nothing is known.
    pub(super) fn of_a_step(&self) -> LogEstimate {
        LogEstimate::new(self.log_ratio.mean(), self.log_ratio.variance() + self.spread)
    }

    /// Returns the factor by which run times are usually longer or shorter than expected at most.
    pub(super) fn error_factor(&self) -> f64 {
        (USUAL_DEVIATIONS * self.spread.sqrt()).exp()
    }

    fn learn(&mut self, step: &LogEstimate) {
        let residual = step.mean() - self.log_ratio.mean();
        let spread = (residual * residual).clamp(SPREAD_RANGE.0, SPREAD_RANGE.1);
        self.spread += (spread - self.spread) * SPREAD_WEIGHT;
        self.log_ratio.widen(DRIFT_VARIANCE, INITIAL_VARIANCE);
        self.log_ratio.update(step.mean(), step.variance() + self.spread);
        self.ratio = self.log_ratio.mean().exp();
    }

    fn shift(&mut self, offset: f64) {
        self.log_ratio.shift(offset);
        self.ratio = self.log_ratio.mean().exp();
    }
}

/// Learned run times of all queues.
#[derive(Debug, Default)]
pub(super) struct QueueRunTimes {
    queues: FxHashMap<String, QueueRatio>,
}

impl QueueRunTimes {
    /// Returns the ratio of a queue.
    pub(super) fn of(&self, queue: &str) -> QueueRatio {
        self.queues.get(queue).copied().unwrap_or_default()
    }

    /// Returns the ratios of all queues that have run tasks.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &QueueRatio)> {
        self.queues.iter()
    }

    /// Restores the ratio that a former leader has stored, and returns its logarithm.
    pub(super) fn restore(&mut self, record: &QueueRatioRecord) -> f64 {
        let log_ratio = LogEstimate::restore(record.log_ratio, record.variance);
        let spread = restored_variance(record.spread).max(SPREAD_RANGE.0);
        let ratio = QueueRatio::new(log_ratio, spread);
        self.queues.insert(record.queue.clone(), ratio);
        ratio.log_ratio()
    }

    /// Applies the logarithm of the ratio of a step.
    pub(super) fn record(&mut self, queue: &str, step: &LogEstimate) {
        match self.queues.get_mut(queue) {
            Some(known) => known.learn(step),
            None => {
                let mut ratio = QueueRatio::default();
                ratio.learn(step);
                self.queues.insert(queue.to_owned(), ratio);
            }
        }
    }

    /// Moves a queue's ratio, as the average speed of its workers has been found to lie elsewhere.
    pub(super) fn shift(&mut self, queue: &str, offset: f64) {
        if let Some(known) = self.queues.get_mut(queue) {
            known.shift(offset);
        }
    }
}
