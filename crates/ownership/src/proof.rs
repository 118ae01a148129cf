//! What an owner may conclude about work that others started.
//!
//! Work that was sent away counts as possibly running until there is proof of the opposite. These
//! functions say what is a proof.

use damaskrack_model::Epoch;

/// What a rack's statement that it does not know an attempt means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoidOutcome {
    /// The attempt never ran and never will.
    NeverRan,
    /// It does not run now, but may have run on a worker that was lost since.
    MayHaveRun,
}

/// Judges a rack's statement, under the rack epoch `answered`, that it does not know an attempt
/// which was sent under the rack epoch `sent`.
///
/// The owner that an attempt was sent to knows whether it passed it on. A later owner knows only
/// what the workers still tell.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Epoch, damaskrack_ownership::{VoidOutcome, resolve_void_attempt}};
///
/// assert_eq!(resolve_void_attempt(Epoch(3), Epoch(3), false), VoidOutcome::NeverRan);
/// assert_eq!(resolve_void_attempt(Epoch(3), Epoch(4), false), VoidOutcome::MayHaveRun);
/// ```
#[must_use]
pub fn resolve_void_attempt(sent: Epoch, answered: Epoch, was_running: bool) -> VoidOutcome {
    if sent == answered && !was_running { VoidOutcome::NeverRan } else { VoidOutcome::MayHaveRun }
}

/// What becomes of a task that a former owner may have started and that no rack knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingTaskStep {
    /// It may start.
    Start,
    /// It may have run: it ends as unknown.
    EndUnknown,
}

/// Decides about a task that nobody knows after the roll call.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::{MissingTaskStep, resolve_missing_task};
///
/// assert_eq!(resolve_missing_task(true, true), MissingTaskStep::Start);
/// assert_eq!(resolve_missing_task(false, true), MissingTaskStep::EndUnknown);
/// ```
#[must_use]
pub fn resolve_missing_task(is_idempotent: bool, has_intent: bool) -> MissingTaskStep {
    if is_idempotent || !has_intent { MissingTaskStep::Start } else { MissingTaskStep::EndUnknown }
}

/// Tells whether a task that waits may be called not run.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::is_provably_unstarted;
///
/// assert!(is_provably_unstarted(false, true, false, false));
/// assert!(!is_provably_unstarted(false, true, true, false));
/// ```
#[must_use]
pub fn is_provably_unstarted(
    was_tried: bool,
    is_inherited: bool,
    is_idempotent: bool,
    has_intent: bool,
) -> bool {
    !was_tried && !(is_inherited && (is_idempotent || has_intent))
}
