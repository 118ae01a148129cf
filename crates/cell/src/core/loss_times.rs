//! Times at which workers were lost.

use std::collections::VecDeque;

/// Workers that are lost within this time of each other, in milliseconds, are lost together.
const SIMULTANEOUS_MS: u64 = 30;
/// Minimum number of workers that are lost together for a common cause.
const MIN_SIMULTANEOUS: usize = 4;
/// One in this many workers has to be lost together for a common cause.
const SIMULTANEOUS_SHARE: usize = 32;
/// Time for which the loss of a worker is remembered, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// Times at which workers were lost, oldest first.
#[derive(Debug, Default)]
pub(super) struct LossTimes {
    times_ms: VecDeque<u64>,
}

impl LossTimes {
    /// Records the loss of a worker.
    pub(super) fn record(&mut self, lost_ms: u64) {
        while self.times_ms.front().is_some_and(|time_ms| time_ms + RETENTION_MS < lost_ms) {
            self.times_ms.pop_front();
        }
        self.times_ms.push_back(lost_ms);
    }

    /// Returns whether so many of a number of workers were lost at about this time that they have a
    /// cause in common.
    pub(super) fn have_common_cause(&self, lost_ms: u64, workers: usize) -> bool {
        let is_near = |time_ms: &&u64| time_ms.abs_diff(lost_ms) <= SIMULTANEOUS_MS;
        let lost = self.times_ms.iter().filter(is_near).count();
        lost >= (workers / SIMULTANEOUS_SHARE).max(MIN_SIMULTANEOUS)
    }
}
