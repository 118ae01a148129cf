//! Limits on preemptions, and how long they take.

use crate::AttemptKey;

/// Number of stops per worker and second. A stop and the restart after it cost some tenths of a second
/// of a worker's time, so this bounds the loss to a small part of the cell.
const STOPS_PER_WORKER_S: f64 = 1.0;
/// Number of workers for each stop in flight. Capacity that is being freed is idle.
const WORKERS_PER_STOP: usize = 2;
/// Number of stops in flight that any cell may have, so that a small one can make room for a gang.
const MIN_STOPS_IN_FLIGHT: usize = 32;
/// Time that a stop is expected to take before one was seen, in milliseconds.
const INITIAL_STOP_MS: f64 = 200.0;
/// Range of the expected time, in milliseconds.
const STOP_RANGE_MS: (f64, f64) = (50.0, 1_000.0);
/// Weight of a new sample in the expected time.
const STOP_WEIGHT: f64 = 0.1;
/// Factor by which a stop exceeds the expected time when it counts as overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Minimum of the time after which a stop counts as overdue, in milliseconds. An unacknowledged
/// stop request is repeated within it.
const MIN_OVERDUE_MS: u64 = 700;

/// A stop that has not ended its attempt yet.
#[derive(Debug)]
struct PendingStop {
    attempt: AttemptKey,
    since_ms: u64,
}

/// The stops in flight, and how many more there may be.
#[derive(Debug)]
pub(super) struct PreemptionLimits {
    pending: Vec<PendingStop>,
    /// Number of stops that the rate allows now.
    allowance: f64,
    refilled_ms: u64,
    /// Moving average of the time from a decision to the end of the attempt, in milliseconds.
    stop_ms: f64,
}

impl Default for PreemptionLimits {
    fn default() -> Self {
        Self { pending: Vec::new(), allowance: 0.0, refilled_ms: 0, stop_ms: INITIAL_STOP_MS }
    }
}

impl PreemptionLimits {
    /// Begins a placement: learns from the stops that have ended their attempts, and adds to what the
    /// rate allows.
    pub(super) fn begin(
        &mut self,
        now_ms: u64,
        workers: usize,
        is_running: impl Fn(AttemptKey) -> bool,
    ) {
        for stop in self.pending.extract_if(.., |stop| !is_running(stop.attempt)) {
            let took_ms = now_ms.saturating_sub(stop.since_ms) as f64;
            let sample_ms = took_ms.clamp(STOP_RANGE_MS.0, STOP_RANGE_MS.1);
            self.stop_ms += (sample_ms - self.stop_ms) * STOP_WEIGHT;
        }
        let rate_per_s = (workers as f64 * STOPS_PER_WORKER_S).max(MIN_STOPS_IN_FLIGHT as f64);
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.allowance = (self.allowance + rate_per_s * elapsed_s).min(rate_per_s);
        self.refilled_ms = now_ms;
    }

    /// Returns how many more attempts may be stopped now.
    pub(super) fn left(&self, workers: usize) -> usize {
        let max_in_flight = (workers / WORKERS_PER_STOP).max(MIN_STOPS_IN_FLIGHT);
        // The allowance is at most a few thousand stops.
        max_in_flight.saturating_sub(self.pending.len()).min(self.allowance as usize)
    }

    /// Records that an attempt is to be stopped.
    pub(super) fn record(&mut self, attempt: AttemptKey, now_ms: u64) {
        self.pending.push(PendingStop { attempt, since_ms: now_ms });
        self.allowance -= 1.0;
    }

    /// Returns how long a stop is expected to take, in milliseconds.
    pub(super) fn stop_ms(&self) -> u64 {
        // The average is within its range.
        self.stop_ms as u64
    }

    /// Returns the time after which a stop counts as overdue, in milliseconds.
    pub(super) fn overdue_ms(&self) -> u64 {
        ((self.stop_ms * OVERDUE_FACTOR) as u64).max(MIN_OVERDUE_MS)
    }
}
