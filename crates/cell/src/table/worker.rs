//! Workers.

use {
    crate::{AttemptKey, ResourceSet, WorkerReport},
    rustc_hash::FxHashMap,
};

/// A worker's clock at one moment of ours.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockReading {
    pub(crate) clock_ms: u64,
    pub(crate) at_ms: u64,
}

/// Slowest run of a worker's clock against ours, in percent.
const SLOWEST_CLOCK_PERCENT: u64 = 97;
/// Margin after the end of a lease before a worker counts as empty, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 300;

/// One incarnation of a worker.
#[derive(Debug)]
pub(crate) struct WorkerEntry {
    pub(crate) report: WorkerReport,
    /// It is in the list of workers.
    pub(crate) is_listed: bool,
    /// What attempts take of it.
    pub(crate) used: ResourceSet,
    /// What it lists as running although no attempt of these tables is there: teams and amounts.
    /// It is being stopped, and counts until it is no longer listed.
    pub(crate) orphans: Vec<(String, ResourceSet)>,
    /// Attempts that it may be running, by task and number.
    pub(crate) attempts: FxHashMap<(String, u32), AttemptKey>,
    /// It answered under this leader's fencing token.
    pub(crate) has_accepted_token: bool,
    pub(crate) clock: Option<ClockReading>,
    /// Latest deadline that any order carried, on its clock.
    pub(crate) deadline_ms: u64,
    /// When everything that a former leader started here has lapsed at the latest.
    pub(crate) inherited_expiry_ms: u64,
    /// Last end taken into the tables.
    pub(crate) last_recorded_end: u64,
    /// Last end that is durable.
    pub(crate) last_durable_end: u64,
    /// Last end that a renewal acknowledged.
    pub(crate) last_acknowledged_end: u64,
    /// Ends taken in that are not durable yet.
    pub(crate) pending_ends: usize,
    /// A renewal is on the way since then.
    pub(crate) renew_sent_ms: Option<u64>,
    pub(crate) next_renew_ms: u64,
    /// The last renewal had no answer. Until one has, renewals only ask and extend no lease, so
    /// that the leases of a worker that is gone run out.
    pub(crate) is_silent: bool,
    /// It gets no new work until then.
    pub(crate) backoff_until_ms: u64,
    /// Failures since the last success.
    pub(crate) failure_streak: u32,
    /// Orders without an answer since the last one that had one.
    pub(crate) unanswered_starts: u32,
    /// Run time of its tasks, as a multiple of what is usual for their queue.
    pub(crate) slowness: f64,
}

impl WorkerEntry {
    pub(crate) fn new(report: WorkerReport, inherited_expiry_ms: u64) -> Self {
        Self {
            report,
            is_listed: true,
            used: ResourceSet::default(),
            orphans: Vec::new(),
            attempts: FxHashMap::default(),
            has_accepted_token: false,
            clock: None,
            deadline_ms: 0,
            inherited_expiry_ms,
            last_recorded_end: 0,
            last_durable_end: 0,
            last_acknowledged_end: 0,
            pending_ends: 0,
            renew_sent_ms: None,
            next_renew_ms: 0,
            is_silent: false,
            backoff_until_ms: 0,
            failure_streak: 0,
            unanswered_starts: 0,
            slowness: 1.0,
        }
    }

    /// Takes in that another incarnation answers under the same id. What may run there is kept
    /// until that incarnation has listed what it runs: an order meant for the former one may have
    /// reached this one.
    pub(crate) fn restart(&mut self, incarnation: u64) {
        self.inherited_expiry_ms = self.lease_expiry_ms();
        self.report.incarnation = incarnation;
        self.has_accepted_token = false;
        self.clock = None;
        self.deadline_ms = 0;
        self.last_recorded_end = 0;
        self.last_durable_end = 0;
        self.last_acknowledged_end = 0;
        self.pending_ends = 0;
        self.failure_streak = 0;
        self.unanswered_starts = 0;
        self.slowness = 1.0;
    }

    /// Takes in that the worker answered under this leader's fencing token: no other leader can
    /// renew its leases any more, so what it runs lapses within the time of one lease.
    pub(crate) fn accept_token(&mut self, now_ms: u64, lease_ms: u64) {
        if !self.has_accepted_token {
            self.has_accepted_token = true;
            let lease_expiry_ms =
                now_ms + lease_ms * 100 / SLOWEST_CLOCK_PERCENT + EXPIRY_MARGIN_MS;
            self.inherited_expiry_ms = self.inherited_expiry_ms.min(lease_expiry_ms);
        }
    }

    /// Takes in what the worker's clock showed.
    pub(crate) fn read_clock(&mut self, clock_ms: u64, now_ms: u64) {
        self.clock = Some(ClockReading { clock_ms, at_ms: now_ms });
    }

    /// Tells whether something may be running on it.
    pub(crate) fn is_busy(&self) -> bool {
        !self.attempts.is_empty() || !self.orphans.is_empty()
    }

    /// What is left of it.
    pub(crate) fn free(&self) -> ResourceSet {
        self.report.capacity.minus(&self.used)
    }

    /// Deadline for an order sent now, on the worker's clock.
    pub(crate) fn deadline_for(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let reading = self.clock?;
        let deadline = reading.clock_ms + now_ms.saturating_sub(reading.at_ms) + lease_ms;
        self.deadline_ms = self.deadline_ms.max(deadline);
        Some(deadline)
    }

    /// When everything on it has lapsed, if it is not heard from again.
    pub(crate) fn lease_expiry_ms(&self) -> u64 {
        let own = self.clock.map_or(0, |reading| {
            let left = self.deadline_ms.saturating_sub(reading.clock_ms);
            reading.at_ms + left * 100 / SLOWEST_CLOCK_PERCENT + EXPIRY_MARGIN_MS
        });
        own.max(self.inherited_expiry_ms)
    }

    /// Rack that it stands in: the label that no other kind of label looks like.
    pub(crate) fn is_labelled(&self, label: &str) -> bool {
        self.report.labels.iter().any(|own| own == label)
    }

    /// Rack that it stands in; labels are its kind and its rack, in this order.
    pub(crate) fn rack(&self) -> &str {
        self.report.labels.last().map_or("", String::as_str)
    }
}
