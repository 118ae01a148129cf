//! When the store last confirmed a leader, and whether calls to it fail.

use {
    crate::boot_ms,
    std::sync::{Mutex, MutexGuard, PoisonError},
};

#[derive(Debug)]
struct StatusState {
    confirmed_ms: u64,
    has_error: bool,
    /// Duration of the last call that confirmed the leadership.
    store_latency_ms: u64,
}

/// Tracks when the store last confirmed that this daemon leads, and whether calls to it fail.
#[derive(Debug)]
pub(crate) struct LeadershipStatus {
    state: Mutex<StatusState>,
}

impl LeadershipStatus {
    /// Starts from an election by a call sent at `sent_ms`, in milliseconds since the host booted.
    pub(crate) fn new(sent_ms: u64) -> Self {
        Self {
            state: Mutex::new(StatusState {
                confirmed_ms: sent_ms,
                has_error: false,
                store_latency_ms: 0,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StatusState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a call sent at `sent_ms` confirmed that this daemon leads.
    pub(crate) fn record_confirmation(&self, sent_ms: u64) {
        let mut state = self.lock();
        state.confirmed_ms = state.confirmed_ms.max(sent_ms);
        state.has_error = false;
        state.store_latency_ms = boot_ms().saturating_sub(sent_ms);
    }

    /// Records that a call failed.
    pub(crate) fn record_error(&self) {
        self.lock().has_error = true;
    }

    /// Returns the time since the last confirming call was sent, in milliseconds.
    pub(crate) fn confirmation_age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.lock().confirmed_ms)
    }

    /// Returns the duration of the last confirming call, in milliseconds.
    pub(crate) fn store_latency_ms(&self) -> u64 {
        self.lock().store_latency_ms
    }

    /// Returns whether a call has failed since the last confirmation.
    pub(crate) fn has_error(&self) -> bool {
        self.lock().has_error
    }
}
