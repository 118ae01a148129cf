//! What a new leader may know about a worker that does not respond.

/// Bound on the leases of a worker that does not respond. As long as it is in the store, no leader
/// extends a lease of the worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseBound {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Incarnation of the worker.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address at which the worker responded last; empty if it is not known.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Time after the writing of the row in which all leases on the worker expire, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
}
