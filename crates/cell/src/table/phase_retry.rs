//! Delays between attempts at a phase's tasks.

/// Time for which a phase gets no new attempts after one was given up, in milliseconds. It doubles
/// with each further one.
const RETRY_DELAY_MS: u64 = 50;
/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 6;

/// Backoff of a phase whose attempts were given up because their workers did not respond or refused them.
#[derive(Debug, Default)]
pub(crate) struct PhaseRetry {
    /// Number of attempts given up since the last confirmed start.
    given_up: u32,
    due_ms: u64,
}

impl PhaseRetry {
    /// Records that an attempt was given up.
    pub(crate) fn delay(&mut self, now_ms: u64) {
        let delay_ms = RETRY_DELAY_MS << self.given_up.min(MAX_DOUBLINGS);
        self.given_up = self.given_up.saturating_add(1);
        self.due_ms = now_ms + delay_ms;
    }

    /// Records that an attempt was lost with its worker or refused. Attempts for which this happens
    /// together count once, on however many workers.
    pub(crate) fn delay_once(&mut self, now_ms: u64) {
        if self.is_due(now_ms) {
            self.delay(now_ms);
        }
    }

    /// Records that a worker confirmed a start.
    pub(crate) fn reset(&mut self) {
        self.given_up = 0;
    }

    /// Returns whether the phase may get new attempts.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.due_ms
    }
}
