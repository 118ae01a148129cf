//! Callers who ask for a job by its id.

use crate::JobOwner;

/// Queue and team of a request for the state or the cancellation of a job.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobCaller {
    /// Queue that the request names.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Team of the request's key; empty for a request without a key.
    #[prost(string, tag = "2")]
    pub team: String,
    /// The queue takes requests without a key.
    #[prost(bool, tag = "3")]
    pub is_queue_open: bool,
}

impl JobCaller {
    /// Returns whether the caller may read and cancel the job of an owner. To any other caller there is no
    /// such job. On an open queue the id alone authorizes, as no request there needs a key.
    ///
    /// ```
    /// use damaskrack_cell::{JobCaller, JobOwner};
    ///
    /// let owner = JobOwner { queue: "q".into(), team: "a".into() };
    /// let caller = JobCaller { queue: "q".into(), team: "b".into(), is_queue_open: false };
    /// assert!(!caller.may_access(&owner));
    /// assert!(JobCaller { team: "a".into(), ..caller.clone() }.may_access(&owner));
    /// assert!(JobCaller { is_queue_open: true, ..caller.clone() }.may_access(&owner));
    /// assert!(caller.may_access(&JobOwner::default()));
    /// ```
    #[must_use]
    pub fn may_access(&self, owner: &JobOwner) -> bool {
        let is_team = owner.team.is_empty() || owner.team == self.team;
        !owner.is_known() || (owner.queue == self.queue && (self.is_queue_open || is_team))
    }
}
