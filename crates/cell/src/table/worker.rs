//! Workers.

use {
    super::{LeaseLimit, OrphanRun, StartRequests, WorkerFence, WorkerLease, WorkerSpeed},
    crate::{AttemptKey, ResourceSet, WorkerReport},
    rustc_hash::FxHashMap,
};

/// Shortest time beyond its wait after which a renewal without a response has timed out, in milliseconds.
/// One that fails sooner was on a connection that broke.
const MIN_RENEW_TIMEOUT_MS: u64 = 300;

/// One incarnation of a worker.
#[derive(Debug)]
pub(crate) struct WorkerEntry {
    pub(crate) report: WorkerReport,
    /// The worker is in the last list of registered workers.
    pub(crate) is_listed: bool,
    /// The last list has an entry under the worker's id, of whichever incarnation.
    pub(crate) has_entry: bool,
    /// The incarnation has responded to this leader.
    pub(crate) has_responded: bool,
    /// Address at which the worker, this incarnation or a former one, has responded; empty if it has not.
    pub(crate) responded_address: String,
    /// The last entry of the list, if it contradicts what the worker says of itself.
    pub(crate) claim: Option<WorkerReport>,
    /// Resources reserved by attempts and orphans.
    pub(crate) used: ResourceSet,
    pub(crate) orphans: Vec<OrphanRun>,
    /// Attempts that the worker may be running, by task and number.
    pub(crate) attempts: FxHashMap<(String, u32), AttemptKey>,
    /// Rows of attempts of services may not say that their starts are identified.
    pub(crate) has_unidentified_service_rows: bool,
    /// Rows of attempts may not say that the worker's leases are bounded.
    pub(crate) has_unbounded_rows: bool,
    /// Number of attempts that are kept apart from those of other queues.
    pub(crate) kept_apart: usize,
    /// Number of attempts that are members of gangs.
    pub(crate) gang_members: usize,
    /// Number of attempts on probation; while there are any, nothing else is placed on the worker.
    pub(crate) probations: usize,
    /// The worker has accepted this leader's fencing token.
    pub(crate) has_accepted_token: bool,
    pub(crate) lease: WorkerLease,
    /// Last end that is recorded in the tables.
    pub(crate) last_recorded_end: u64,
    /// The incarnation has reported ends to this leader, so the next ones follow without a gap.
    pub(crate) has_reported_ends: bool,
    /// Time of sending of the last request to this worker of which it is known which incarnation has carried it out;
    /// 0 if there is none. No incarnation after that one accepts a ticket that had arrived by then.
    pub(crate) identified_ms: u64,
    /// A restart shows that the present incarnation has not confirmed, so it is asked at once.
    pub(crate) is_identity_due: bool,
    /// Time until which a start request of an attempt that is no longer in the tables may be carried out.
    pub(crate) unsettled_until_ms: u64,
    /// Last end that is durable.
    pub(crate) last_durable_end: u64,
    /// First end of the last response that could not be read. It is not acknowledged, and neither are
    /// later ones.
    pub(crate) unreadable_end: Option<u64>,
    /// Last end of which the worker has confirmed the acknowledgement.
    pub(crate) last_acknowledged_end: u64,
    pub(crate) fence: WorkerFence,
    /// Number of the fence from which on requests are of this incarnation.
    first_fence: u32,
    /// Highest number in a renewal to which the incarnation has responded; 0 for none. It refuses requests with lower
    /// ones.
    accepted_fence: u32,
    /// Lowest number that the incarnation has to accept before tasks that are bound to it start; 0 for none.
    bound_fence: u32,
    /// Time until which starts of tasks that are bound to the worker may be carried out; `None` if no task was.
    bound_until_ms: Option<u64>,
    /// Time at which the last renewal was sent to which the incarnation responded with all that it runs.
    pub(crate) heard_ms: u64,
    /// Number of recorded ends that are not durable yet.
    pub(crate) pending_ends: usize,
    /// Time at which the renewal in flight was sent.
    pub(crate) renew_sent_ms: Option<u64>,
    /// Address that this renewal was sent to.
    pub(crate) renew_address: String,
    /// Number of the fence that this renewal has.
    pub(crate) renew_fence: u32,
    /// Last end that this renewal acknowledges; 0 for none.
    pub(crate) renew_acknowledged_end: u64,
    /// Ends could not be acknowledged by this renewal, because a start may still be carried out by
    /// another incarnation.
    pub(crate) is_acknowledgement_delayed: bool,
    /// How long the worker may delay its response to that renewal, in milliseconds.
    pub(crate) renew_wait_ms: u64,
    /// Earliest time of the next renewal.
    pub(crate) next_renew_ms: u64,
    /// The last renewal had no response. Until one has, renewals extend no lease, so that the
    /// leases of a lost worker expire.
    pub(crate) is_silent: bool,
    /// Estimated time at which the worker stopped responding, since its last response.
    pub(crate) lost_ms: Option<u64>,
    /// Time at which a former incarnation was lost whose crash counts once the present one has listed what it runs.
    pending_crash_ms: Option<u64>,
    /// The connection to the worker broke at that time, as it does when its process ends. Otherwise
    /// requests timed out, and what became of the worker since is not known.
    is_lost_by_break: bool,
    /// The worker gets no new work before this time.
    pub(crate) backoff_until_ms: u64,
    /// Number of failed attempts and refusals as unavailable since the last completed attempt.
    pub(crate) failure_streak: u32,
    /// Number of start requests without a response since the last confirmed one.
    pub(crate) unanswered_starts: u32,
    /// Apart, as placement passes over all entries and seldom reads it: in the entry, a pass over 3,000 workers took
    /// a quarter longer.
    pub(crate) speed: Box<WorkerSpeed>,
}

