//! Time between attempts to connect.

use {rand::Rng, std::time::Duration};

/// First time between two attempts, in milliseconds.
const INITIAL_DELAY_MS: u64 = 50;
/// Longest time between two attempts, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// Doubles with each failure and is jittered, so that many daemons do not reach a returning one
/// at the same moment.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    next_ms: u64,
}

impl RetryBackoff {
    /// Starts with the shortest time.
    pub(crate) fn new() -> Self {
        Self { next_ms: INITIAL_DELAY_MS }
    }

    /// Returns the time to wait now: half fixed, half random.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay_ms = self.next_ms;
        self.next_ms = (delay_ms * 2).min(MAX_DELAY_MS);
        Duration::from_millis(delay_ms / 2 + rand::rng().random_range(0..=delay_ms / 2))
    }

    /// Goes back to the shortest time after a success.
    pub(crate) fn reset(&mut self) {
        self.next_ms = INITIAL_DELAY_MS;
    }
}
