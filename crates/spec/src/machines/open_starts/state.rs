//! State of the machine: the leader, the worker, the store and the requests in flight.

use super::LEASE;

/// A start request in flight to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpenStart {
    pub(super) fence: u8,
    pub(super) attempt: u8,
    /// Incarnation that the start was meant for. Its deadline is a time on that one's clock.
    pub(super) incarnation: u8,
    /// Time until the deadline.
    pub(super) lease: u8,
    /// Time within which it is carried out or lost.
    pub(super) left: u8,
}

/// An attempt of the task on the worker, as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct WorkerAttempt {
    pub(super) number: u8,
    /// Incarnation that the attempt was placed on.
    pub(super) incarnation: u8,
    /// The worker has started it.
    pub(super) is_confirmed: bool,
    /// The worker has acknowledged its stop.
    pub(super) is_stopped: bool,
    /// Copies of the start that are still to be sent.
    pub(super) unsent: u8,
}

/// Restriction of the task to the worker while starts there may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct TaskBinding {
    /// Highest fence of these starts.
    pub(super) fence: u8,
    /// Number of starts, in all leaders since the task was last free.
    pub(super) starts: u8,
    /// Number of starts that the row does not have.
    pub(super) unwritten: u8,
    /// Number of starts that have had a response.
    pub(super) answered: u8,
    /// Time within which one may be carried out.
    pub(super) left: u8,
    /// Time that a run begun by one can last after that without a response.
    pub(super) lease: u8,
}

/// What the leader knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LeaderView {
    pub(super) fence: u8,
    pub(super) incarnation: u8,
    /// The incarnation has accepted the fence.
    pub(super) is_fenced: bool,
    /// Its last response since a start was sent listed no run.
    pub(super) is_empty: bool,
    /// Time after which the leases that the leader knows of have expired.
    pub(super) lease: u8,
    pub(super) last_attempt: u8,
    pub(super) attempt: Option<WorkerAttempt>,
    pub(super) binding: Option<TaskBinding>,
    pub(super) is_done: bool,
}

/// The worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct StartWorker {
    pub(super) incarnation: u8,
    pub(super) is_up: bool,
    pub(super) is_listed: bool,
    pub(super) fence: u8,
    pub(super) lease: u8,
    pub(super) running: Option<u8>,
    /// Highest attempt that was stopped or has ended.
    pub(super) closed_attempt: u8,
    /// An end `done` that has not been acknowledged.
    pub(super) has_ended: bool,
}

/// The task's row in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct TaskRow {
    /// Number and incarnation of the attempt.
    pub(super) attempt: Option<(u8, u8)>,
    pub(super) incarnation: u8,
    pub(super) last_attempt: u8,
    /// Number of starts in the binding; zero if there is none.
    pub(super) starts: u8,
    pub(super) is_done: bool,
}

/// A former leader that does not know that it was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct FormerLeader {
    pub(super) left: u8,
    pub(super) fence: u8,
    /// Its attempt, of which a start is still to be sent.
    pub(super) attempt: WorkerAttempt,
}

/// State of the leader, the worker, the store and the requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OpenStartsState {
    pub(super) leader: u8,
    pub(super) view: LeaderView,
    pub(super) row: TaskRow,
    pub(super) former: Option<FormerLeader>,
    pub(super) worker: StartWorker,
    pub(super) starts: Vec<OpenStart>,
    pub(super) planned_starts: u8,
    /// The task runs on another worker.
    pub(super) runs_elsewhere: bool,
    /// An end `done` was acknowledged.
    pub(super) is_acknowledged: bool,
    pub(super) violation: Option<&'static str>,
}

impl OpenStartsState {
    /// Returns whether the task runs on another worker.
    #[must_use]
    pub fn runs_elsewhere(&self) -> bool {
        self.runs_elsewhere
    }

    /// Returns whether the worker's entry has been removed.
    #[must_use]
    pub fn is_worker_gone(&self) -> bool {
        !self.worker.is_listed
    }

    /// Returns whether a start to the worker may still be carried out.
    #[must_use]
    pub fn has_open_start(&self) -> bool {
        !self.starts.is_empty()
    }

    /// Returns whether the task has been placed on the worker.
    #[must_use]
    pub fn was_placed(&self) -> bool {
        self.planned_starts > 0
    }

    /// Returns whether the task has not ended and its leases on the worker have expired.
    #[must_use]
    pub fn must_restart(&self) -> bool {
        self.view.lease == 0 && !self.view.is_done
    }
}

impl StartWorker {
    pub(super) fn new(incarnation: u8) -> Self {
        Self {
            incarnation,
            is_up: true,
            is_listed: true,
            fence: 0,
            lease: 0,
            running: None,
            closed_attempt: 0,
            has_ended: false,
        }
    }

    pub(super) fn end_run(&mut self) {
        if let Some(attempt) = self.running.take() {
            self.closed_attempt = self.closed_attempt.max(attempt);
        }
    }

    /// Carries out a renewal; returns whether its fence was accepted.
    pub(super) fn renew(&mut self, fence: u8) -> bool {
        if !self.is_up || fence < self.fence {
            return false;
        }
        self.fence = fence;
        self.lease = LEASE;
        true
    }
}
