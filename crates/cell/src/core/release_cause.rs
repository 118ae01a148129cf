//! Why an attempt is released without an end that its worker listed.

use {
    super::CellCore,
    crate::{AttemptKey, table::LeaseLimit},
};

/// Why nothing is running of an attempt any more, so that its task may start elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReleaseCause {
    /// The leases on its worker have expired.
    LeaseExpiry(LeaseLimit),
    /// Another worker responds at its worker's address.
    Replaced,
    /// Its worker does not list it.
    Unlisted,
    /// Its worker acknowledged a stop and does not list it.
    Stopped,
    /// The only request to start it was refused.
    Refused,
    /// No request to start it was sent.
    Unsent,
    /// The store rejects the job's row, without which nothing is sent.
    RowRejected,
}

fn age_text(age_ms: Option<u64>) -> String {
    age_ms.map_or_else(|| "none".to_owned(), |age_ms| age_ms.to_string())
}

impl CellCore {
    /// Logs why an attempt is released, what is known of the incarnation that this relies on, and whether a
    /// request to start the attempt may still be carried out by another one.
    pub(super) fn log_release(&mut self, key: AttemptKey, cause: ReleaseCause) {
        let now_ms = self.time.now_ms;
        let Some(attempt) = self.attempts.get(key) else { return };
        let worker = &self.workers[attempt.worker];
        let open_starts = match cause {
            ReleaseCause::Refused => 0,
            _ => attempt.open_starts(now_ms, worker),
        };
        let started_ms = (attempt.start.sent_ms > 0).then_some(attempt.start.sent_ms);
        let start_age_ms = started_ms.map(|started_ms| now_ms.saturating_sub(started_ms));
        let detail = format!(
            "cause={cause:?} born={} responded={} fenced={} read_ms_ago={} open_starts={open_starts} \
             ticket={} started_ms_ago={}",
            worker.report.incarnation,
            worker.has_responded,
            worker.has_accepted_fence(),
            age_text(worker.lease.reading_age_ms(now_ms)),
            attempt.start.has_ticket,
            age_text(start_age_ms),
        );
        self.log_attempt("attempt_released", key, &detail);
    }
}
