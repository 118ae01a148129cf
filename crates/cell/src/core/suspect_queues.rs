//! Queues after starts of whose tasks workers were lost.

use {
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
    /// Queues that were suspected at the last review.
    kept_apart: FxHashSet<String>,
}

impl SuspectQueues {
    /// Records a loss; returns whether the queue became suspected by it.
    pub(super) fn record(&mut self, queue: &str, now_ms: u64) -> bool {
        let was_suspected = self.is_suspected(queue, now_ms);
        let losses = self.losses_ms.entry(queue.to_owned()).or_default();
        losses.push_back(now_ms);
        while losses.len() > MIN_LOSSES {
            losses.pop_front();
        }
        !was_suspected && self.is_suspected(queue, now_ms)
    }

    /// Returns whether a queue's tasks are to be kept apart.
    pub(super) fn is_suspected(&self, queue: &str, now_ms: u64) -> bool {
        let losses = self.losses_ms.get(queue).filter(|losses| losses.len() >= MIN_LOSSES);
        losses.and_then(VecDeque::front).is_some_and(|first_ms| now_ms < first_ms + SUSPICION_MS)
    }

    /// Returns the queues whose suspicion has ended since the last review.
    pub(super) fn review(&mut self, now_ms: u64) -> Vec<String> {
        let suspected = self.losses_ms.keys().filter(|queue| self.is_suspected(queue, now_ms));
        let suspected: FxHashSet<String> = suspected.cloned().collect();
        let ended = self.kept_apart.difference(&suspected).cloned().collect();
        self.kept_apart = suspected;
        ended
    }
}
