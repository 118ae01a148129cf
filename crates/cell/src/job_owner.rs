//! The owner of a job.

/// Queue and team that a job was submitted with. A row of a former version may have none.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JobOwner {
    /// Queue that the job was submitted to; empty if the owner is not known.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Team whose key the submission had; empty for a submission without a key.
    #[prost(string, tag = "2")]
    pub team: String,
}

impl JobOwner {
    /// Returns whether the owner is known.
    ///
    /// ```
    /// assert!(!damaskrack_cell::JobOwner::default().is_known());
    /// ```
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns whether a submission by `other` with the id of this owner's job is the same job again.
    ///
    /// ```
    /// use damaskrack_cell::JobOwner;
    ///
    /// let owner = JobOwner { queue: "q".into(), team: "a".into() };
    /// let other = JobOwner { team: "b".into(), ..owner.clone() };
    /// assert!(owner.resubmits(&owner.clone()) && !owner.resubmits(&other));
    /// assert!(JobOwner::default().resubmits(&other));
    /// ```
    #[must_use]
    pub fn resubmits(&self, other: &Self) -> bool {
        !self.is_known() || self == other
    }
}