impl WorkerEntry {
    pub(crate) fn new(report: WorkerReport, lease: WorkerLease, fence: WorkerFence) -> Self {
        Self {
            report,
            is_listed: true,
            has_entry: true,
            has_responded: false,
            responded_address: String::new(),
            claim: None,
            used: ResourceSet::default(),
            orphans: Vec::new(),
            attempts: FxHashMap::default(),
            has_unidentified_service_rows: false,
            has_unbounded_rows: false,
            kept_apart: 0,
            gang_members: 0,
            probations: 0,
            has_accepted_token: false,
            lease,
            last_recorded_end: 0,
            has_reported_ends: false,
            identified_ms: 0,
            is_identity_due: false,
            unsettled_until_ms: 0,
            last_durable_end: 0,
            unreadable_end: None,
            last_acknowledged_end: 0,
            fence,
            first_fence: fence.number(),
            accepted_fence: 0,
            bound_fence: 0,
            bound_until_ms: None,
            heard_ms: 0,
            pending_ends: 0,
            renew_sent_ms: None,
            renew_address: String::new(),
            renew_fence: 0,
            renew_acknowledged_end: 0,
            is_acknowledgement_delayed: false,
            renew_wait_ms: 0,
            next_renew_ms: 0,
            is_silent: false,
            lost_ms: None,
            pending_crash_ms: None,
            is_lost_by_break: false,
            backoff_until_ms: 0,
            failure_streak: 0,
            unanswered_starts: 0,
            speed: Box::default(),
        }
    }

    /// Switches to another incarnation with the same id. Attempts are kept until the new
    /// incarnation has reported what it runs, because it may have received a request for the former
    /// one.
    pub(crate) fn restart(&mut self, incarnation: u64, max_lease_ms: u64) {
        self.lease.restart(max_lease_ms);
        self.report.incarnation = incarnation;
        self.has_responded = false;
        self.has_accepted_token = false;
        self.last_recorded_end = 0;
        self.has_reported_ends = false;
        self.last_durable_end = 0;
        self.unreadable_end = None;
        self.last_acknowledged_end = 0;
        self.renew_acknowledged_end = 0;
        self.fence.advance();
        self.first_fence = self.fence.number();
        self.accepted_fence = 0;
        self.bound_fence = 0;
        self.heard_ms = 0;
        self.pending_ends = 0;
        self.failure_streak = 0;
        self.unanswered_starts = 0;
        self.speed.restart();
        self.lost_ms = None;
    }

    /// Records that a known incarnation has carried out a request that was sent at this time.
    pub(crate) fn identify(&mut self, sent_ms: u64) {
        self.identified_ms = self.identified_ms.max(sent_ms);
    }

    /// Asks for the incarnation at once. The outcome of a renewal in flight no longer counts: it may wait for an end on
    /// a connection to a process that is gone. If it is carried out late, later requests supersede it.
    pub(crate) fn ask_for_incarnation(&mut self, now_ms: u64) {
        if self.is_identity_due {
            return;
        }
        if self.renew_sent_ms.take().is_some() {
            self.fence.advance();
        }
        self.is_identity_due = true;
        self.next_renew_ms = self.next_renew_ms.min(now_ms);
    }

