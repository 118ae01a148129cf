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
    /// Whether the owner knows the job.
    pub is_known: bool,
    /// Whether an attempt of the job was found running or ended in a rack.
    pub is_found: bool,
    /// Whether the roll call is complete.
    pub is_rolled: bool,
    /// Whether the work may run twice.
    pub is_idempotent: bool,
}

/// What to do with a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionStep {
    /// The job is known: the caller joins it.
    Join,
    /// Take the job together with the attempts that were found.
    Adopt,
    /// Take it as new work.
    Start,
    /// It may have run and is lost.
    Lost,
}

/// Decides about a submission.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_model::Epoch,
///     damaskrack_ownership::{SubmissionInput, SubmissionStep, judge_submission},
/// };
///
/// let input = SubmissionInput {
///     first_epoch: Some(Epoch(1)),
///     epoch: Epoch(2),
///     is_known: false,
///     is_found: false,
///     is_rolled: true,
///     is_idempotent: false,
/// };
/// assert_eq!(judge_submission(input), SubmissionStep::Lost);
/// let found = SubmissionInput { is_found: true, ..input };
/// assert_eq!(judge_submission(found), SubmissionStep::Adopt);
/// ```
#[must_use]
pub fn judge_submission(input: SubmissionInput) -> SubmissionStep {
    if input.is_known {
        return SubmissionStep::Join;
    }
    let reached_former = input.first_epoch.is_some_and(|epoch| epoch < input.epoch);
    if input.is_found || (reached_former && !input.is_rolled) {
        SubmissionStep::Adopt
    } else if reached_former && !input.is_idempotent {
        SubmissionStep::Lost
    } else {
        SubmissionStep::Start
    }
}
