//! Estimates the resources that work actually uses, as a fraction of the resources it declares.
//!
//! The estimate serves only to rank choices, for example by which worker is likely to be
//! overloaded. Admission always counts the declared resources, which the worker enforces, so a
//! wrong estimate causes no overcommitment.

use {
    crate::fractions::{Fractions, RESOURCE_COUNT, fractions},
    damaskrack_model::Resources,
};

/// Weight of a new report in the exponentially weighted moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Number of mean absolute deviations that the estimate lies above the mean.
const DEVIATION_COUNT: f64 = 2.0;

/// Fewest reports for which the estimate is used instead of the declared resources.
const MIN_REPORTS: u32 = 10;

/// Moving mean and mean absolute deviation of used resources as fractions of the declared ones, for
/// one team and kind of work.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Resources, damaskrack_policy::UsageEstimate};
///
/// let cores = |millicores| Resources { millicores, ..Resources::ZERO };
/// let mut estimate = UsageEstimate::default();
/// assert_eq!(estimate.predict(cores(4_000)), cores(4_000));
/// (0..100).for_each(|_| estimate.record(cores(1_000), cores(250)));
/// assert!(estimate.predict(cores(4_000)).millicores < 1_100);
/// ```
#[derive(Debug, Clone, Default)]
pub struct UsageEstimate {
    reports: u32,
    mean: Fractions,
    deviation: Fractions,
}

impl UsageEstimate {
    /// Adds a report of the resources that an attempt uses.
    pub fn record(&mut self, declared: Resources, used: Resources) {
        let observed = fractions(used, declared);
        let factor = if self.reports == 0 { 1.0 } else { SMOOTHING_FACTOR };
        for (resource, fraction) in observed.into_iter().enumerate() {
            let error = fraction - self.mean[resource];
            self.mean[resource] += factor * error;
            if self.reports > 0 {
                self.deviation[resource] +=
                    SMOOTHING_FACTOR * (error.abs() - self.deviation[resource]);
            }
        }
        self.reports = self.reports.saturating_add(1);
    }

    /// Returns an upper estimate of what an attempt will use, never more than it declares.
    #[must_use]
    pub fn predict(&self, declared: Resources) -> Resources {
        if self.reports < MIN_REPORTS {
            return declared;
        }
        let mut part: Fractions = [0.0; RESOURCE_COUNT];
        for (resource, part) in part.iter_mut().enumerate() {
            let bound = self.mean[resource] + DEVIATION_COUNT * self.deviation[resource];
            *part = bound.clamp(0.0, 1.0);
        }
        Resources {
            millicores: scale(declared.millicores, part[0]),
            memory_bytes: scale(declared.memory_bytes, part[1]),
            accelerators: declared.accelerators,
        }
    }
}

#[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale(amount: u64, part: f64) -> u64 {
    ((amount as f64 * part).ceil() as u64).min(amount)
}
