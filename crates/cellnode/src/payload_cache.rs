//! Payloads of jobs that a session has carried, so that each crosses it once.

use {
    rustc_hash::FxHashMap,
    std::{collections::VecDeque, sync::Arc},
};

/// Maximum number of payloads. Both sides of a session insert the same ones in the same order, so
/// they forget the same ones too.
const MAX_PAYLOADS: usize = 1_024;

/// What is known of the payloads that a session has carried last, by job id: the payloads, or `()` where it is
/// enough that they were carried.
#[derive(Debug, Default)]
pub(crate) struct PayloadCache<T = Arc<str>> {
    payloads: FxHashMap<String, T>,
    /// Job ids, oldest first.
    order: VecDeque<String>,
}

impl<T> PayloadCache<T> {
    /// Returns the payload of a job if the session has carried it.
    pub(crate) fn get(&self, job: &str) -> Option<&T> {
        self.payloads.get(job)
    }

    /// Adds the payload of a job, in place of the oldest one if there are too many.
    pub(crate) fn insert(&mut self, job: &str, payload: T) {
        if self.payloads.insert(job.to_owned(), payload).is_some() {
            return;
        }
        self.order.push_back(job.to_owned());
        if self.order.len() > MAX_PAYLOADS
            && let Some(oldest) = self.order.pop_front()
        {
            self.payloads.remove(&oldest);
        }
    }
}

/// Returns the id of the job that a task belongs to.
pub(crate) fn job_of_task(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

#[cfg(test)]
mod tests;
