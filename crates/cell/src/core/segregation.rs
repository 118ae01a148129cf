//! Queues with tasks that crash workers, kept apart from the work of others.
//!
//! The first crash under a task cannot be prevented, but it can be made to hit little. When workers
//! are lost again and again just after tasks of one queue were started on them, the queue's next tasks
//! go to workers without members of gangs and with few attempts, and the tasks of other queues elsewhere,
//! as long as there is capacity for that. No task waits for it.

use {
    super::CellCore,
    crate::{AttemptKey, WorkerKey, message::PhaseRef},
    rustc_hash::FxHashSet,
};

impl CellCore {
    /// Records the loss of a worker that was just lost, the attempts that had just been started on it,
    /// and their queue if they are of one.
    pub(super) fn record_recent_starts(&mut self, worker: WorkerKey) {
        let Some(lost_ms) = self.workers[worker].lost_ms else { return };
        let attempts: Vec<AttemptKey> = self.workers[worker].attempts.values().copied().collect();
        let recent = self.recent_attempts(&attempts, lost_ms);
        // A worker that a suspect has crashed does not show a common cause.
        if self.workers[worker].probations == 0 {
            self.loss_times.record(lost_ms, !recent.is_empty());
        }
        if self.is_simultaneous(lost_ms) {
            return;
        }
        for key in &recent {
            let task = self.attempts[*key].task();
            if self.has_task(task) {
                self.attempts[*key].is_address_stored = true;
                self.mark_dirty(task.phase.job, None);
            }
        }
        let queue_of = |key: &AttemptKey| &*self.jobs[self.attempts[*key].phase.job].record.queue;
        let queues: FxHashSet<&str> = recent.iter().map(queue_of).collect();
        let mut queues = queues.into_iter();
        if let (Some(queue), None) = (queues.next(), queues.next()) {
            let queue = queue.to_owned();
            if self.suspect_queues.record(&queue, lost_ms) {
                self.log("queue_kept_apart", queue, "workers were lost after starts of its tasks");
            }
        }
    }

    /// Returns whether the tasks of a phase are kept apart from those of others.
    pub(super) fn is_kept_apart(&self, phase: PhaseRef) -> bool {
        let queue = &self.jobs[phase.job].record.queue;
        self.suspect_queues.is_suspected(queue, self.time.now_ms)
    }

    /// Ends the marks of attempts whose queues are no longer suspected, however long they run.
    pub(super) fn end_segregation(&mut self) {
        let queues = self.suspect_queues.review(self.time.now_ms);
        if queues.is_empty() {
            return;
        }
        let CellCore { attempts, jobs, workers, .. } = self;
        for attempt in attempts.values_mut().filter(|attempt| attempt.is_kept_apart) {
            if queues.contains(&jobs[attempt.phase.job].record.queue) {
                attempt.is_kept_apart = false;
                workers[attempt.worker].kept_apart -= 1;
            }
        }
        for queue in queues {
            self.log("queue_no_longer_kept_apart", queue, "");
        }
    }

    /// Returns the order of workers for tasks that may crash them: few attempts are lost on a worker
    /// with few, and idle ones are left to larger tasks.
    pub(super) fn exposure(&self, key: WorkerKey) -> (bool, usize) {
        let attempts = self.workers[key].attempts.len();
        (attempts == 0, attempts)
    }
}
