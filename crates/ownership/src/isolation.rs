//! When a daemon must stop because others may have replaced it.
//!
//! Fences stop a former owner at every receiver that its successor has reached. A receiver that
//! only the former owner reaches is not covered, so a daemon that may have been replaced must
//! stop by itself within a stated time. It may have been replaced only by a member that reaches
//! the store and is heard by at least half of the members, all of which know that it does. A
//! daemon rules that out while it has current news of the store that show its own record, or
//! while it hears more than half of the members and none of them has heard of later news of the
//! store than its own: two such groups have a member in common.
//!
//! Later news do not age. A daemon that was isolated because others have them stays so until it
//! gets current news itself.
//!
//! All ages are measured in the daemon's own clock from the moment it *asked*: the start of the
//! store call, or the heartbeat that a peer's heartbeat echoes. News that waited in a socket while
//! the process was paused are therefore as old as they really are.

/// What a daemon knows about its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StandingInput {
    /// Age of the freshest news of the store, in milliseconds: its own answer, or one that a peer
    /// relayed together with the statement that this daemon's record is listed.
    pub store_age_ms: u64,
    /// Whether any member was ever heard to know of news of the store that are so much later than
    /// this daemon's own that its record may have lapsed in between.
    pub has_later_read: bool,
    /// Whether this daemon is on the roster, and its own news are later than its present
    /// registration by the stated time. Until then another member's word for it may speak of an
    /// earlier registration.
    pub is_settled: bool,
    /// Members that were heard within the stated time, this daemon included.
    pub heard: usize,
    /// Those of them that know that this daemon has current news of the store.
    pub informed: usize,
    /// Members on the roster, this daemon included.
    pub known: usize,
    /// The stated time, in milliseconds.
    pub isolation_ms: u64,
}

/// How much a daemon may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStanding {
    /// It hears the store, and at least half of the members know it: it may do everything.
    Connected,
    /// It hears the store but fewer than half of the members know it: it keeps what it owns, takes
    /// nothing over and changes no configuration.
    Minority,
    /// It hears more than half of the members and none has news of the store: nobody can have
    /// replaced it, so it keeps what it owns.
    StoreSilent,
    /// It cannot rule out that it has been replaced: it starts nothing and renews nothing.
    Isolated,
}

/// Judges what a daemon may do.
///
/// A member that may take pieces over is known to reach the store by at least half of the
/// members. A member that goes on without news hears more than half. So one is in both groups, and
/// through it the second learns of the first.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::{MemberStanding, StandingInput, evaluate_standing};
///
/// let cut_off = StandingInput {
///     store_age_ms: 9_000,
///     has_later_read: false,
///     is_settled: true,
///     heard: 4,
///     informed: 4,
///     known: 8,
///     isolation_ms: 2_000,
/// };
/// assert_eq!(evaluate_standing(cut_off), MemberStanding::Isolated);
/// let outage = StandingInput { heard: 5, ..cut_off };
/// assert_eq!(evaluate_standing(outage), MemberStanding::StoreSilent);
/// let other_side = StandingInput { store_age_ms: 100, ..cut_off };
/// assert_eq!(evaluate_standing(other_side), MemberStanding::Connected);
/// ```
#[must_use]
pub fn evaluate_standing(input: StandingInput) -> MemberStanding {
    let hears_store = input.store_age_ms <= input.isolation_ms;
    let hears_half = input.informed * 2 >= input.known;
    let hears_majority = input.heard * 2 > input.known;
    if hears_store {
        return if hears_half { MemberStanding::Connected } else { MemberStanding::Minority };
    }
    if hears_majority && input.is_settled && !input.has_later_read {
        MemberStanding::StoreSilent
    } else {
        MemberStanding::Isolated
    }
}

/// Tells whether news of the store that others had rule out that this daemon goes on without any.
///
/// A daemon's record lapses at the earliest a member lease after its last renewal was sent.
/// Whoever then takes its pieces has told half of the members of news that are at most the
/// isolation time old. So a member that both hear knows of news that are later than the renewal by
/// more than the difference. All times are in milliseconds.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::has_later_read;
///
/// assert!(!has_later_read(9_000, 8_500, 3_000, 2_000));
/// assert!(has_later_read(9_000, 7_500, 3_000, 2_000));
/// ```
#[must_use]
pub fn has_later_read(
    renewed_age_ms: u64,
    heard_age_ms: u64,
    member_lease_ms: u64,
    isolation_ms: u64,
) -> bool {
    renewed_age_ms.saturating_sub(heard_age_ms) > member_lease_ms.saturating_sub(isolation_ms)
}
