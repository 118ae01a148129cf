//! Keys and rows of the cell in the store.
//!
//! | key | holds | written by |
//! | --- | --- | --- |
//! | `cell/leader` | [`LeaderRow`], on a lease | the leader |
//! | `cell/guard/LANE` | [`GuardRow`] | the leader, with every commit on the lane |
//! | `cell/job/ID` | the job as accepted | the daemon that accepts it, once |
//! | `cell/progress/ID` | how far it has come | the leader |

/// Key of the leader's row.
pub(crate) const LEADER_KEY: &str = "cell/leader";
/// Prefix of the guards.
pub(crate) const GUARD_PREFIX: &str = "cell/guard/";
/// Prefix of the rows of accepted jobs.
pub(crate) const JOB_PREFIX: &str = "cell/job/";
/// Prefix of the rows of progress.
pub(crate) const PROGRESS_PREFIX: &str = "cell/progress/";

/// Who leads.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaderRow {
    /// Random id of the daemon's process.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// Address for other daemons.
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    /// Its term, which is its fencing token too.
    #[prost(uint64, tag = "3")]
    pub(crate) term: u64,
}

/// Who leads, and the revision of the row that says so.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct KnownLeader {
    pub(crate) row: LeaderRow,
    pub(crate) revision: u64,
}

/// The last write of any leader on a lane. Every commit expects its lane's row at a revision and
/// replaces it, so a commit that the store carries out late, or one of a former leader, changes
/// nothing. A new leader replaces the rows of all lanes at once.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GuardRow {
    /// Term of the leader that wrote last.
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    /// Random id of its process.
    #[prost(uint64, tag = "2")]
    pub(crate) id: u64,
    /// Number of its write.
    #[prost(uint64, tag = "3")]
    pub(crate) write: u64,
}

/// Key of a lane's guard.
pub(crate) fn guard_key(lane: usize) -> String {
    format!("{GUARD_PREFIX}{lane}")
}

/// Key of an accepted job.
pub(crate) fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key of a job's progress.
pub(crate) fn progress_key(id: &str) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}
