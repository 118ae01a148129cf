//! Decides what an owner may conclude about work that another daemon may have started.
//!
//! Work that was sent to another daemon counts as possibly running until there is proof that it is
//! not. These functions define what counts as proof.

use damaskrack_model::Epoch;

/// Meaning of a rack's response that it does not know an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoidOutcome {
    /// The attempt never ran and never will.
    NeverRan,
    /// The attempt is not running now, but may have run on a worker that has been lost since.
    MayHaveRun,
}

/// Interprets a rack's response, under the rack epoch `answered`, that it does not know an attempt
/// that was sent under the rack epoch `sent`.
///
/// The owner that the attempt was sent to knows whether it sent the attempt to a worker. A later
/// owner knows only what the workers report.
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

/// What to do with a task that a former owner may have started and that no rack knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingTaskStep {
    /// The task may start.
    Start,
    /// The task may have run, so its outcome is unknown.
    EndUnknown,
}

/// Decides what to do with a task that no rack knows after the reconciliation of attempts.
///
/// `has_intent` tells whether the journal records an intent to start the task.
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

/// Tells whether a waiting task certainly never ran, so that it may be reported as not run.
///
/// `was_tried` tells whether this owner has tried the task, `is_inherited` whether the job comes
/// from a former owner, and `has_intent` whether the journal records an intent to start the task.
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
