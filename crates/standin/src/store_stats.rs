//! Call counters of the store.

use {
    damaskrack_outside::StoreCall,
    serde::{Deserialize, Serialize},
};

/// Number of calls since the start by operation, including refused calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStats {
    /// Reads of a single key.
    pub get: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Deletions of a single key.
    pub delete: u64,
    /// Deletions of a key range.
    pub delete_range: u64,
    /// Grants of leases.
    pub lease_grant: u64,
    /// Renewals of leases.
    pub lease_keep: u64,
    /// Revocations of leases.
    pub lease_revoke: u64,
    /// Watches; each counts once, however long it waits.
    pub watch: u64,
    /// Calls refused because of an outage, the rate limit or the length of the value.
    pub refused: u64,
    /// Leases that expired.
    pub lapsed_leases: u64,
    /// Responses dropped after the call took effect.
    pub lost_answers: u64,
}

impl StoreStats {
    /// Counts a call.
    pub(crate) fn count(&mut self, call: &StoreCall) {
        let counter = match call {
            StoreCall::Get { .. } => &mut self.get,
            StoreCall::List { .. } => &mut self.list,
            StoreCall::Put { .. } => &mut self.put,
            StoreCall::Delete { .. } => &mut self.delete,
            StoreCall::DeleteRange { .. } => &mut self.delete_range,
            StoreCall::LeaseGrant { .. } => &mut self.lease_grant,
            StoreCall::LeaseKeep { .. } => &mut self.lease_keep,
            StoreCall::LeaseRevoke { .. } => &mut self.lease_revoke,
            StoreCall::Watch { .. } => &mut self.watch,
        };
        *counter += 1;
    }

    /// Returns the number of calls that write.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_standin::StoreStats;
    ///
    /// let stats = StoreStats { put: 2, lease_keep: 1, watch: 7, ..StoreStats::default() };
    /// assert_eq!((stats.writes(), stats.reads()), (3, 7));
    /// ```
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.put
            + self.delete
            + self.delete_range
            + self.lease_grant
            + self.lease_keep
            + self.lease_revoke
    }

    /// Returns the number of calls that read or watch.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.get + self.list + self.watch
    }
}
