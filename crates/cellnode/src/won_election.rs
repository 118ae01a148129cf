//! What a daemon has when it has been elected.

use crate::{guard::GuardWriter, open_terms::OpenTermsRow};

/// The writers of a new leader, and the leaders that may still act.
pub(crate) struct WonElection {
    /// A writer for each lane.
    pub(crate) writers: Vec<GuardWriter>,
    pub(crate) open_terms: OpenTermsRow,
}
