//! Since when a daemon has been in contact with the store.
//!
//! Workers report changes of their capacity to the store. While it is down they cannot, and their
//! entries show what they had before. So the entries may be relied on only if they were read after
//! the workers have had time to report.

use {
    crate::boot_ms,
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// Time without contact from which the store may have been down, in milliseconds.
const OUTAGE_MS: u64 = 2_000;

#[derive(Debug)]
struct ContactState {
    /// Time of the last response; at first the time at which the daemon started.
    responded_ms: u64,
    /// Time of the first response after the last outage that the daemon has seen; 0 if it has seen none.
    regained_ms: u64,
}

/// Tracks the responses of the store.
#[derive(Debug)]
pub(crate) struct StoreContact {
    /// Time within which every worker that reaches the store reports a change, in milliseconds.
    report_delay_ms: u64,
    state: Mutex<ContactState>,
}

impl StoreContact {
    /// Creates a tracker for a daemon that starts now.
    pub(crate) fn new(report_delay_ms: u64) -> Self {
        Self::starting_at(boot_ms(), report_delay_ms)
    }

    fn starting_at(started_ms: u64, report_delay_ms: u64) -> Self {
        let state = ContactState { responded_ms: started_ms, regained_ms: 0 };
        Self { report_delay_ms, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, ContactState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store has responded to a watch. It may have been down while the watch waited, for as
    /// long as no other response came.
    pub(crate) fn record_response(&self) {
        self.record_response_at(boot_ms());
    }

    fn record_response_at(&self, received_ms: u64) {
        self.record(received_ms, received_ms);
    }

    /// Records a response, and that the store was in contact by `contact_ms`.
    fn record(&self, contact_ms: u64, received_ms: u64) {
        let mut state = self.lock();
        if contact_ms > state.responded_ms + OUTAGE_MS {
            state.regained_ms = received_ms;
        }
        state.responded_ms = state.responded_ms.max(received_ms);
    }

    /// Records that the entries of all workers were read by a call sent at `read_ms`, and returns whether
    /// they date from after the last outage, which this response may have ended.
    pub(crate) fn record_entries(&self, read_ms: u64) -> bool {
        self.record_entries_at(read_ms, boot_ms())
    }

    fn record_entries_at(&self, read_ms: u64, received_ms: u64) -> bool {
        self.record(read_ms, received_ms);
        read_ms >= self.lock().regained_ms + self.report_delay_ms
    }
}

#[cfg(test)]
mod tests;
