//! What an owner does with work that its entry may have sent before.
//!
//! A repeated submission carries the same job number as the first, so it is an inquiry. Only work
//! that certainly reached nobody, or that may run twice, is started by it.

use damaskrack_model::Epoch;

/// What an owner knows about a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionInput {
    /// Epoch of the owner that the work may have reached first; `None` if it reached nobody.
    pub first_epoch: Option<Epoch>,
    /// Epoch of the judging owner.
    pub epoch: Epoch,
    /// Time since the work was first sent, in milliseconds.
    pub age_ms: u64,
    /// Time for which this owner certainly remembers work that it got, in milliseconds.
    pub remembered_ms: u64,
    /// Whether an attempt of the job was found running or ended in a rack.
    pub is_found: bool,
    /// Whether the work may run twice.
    pub is_idempotent: bool,
    /// Whether the work is journalled before it starts, so that what is not in the journal never
    /// started.
    pub is_journalled: bool,
}

/// What to do with a submission of work that the owner does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionStep {
    /// Take the job together with the attempts that were found.
    Adopt,
    /// Take it as new work.
    Start,
    /// It may have run and is lost.
    Lost,
}

/// Tells whether work that is not known here may have run: a former owner may have got it, or this
/// one may have forgotten it.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_model::Epoch,
///     damaskrack_ownership::{SubmissionInput, may_have_run},
/// };
///
/// let input = SubmissionInput {
///     first_epoch: Some(Epoch(2)),
///     epoch: Epoch(2),
///     age_ms: 1_000,
///     remembered_ms: 300_000,
///     is_found: false,
///     is_idempotent: false,
///     is_journalled: false,
/// };
/// assert!(!may_have_run(input));
/// assert!(may_have_run(SubmissionInput { epoch: Epoch(3), ..input }));
/// ```
#[must_use]
pub fn may_have_run(input: SubmissionInput) -> bool {
    let reached_former = input.first_epoch.is_some_and(|epoch| epoch < input.epoch);
    (reached_former && !input.is_journalled) || input.age_ms > input.remembered_ms
}

/// Decides about a submission of work that the owner does not know, once the roll call is
/// complete.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_model::Epoch,
///     damaskrack_ownership::{SubmissionInput, SubmissionStep, classify_submission},
/// };
///
/// let input = SubmissionInput {
///     first_epoch: Some(Epoch(1)),
///     epoch: Epoch(2),
///     age_ms: 1_000,
///     remembered_ms: 300_000,
///     is_found: false,
///     is_idempotent: false,
///     is_journalled: false,
/// };
/// assert_eq!(classify_submission(input), SubmissionStep::Lost);
/// let found = SubmissionInput { is_found: true, ..input };
/// assert_eq!(classify_submission(found), SubmissionStep::Adopt);
/// ```
#[must_use]
pub fn classify_submission(input: SubmissionInput) -> SubmissionStep {
    if input.is_found {
        SubmissionStep::Adopt
    } else if may_have_run(input) && !input.is_idempotent {
        SubmissionStep::Lost
    } else {
        SubmissionStep::Start
    }
}
