//! An attempt as its rack owner keeps it.

use {
    super::WorkerKey,
    damaskrack_model::{
        AttemptId, ClockTime, Epoch, MemberName, PriorityClass, Resources, TaskResult, TeamName,
        WorkKind,
    },
    damaskrack_wire::{AttemptPhase, AttemptRow, EndedNotice, PlaceMode},
    serde::Serialize,
};

/// A start that was sent and is not confirmed.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct UnconfirmedStart {
    /// The call, while its end is awaited.
    pub(crate) call: Option<u64>,
    /// Worker clock reading after which the worker refuses the start, in milliseconds.
    pub(crate) lease_until_ms: u64,
    /// Boot number of the worker that the start was meant for.
    pub(crate) boot: u64,
}

/// An end that the queue owner has not acknowledged.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct UnacknowledgedEnd {
    /// How it ended.
    pub(crate) result: TaskResult,
    /// What it returned.
    pub(crate) output: String,
    /// Whom it was last told, and when.
    #[serde(rename = "told")]
    pub(crate) notified: Option<(MemberName, ClockTime)>,
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum StopReason {
    /// Its queue owner asked for it.
    Requested,
    /// It makes room for entitled work.
    Displaced,
    /// Its availability zone is out of service.
    Drained,
    /// It uses more than it declared although it was throttled.
    Overuse,
}

/// A stop that is wanted.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PlannedStop {
    /// Why.
    pub(crate) reason: StopReason,
    /// When it was decided.
    pub(crate) since: ClockTime,
    /// When the worker was last told.
    pub(crate) sent_at: Option<ClockTime>,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Serialize)]
pub(crate) enum LocalPhase {
    /// Room is kept for a gang until it is committed, released or expires.
    Held {
        /// When it expires.
        expires_at: ClockTime,
    },
    /// Room is kept until victims have stopped.
    Pending {
        /// When the victims were chosen.
        since: ClockTime,
        /// What follows.
        #[serde(skip)]
        mode: PlaceMode,
    },
    /// Room is taken; the start goes out with the next batch.
    Ready,
    /// The start was sent.
    Starting(UnconfirmedStart),
    /// The worker confirmed it.
    Running {
        /// Worker clock reading of the confirmation, in milliseconds.
        confirmed_ms: u64,
    },
    /// It ended.
    Ended(UnacknowledgedEnd),
}

/// One attempt.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct TrackedAttempt {
    /// The attempt.
    pub(crate) id: AttemptId,
    /// Epoch of the queue owner that placed it.
    pub(crate) epoch: Epoch,
    /// Member that placed it or asked for its team last.
    #[serde(rename = "asker")]
    pub(crate) requester: Option<MemberName>,
    /// Its worker.
    #[serde(skip)]
    pub(crate) worker: WorkerKey,
    /// What it takes.
    pub(crate) resources: Resources,
    /// Kind of its job; unknown if it was adopted from a worker.
    pub(crate) kind: Option<WorkKind>,
    /// Its class.
    pub(crate) class: PriorityClass,
    /// Whether its team was within its entitlement with it.
    pub(crate) is_entitled: bool,
    /// Whether it may be stopped and run again.
    pub(crate) is_preemptible: bool,
    /// What to run, until it is sent.
    #[serde(skip)]
    pub(crate) payload: String,
    /// When it started, if it did.
    pub(crate) started_at: ClockTime,
    /// How far it has come.
    pub(crate) phase: LocalPhase,
    /// The stop that is wanted, if any.
    pub(crate) stop: Option<PlannedStop>,
    /// Since when it has used more than it declared.
    pub(crate) over_since: Option<ClockTime>,
}

impl TrackedAttempt {
    /// Returns the team that the attempt is counted against.
    pub(crate) fn team(&self) -> &TeamName {
        &self.id.job.team
    }

    /// Tells whether nothing has been sent to the worker.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(
            self.phase,
            LocalPhase::Held { .. } | LocalPhase::Pending { .. } | LocalPhase::Ready
        )
    }

    /// Tells whether it runs as far as is known.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, LocalPhase::Running { .. })
    }

    /// Tells whether its end waits for an acknowledgement.
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.phase, LocalPhase::Ended(_))
    }

    /// Tells whether its room will become free because it is being stopped.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.is_some() && self.is_running()
    }

    /// Wants it stopped; an earlier reason stands.
    pub(crate) fn plan_stop(&mut self, reason: StopReason, now: ClockTime) {
        self.stop.get_or_insert(PlannedStop { reason, since: now, sent_at: None });
    }

    /// Returns the attempt as other daemons see it.
    pub(crate) fn row(&self) -> AttemptRow {
        let phase = match &self.phase {
            LocalPhase::Held { .. } => AttemptPhase::Held,
            LocalPhase::Pending { .. } | LocalPhase::Ready => AttemptPhase::Pending,
            LocalPhase::Starting(_) => AttemptPhase::Starting,
            LocalPhase::Running { .. } => AttemptPhase::Running,
            LocalPhase::Ended(end) => {
                AttemptPhase::Ended { result: end.result, output: end.output.clone() }
            }
        };
        AttemptRow { attempt: self.id.clone(), resources: self.resources, phase }
    }

    /// Returns the notice of its end, if it ended.
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
