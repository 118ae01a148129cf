//! When a daemon must stop because others may have replaced it.
//!
//! Fences stop a former owner at every receiver that its successor has reached. A receiver that
//! only the former owner reaches is not covered, so a daemon that may have been replaced must
//! stop by itself within a stated time. It may have been replaced only if somebody else reaches
//! the store, which it can rule out while it hears current news of the store, or while it hears
//! more than half of the members, because the rest take nothing over then.

/// What a daemon knows about its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StandingInput {
    /// Age of the freshest answer of the store, its own or relayed by a peer, in milliseconds.
    pub store_age_ms: u64,
    /// Time since more than half of the members were last heard together, in milliseconds.
    pub majority_age_ms: u64,
    /// The stated time, in milliseconds.
    pub isolation_ms: u64,
}

/// How much a daemon may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStanding {
    /// It hears the store and more than half of the members: it may do everything.
    Connected,
    /// It hears the store but misses half or more of the members: it keeps what it owns and takes
    /// nothing over.
    Minority,
    /// It hears more than half of the members but nothing current of the store: nobody can have
    /// replaced it, so it keeps what it owns.
    StoreSilent,
    /// It hears neither: it starts nothing and renews nothing.
    Isolated,
}

/// Judges what a daemon may do.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::{MemberStanding, StandingInput, judge_standing};
///
/// let cut_off = StandingInput { store_age_ms: 9_000, majority_age_ms: 9_000, isolation_ms: 2_000 };
/// assert_eq!(judge_standing(cut_off), MemberStanding::Isolated);
/// let outage = StandingInput { majority_age_ms: 100, ..cut_off };
/// assert_eq!(judge_standing(outage), MemberStanding::StoreSilent);
/// ```
#[must_use]
pub fn judge_standing(input: StandingInput) -> MemberStanding {
    let hears_store = input.store_age_ms <= input.isolation_ms;
    let hears_majority = input.majority_age_ms <= input.isolation_ms;
    match (hears_store, hears_majority) {
        (true, true) => MemberStanding::Connected,
        (true, false) => MemberStanding::Minority,
        (false, true) => MemberStanding::StoreSilent,
        (false, false) => MemberStanding::Isolated,
    }
}
