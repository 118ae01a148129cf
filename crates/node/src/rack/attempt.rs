//! Attempts in the table of a rack owner.

use {
    super::WorkerKey,
    damaskrack_model::{
        AttemptId, ClockTime, Epoch, MemberName, PriorityClass, Resources, TaskResult, TeamName,
        WorkKind,
    },
    damaskrack_wire::{AttemptPhase, EndedNotice, PlaceMode, ReportedAttempt},
    serde::Serialize,
};

/// A start that was sent to the worker and is not confirmed.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct UnconfirmedStart {
    /// The call, until it ends.
    pub(crate) call: Option<u64>,
    /// Time on the worker's clock after which the worker refuses the start, in milliseconds.
    pub(crate) lease_until_ms: u64,
    /// Boot number of the worker process that the start was sent to.
    pub(crate) boot: u64,
}

/// The result of an attempt whose end the queue owner has not acknowledged.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct UnacknowledgedEnd {
    /// Result of the attempt.
    pub(crate) result: TaskResult,
    /// Output of the task.
    pub(crate) output: String,
    /// Member that was last notified, and when.
    #[serde(rename = "told")]
    pub(crate) notified: Option<(MemberName, ClockTime)>,
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum StopReason {
    /// Its queue owner requested it.
    Requested,
    /// It is preempted for entitled work.
    Displaced,
    /// Its availability zone is out of service.
    Drained,
    /// It uses more than its declared resources although it was throttled.
    Overuse,
}

/// A stop that the worker is to carry out.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PlannedStop {
    /// Reason for the stop.
    pub(crate) reason: StopReason,
    /// When it was decided.
    pub(crate) since: ClockTime,
    /// When it was last sent to the worker.
    pub(crate) sent_at: Option<ClockTime>,
}

/// Phase of an attempt, as its rack owner knows it.
#[derive(Debug, Clone, Serialize)]
pub(crate) enum LocalPhase {
    /// Capacity is reserved for a gang until the hold is committed, released or expires.
    Held {
        /// When the hold expires.
        expires_at: ClockTime,
    },
    /// Capacity is reserved, and in use until the preempted attempts have stopped.
    Pending {
        /// When the attempts to preempt were chosen.
        since: ClockTime,
        /// Whether to start or to hold it then.
        #[serde(skip)]
        mode: PlaceMode,
    },
    /// Capacity is allocated; the start is sent with the next batch.
    Ready,
    /// The start was sent.
    Starting(UnconfirmedStart),
    /// The worker confirmed the start.
    Running {
        /// Time of the confirmation on the worker's clock, in milliseconds.
        confirmed_ms: u64,
    },
    /// It ended, and the queue owner has not acknowledged that.
    Ended(UnacknowledgedEnd),
}

/// An attempt and its state.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct TrackedAttempt {
    /// Id of the attempt.
    pub(crate) id: AttemptId,
    /// Epoch of the queue owner that placed it.
    pub(crate) epoch: Epoch,
    /// Member that placed it, or that last reconciled its team's attempts.
    #[serde(rename = "asker")]
    pub(crate) requester: Option<MemberName>,
    /// Worker that it is assigned to.
    #[serde(skip)]
    pub(crate) worker: WorkerKey,
    /// Resources that it is allocated.
    pub(crate) resources: Resources,
    /// Kind of its job; unknown if it was adopted from a worker.
    pub(crate) kind: Option<WorkKind>,
    /// Priority class.
    pub(crate) class: PriorityClass,
    /// Whether its team stays within its entitlement with it.
    pub(crate) is_entitled: bool,
    /// Whether it may be stopped and run again.
    pub(crate) is_preemptible: bool,
    /// Payload of the task, until it is sent.
    #[serde(skip)]
    pub(crate) payload: String,
    /// When it was placed or, later, when its start was sent; derived from its age if it was
    /// adopted from a worker's report.
    pub(crate) started_at: ClockTime,
    /// Current phase.
    pub(crate) phase: LocalPhase,
    /// The planned stop, if any.
    pub(crate) stop: Option<PlannedStop>,
    /// Since when it has used more than its declared resources.
    pub(crate) over_since: Option<ClockTime>,
}

impl TrackedAttempt {
    /// Returns the team that the attempt belongs to.
    pub(crate) fn team(&self) -> &TeamName {
        &self.id.job.team
    }

    /// Returns whether no start has been sent to the worker.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(
            self.phase,
            LocalPhase::Held { .. } | LocalPhase::Pending { .. } | LocalPhase::Ready
        )
    }

    /// Returns whether the worker confirmed the start and no end is known.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, LocalPhase::Running { .. })
    }

    /// Returns whether it ended and the queue owner has not acknowledged that.
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.phase, LocalPhase::Ended(_))
    }

    /// Returns whether it runs and is being stopped, so that its capacity will become free.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.is_some() && self.is_running()
    }

    /// Plans a stop. A stop that is already planned keeps its reason.
    pub(crate) fn plan_stop(&mut self, reason: StopReason, now: ClockTime) {
        self.stop.get_or_insert(PlannedStop { reason, since: now, sent_at: None });
    }

    /// Returns the attempt as it is reported to other daemons.
    pub(crate) fn row(&self) -> ReportedAttempt {
        let phase = match &self.phase {
            LocalPhase::Held { .. } => AttemptPhase::Held,
            LocalPhase::Pending { .. } | LocalPhase::Ready => AttemptPhase::Pending,
            LocalPhase::Starting(_) => AttemptPhase::Starting,
            LocalPhase::Running { .. } => AttemptPhase::Running,
            LocalPhase::Ended(end) => {
                AttemptPhase::Ended { result: end.result, output: end.output.clone() }
            }
        };
        ReportedAttempt { attempt: self.id.clone(), resources: self.resources, phase }
    }

    /// Returns the notice to its queue owner if it ended.
    pub(crate) fn notice(&self) -> Option<EndedNotice> {
        let LocalPhase::Ended(end) = &self.phase else { return None };
        Some(EndedNotice {
            attempt: self.id.clone(),
            result: end.result,
            output: end.output.clone(),
            is_displaced: self.is_displaced(end.result),
        })
    }

    fn is_displaced(&self, result: TaskResult) -> bool {
        let by_scheduler = self
            .stop
            .as_ref()
            .is_some_and(|stop| matches!(stop.reason, StopReason::Displaced | StopReason::Drained));
        by_scheduler && !matches!(result, TaskResult::Succeeded | TaskResult::Failed)
    }
}
