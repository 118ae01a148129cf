//! Number of pending jobs of a queue.

use super::CellCore;

impl CellCore {
    /// Returns the number of a queue's jobs of which no worker is known to have begun a task; jobs
    /// with scheduled occurrences do not count. A placed task counts only once its worker has
    /// confirmed it: its request may get no response, or never be sent.
    ///
    /// ```
    /// let core = damaskrack_cell::CellCore::new(Default::default());
    /// assert_eq!(core.pending("queue"), 0);
    /// ```
    #[must_use]
    pub fn pending(&self, queue: &str) -> u64 {
        let jobs = self.live.iter().map(|key| &self.jobs[*key]);
        let own = jobs.filter(|job| job.record.queue == queue && job.record.occurrences == 0);
        own.map(|job| u64::from(!job.has_begun)).sum()
    }
}
