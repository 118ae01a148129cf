//! Notes that the world takes for the observers while it runs.

use {
    crate::observe::{SeenDisturbance, SeenLeaving, SeenLoss, SeenShutdown, SeenVersion},
    std::collections::BTreeMap,
};

/// Everything noted outside the stand-ins' own tables.
#[derive(Debug, Default)]
pub(crate) struct WorldRecord {
    pub(crate) versions: Vec<SeenVersion>,
    pub(crate) disturbances: Vec<SeenDisturbance>,
    pub(crate) leavings: Vec<SeenLeaving>,
    pub(crate) shutdowns: Vec<SeenShutdown>,
    pub(crate) losses: Vec<SeenLoss>,
    pub(crate) stray_answers: Vec<u64>,
    pub(crate) lives: Vec<(usize, u64, u64)>,
    /// Version and time of acceptance.
    pub(crate) accepted: BTreeMap<u64, u64>,
    pub(crate) faults: u64,
    pub(crate) refused_full: u64,
    pub(crate) refused_stale: u64,
    pub(crate) refused_expired: u64,
}
