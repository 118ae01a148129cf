//! When a silent worker's leases have certainly ended.

use damaskrack_model::ClockTime;

/// What a rack owner knows of a worker that does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceInput {
    /// When the worker last answered under this epoch.
    pub heard_at: Option<ClockTime>,
    /// When the worker was first listed under this epoch.
    pub added_at: ClockTime,
    /// When the owner was last isolated or paused; silence before it proves nothing.
    pub resumed_at: ClockTime,
    /// Lease of tasks with the allowance for clocks that run at different rates, in milliseconds.
    pub expiry_ms: u64,
    /// Time within which a former owner has stopped by itself, in milliseconds.
    pub isolation_ms: u64,
}

/// Returns when the last lease on a silent worker ends, in the owner's clock.
///
/// A worker that answered under this epoch refuses former owners, so its leases end a lease after
/// that answer. One that has not may have been renewed by a former owner until that had to stop
/// by the isolation rule.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::ClockTime, damaskrack_ownership::{SilenceInput, lease_expiry}};
///
/// let silence = SilenceInput {
///     heard_at: None,
///     added_at: ClockTime(1_000),
///     resumed_at: ClockTime(0),
///     expiry_ms: 4_000,
///     isolation_ms: 2_000,
/// };
/// assert_eq!(lease_expiry(silence), ClockTime(7_000));
/// let heard = SilenceInput { heard_at: Some(ClockTime(1_000)), ..silence };
/// assert_eq!(lease_expiry(heard), ClockTime(5_000));
/// ```
#[must_use]
pub fn lease_expiry(input: SilenceInput) -> ClockTime {
    let (since, wait_ms) = match input.heard_at {
        Some(heard_at) => (heard_at, input.expiry_ms),
        None => (input.added_at, input.isolation_ms + input.expiry_ms),
    };
    since.max(input.resumed_at).plus(wait_ms)
}
