//! When a worker may run a task of a step, apart from tickets.

use super::worker_exclusion::WorkerExclusion;

/// When a worker may run a task of a step once it has a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HostOutlook {
    /// It may now.
    Now,
    /// It may once other tasks there have ended.
    Later,
    /// It may not, whatever ends there.
    Never,
}

impl HostOutlook {
    /// Returns the outlook for a worker that is excluded for a reason, or for none.
    pub(super) fn of(exclusion: Option<WorkerExclusion>, is_service: bool) -> Self {
        match exclusion {
            None => Self::Now,
            Some(
                WorkerExclusion::Probation
                | WorkerExclusion::FreeCapacity
                | WorkerExclusion::Reservation,
            ) => Self::Later,
            Some(WorkerExclusion::Limit) if !is_service => Self::Later,
            Some(_) => Self::Never,
        }
    }
}
