//! Attempts that were lost with their workers.

use {
    super::CellCore,
    crate::{AttemptKey, WorkerKey},
};

impl CellCore {
    /// Logs an attempt that is lost with its worker, and the time for which it ran.
    pub(super) fn log_lost(&mut self, key: AttemptKey, reason: &str) {
        let attempt = &self.attempts[key];
        let lost_ms = self.workers[attempt.worker].lost_ms.unwrap_or(self.time.now_ms);
        let ran = match attempt.start_sent_ms {
            0 => "unknown".to_owned(),
            sent_ms => lost_ms.saturating_sub(sent_ms).to_string(),
        };
        let state = attempt.state;
        let detail = format!("reason={reason:?} ran_ms={ran} state={state:?}");
        self.log_attempt("attempt_lost", key, &detail);
    }

    /// Logs all attempts on a worker whose process has ended.
    pub(super) fn log_crash(&mut self, worker: WorkerKey) {
        let attempts: Vec<AttemptKey> = self.workers[worker].attempts.values().copied().collect();
        for attempt in attempts {
            self.log_lost(attempt, "the worker restarted");
        }
    }
}
