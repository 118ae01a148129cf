//! Figures about the cell as a whole.

use {super::CellCore, crate::JobState, rustc_hash::FxHashMap};

/// Counters since this scheduler began.
#[derive(Debug, Clone, Default)]
pub struct CellTotals {
    /// Attempts that workers confirmed.
    pub started: u64,
    /// Calls to the adviser.
    pub asked: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Jobs failed.
    pub failed: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
}

impl CellTotals {
    pub(super) fn count_end(&mut self, state: JobState) {
        match state {
            JobState::Completed => self.completed += 1,
            JobState::Failed => self.failed += 1,
            JobState::Cancelled => self.cancelled += 1,
            JobState::Queued | JobState::Running => {}
        }
    }
}

/// How much work waits, and how much can be done.
#[derive(Debug, Clone, Default)]
pub struct CellPressure {
    /// Jobs a queue of which nothing has started.
    pub pending: FxHashMap<String, u64>,
    /// Work that waits, by priority class, in milliseconds of a core.
    pub waiting_core_ms: Vec<u64>,
    /// Processor of all workers that take work, in thousandths of a core.
    pub capacity_millis: u64,
}

impl CellCore {
    /// Returns how much work waits.
    ///
    /// ```
    /// let core = damaskrack_cell::CellCore::new(Default::default());
    /// assert!(core.pressure().pending.is_empty());
    /// ```
    #[must_use]
    pub fn pressure(&self) -> CellPressure {
        let mut pressure = CellPressure::default();
        for key in &self.live {
            let job = &self.jobs[*key];
            if !job.has_started() && job.record.occurrences == 0 {
                *pressure.pending.entry(job.record.queue.clone()).or_default() += 1;
            }
            let queue = self.config.queues.get(&job.record.queue);
            let class = queue.map_or(0, |queue| queue.priority) as usize;
            if pressure.waiting_core_ms.len() <= class {
                pressure.waiting_core_ms.resize(class + 1, 0);
            }
            for phase in &job.phases {
                let step = &job.record.steps[phase.step];
                let task = step.cpu_millis * step.estimate_ms / 1_000;
                pressure.waiting_core_ms[class] += task * phase.idle as u64;
            }
        }
        let open = self.workers.values().filter(|worker| self.is_open(worker));
        pressure.capacity_millis = open.map(|worker| worker.report.capacity.cpu_millis).sum();
        pressure
    }

    /// Returns the counters.
    ///
    /// ```
    /// let core = damaskrack_cell::CellCore::new(Default::default());
    /// assert_eq!(core.totals().started, 0);
    /// ```
    #[must_use]
    pub fn totals(&self) -> &CellTotals {
        &self.totals
    }
}
