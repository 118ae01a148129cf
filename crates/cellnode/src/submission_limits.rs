//! Limits of the memory that submissions may take before a leader has decided on them.

use crate::{submission_space::SubmissionSpace, unasked_jobs::UnaskedJobs};

/// The part of the memory for jobs that submissions may take before they are decided on, as a divisor. Each has up
/// to four copies.
const SPACE_DIVISOR: usize = 8;

/// The limits of a daemon.
#[derive(Debug)]
pub(crate) struct SubmissionLimits {
    pub(crate) space: SubmissionSpace,
    pub(crate) unasked: UnaskedJobs,
}

impl SubmissionLimits {
    /// Derives the limits from the memory for jobs on this host, in bytes.
    pub(crate) fn new(job_bytes: usize) -> Self {
        Self {
            space: SubmissionSpace::new(job_bytes / SPACE_DIVISOR),
            unasked: UnaskedJobs::new(job_bytes),
        }
    }
}
