//! A worker's running attempts, exchanged as changes of a list that both sides keep.
//!
//! Most responses of a worker repeat the attempts of the one before. The daemon that received them
//! sends the leader the difference only, with the progress of an attempt now and then.

use {
    crate::forward_frame::{AddedAttempt, RunningChange},
    damaskrack_cell::RunningAttempt,
};

/// Change of an attempt's progress from which it is sent again, in percent.
const PROGRESS_STEP: u32 = 20;

/// The list as of the last change.
#[derive(Debug, Default)]
pub(crate) struct RunningList {
    attempts: Vec<RunningAttempt>,
}

impl RunningList {
    /// Updates the list to `current` and returns the change.
    pub(crate) fn diff(&mut self, current: &[RunningAttempt]) -> RunningChange {
        let mut change = RunningChange::default();
        let is_same =
            |a: &RunningAttempt, b: &RunningAttempt| a.task == b.task && a.attempt == b.attempt;
        let mut position = 0;
        self.attempts.retain(|known| {
            let is_running = current.iter().any(|running| is_same(running, known));
            if !is_running {
                change.removed.push(position);
            }
            position += 1;
            is_running
        });
        for running in current {
            if !self.attempts.iter().any(|known| is_same(known, running)) {
                let (task, attempt) = (running.task.clone(), running.attempt);
                self.attempts.push(RunningAttempt {
                    task: task.clone(),
                    attempt,
                    checkpoint: String::new(),
                    percent: 0,
                });
                change.added.push(AddedAttempt { task, attempt });
            }
        }
        for (position, known) in (0..).zip(&mut self.attempts) {
            let Some(running) = current.iter().find(|running| is_same(running, known)) else {
                continue;
            };
            if running.percent >= known.percent + PROGRESS_STEP {
                known.percent = running.percent;
                change.progressed.push(position);
                change.percents.push(running.percent);
            }
        }
        change
    }

    /// Applies a change and returns the list. Attempts whose progress was not sent have a progress of
    /// 0.
    pub(crate) fn apply(&mut self, change: RunningChange) -> Vec<RunningAttempt> {
        let mut position = 0;
        self.attempts.retain(|_| {
            position += 1;
            !change.removed.contains(&(position - 1))
        });
        let added = change.added.into_iter().map(|added| RunningAttempt {
            task: added.task,
            attempt: added.attempt,
            checkpoint: String::new(),
            percent: 0,
        });
        self.attempts.extend(added);
        let mut list = self.attempts.clone();
        for (position, percent) in change.progressed.iter().zip(change.percents) {
            if let Some(running) = list.get_mut(*position as usize) {
                running.percent = percent;
            }
        }
        list
    }
}

#[cfg(test)]
mod tests;
