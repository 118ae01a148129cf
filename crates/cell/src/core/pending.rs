//! Number of pending jobs of a queue.

use super::CellCore;

impl CellCore {
    /// Returns the number of a queue's jobs that have not started; jobs with scheduled occurrences
    /// do not count.
    ///
    /// ```
    /// let core = damaskrack_cell::CellCore::new(Default::default());
    /// assert_eq!(core.pending("queue"), 0);
    /// ```
    #[must_use]
    pub fn pending(&self, queue: &str) -> u64 {
        let jobs = self.live.iter().map(|key| &self.jobs[*key]);
        let own = jobs.filter(|job| job.record.queue == queue && job.record.occurrences == 0);
        own.map(|job| u64::from(!job.has_started())).sum()
    }
}
