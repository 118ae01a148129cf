//! Bounds that the scheduler keeps to.

/// Bounds of the scheduler.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// Longest lease that workers grant, in milliseconds.
    pub lease_ms: u64,
    /// Time that a former leader may go on renewing leases after it lost the store, in
    /// milliseconds.
    pub isolation_ms: u64,
    /// Time for which the rows of an ended job are kept, in milliseconds.
    pub retention_ms: u64,
    /// Shortest time between two commits, in milliseconds.
    pub commit_interval_ms: u64,
}

impl Default for CellSettings {
    fn default() -> Self {
        Self { lease_ms: 6_000, isolation_ms: 4_000, retention_ms: 130_000, commit_interval_ms: 20 }
    }
}
