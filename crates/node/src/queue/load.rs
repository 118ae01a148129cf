//! Load shedding: estimates how long a new request would wait.
//!
//! A saturated queue that accepts everything serves callers that have already timed out, and
//! goodput falls. Refusing requests that would wait too long avoids that. The estimated wait is
//! the number of waiting requests divided by the rate at which requests end.

use damaskrack_model::{ClockTime, PriorityClass};

/// Interval over which ended requests are counted, in milliseconds.
const WINDOW_MS: u64 = 500;
/// Weight of the former rate in the moving average, in percent.
const RATE_DECAY_PERCENT: u64 = 50;
/// Number of requests that may always wait, whatever the rate.
const MIN_BACKLOG: usize = 64;

/// Consecutive intervals with a backlog after which the rate is trusted.
const MIN_BACKLOGGED_WINDOWS: u32 = 4;

/// Returns the longest acceptable wait of a request without a deadline, in milliseconds. The
/// lowest class is shed first.
fn max_wait_ms(class: PriorityClass) -> u64 {
    match class {
        PriorityClass::Low => 5_000,
        PriorityClass::Normal => 10_000,
        PriorityClass::Urgent => 20_000,
    }
}

/// Backlog and completion rate of a team's requests.
#[derive(Debug, Default)]
pub(super) struct RequestLoad {
    /// Requests that wait for a worker.
    pub(super) waiting: usize,
    ended: u64,
    since: ClockTime,
    /// Moving average of the requests that end in an interval.
    rate: u64,
    /// Consecutive intervals that ended with a backlog. The rate of an idle queue says nothing
    /// about how fast it could serve.
    backlogged_windows: u32,
}

impl RequestLoad {
    /// Counts a request that has ended.
    pub(super) fn count_end(&mut self) {
        self.ended += 1;
    }

    /// Closes an interval when it is over.
    pub(super) fn tick(&mut self, now: ClockTime) {
        if now.since(self.since) < WINDOW_MS {
            return;
        }
        self.since = now;
        let ended = std::mem::take(&mut self.ended);
        self.backlogged_windows =
            if self.waiting < MIN_BACKLOG { 0 } else { self.backlogged_windows.saturating_add(1) };
        self.rate = (self.rate * RATE_DECAY_PERCENT + ended * (100 - RATE_DECAY_PERCENT)) / 100;
    }

    /// Returns whether a new request would wait beyond its deadline or, without one, beyond the
    /// limit of its class.
    pub(super) fn is_overloaded(&self, class: PriorityClass, deadline_ms: u64) -> bool {
        if self.waiting < MIN_BACKLOG || self.backlogged_windows < MIN_BACKLOGGED_WINDOWS {
            return false;
        }
        let wait_ms = if deadline_ms > 0 { deadline_ms } else { max_wait_ms(class) };
        let allowed = self.rate.saturating_mul(wait_ms) / WINDOW_MS;
        self.waiting as u64 > allowed.max(MIN_BACKLOG as u64)
    }
}
