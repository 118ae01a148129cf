//! Robust running means of logarithms.

/// Standard deviations beyond which a sample counts no more than at that distance. Larger bounds let single
/// stragglers move the mean; smaller ones slow learning down.
const MAX_DEVIATIONS: f64 = 2.0;

/// Parts of one in which means are stored.
const MEAN_PARTS: f64 = 1_000.0;
/// Parts of one in which variances are stored.
const VARIANCE_PARTS: f64 = 100_000.0;
/// Largest logarithm that is taken from the store, a factor of twenty: others are damaged.
const MAX_STORED_MEAN: f64 = 3.0;
/// Range of variances that are taken from the store. None would never change again.
const STORED_VARIANCES: (f64, f64) = (0.000_1, 1.0);

/// Returns a variance as it is stored.
pub(crate) fn stored_variance(variance: f64) -> u32 {
    // A float-to-integer cast saturates.
    (variance * VARIANCE_PARTS).round() as u32
}

/// Returns a variance from the store.
pub(crate) fn restored_variance(stored: u32) -> f64 {
    (f64::from(stored) / VARIANCE_PARTS).clamp(STORED_VARIANCES.0, STORED_VARIANCES.1)
}

/// A mean of logarithms with the variance of its error.
///
/// Each sample moves the mean by a share that follows from both variances, and by no more than a sample at
/// [`MAX_DEVIATIONS`] would.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LogEstimate {
    mean: f64,
    variance: f64,
}

impl LogEstimate {
    pub(crate) const fn new(mean: f64, variance: f64) -> Self {
        Self { mean, variance }
    }

    /// Restores an estimate from the store.
    pub(crate) fn restore(mean: i32, variance: u32) -> Self {
        let mean = (f64::from(mean) / MEAN_PARTS).clamp(-MAX_STORED_MEAN, MAX_STORED_MEAN);
        Self::new(mean, restored_variance(variance))
    }

    /// Returns the mean as it is stored.
    pub(crate) fn stored_mean(&self) -> i32 {
        // A float-to-integer cast saturates.
        (self.mean * MEAN_PARTS).round() as i32
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    pub(crate) fn variance(&self) -> f64 {
        self.variance
    }

    /// Returns the standard deviation of the mean's error.
    pub(crate) fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }

    /// Applies a sample whose error has a variance.
    pub(crate) fn update(&mut self, sample: f64, sample_variance: f64) {
        let total = self.variance + sample_variance;
        let bound = MAX_DEVIATIONS * total.sqrt();
        let share = self.variance / total;
        self.mean += share * (sample - self.mean).clamp(-bound, bound);
        self.variance *= 1.0 - share;
    }

    /// Increases the variance, as the value may have changed, up to a maximum.
    pub(crate) fn widen(&mut self, added: f64, max_variance: f64) {
        self.variance = (self.variance + added).min(max_variance).max(self.variance);
    }

    /// Moves the mean.
    pub(crate) fn shift(&mut self, offset: f64) {
        self.mean += offset;
    }

    /// Moves the mean towards zero, keeping a share of it.
    pub(crate) fn decay(&mut self, kept_share: f64) {
        self.mean *= kept_share;
    }
}
