//! State that all racks of a daemon share.

use {
    super::{AttemptKey, WorkerKey},
    crate::{NodeConfig, view::ClusterView},
    damaskrack_model::{ClockTime, Epoch, JobId, RackName, TeamName, WorkKind, WorkerName},
    damaskrack_ownership::{EpochFence, FenceOutcome, PieceName},
    damaskrack_policy::WorkerHealth,
    std::collections::{BTreeMap, VecDeque},
};

/// Time within which a preemption may be missing from the digests, in milliseconds.
const DIGEST_LAG_MS: u64 = 1_500;

/// Allowance for clocks that run at different rates, in milliseconds.
const CLOCK_RATE_MARGIN_MS: u64 = 500;

/// Maximum waiting time of a sync, in milliseconds.
const MAX_SYNC_WAIT_MS: u64 = 1_000;

/// Intervals from the daemon's settings that rack owners use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RackIntervals {
    /// Length of the lease of tasks on workers, in milliseconds.
    pub(crate) lease_ms: u64,
    /// Time within which an owner that is cut off stops by itself, in milliseconds.
    pub(crate) isolation_ms: u64,
    /// Timeout of a worker call beyond its waiting time, in milliseconds.
    pub(crate) timeout_ms: u64,
}

impl Default for RackIntervals {
    fn default() -> Self {
        Self { lease_ms: 4_000, isolation_ms: 2_000, timeout_ms: 1_000 }
    }
}

impl RackIntervals {
    /// Reads the intervals from the settings.
    pub(crate) fn from_config(config: &NodeConfig) -> Self {
        Self {
            lease_ms: config.worker_lease_ms,
            isolation_ms: config.isolation_ms,
            timeout_ms: config.worker_timeout_ms,
        }
    }

    /// Returns the waiting time of a sync, short enough for several syncs per lease.
    pub(crate) fn sync_wait_ms(self) -> u64 {
        MAX_SYNC_WAIT_MS.min(self.lease_ms / 4)
    }

    /// Returns how long a worker may be silent and still get work. The lease of a start counts from
    /// the last reading of the worker's clock, so little of it would be left on arrival if the
    /// reading were older.
    pub(crate) fn max_silence_ms(self) -> u64 {
        self.lease_ms * 5 / 8
    }

    /// Returns the length of silence after which all leases granted by this owner have expired.
    pub(crate) fn lease_expiry_ms(self) -> u64 {
        self.lease_ms + CLOCK_RATE_MARGIN_MS
    }
}

/// Purpose of a worker call.
#[derive(Debug, Clone)]
pub(crate) enum CallKind {
    /// Renews leases and requests a report.
    Sync,
    /// Starts these attempts, in this order.
    Start(Vec<AttemptKey>),
    /// Stops or throttles attempts.
    Command,
}

/// A worker call in flight.
#[derive(Debug, Clone)]
pub(crate) struct CallEntry {
    /// Rack of the worker.
    pub(crate) rack: RackName,
    /// Epoch under which it was made.
    pub(crate) epoch: Epoch,
    /// The worker.
    pub(crate) worker: WorkerKey,
    /// Its purpose.
    pub(crate) kind: CallKind,
}

/// A preemption that the digests may not show yet.
#[derive(Debug, Clone)]
struct RecentPreemption {
    at: ClockTime,
    team: TeamName,
    share: f64,
}

/// State that does not belong to a single rack.
#[derive(Debug, Default)]
pub(crate) struct RackShared {
    /// Intervals from the settings.
    pub(crate) intervals: RackIntervals,
    /// Worker calls in flight, by number.
    pub(crate) calls: BTreeMap<u64, CallEntry>,
    /// Health of the workers, by the results of their tasks.
    pub(crate) health: WorkerHealth<WorkerName, JobId>,
    /// Whether a task has failed since the last health review.
    pub(crate) has_new_failure: bool,
    /// When this daemon was last isolated or paused. Silence before then proves nothing, because
    /// another owner may have renewed leases in the meantime.
    pub(crate) resumed_at: ClockTime,
    fences: BTreeMap<TeamName, EpochFence>,
    preemptions: VecDeque<RecentPreemption>,
}

impl RackShared {
    /// Checks the epoch of a queue owner's command. An epoch that was seen in a command to any rack
    /// or in the ownership record is the minimum for all racks.
    pub(crate) fn check_epoch(
        &mut self,
        team: &TeamName,
        epoch: Epoch,
        view: &ClusterView,
    ) -> FenceOutcome {
        let fence = self.fences.entry(team.clone()).or_default();
        fence.raise(view.epoch(&PieceName::Team(team.clone())));
        fence.admit(epoch)
    }

    /// Returns by how much a team exceeds its entitlement, as a dominant share. Preemptions that
    /// the digests may not show yet are deducted.
    pub(crate) fn borrowed_share(&self, team: &TeamName, view: &ClusterView) -> f64 {
        let preempted: f64 = self
            .preemptions
            .iter()
            .filter(|entry| entry.team == *team)
            .map(|entry| entry.share)
            .sum();
        view.borrowed_share(team) - preempted
    }

    /// Records a preemption.
    pub(crate) fn record_preemption(&mut self, team: &TeamName, share: f64, now: ClockTime) {
        self.preemptions.push_back(RecentPreemption { at: now, team: team.clone(), share });
    }

    /// Removes preemptions that the digests show by now.
    pub(crate) fn expire_preemptions(&mut self, now: ClockTime) {
        while self.preemptions.front().is_some_and(|entry| now.since(entry.at) > DIGEST_LAG_MS) {
            self.preemptions.pop_front();
        }
    }
}

/// Returns the job to which failures are attributed. Each request is a job of its own, so the
/// requests of a queue are grouped under one job id.
pub(crate) fn attributed_job(job: &JobId, kind: Option<WorkKind>) -> JobId {
    match kind {
        Some(WorkKind::Request) => JobId { nonce: 0, ..job.clone() },
        _ => job.clone(),
    }
}