    /// Ends the renewal in flight if it has this number, and returns when it was sent. The outcome of any other does not
    /// count: it was sent before the incarnation was asked for.
    pub(crate) fn end_renewal(&mut self, fence: u32) -> Option<u64> {
        let sent_ms = self.renew_sent_ms.take_if(|_| self.renew_fence == fence)?;
        self.is_identity_due = false;
        Some(sent_ms)
    }

    /// Records that a renewal had a response or none. A connection that breaks shows when the worker was
    /// lost.
    pub(crate) fn record_response(&mut self, is_silent: bool, sent_ms: u64, now_ms: u64) {
        let is_broken = now_ms < sent_ms + self.renew_wait_ms + MIN_RENEW_TIMEOUT_MS;
        if is_silent && self.lost_ms.is_none() {
            self.lost_ms = Some(if is_broken { now_ms } else { sent_ms });
            self.is_lost_by_break = is_broken;
        }
        if !is_silent {
            self.lost_ms = None;
        }
    }

    /// Returns the time until which an incarnation that the leader does not count on may have begun an attempt with
    /// these start requests, or may begin it, by one with a ticket; `None` if none may. The present one may as well while
    /// it does not refuse requests to a former one.
    pub(crate) fn unidentified_until_ms(&self, start: &StartRequests) -> Option<u64> {
        let open_until_ms = start.ticketed_until_ms().filter(|_| self.needs_fence());
        start.unidentified_until_ms(self.identified_ms).max(open_until_ms)
    }

    /// Lets the crash of the present incarnation count later.
    pub(crate) fn postpone_crash(&mut self, now_ms: u64) {
        self.pending_crash_ms = Some(self.lost_ms.unwrap_or(now_ms));
    }

    /// Returns when the present incarnation was lost, if it was, and whether its connection broke then.
    pub(crate) fn loss(&self) -> (Option<u64>, bool) {
        (self.lost_ms, self.is_lost_by_break)
    }

    /// Restores when the present incarnation was lost.
    pub(crate) fn restore_loss(&mut self, (lost_ms, is_lost_by_break): (Option<u64>, bool)) {
        self.lost_ms = lost_ms;
        self.is_lost_by_break = is_lost_by_break;
    }

    /// Forgets a crash that has been postponed, as there was none.
    pub(crate) fn cancel_crash(&mut self) {
        self.pending_crash_ms = None;
    }

    /// Returns whether a crash counts now that was postponed, and restores when the former incarnation was lost.
    pub(crate) fn resume_crash(&mut self) -> bool {
        let Some(lost_ms) = self.pending_crash_ms.take() else { return false };
        self.lost_ms = Some(lost_ms);
        self.is_lost_by_break = true;
        true
    }

    /// Returns whether the worker could be reached until it was lost, so that a crash which is known of now
    /// was the cause. One that happened while the worker could not be reached says nothing about what
    /// had been started there: it may have ended, or never begun.
    pub(crate) fn was_reached_until_loss(&self) -> bool {
        self.lost_ms.is_none() || self.is_lost_by_break
    }

    /// Records that the present incarnation has responded to the renewal, where that was sent.
    pub(crate) fn record_presence(&mut self) {
        self.has_responded = true;
        if self.responded_address != self.renew_address {
            self.responded_address.clone_from(&self.renew_address);
        }
        if self.report.address != self.renew_address {
            self.report.address.clone_from(&self.renew_address);
        }
    }

    /// Records that the present incarnation has responded to the renewal, which may have been meant for
    /// a former one.
    pub(crate) fn record_fence(&mut self, now_ms: u64) {
        let had_accepted = self.has_accepted_fence();
        self.accepted_fence = self.accepted_fence.max(self.renew_fence);
        if !self.has_accepted_fence() {
            self.lease.accept_others(now_ms);
        } else if !had_accepted {
            self.lease.refuse_others(now_ms);
        }
    }

    /// Returns whether the incarnation has responded to a request of its own, so it refuses all requests to a
    /// former one.
    pub(crate) fn has_accepted_fence(&self) -> bool {
        self.accepted_fence >= self.first_fence
    }

