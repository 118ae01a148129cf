//! Bounds the memory of submissions that are being decided on.
//!
//! A body of 12 KB may hold 1,000 steps, which take 15 times as much once they are decoded, and several copies of
//! them are made on the way to the leader and to the store.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest submission that may use the part which is kept free of larger ones, in bytes.
const SMALL_BYTES: usize = 16_384;
/// The part that is kept for small submissions, as a divisor.
const SMALL_DIVISOR: usize = 4;

/// Memory of the submissions that are being decided on.
#[derive(Debug)]
pub(crate) struct SubmissionSpace {
    limit: usize,
    used: AtomicUsize,
}

/// Memory of one submission, which is given back on drop.
#[derive(Debug)]
pub(crate) struct SubmissionGuard<'a> {
    space: &'a SubmissionSpace,
    bytes: usize,
}

impl SubmissionSpace {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Takes memory for a submission; `None` if there is too little.
    pub(crate) fn take(&self, bytes: usize) -> Option<SubmissionGuard<'_>> {
        let limit = match bytes <= SMALL_BYTES {
            true => self.limit,
            false => self.limit - self.limit / SMALL_DIVISOR,
        };
        let add = |used: usize| used.checked_add(bytes).filter(|total| *total <= limit);
        let taken = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.ok().map(|_| SubmissionGuard { space: self, bytes })
    }
}

impl Drop for SubmissionGuard<'_> {
    fn drop(&mut self) {
        self.space.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
