//! Recent waits of the steps of a class, by size.
//!
//! A large gang waits longer than a small one, as it needs more workers that are allowed, free and
//! covered by tickets at a time.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of sizes: powers of two of the number of tasks up to the largest jobs.
const SIZES: usize = 15;
/// Range of the factor between the waits of one size and of all, so that few samples of a size have a
/// bounded effect.
const FACTOR_RANGE: (f64, f64) = (1.0, 4.0);

/// Moving averages of waits, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct WaitAverages {
    all_ms: f64,
    by_size_ms: [Option<f64>; SIZES],
}

impl WaitAverages {
    /// Records how long a step with a number of tasks waited.
    pub(super) fn record(&mut self, tasks: usize, wait_ms: f64) {
        self.all_ms += (wait_ms - self.all_ms) * SAMPLE_WEIGHT;
        let known_ms = self.by_size_ms[size_of(tasks)].get_or_insert(wait_ms);
        *known_ms += (wait_ms - *known_ms) * SAMPLE_WEIGHT;
    }

    /// Reduces all averages to a part of them, as nothing waits.
    pub(super) fn fade(&mut self, keep: f64) {
        self.all_ms *= keep;
        self.by_size_ms.iter_mut().flatten().for_each(|known_ms| *known_ms *= keep);
    }

    /// Returns the average wait, in milliseconds.
    pub(super) fn average_ms(&self) -> f64 {
        self.all_ms
    }

    /// Returns how much longer steps with a number of tasks wait than the average one.
    pub(super) fn size_factor(&self, tasks: usize) -> f64 {
        let factor = match self.by_size_ms[size_of(tasks)] {
            Some(known_ms) if self.all_ms >= 1.0 => known_ms / self.all_ms,
            _ => 1.0,
        };
        factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }
}

fn size_of(tasks: usize) -> usize {
    let bits = usize::BITS - tasks.leading_zeros();
    // At most 64.
    (bits as usize).min(SIZES - 1)
}