    /// Returns the lowest number of a fence with which the present incarnation refuses a start request that had this
    /// number, and advances the fence if needed, so that later requests have at least that.
    pub(crate) fn fence_above(&mut self, start_fence: u32) -> u32 {
        if !self.fence.supersedes(start_fence) {
            self.fence.advance();
        }
        start_fence.saturating_add(1)
    }

    /// Returns whether the incarnation may still carry out requests to a former one, or with numbers below this one.
    pub(crate) fn may_carry_out_below(&self, fence: u32) -> bool {
        self.accepted_fence < fence.max(self.first_fence)
    }

    /// Records that a task is bound to the worker: starts that the incarnation refuses once it has accepted a fence may
    /// be carried out until a time.
    pub(crate) fn await_bound(&mut self, min_fence: u32, until_ms: u64) {
        self.bound_fence = self.bound_fence.max(min_fence);
        self.bound_until_ms = self.bound_until_ms.max(Some(until_ms));
        self.unsettled_until_ms = self.unsettled_until_ms.max(until_ms);
    }

    /// Returns whether the incarnation might still carry out a start of a task that is bound to the worker.
    pub(crate) fn needs_fence_for_bound(&self) -> bool {
        self.has_responded && self.accepted_fence < self.bound_fence
    }

    /// Returns the time after which the worker has to report what it runs, for tasks that are bound to it.
    pub(crate) fn awaited_until_ms(&self) -> Option<u64> {
        self.bound_until_ms.filter(|until_ms| self.heard_ms <= *until_ms)
    }

    /// Returns whether an unlisted worker on which nothing runs stays in the tables for tasks that are bound to it.
    pub(crate) fn is_kept_for_bound(&self) -> bool {
        self.awaited_until_ms().is_some() && (self.has_entry || !self.is_silent)
    }

    /// Returns whether the worker is gone: its entry has expired, and it does not respond or cannot be asked.
    pub(crate) fn is_gone(&self) -> bool {
        let is_unreachable = !self.has_accepted_token && self.report.address.is_empty();
        !self.has_entry && (self.is_silent || is_unreachable)
    }

    /// Returns whether a run of a task that belongs to no attempt is being stopped on the worker.
    pub(crate) fn runs_orphan_of(&self, task: &str) -> bool {
        self.orphans.iter().any(|orphan| orphan.task == task)
    }

    /// Returns whether the incarnation would still carry out requests to a former one, although it has
    /// responded.
    pub(crate) fn needs_fence(&self) -> bool {
        self.has_responded && !self.has_accepted_fence()
    }

    /// Returns what bounds the leases on the worker.
    pub(crate) fn lease_limit(&self) -> LeaseLimit {
        match (self.lease.is_bound_by_others(), self.has_accepted_fence()) {
            (false, _) => LeaseLimit::Deadline,
            (true, true) => LeaseLimit::OtherRequests,
            (true, false) if self.lease.is_inherited() => LeaseLimit::FormerLeaders,
            (true, false) => LeaseLimit::FormerIncarnation,
        }
    }

    /// Returns whether requests to former incarnations have given the present one no lease that outlasts one of
    /// `lease_ms` milliseconds which is extended now, and can give it none any more.
    pub(crate) fn has_bounded_leases(&self, now_ms: u64, lease_ms: u64) -> bool {
        let is_past = self.has_accepted_fence() && self.lease.outlasts_others(now_ms, lease_ms);
        is_past || self.lease.are_others_limited_to(lease_ms)
    }

    /// Returns whether the worker's process has ended if another worker responded to the renewal.
    pub(crate) fn is_gone_if_replaced(&self) -> bool {
        self.responded_address == self.renew_address
    }

    /// Returns whether anything may be running on the worker.
    pub(crate) fn is_busy(&self) -> bool {
        !self.attempts.is_empty() || !self.orphans.is_empty()
    }

    /// Returns whether more is reserved than the worker has, because its capacity has shrunk since.
    pub(crate) fn is_overcommitted(&self) -> bool {
        !self.used.fits(&self.report.capacity)
    }

    /// Returns the free capacity.
    pub(crate) fn free(&self) -> ResourceSet {
        self.report.capacity.minus(&self.used)
    }

    /// Returns whether the worker has a label.
    pub(crate) fn is_labelled(&self, label: &str) -> bool {
        self.report.labels.iter().any(|own| own == label)
    }

    /// Returns the worker's rack, which is its last label.
    pub(crate) fn rack(&self) -> &str {
        self.report.labels.last().map_or("", String::as_str)
    }
}
