//! Decides when a daemon must stop because another member may have taken over from it.
//!
//! Fencing rejects a former owner at every receiver that its successor has contacted. It does not
//! protect a receiver that only the former owner reaches, so a daemon that may have been replaced
//! must stop by itself within the isolation time. A daemon can be replaced only by a member that
//! reaches the store and is heard by at least half of the members, all of which know that it
//! reaches the store. A daemon rules that out while it has a recent store read that shows its own
//! record, or while it hears more than half of the members and none of them knows of a later store
//! read than its own: two such groups have a member in common.
//!
//! The knowledge of a later store read does not expire. A daemon that is isolated because others
//! have one stays isolated until it has a recent store read itself.
//!
//! All ages are measured on the daemon's own clock from the time of the *request*: the start of the
//! store call, or the heartbeat that a peer's heartbeat echoes. The time that a response waits in a
//! socket while the process is paused therefore counts in its age.

/// What a daemon knows about its connections to the store and to the other members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StandingInput {
    /// Age of the latest store read, in milliseconds: this daemon's own, or one that a peer relayed
    /// together with the statement that this daemon's record is listed.
    pub store_age_ms: u64,
    /// Whether any member has ever reported a store read that is so much later than this daemon's
    /// own that the daemon's record may have expired in between.
    pub has_later_read: bool,
    /// Whether this daemon is on the roster and its own latest store read is later than its current
    /// registration by at least the isolation time. Until then, a peer's statement that the daemon
    /// is listed may refer to an earlier registration.
    pub is_settled: bool,
    /// Members from which a message arrived within the isolation time, this daemon included.
    pub heard: usize,
    /// Those of them that know that this daemon has a recent store read.
    pub informed: usize,
    /// Members on the roster, this daemon included.
    pub known: usize,
    /// Isolation time, in milliseconds: the age up to which a store read or a message is recent.
    pub isolation_ms: u64,
}

/// What a daemon's connections allow it to do, from most to least.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStanding {
    /// It has a recent store read, and at least half of the members know that: it may do
    /// everything.
    Connected,
    /// It has a recent store read, but fewer than half of the members know that: it keeps what it
    /// owns, but takes over nothing and changes no configuration.
    Minority,
    /// It has no recent store read, but hears more than half of the members and none of them has a
    /// later one: nobody can have replaced it, so it keeps what it owns.
    StoreSilent,
    /// It cannot rule out that it has been replaced: it starts no work and renews no leases.
    Isolated,
}

/// Evaluates what a daemon may do.
///
/// At least half of the members know of a member that may take over that it reaches the store. A
/// member that continues without a recent store read hears more than half. So one member is in both
/// groups, and through it the second learns of the first.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::{MemberStanding, StandingInput, evaluate_standing};
///
/// let partitioned = StandingInput {
///     store_age_ms: 9_000,
///     has_later_read: false,
///     is_settled: true,
///     heard: 4,
///     informed: 4,
///     known: 8,
///     isolation_ms: 2_000,
/// };
/// assert_eq!(evaluate_standing(partitioned), MemberStanding::Isolated);
/// let outage = StandingInput { heard: 5, ..partitioned };
/// assert_eq!(evaluate_standing(outage), MemberStanding::StoreSilent);
/// let other_side = StandingInput { store_age_ms: 100, ..partitioned };
/// assert_eq!(evaluate_standing(other_side), MemberStanding::Connected);
/// ```
#[must_use]
pub fn evaluate_standing(input: StandingInput) -> MemberStanding {
    let has_recent_read = input.store_age_ms <= input.isolation_ms;
    let is_half_informed = input.informed * 2 >= input.known;
    let hears_majority = input.heard * 2 > input.known;
    if has_recent_read {
        return if is_half_informed { MemberStanding::Connected } else { MemberStanding::Minority };
    }
    if hears_majority && input.is_settled && !input.has_later_read {
        MemberStanding::StoreSilent
    } else {
        MemberStanding::Isolated
    }
}

/// Tells whether another member's store read is so late that this daemon must not continue without
/// a recent one of its own.
///
/// A daemon's record expires no earlier than one member lease after its last renewal was sent.
/// A member that then takes over from it has told half of the members of a store read that is at
/// most the isolation time old. So a member that both hear knows of a read that is later than the
/// renewal by more than the difference of the two times. All times are in milliseconds.
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
