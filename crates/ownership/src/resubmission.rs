//! Decides what an owner does with a submission that may have been sent before.
//!
//! A repeated submission carries the same job number as the first, so it asks for the outcome of
//! that one. It starts work only if the work certainly reached no owner or may run twice.

use damaskrack_model::Epoch;

/// What an owner knows about a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionInput {
    /// Epoch of the first owner that the work may have reached; `None` if it reached none.
    pub first_epoch: Option<Epoch>,
    /// Epoch of the deciding owner.
    pub epoch: Epoch,
    /// Time since the work was first sent, in milliseconds.
    pub age_ms: u64,
    /// Time for which this owner certainly keeps work that it received, in milliseconds.
    pub remembered_ms: u64,
    /// Whether a rack has reported a running or ended attempt of the job.
    pub is_found: bool,
    /// Whether the work may run twice.
    pub is_idempotent: bool,
    /// Whether the work is journalled before it starts, so that work that is not in the journal has
    /// never started.
    pub is_journalled: bool,
}

/// What to do with a submission of work that the owner does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionStep {
    /// Accept the job together with the attempts that were found.
    Adopt,
    /// Accept it as new work.
    Start,
    /// It may have run, and its result is lost.
    Lost,
}

/// Tells whether work that this owner does not know may have run: a former owner may have received
/// it, or this owner may have deleted it.
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
    let reached_former_owner = input.first_epoch.is_some_and(|epoch| epoch < input.epoch);
    (reached_former_owner && !input.is_journalled) || input.age_ms > input.remembered_ms
}

/// Decides about a submission of work that the owner does not know, after the reconciliation of
/// attempts.
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
