//! Times at which workers were lost.

use std::collections::VecDeque;

/// Workers that are lost within this time of each other, in milliseconds, are lost together.
const SIMULTANEOUS_MS: u64 = 30;
/// Minimum number of workers that are lost together for a common cause.
const MIN_SIMULTANEOUS: usize = 4;
/// One in this many workers has to be lost together for a common cause.
const SIMULTANEOUS_SHARE: usize = 32;
/// One in this many workers has to be lost together for a common cause if a task had just been started
/// on each of them.
const JUST_STARTED_SHARE: usize = 2;
/// Time for which the loss of a worker is remembered, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// The loss of a worker.
#[derive(Debug)]
struct WorkerLoss {
    lost_ms: u64,
    /// A task had just been started on the worker, so it may have been the cause.
    had_recent_start: bool,
}

/// Recent losses of workers, oldest first.
#[derive(Debug, Default)]
pub(super) struct LossTimes {
    losses: VecDeque<WorkerLoss>,
}

impl LossTimes {
    /// Records the loss of a worker, and whether a task had just been started there.
    pub(super) fn record(&mut self, lost_ms: u64, had_recent_start: bool) {
        while self.losses.front().is_some_and(|loss| loss.lost_ms + RETENTION_MS < lost_ms) {
            self.losses.pop_front();
        }
        self.losses.push_back(WorkerLoss { lost_ms, had_recent_start });
    }

    /// Returns whether so many of a number of workers were lost at about this time that they have a
    /// cause in common. While many tasks crash their workers, some do so at the same time by chance:
    /// then each of these workers had just been given a task.
    pub(super) fn have_common_cause(&self, lost_ms: u64, workers: usize) -> bool {
        let is_near = |loss: &&WorkerLoss| loss.lost_ms.abs_diff(lost_ms) <= SIMULTANEOUS_MS;
        let near = || self.losses.iter().filter(is_near);
        let share = match near().all(|loss| loss.had_recent_start) {
            true => JUST_STARTED_SHARE,
            false => SIMULTANEOUS_SHARE,
        };
        near().count() >= (workers / share).max(MIN_SIMULTANEOUS)
    }
}
