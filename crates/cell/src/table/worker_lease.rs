//! How long the leases on a worker can last.
//!
//! A deadline is a time on the worker's clock, which begins anew with each incarnation, and a request
//! names the worker by an id that survives a restart. So a request that was meant for a former
//! incarnation may be carried out by the present one. Its deadline is far away for that, which grants the
//! longest lease that a worker grants; and a deadline never shortens. This ends when the incarnation
//! accepts a request that supersedes all of them: from then on the leases of other requests are bounded.

/// Slowest rate of a worker's clock relative to the local clock, in percent.
const SLOWEST_CLOCK_PERCENT: u64 = 97;
/// Margin after a lease's deadline before its attempts count as expired, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 300;

/// Longest time between two readings of the clock of a worker on which nothing runs, in milliseconds. What it
/// may be slow by in this time is well below the duration of a lease.
const READING_INTERVAL_MS: u64 = 60_000;

/// Returns the longest time on the local clock until a lease of `lease_ms` milliseconds on a worker's
/// clock has expired, in milliseconds.
pub(crate) fn longest_lease_ms(lease_ms: u64) -> u64 {
    lease_ms * 100 / SLOWEST_CLOCK_PERCENT + EXPIRY_MARGIN_MS
}

/// Longest time for which a response is on its way and waits to be processed, for the comparison of clocks, in
/// milliseconds.
const MAX_RESPONSE_DELAY_MS: u64 = 50;
/// Largest range in which the clock of the known incarnation is expected, in milliseconds. A range that is small
/// beside the readings with which clocks begin hardly ever contains another incarnation's.
const MAX_CLOCK_RANGE_MS: u64 = 200;
/// Age of a reading from which on that range is too large, in milliseconds.
const MAX_READING_AGE_MS: u64 = 2_500;
/// Difference from what the known incarnation's clock can show that proves another one, in milliseconds. Local times
/// are those of the pass in which a response is processed.
const OTHER_CLOCK_MARGIN_MS: u64 = 1_000;

/// A reading of a worker's clock in a response.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    /// Time on the local clock at which the request was sent.
    sent_ms: u64,
    /// Time on the local clock at which the response was received.
    at_ms: u64,
}

/// Whose clock a reading is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClockMatch {
    /// The known incarnation's.
    Same,
    /// Another incarnation's.
    Other,
    /// That cannot be told.
    Unknown,
}

/// The leases on the present incarnation of a worker.
#[derive(Debug)]
pub(crate) struct WorkerLease {
    clock: Option<ClockReading>,
    /// Latest deadline in any request to the incarnation, on its clock.
    deadline_ms: u64,
    /// Time at which the last request with a deadline was sent to any incarnation; 0 if none was.
    deadline_sent_ms: u64,
    /// Latest time at which the leases expire that were granted on other requests: those of former leaders,
    /// and those that were meant for a former incarnation.
    other_expiry_ms: u64,
    /// Duration of the longest lease that such a request can have been granted, in milliseconds.
    longest_other_ms: u64,
    /// The worker has not responded to this leader, so these are leases of former ones.
    is_inherited: bool,
}

impl WorkerLease {
    /// Returns the leases of a worker that has not responded to this leader and grants leases of
    /// `max_lease_ms` milliseconds at most.
    pub(crate) fn new(other_expiry_ms: u64, max_lease_ms: u64) -> Self {
        Self {
            clock: None,
            deadline_ms: 0,
            deadline_sent_ms: 0,
            other_expiry_ms,
            longest_other_ms: max_lease_ms,
            is_inherited: true,
        }
    }

    /// Switches to another incarnation. Until it responds, the leases on the former one count.
    pub(crate) fn restart(&mut self, max_lease_ms: u64) {
        self.other_expiry_ms = self.expiry_ms();
        self.longest_other_ms = max_lease_ms;
        self.is_inherited = false;
        self.clock = None;
        self.deadline_ms = 0;
    }

    /// Records a reading of the worker's clock in the response to a request sent at `sent_ms`.
    pub(crate) fn record_clock(&mut self, clock_ms: u64, sent_ms: u64, now_ms: u64) {
        self.clock = Some(ClockReading { clock_ms, sent_ms, at_ms: now_ms });
    }

    /// Returns whether the clock was read so recently that a response shows whether it is of the same incarnation.
    pub(crate) fn has_comparable_clock(&self, now_ms: u64) -> bool {
        self.clock.is_some_and(|reading| now_ms < reading.at_ms + MAX_READING_AGE_MS)
    }

    /// Returns whose clock a reading is of, in a response received now to a request sent at `sent_ms`.
    pub(crate) fn match_clock(&self, clock_ms: u64, sent_ms: u64, now_ms: u64) -> ClockMatch {
        let Some(known) = self.clock else { return ClockMatch::Unknown };
        let least_age_ms = sent_ms.saturating_sub(known.at_ms) * SLOWEST_CLOCK_PERCENT / 100;
        let earliest_ms =
            (known.clock_ms + least_age_ms).saturating_sub(known.at_ms.saturating_sub(sent_ms));
        let latest_ms = known.clock_ms + now_ms.saturating_sub(known.sent_ms);
        let from_ms = earliest_ms.saturating_sub(MAX_RESPONSE_DELAY_MS);
        let to_ms = known.clock_ms + now_ms.saturating_sub(known.at_ms) + MAX_RESPONSE_DELAY_MS;
        let is_before = clock_ms + OTHER_CLOCK_MARGIN_MS < earliest_ms;
        if is_before || clock_ms > latest_ms + OTHER_CLOCK_MARGIN_MS {
            ClockMatch::Other
        } else if (from_ms..=to_ms).contains(&clock_ms) && to_ms - from_ms <= MAX_CLOCK_RANGE_MS {
            ClockMatch::Same
        } else {
            ClockMatch::Unknown
        }
    }

