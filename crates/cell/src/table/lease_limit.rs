//! What bounds the leases on a worker.

/// The bound by which the last lease on a worker expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaseLimit {
    /// The latest deadline that this leader has sent to the present incarnation, on the clock which that one
    /// reported.
    Deadline,
    /// The longest lease that other requests can have been granted, from the response of the present
    /// incarnation on that shows that it refuses them.
    OtherRequests,
    /// The leases on the former incarnation. The present one has not refused other requests yet.
    FormerIncarnation,
    /// The leases that former leaders can have given. The worker has not refused their requests yet.
    FormerLeaders,
}
