//! What work of one sort really takes, against what it declares.
//!
//! The estimate only ranks choices, such as which worker is likely to run hot. Admission always
//! counts the declared size, which the worker enforces, so a wrong estimate overcommits nothing.

use {
    crate::shape::{Fractions, RESOURCE_COUNT, fractions},
    damaskrack_model::Resources,
};

/// Weight of a new report in the moving averages.
const GAIN: f64 = 0.1;

/// Deviations above the mean that the estimate allows for.
const DEVIATIONS: f64 = 2.0;

/// Reports before the estimate is used.
const MIN_REPORTS: u32 = 10;

/// Moving mean and deviation of used fractions of declared sizes, for one team and kind of work.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Resources, damaskrack_policy::UsageEstimate};
///
/// let cores = |millicores| Resources { millicores, ..Resources::ZERO };
/// let mut estimate = UsageEstimate::default();
/// assert_eq!(estimate.expect(cores(4_000)), cores(4_000));
/// (0..100).for_each(|_| estimate.record(cores(1_000), cores(250)));
/// assert!(estimate.expect(cores(4_000)).millicores < 1_100);
/// ```
#[derive(Debug, Clone, Default)]
pub struct UsageEstimate {
    reports: u32,
    mean: Fractions,
    deviation: Fractions,
}

impl UsageEstimate {
    /// Adds a report of what an attempt uses.
    pub fn record(&mut self, declared: Resources, used: Resources) {
        let seen = fractions(used, declared);
        let gain = if self.reports == 0 { 1.0 } else { GAIN };
        for (resource, seen) in seen.into_iter().enumerate() {
            let error = seen - self.mean[resource];
            self.mean[resource] += gain * error;
            if self.reports > 0 {
                self.deviation[resource] += GAIN * (error.abs() - self.deviation[resource]);
            }
        }
        self.reports = self.reports.saturating_add(1);
    }

    /// Returns what an attempt of a declared size will probably take, never more than declared.
    #[must_use]
    pub fn expect(&self, declared: Resources) -> Resources {
        if self.reports < MIN_REPORTS {
            return declared;
        }
        let mut part: Fractions = [0.0; RESOURCE_COUNT];
        for (resource, part) in part.iter_mut().enumerate() {
            let bound = self.mean[resource] + DEVIATIONS * self.deviation[resource];
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
