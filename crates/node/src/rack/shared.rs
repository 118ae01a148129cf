//! What all racks of one daemon share.

use {
    super::{AttemptKey, WorkerKey},
    crate::{NodeConfig, view::ClusterView},
    damaskrack_model::{ClockTime, Epoch, JobId, RackName, TeamName, WorkKind, WorkerName},
    damaskrack_ownership::{EpochFence, FenceOutcome, PieceName},
    damaskrack_policy::WorkerHealth,
    std::collections::{BTreeMap, VecDeque},
};

/// Time for which a displacement may be missing from the digests, in milliseconds.
const DIGEST_LAG_MS: u64 = 1_500;

/// Allowance for clocks that do not run at quite the same rate, in milliseconds.
const CLOCK_RATE_MARGIN_MS: u64 = 500;

/// Longest waiting time of a sync, in milliseconds.
const MAX_SYNC_WAIT_MS: u64 = 1_000;

/// Intervals of the daemon's settings that concern racks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RackIntervals {
    /// Lease of tasks on workers, in milliseconds.
    pub(crate) lease_ms: u64,
    /// Time after which a cut-off owner stops, in milliseconds.
    pub(crate) isolation_ms: u64,
    /// Deadline of a worker call beyond its waiting time, in milliseconds.
    pub(crate) timeout_ms: u64,
}

impl Default for RackIntervals {
    fn default() -> Self {
        Self { lease_ms: 4_000, isolation_ms: 2_000, timeout_ms: 1_000 }
    }
}

impl RackIntervals {
    /// Takes the intervals from the settings.
    pub(crate) fn from_config(config: &NodeConfig) -> Self {
        Self {
            lease_ms: config.worker_lease_ms,
            isolation_ms: config.isolation_ms,
            timeout_ms: config.worker_timeout_ms,
        }
    }

    /// Returns the waiting time of a sync: several fit into a lease.
    pub(crate) fn sync_wait_ms(self) -> u64 {
        MAX_SYNC_WAIT_MS.min(self.lease_ms / 4)
    }

    /// Returns how long a worker may be silent and still get work. A start that is based on an
    /// older reading of its clock would arrive with little of its lease left.
    pub(crate) fn max_silence_ms(self) -> u64 {
        self.lease_ms * 5 / 8
    }

    /// Returns after how long a silence every lease of this owner has lapsed.
    pub(crate) fn lease_expiry_ms(self) -> u64 {
        self.lease_ms + CLOCK_RATE_MARGIN_MS
    }
}

/// What a worker call was for.
#[derive(Debug, Clone)]
pub(crate) enum CallKind {
    /// A sync.
    Sync,
    /// A start of these attempts, in this order.
    Start(Vec<AttemptKey>),
    /// A stop or throttle.
    Command,
}

/// A worker call whose end is awaited.
#[derive(Debug, Clone)]
pub(crate) struct CallEntry {
    /// Rack of the worker.
    pub(crate) rack: RackName,
    /// Epoch under which it was made.
    pub(crate) epoch: Epoch,
    /// The worker.
    pub(crate) worker: WorkerKey,
    /// What it was for.
    pub(crate) kind: CallKind,
}

/// A displacement that the digests may not show yet.
#[derive(Debug, Clone)]
struct RecentPreemption {
    at: ClockTime,
    team: TeamName,
    share: f64,
}

/// State that is not of one rack.
#[derive(Debug, Default)]
pub(crate) struct RackShared {
    /// The settings.
    pub(crate) intervals: RackIntervals,
    /// Worker calls by number.
    pub(crate) calls: BTreeMap<u64, CallEntry>,
    /// Judgement of workers.
    pub(crate) health: WorkerHealth<WorkerName, JobId>,
    /// Whether a task has failed since workers were judged.
    pub(crate) has_new_failure: bool,
    /// When this daemon was last isolated or paused. Silence before it proves nothing, because
    /// somebody else may have renewed leases meanwhile.
    pub(crate) resumed_at: ClockTime,
    fences: BTreeMap<TeamName, EpochFence>,
    preemptions: VecDeque<RecentPreemption>,
}

impl RackShared {
    /// Judges a command of a queue owner. An epoch that any rack or record has shown is a floor
    /// for all of them.
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

    /// Returns how far a team is above its entitlement, less what was displaced so recently that
    /// the digests may not show it.
    pub(crate) fn borrowed_share(&self, team: &TeamName, view: &ClusterView) -> f64 {
        let displaced: f64 =
            self.preemptions.iter().filter(|row| row.team == *team).map(|row| row.share).sum();
        view.borrowed_share(team) - displaced
    }

    /// Notes a displacement.
    pub(crate) fn record_preemption(&mut self, team: &TeamName, share: f64, now: ClockTime) {
        self.preemptions.push_back(RecentPreemption { at: now, team: team.clone(), share });
    }

    /// Forgets preemptions that the digests show by now.
    pub(crate) fn expire_preemptions(&mut self, now: ClockTime) {
        while self.preemptions.front().is_some_and(|row| now.since(row.at) > DIGEST_LAG_MS) {
            self.preemptions.pop_front();
        }
    }
}

/// Returns the job by which failures are attributed. Each request is a job of its own, so
/// requests are taken together by queue.
pub(crate) fn attributed_job(job: &JobId, kind: Option<WorkKind>) -> JobId {
    match kind {
        Some(WorkKind::Request) => JobId { nonce: 0, ..job.clone() },
        _ => job.clone(),
    }
}
