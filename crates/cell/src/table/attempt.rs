//! Attempts to run a task on a worker.

use {
    super::{StartRequests, WorkerEntry},
    crate::{
        ResourceSet, WorkerKey,
        message::{PhaseRef, TaskRef},
    },
};

/// State of an attempt, as far as it is known. In every state the attempt counts against its
/// worker's capacity and its team's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The job's row is being written; no request has been sent.
    Persisting,
    /// The start request is in flight.
    Sent,
    /// The worker confirmed the start.
    Running {
        /// Time of the confirmation.
        since_ms: u64,
    },
    /// The start request had no response: the attempt may have started or may start later.
    Uncertain,
    /// A former leader may have sent the start request. The worker accepts no more of that leader's
    /// requests once it has responded to this leader.
    Inherited {
        /// Time at which this leader took the attempt over.
        since_ms: u64,
    },
    /// A stop request is in flight.
    Stopping,
    /// The worker acknowledged a stop: an attempt that it does not list after that never runs.
    StopAcknowledged {
        /// Time of the acknowledgement.
        since_ms: u64,
    },
}

/// An attempt to run a task.
#[derive(Debug)]
pub(crate) struct AttemptEntry {
    pub(crate) phase: PhaseRef,
    pub(crate) index: usize,
    pub(crate) number: u32,
    pub(crate) worker: WorkerKey,
    /// Incarnation of the worker that the attempt was placed on, or that has listed it.
    pub(crate) incarnation: u64,
    pub(crate) resources: ResourceSet,
    pub(crate) team: String,
    pub(crate) state: AttemptState,
    /// The observed run time covers only part of the work: the attempt resumed from a checkpoint,
    /// or this leader did not start it.
    pub(crate) has_partial_run_time: bool,
    /// Highest reported progress, in percent.
    pub(crate) percent: u32,
    /// The attempt takes far longer than usual on its worker, and has been counted as such.
    pub(crate) is_overdue: bool,
    /// Another member of the gang ended, so this one must not run.
    pub(crate) is_gang_aborted: bool,
    /// The attempt's queue is kept apart from others.
    pub(crate) is_kept_apart: bool,
    /// The attempt is a member of a gang.
    pub(crate) is_gang_member: bool,
    /// The attempt runs a task of a service.
    pub(crate) is_service: bool,
    /// Nothing else is placed on the worker, because the task may crash it.
    pub(crate) is_on_probation: bool,
    /// The worker confirmed the start to this leader.
    pub(crate) has_begun: bool,
    /// The requests to start the attempt.
    pub(crate) start: StartRequests,
    /// The job's row has the worker's address, because the worker was lost just after the start. A new
    /// leader can ask there even if the worker is no longer registered.
    pub(crate) is_address_stored: bool,
    /// The attempt was placed on a former incarnation, which crashed with it unless the present one lists it.
    pub(crate) is_crash_possible: bool,
    /// The attempt is recorded as lost with its worker.
    pub(crate) is_loss_recorded: bool,
    /// Time at which the last start or stop request was sent; 0 if none was.
    pub(crate) sent_ms: u64,
    /// Time at which it was decided to stop the attempt for a more urgent step.
    pub(crate) preempted_ms: Option<u64>,
    /// Number of stop requests so far.
    pub(crate) stop_tries: u32,
    /// Time at which an unacknowledged stop request is repeated.
    pub(crate) stop_due_ms: u64,
}

impl AttemptEntry {
    /// Returns the task that the attempt runs.
    pub(crate) fn task(&self) -> TaskRef {
        TaskRef { phase: self.phase, index: self.index }
    }

    /// Returns whether no incarnation of the worker after the known one may have begun the attempt, or may begin it, by
    /// a request with a ticket.
    pub(crate) fn has_identified_start(&self, worker: &WorkerEntry) -> bool {
        // Until the start is confirmed, it may be sent again with another ticket.
        let may_be_sent = matches!(self.state, AttemptState::Persisting | AttemptState::Sent);
        !may_be_sent && worker.unidentified_until_ms(&self.start).is_none()
    }

    /// Returns the number of start requests of which an incarnation of the worker other than the one that has
    /// begun the attempt may carry one out; 0 if it can carry out none.
    pub(crate) fn open_starts(&self, now_ms: u64, worker: &WorkerEntry) -> u32 {
        // None is sent once another incarnation is known.
        let is_settled_before = self.incarnation != worker.report.incarnation
            && self.start.unheard_until_ms().is_none();
        let unsettled_until_ms = self.start.unsettled_until_ms(worker.identified_ms);
        let is_open = now_ms < unsettled_until_ms && !is_settled_before;
        if is_open { self.start.tries } else { 0 }
    }

    /// Returns for how long the attempt ran until its worker was lost, in milliseconds, if this leader
    /// started it.
    pub(crate) fn ran_until(&self, lost_ms: u64) -> Option<u64> {
        (self.start.sent_ms > 0).then(|| lost_ms.saturating_sub(self.start.sent_ms))
    }

    /// Returns the known run time; 0 if the start was not observed or earlier work was resumed.
    pub(crate) fn run_ms(&self, now_ms: u64) -> u64 {
        match self.state {
            AttemptState::Running { since_ms } if !self.has_partial_run_time => now_ms - since_ms,
            _ => 0,
        }
    }
}
