//! Keys and rows that the cell keeps in the store.
//!
//! | key | content | written by |
//! | --- | --- | --- |
//! | `cell/leader` | [`LeaderRow`], attached to a lease | the leader |
//! | `cell/guard/LANE` | [`GuardRow`] | the leader, in every transaction on the lane |
//! | `cell/job/ID` | the accepted job | the daemon or the leader, on acceptance |
//! | `cell/payload/ID` | the job's payload, if it is not in its row | the daemon, on acceptance |
//! | `cell/progress/ID` | the job's progress | the leader |
//! | `cell/ended/ID` | the final state of an ended job, in place of its other rows | the leader |
//! | `cell/lease-bounds` | [`LeaseBoundsRow`] | the leader |
//! | `cell/worker-speeds` | [`WorkerSpeedsRecord`](damaskrack_cell::WorkerSpeedsRecord) | the leader |
//! | `cell/open-terms` | [`OpenTermsRow`](crate::open_terms::OpenTermsRow) | the leader |

use {
    crate::StoreItem,
    damaskrack_cell::LeaseBound,
    prost::Message,
    slog::{Logger, warn},
};

/// Key of the leader's row.
pub(crate) const LEADER_KEY: &str = "cell/leader";
/// Prefix of the guard rows.
pub(crate) const GUARD_PREFIX: &str = "cell/guard/";
/// Prefix of the rows of accepted jobs.
pub(crate) const JOB_PREFIX: &str = "cell/job/";
/// Prefix of the payload rows.
pub(crate) const PAYLOAD_PREFIX: &str = "cell/payload/";
/// Prefix of the progress rows.
pub(crate) const PROGRESS_PREFIX: &str = "cell/progress/";

/// Prefix of the rows of ended jobs.
pub(crate) const ENDED_PREFIX: &str = "cell/ended/";

/// Key of the row of lease bounds.
pub(crate) const LEASE_BOUNDS_KEY: &str = "cell/lease-bounds";

/// Key of the row of learned speeds and run times.
pub(crate) const WORKER_SPEEDS_KEY: &str = "cell/worker-speeds";

/// Key of the row of the leaders that may still act.
pub(crate) const OPEN_TERMS_KEY: &str = "cell/open-terms";

/// Identity of the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaderRow {
    /// Random id of the daemon's process.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// Address on which it accepts daemons.
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    /// Its term, which is also its fencing token.
    #[prost(uint64, tag = "3")]
    pub(crate) term: u64,
}

/// The leader's row and its revision.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct KnownLeader {
    pub(crate) row: LeaderRow,
    pub(crate) revision: u64,
}

/// Fences a lane: identifies the last transaction of any leader on it. Every transaction expects
/// the lane's row at a known revision and replaces it, so one that the store executes late, or one
/// of a former leader, has no effect. A new leader replaces the rows of all lanes at once.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GuardRow {
    /// Term of the leader that wrote last.
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    /// Random id of its process.
    #[prost(uint64, tag = "2")]
    pub(crate) id: u64,
    /// Number of the write within the term and lane.
    #[prost(uint64, tag = "3")]
    pub(crate) write: u64,
    /// First term since which all leaders have known [`LeaseBoundsRow`]; 0 if the leader that wrote
    /// this does not know it.
    #[prost(uint64, tag = "4")]
    pub(crate) bounds_since: u64,
}

/// Bounds on the leases of workers that do not respond. No leader extends a lease of a worker in it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaseBoundsRow {
    /// Term of the leader that wrote it.
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) bounds: Vec<LeaseBound>,
}

impl LeaseBoundsRow {
    /// Returns the bounds to rely on. A leader of a version that does not know the row may have
    /// extended leases since it was written, so one from before such a leader's term is outdated.
    pub(crate) fn valid_bounds(&self, bounds_since: u64) -> &[LeaseBound] {
        match self.term >= bounds_since {
            true => &self.bounds,
            false => &[],
        }
    }
}

/// Returns the first term since which all leaders have known [`LeaseBoundsRow`], for a leader whose
/// predecessors wrote these guards.
pub(crate) fn next_bounds_since(guards: &[GuardRow], term: u64) -> u64 {
    let last = guards.iter().max_by_key(|guard| guard.term);
    match last.map_or(0, |guard| guard.bounds_since) {
        0 => term,
        since => since,
    }
}

/// Decodes the row of an item; `None` if it is damaged, which is logged.
pub(crate) fn decode_row<T: Message + Default>(item: &StoreItem, logger: &Logger) -> Option<T> {
    let row = T::decode(item.value.as_slice());
    let log = |error: &_| {
        warn!(logger, "row_unreadable"; "key" => &item.key, "error" => %error);
    };
    row.inspect_err(log).ok()
}

/// Returns the key of a lane's guard row.
pub(crate) fn guard_key(lane: usize) -> String {
    format!("{GUARD_PREFIX}{lane}")
}

/// Returns the key of an accepted job.
pub(crate) fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a job's payload.
pub(crate) fn payload_key(id: &str) -> String {
    format!("{PAYLOAD_PREFIX}{id}")
}

/// Returns the key of a job's progress.
pub(crate) fn progress_key(id: &str) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// Returns the key of an ended job.
pub(crate) fn ended_key(id: &str) -> String {
    format!("{ENDED_PREFIX}{id}")
}

#[cfg(test)]
mod tests;
