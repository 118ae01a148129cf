//! Jobs.

use {
    super::PhaseEntry,
    crate::{AttemptKey, JobRecord, JobState, WorkerKey},
    std::sync::Arc,
};

/// What waits until a job's row is durable.
#[derive(Debug)]
pub(crate) enum AfterCommit {
    /// An attempt may be sent.
    Send(AttemptKey),
    /// An end may be acknowledged to this incarnation of its worker.
    AcknowledgeEnd(WorkerKey, u64),
    /// A caller may be told that its job is accepted, or cancelled.
    Reply(u64),
}

/// Where a job's row of what was accepted is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobRow {
    /// Not in the store yet.
    Missing,
    /// In the store, or on the way there.
    Stored,
    /// Removed, or about to be: the job has ended and nothing of it can be running. The row of its
    /// progress says how it ended.
    Retired,
}

/// What a commit does about a job's row of what was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobRowChange {
    Write,
    Remove,
    Keep,
}

/// A job.
#[derive(Debug)]
pub(crate) struct JobEntry {
    pub(crate) record: JobRecord,
    pub(crate) payload: Arc<str>,
    pub(crate) state: JobState,
    pub(crate) phases: Vec<PhaseEntry>,
    /// Occurrences whose phases exist.
    pub(crate) occurrences_created: u32,
    /// When it ended, in Unix milliseconds; 0 while it has not.
    pub(crate) ended_ms: u64,
    pub(crate) job_row: JobRow,
    /// The row in the store is older than this entry.
    pub(crate) is_dirty: bool,
    pub(crate) after_commit: Vec<AfterCommit>,
}

impl JobEntry {
    pub(crate) fn new(mut record: JobRecord) -> Self {
        let payload = Arc::from(std::mem::take(&mut record.payload));
        Self {
            record,
            payload,
            state: JobState::Queued,
            phases: Vec::new(),
            occurrences_created: 0,
            ended_ms: 0,
            job_row: JobRow::Stored,
            is_dirty: false,
            after_commit: Vec::new(),
        }
    }

    /// Decides what the next commit does about the row of what was accepted, and notes it. A job
    /// that has ended needs it only while something of it may be running, and then gives its
    /// memory back.
    pub(crate) fn advance_job_row(&mut self) -> JobRowChange {
        let is_over = self.state.is_final() && self.attempts_left() == 0;
        let (row, change) = match (self.job_row, is_over) {
            // Another daemon may have written it too, so it must be known to be there.
            (JobRow::Missing, _) => (JobRow::Stored, JobRowChange::Write),
            (JobRow::Stored, false) => (JobRow::Stored, JobRowChange::Keep),
            (JobRow::Stored, true) => (JobRow::Retired, JobRowChange::Remove),
            (JobRow::Retired, _) => (JobRow::Retired, JobRowChange::Keep),
        };
        self.job_row = row;
        if row == JobRow::Retired {
            self.phases = Vec::new();
            self.payload = Arc::from("");
        }
        change
    }

    /// What was accepted, whole.
    pub(crate) fn accepted(&self) -> JobRecord {
        JobRecord { payload: self.payload.to_string(), ..self.record.clone() }
    }

    /// Number of occurrences, one for a job without times.
    pub(crate) fn occurrences(&self) -> u32 {
        self.record.occurrences.max(1)
    }

    /// When an occurrence is due, in Unix milliseconds.
    pub(crate) fn due_ms(&self, occurrence: u32) -> u64 {
        match self.record.occurrences {
            0 => 0,
            _ => self.record.first_due_ms + self.record.interval_ms * u64::from(occurrence),
        }
    }

    /// Makes the phases of the occurrences up to, not including, `count`.
    pub(crate) fn create_occurrences(&mut self, count: u32) {
        while self.occurrences_created < count {
            for (step, spec) in self.record.steps.iter().enumerate() {
                self.phases.push(PhaseEntry::new(self.occurrences_created, step, spec.tasks));
            }
            self.occurrences_created += 1;
        }
    }

    /// Tells whether the steps that a phase waits for are done.
    pub(crate) fn is_ready(&self, phase: usize) -> bool {
        let entry = &self.phases[phase];
        let first = phase - entry.step;
        let after = &self.record.steps[entry.step].after;
        after
            .iter()
            .all(|step| self.phases.get(first + *step as usize).is_none_or(|p| p.unfinished == 0))
    }

    /// Tells whether every task of every occurrence is done.
    pub(crate) fn is_complete(&self) -> bool {
        self.occurrences_created == self.occurrences()
            && self.phases.iter().all(|phase| phase.unfinished == 0)
    }

    pub(crate) fn has_started(&self) -> bool {
        self.phases.iter().any(PhaseEntry::has_started)
    }

    /// Name of a phase, as advisers know it.
    pub(crate) fn phase_name(&self, phase: usize) -> String {
        let entry = &self.phases[phase];
        format!("{}.{}.{}", self.record.id, entry.occurrence, entry.step)
    }

    /// Name of a task, as workers know it.
    pub(crate) fn task_name(&self, phase: usize, index: usize) -> String {
        format!("{}.{index}", self.phase_name(phase))
    }

    /// Number of attempts that may be running.
    pub(crate) fn attempts_left(&self) -> usize {
        let tasks = self.phases.iter().flat_map(|phase| &phase.tasks);
        tasks.filter(|task| task.attempt.is_some()).count()
    }
}
