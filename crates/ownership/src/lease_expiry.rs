//! Determines when the leases of an unresponsive worker have certainly expired.

use damaskrack_model::ClockTime;

/// What a rack owner knows about a worker that does not respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceInput {
    /// When the worker last responded under this epoch; `None` if it never did.
    pub heard_at: Option<ClockTime>,
    /// When the worker was first listed under this epoch.
    pub added_at: ClockTime,
    /// When the owner was last isolated or paused; silence before then proves nothing.
    pub resumed_at: ClockTime,
    /// Length of a task's lease plus an allowance for clocks that run at different rates, in
    /// milliseconds.
    pub expiry_ms: u64,
    /// Time within which a former owner stops by itself, in milliseconds.
    pub isolation_ms: u64,
}

/// Returns when the last lease of an unresponsive worker expires, on the owner's clock.
///
/// A worker that responded under this epoch rejects former owners, so its leases expire one lease
/// after that response. The leases of one that has not responded may have been renewed by a former
/// owner until the isolation rule made that owner stop.
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
