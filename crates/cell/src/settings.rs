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
    /// Shortest time between two commits that are not full, in milliseconds.
    pub commit_interval_ms: u64,
    /// Writing calls that the store takes from all daemons, a second.
    pub store_writes_per_s: u64,
}

/// Share of the store's rate that full commits may take, as a divisor; the rest is for elections and
/// for daemons that accept jobs while nobody leads.
const COMMIT_RATE_DIVISOR: u64 = 2;

impl CellSettings {
    /// Returns the shortest time between two full commits, in milliseconds.
    ///
    /// ```
    /// let settings = damaskrack_cell::CellSettings { store_writes_per_s: 400, ..Default::default() };
    /// assert_eq!(settings.full_commit_interval_ms(), 5);
    /// ```
    #[must_use]
    pub fn full_commit_interval_ms(&self) -> u64 {
        (1_000 * COMMIT_RATE_DIVISOR).div_ceil(self.store_writes_per_s.max(1))
    }
}

impl Default for CellSettings {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            isolation_ms: 4_000,
            retention_ms: 130_000,
            commit_interval_ms: 20,
            store_writes_per_s: 400,
        }
    }
}
