//! Queues with tasks that crash workers, kept apart from the work of others.
//!
//! The first crash under a task cannot be prevented, but it can be made to hit little. When workers
//! are lost again and again just after tasks of one queue were started on them, the queue's next tasks
//! are placed together on few workers, not many on each, and the tasks of other queues elsewhere, as
//! long as there is capacity for that. No task waits for it.

use {
    super::CellCore,
    crate::{AttemptKey, WorkerKey, message::PhaseRef},
    rustc_hash::{FxHashMap, FxHashSet},
    std::collections::VecDeque,
};

/// Time for which the loss of a worker counts against a queue, in milliseconds.
const SUSPICION_MS: u64 = 5_000;
/// Number of such losses from which a queue is kept apart.
const MIN_LOSSES: usize = 2;

/// Recent losses of workers just after a task of one queue was started, by queue.
#[derive(Debug, Default)]
pub(super) struct SuspectQueues {
    losses_ms: FxHashMap<String, VecDeque<u64>>,
}

impl SuspectQueues {
    fn record(&mut self, queue: &str, now_ms: u64) {
        let losses = self.losses_ms.entry(queue.to_owned()).or_default();
        losses.push_back(now_ms);
        while losses.len() > MIN_LOSSES {
            losses.pop_front();
        }
    }

    fn is_suspected(&self, queue: &str, now_ms: u64) -> bool {
        let losses = self.losses_ms.get(queue).filter(|losses| losses.len() >= MIN_LOSSES);
        losses.and_then(VecDeque::front).is_some_and(|first_ms| now_ms < first_ms + SUSPICION_MS)
    }
}

impl CellCore {
    /// Records a queue whose task was the last to be started on a worker that was just lost.
    pub(super) fn suspect_queue(&mut self, worker: WorkerKey) {
        let Some(lost_ms) = self.workers[worker].lost_ms else { return };
        if self.is_simultaneous(lost_ms) {
            return;
        }
        let attempts: Vec<AttemptKey> = self.workers[worker].attempts.values().copied().collect();
        let recent = self.recent_attempts(&attempts, lost_ms);
        let queue_of = |key: &AttemptKey| &*self.jobs[self.attempts[*key].phase.job].record.queue;
        let queues: FxHashSet<&str> = recent.iter().map(queue_of).collect();
        let mut queues = queues.into_iter();
        if let (Some(queue), None) = (queues.next(), queues.next()) {
            let queue = queue.to_owned();
            let was_suspected = self.suspect_queues.is_suspected(&queue, lost_ms);
            self.suspect_queues.record(&queue, lost_ms);
            if !was_suspected && self.suspect_queues.is_suspected(&queue, lost_ms) {
                self.log("queue_kept_apart", queue, "workers were lost after starts of its tasks");
            }
        }
    }

    /// Returns whether the tasks of a phase are kept apart from those of others.
    pub(super) fn is_kept_apart(&self, phase: PhaseRef) -> bool {
        let queue = &self.jobs[phase.job].record.queue;
        self.suspect_queues.is_suspected(queue, self.time.now_ms)
    }

    /// Returns the order of workers for tasks that may crash them: few attempts are lost on a worker
    /// with few, and idle ones are left to larger tasks.
    pub(super) fn exposure(&self, key: WorkerKey) -> (bool, usize) {
        let attempts = self.workers[key].attempts.len();
        (attempts == 0, attempts)
    }

    /// Returns how much would be lost if a task of a phase crashed a worker or was crashed there.
    pub(super) fn risk(&self, phase: PhaseRef, key: WorkerKey) -> usize {
        let worker = &self.workers[key];
        match (self.is_kept_apart(phase), self.is_gang(phase)) {
            (true, _) => worker.gang_members,
            (false, _) => worker.kept_apart,
        }
    }
}
