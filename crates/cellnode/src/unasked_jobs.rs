//! Bounds the jobs that a daemon writes without a leader's decision.
//!
//! A leader that does not answer in time, or is being replaced, has to take these jobs over. So a daemon may
//! write only a part of the memory that the leader has left for jobs, as its last status tells.

use {
    crate::frame::LeaderStatusFrame,
    std::sync::{Mutex, PoisonError},
};

/// The part of the memory left for jobs that a daemon may use up between two statuses, as a divisor.
const PART_DIVISOR: usize = 8;

#[derive(Debug, Default)]
struct UnaskedState {
    /// Time at which the status was sent that the bytes count from.
    status_ms: u64,
    bytes: usize,
}

/// Memory of the jobs that the daemon has written since the last status of a leader.
#[derive(Debug)]
pub(crate) struct UnaskedJobs {
    /// Memory for jobs on this host, which may be the next to lead, in bytes.
    own_bytes: usize,
    state: Mutex<UnaskedState>,
}

impl UnaskedJobs {
    pub(crate) fn new(own_bytes: usize) -> Self {
        Self { own_bytes, state: Mutex::default() }
    }

    /// Returns whether a job that takes so much memory may be written, and counts it if so.
    pub(crate) fn admit(&self, bytes: usize, status: &LeaderStatusFrame) -> bool {
        let left = status.free_job_bytes.map(|left| usize::try_from(left).unwrap_or(usize::MAX));
        let limit = left.map_or(self.own_bytes, |left| left.min(self.own_bytes)) / PART_DIVISOR;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.status_ms != status.sent_ms {
            *state = UnaskedState { status_ms: status.sent_ms, bytes: 0 };
        }
        let total = state.bytes.saturating_add(bytes);
        let has_space = total <= limit;
        if has_space {
            state.bytes = total;
        }
        has_space
    }
}

#[cfg(test)]
mod tests;
