//! How many workers each reason keeps from running a task of a step.

use {super::worker_exclusion::WorkerExclusion, std::fmt::Write};

/// Numbers of workers by the first reason for which they may not run a task of a step now.
#[derive(Debug, Default)]
pub(super) struct ReasonCounts {
    by_reason: [usize; WorkerExclusion::ALL.len()],
    /// Number of workers that may run one.
    able: usize,
}

impl ReasonCounts {
    /// Records a worker that is excluded for a reason, or for none.
    pub(super) fn record(&mut self, reason: Option<WorkerExclusion>) {
        match reason {
            Some(reason) => self.by_reason[reason as usize] += 1,
            None => self.able += 1,
        }
    }

    /// Returns the reason that is closest to a start: the last one at which a worker is excluded.
    pub(super) fn closest(&self) -> Option<WorkerExclusion> {
        if self.able > 0 {
            return None;
        }
        let mut reasons = WorkerExclusion::ALL.into_iter().rev();
        reasons.find(|reason| self.by_reason[*reason as usize] > 0)
    }

    /// Returns the counts as the detail of a log entry.
    pub(super) fn detail(&self, tasks: usize) -> String {
        let mut detail = format!("tasks={tasks} able={}", self.able);
        let counted = WorkerExclusion::ALL.into_iter().zip(self.by_reason);
        for (reason, count) in counted.filter(|(_, count)| *count > 0) {
            // Writing to a string cannot fail.
            let _ = write!(detail, " {reason:?}={count}");
        }
        detail
    }
}
