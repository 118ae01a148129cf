//! Detects frames that were delayed on their way.
//!
//! Two hosts' clocks cannot be compared, but the fastest of many frames shows how far apart they are.
//! What any other frame took longer than that, it spent in a queue, or while one of the hosts stood
//! still.

use std::sync::atomic::{AtomicI64, Ordering};

/// Estimates the delays of the frames of one session.
#[derive(Debug)]
pub(crate) struct FrameAge {
    /// Smallest difference of the receiver's and the sender's clocks, in milliseconds.
    min_offset_ms: AtomicI64,
}

impl Default for FrameAge {
    fn default() -> Self {
        Self { min_offset_ms: AtomicI64::new(i64::MAX) }
    }
}

impl FrameAge {
    /// Returns by how much longer a frame sent at `sent_ms` on the sender's clock has taken until
    /// `now_ms` on the local clock than the fastest one, in milliseconds.
    pub(crate) fn delay_ms(&self, sent_ms: u64, now_ms: u64) -> u64 {
        let offset_ms = now_ms.cast_signed().wrapping_sub(sent_ms.cast_signed());
        let min_offset_ms =
            self.min_offset_ms.fetch_min(offset_ms, Ordering::Relaxed).min(offset_ms);
        u64::try_from(offset_ms.saturating_sub(min_offset_ms)).unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
