//! Settings of the scheduler.

use crate::FeatureSettings;

/// Timing settings and limits of the scheduler.
#[derive(Debug, Clone)]
pub struct CellSettings {
    /// Duration of the leases that leaders request, in milliseconds.
    pub lease_ms: u64,
    /// Duration of the longest lease that a worker grants, in milliseconds. A request that was meant for a
    /// former incarnation of a worker may get it.
    pub max_worker_lease_ms: u64,
    /// Time for which a former leader may continue to renew leases after it lost the store, in
    /// milliseconds.
    pub isolation_ms: u64,
    /// Age of the list of workers from which it counts as outdated, in milliseconds. Nothing starts by
    /// an outdated list.
    pub max_list_age_ms: u64,
    /// Time for which the rows of an ended job are retained, in milliseconds.
    pub retention_ms: u64,
    /// Minimum interval between commits that are not full, in milliseconds.
    pub commit_interval_ms: u64,
    /// Number of write calls per second that the store accepts from all daemons.
    pub store_writes_per_s: u64,
    /// Memory for the jobs that a leader keeps, in bytes.
    pub job_memory_bytes: usize,
    /// Factor by which a task runs longer away from its data, or outside the rack of its coupled gang; 1.0 if
    /// that is not known.
    pub remote_factor: f64,
    /// Switches of optional features.
    pub features: FeatureSettings,
}

/// Divisor for the part of the store's write rate that full commits may use. The rest is reserved
/// for elections and for daemons that accept jobs while there is no leader.
const COMMIT_RATE_DIVISOR: u64 = 2;

impl CellSettings {
    /// Returns the minimum interval between full commits, in milliseconds.
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
            max_worker_lease_ms: 10_000,
            isolation_ms: 4_000,
            max_list_age_ms: 1_200,
            retention_ms: 130_000,
            commit_interval_ms: 20,
            store_writes_per_s: 400,
            job_memory_bytes: usize::MAX,
            remote_factor: 1.0,
            features: FeatureSettings::default(),
        }
    }
}
