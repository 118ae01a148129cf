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