    /// Forgets the reading of the worker's clock.
    pub(crate) fn forget_clock(&mut self) {
        self.clock = None;
    }

    /// Returns whether the worker's clock is known.
    pub(crate) fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Records that the incarnation has responded and still accepts other requests, so it may have been granted the
    /// longest lease on one.
    pub(crate) fn accept_others(&mut self, now_ms: u64) {
        let longest_ms = longest_lease_ms(self.longest_other_ms);
        self.other_expiry_ms = self.other_expiry_ms.max(now_ms + longest_ms);
    }

    /// Records that the incarnation refuses all other requests from now on.
    pub(crate) fn refuse_others(&mut self, now_ms: u64) {
        self.other_expiry_ms = now_ms + longest_lease_ms(self.longest_other_ms);
        self.is_inherited = false;
    }

    /// Records that other requests can have been granted leases of `lease_ms` milliseconds at most.
    pub(crate) fn limit_others_to(&mut self, lease_ms: u64) {
        self.longest_other_ms = self.longest_other_ms.min(lease_ms);
    }

    /// Returns whether other requests can have been granted leases of `lease_ms` milliseconds at most.
    pub(crate) fn are_others_limited_to(&self, lease_ms: u64) -> bool {
        self.longest_other_ms <= lease_ms
    }

    /// Returns whether the leases granted on other requests expire before one of `lease_ms` milliseconds that
    /// is extended now.
    pub(crate) fn outlasts_others(&self, now_ms: u64, lease_ms: u64) -> bool {
        self.other_expiry_ms <= now_ms + longest_lease_ms(lease_ms)
    }

    /// Records that the leases granted on other requests expire at this time at the latest.
    pub(crate) fn limit_others(&mut self, expiry_ms: u64) {
        self.other_expiry_ms = self.other_expiry_ms.min(expiry_ms);
    }

    /// Records that the leases which former leaders have renewed expire by `renewed_ms`, and that they have
    /// placed nothing after `election_ms`.
    pub(crate) fn limit_inherited(&mut self, renewed_ms: u64, election_ms: u64) {
        if self.is_inherited {
            let granted_ms = election_ms + longest_lease_ms(self.longest_other_ms);
            self.limit_others(renewed_ms.max(granted_ms));
        }
    }

    /// Returns the deadline for a request sent now, on the worker's clock; `None` if the clock is not
    /// known. The lease is at most `lease_ms` milliseconds long, also if the clock is slow; if it is exact, the
    /// lease is shorter by [`drift_ms`](Self::drift_ms).
    pub(crate) fn deadline_for(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let reading = self.clock?;
        let age_ms = now_ms.saturating_sub(reading.at_ms);
        let deadline = reading.clock_ms + age_ms * SLOWEST_CLOCK_PERCENT / 100 + lease_ms;
        self.deadline_ms = self.deadline_ms.max(deadline);
        self.deadline_sent_ms = now_ms;
        Some(deadline)
    }

    /// Returns whether the leases that other requests were granted can expire later than those that this
    /// leader asked for.
    pub(crate) fn is_bound_by_others(&self) -> bool {
        self.own_expiry_ms() < self.other_expiry_ms
    }

    /// Returns whether the other leases are those of former leaders, to which the worker may still respond.
    pub(crate) fn is_inherited(&self) -> bool {
        self.is_inherited
    }

    /// Returns the age of the last reading of the worker's clock, in milliseconds; `None` if there is none.
    pub(crate) fn reading_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.clock.map(|reading| now_ms.saturating_sub(reading.at_ms))
    }

    /// Returns by how much the worker's clock may be slow since it was read, in milliseconds.
    pub(crate) fn drift_ms(&self, now_ms: u64) -> u64 {
        let age_ms = self.clock.map_or(0, |reading| now_ms.saturating_sub(reading.at_ms));
        age_ms * (100 - SLOWEST_CLOCK_PERCENT) / 100
    }

    /// Returns the time from which the worker's clock should be read again, in milliseconds; `None` if it was
    /// never read.
    pub(crate) fn reading_due_ms(&self) -> Option<u64> {
        self.clock.map(|reading| reading.at_ms + READING_INTERVAL_MS)
    }

    /// Returns the time at which the last request with a deadline was sent to any incarnation; 0 if none was.
    pub(crate) fn deadline_sent_ms(&self) -> u64 {
        self.deadline_sent_ms
    }

    /// Returns how long ago the last request with a deadline was sent to any incarnation, in milliseconds.
    pub(crate) fn deadline_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.deadline_sent_ms)
    }

    /// Returns the time at which all leases have expired if the worker does not respond again.
    pub(crate) fn expiry_ms(&self) -> u64 {
        self.own_expiry_ms().max(self.other_expiry_ms)
    }

    /// Returns the time at which the leases have expired that this leader asked for.
    fn own_expiry_ms(&self) -> u64 {
        self.clock.map_or(0, |reading| {
            let left = self.deadline_ms.saturating_sub(reading.clock_ms);
            reading.at_ms + longest_lease_ms(left)
        })
    }
}
