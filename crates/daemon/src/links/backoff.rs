//! Delay between connection attempts.

use {rand::Rng, std::time::Duration};

/// Initial delay between two attempts, in milliseconds.
const INITIAL_DELAY_MS: u64 = 50;
/// Maximum delay between two attempts, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// Exponential backoff with jitter, so that many daemons do not reconnect to a restarted one at the
/// same moment.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    next_ms: u64,
}

impl RetryBackoff {
    /// Starts with the initial delay.
    pub(crate) fn new() -> Self {
        Self { next_ms: INITIAL_DELAY_MS }
    }

    /// Returns the next delay, half of it fixed and half random, and doubles the one after it.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay_ms = self.next_ms;
        self.next_ms = (delay_ms * 2).min(MAX_DELAY_MS);
        Duration::from_millis(delay_ms / 2 + rand::rng().random_range(0..=delay_ms / 2))
    }

    /// Returns to the initial delay after a success.
    pub(crate) fn reset(&mut self) {
        self.next_ms = INITIAL_DELAY_MS;
    }
}
