//! Runs that belong to no attempt.

use crate::ResourceSet;

/// A run that a worker reports but that belongs to no attempt in the tables. It is being stopped, and counts as used
/// until it is no longer reported.
#[derive(Debug)]
pub(crate) struct OrphanRun {
    /// Name of the task.
    pub(crate) task: String,
    /// Team that the run counts against; empty if its job is unknown.
    pub(crate) team: String,
    pub(crate) resources: ResourceSet,
}
