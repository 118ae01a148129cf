//! Starts that may still be carried out by workers that are no longer in the tables.
//!
//! A worker that comes back under its id, as the same incarnation or another one, may carry such a start out, so its
//! ends are not acknowledged before that time is over.

use rustc_hash::FxHashMap;

/// Times until which removed workers may carry starts out.
#[derive(Debug, Default)]
pub(super) struct RemovedStarts {
    /// By the worker's id, in milliseconds.
    until_ms: FxHashMap<String, u64>,
}

impl RemovedStarts {
    /// Keeps the time of a worker that is removed.
    pub(super) fn keep(&mut self, id: &str, until_ms: u64, now_ms: u64) {
        if now_ms < until_ms {
            self.until_ms.insert(id.to_owned(), until_ms);
        }
    }

    /// Takes the time of a worker that is added; 0 if none is known.
    pub(super) fn take(&mut self, id: &str) -> u64 {
        self.until_ms.remove(id).unwrap_or(0)
    }

    /// Forgets the times that are over.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}
