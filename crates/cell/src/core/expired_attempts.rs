//! Attempts that were released because their leases had expired.
//!
//! The worker of such an attempt may respond again. If it still lists the run, the lease has outlasted
//! what this leader took for its end, and the task may have run twice.

use std::collections::VecDeque;

/// Time for which an attempt is remembered, in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// Maximum number of attempts that are remembered.
const MAX_ATTEMPTS: usize = 4_096;

/// An attempt that was released.
#[derive(Debug)]
struct ExpiredAttempt {
    worker: String,
    incarnation: u64,
    task: String,
    number: u32,
    released_ms: u64,
}

/// Recently released attempts, oldest first.
#[derive(Debug, Default)]
pub(super) struct ExpiredAttempts {
    attempts: VecDeque<ExpiredAttempt>,
}

impl ExpiredAttempts {
    /// Records that an attempt on an incarnation of a worker is released.
    pub(super) fn record(
        &mut self,
        (worker, incarnation): (&str, u64),
        task: String,
        number: u32,
        released_ms: u64,
    ) {
        let is_outdated =
            |attempt: &ExpiredAttempt| attempt.released_ms + RETENTION_MS < released_ms;
        while self.attempts.len() >= MAX_ATTEMPTS || self.attempts.front().is_some_and(is_outdated)
        {
            self.attempts.pop_front();
        }
        let worker = worker.to_owned();
        self.attempts.push_back(ExpiredAttempt { worker, incarnation, task, number, released_ms });
    }

    /// Forgets an attempt on a worker, whichever incarnation ran it; returns whether it was released.
    pub(super) fn take(&mut self, worker: &str, task: &str, number: u32) -> bool {
        let is_same = |attempt: &ExpiredAttempt| {
            attempt.task == task && attempt.number == number && attempt.worker == worker
        };
        let index = self.attempts.iter().position(is_same);
        index.and_then(|index| self.attempts.remove(index)).is_some()
    }

    /// Returns when an attempt on an incarnation of a worker was released, in milliseconds; `None` if it
    /// was not.
    pub(super) fn released_ms(
        &self,
        (worker, incarnation): (&str, u64),
        task: &str,
        number: u32,
    ) -> Option<u64> {
        let is_same = |attempt: &&ExpiredAttempt| {
            attempt.task == task
                && attempt.number == number
                && attempt.incarnation == incarnation
                && attempt.worker == worker
        };
        self.attempts.iter().find(is_same).map(|attempt| attempt.released_ms)
    }
}
