//! Jobs.

use {
    super::PhaseEntry,
    crate::{AttemptKey, JobRecord, JobState, PhaseProgress, WorkerKey},
    std::sync::Arc,
};

/// Number of unfinished tasks of a job from which no further occurrence of it is created.
const MAX_UNFINISHED_TASKS: usize = 2_000;

/// A follow-up that waits until a job's row is durable.
#[derive(Debug)]
pub(crate) enum AfterCommit {
    /// Send the start request of an attempt.
    Send(AttemptKey),
    /// Stop an attempt that is preempted.
    Stop(AttemptKey),
    /// Acknowledge an end to this incarnation of its worker.
    AcknowledgeEnd(WorkerKey, u64),
    /// Tell a caller that its job is accepted or cancelled.
    Reply(u64),
}

/// Whether a job's own row, as opposed to its progress row, is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobRow {
    /// Not in the store yet.
    Missing,
    /// In the store, or in flight to it.
    Stored,
    /// Removed, or in flight to be removed: the job has ended and no attempt can be running. The
    /// row of the ended job keeps its final state.
    Removed,
}

/// What a commit does with a job's own row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobRowChange {
    Write,
    Remove,
    Keep,
}

/// A job and its progress.
#[derive(Debug)]
pub(crate) struct JobEntry {
    pub(crate) record: JobRecord,
    pub(crate) payload: Arc<str>,
    pub(crate) state: JobState,
    /// The job was accepted under a former leader, so its steps may have waited before.
    pub(crate) is_inherited: bool,
    /// A worker has confirmed that it began a task of the job.
    pub(crate) has_begun: bool,
    pub(crate) phases: Vec<PhaseEntry>,
    /// Number of occurrences whose phases exist.
    pub(crate) occurrences_created: u32,
    /// The occurrence of which it was last logged that it waits for memory.
    pub(crate) logged_wait: Option<u32>,
    /// Time at which the job ended, in Unix milliseconds; 0 if it has not.
    pub(crate) ended_ms: u64,
    pub(crate) job_row: JobRow,
    /// The job has a progress row.
    pub(crate) has_progress_row: bool,
    /// The job has the row of an ended job.
    pub(crate) has_ended_row: bool,
    /// The store rejected the job's rows, so they must have no more than its final state.
    pub(crate) is_rejected: bool,
    /// The rows in the store are older than this entry.
    pub(crate) is_dirty: bool,
    pub(crate) after_commit: Vec<AfterCommit>,
    /// Memory that the job's team is charged with for it, in bytes.
    pub(crate) charged_bytes: usize,
}

impl JobEntry {
    pub(crate) fn new(mut record: JobRecord) -> Self {
        let payload = Arc::from(std::mem::take(&mut record.payload));
        record.steps.shrink_to_fit();
        record.steps.iter_mut().for_each(|step| step.after.shrink_to_fit());
        Self {
            record,
            payload,
            state: JobState::Queued,
            is_inherited: false,
            has_begun: false,
            phases: Vec::new(),
            occurrences_created: 0,
            logged_wait: None,
            ended_ms: 0,
            job_row: JobRow::Stored,
            has_progress_row: false,
            has_ended_row: false,
            is_rejected: false,
            is_dirty: false,
            after_commit: Vec::new(),
            charged_bytes: 0,
        }
    }

    /// Decides what the next commit does with the job's own row, and records the resulting state.
    /// An ended job needs the row only while an attempt may be running; after that its phases and
    /// payload are freed.
    pub(crate) fn advance_job_row(&mut self) -> JobRowChange {
        let is_over = self.state.is_final() && self.attempt_count() == 0;
        let (row, change) = match (self.job_row, is_over) {
            // Written even if another daemon may have written it, so that it is known to exist.
            (JobRow::Missing, _) => (JobRow::Stored, JobRowChange::Write),
            (JobRow::Stored, false) => (JobRow::Stored, JobRowChange::Keep),
            (JobRow::Stored, true) => (JobRow::Removed, JobRowChange::Remove),
            (JobRow::Removed, _) => (JobRow::Removed, JobRowChange::Keep),
        };
        self.job_row = row;
        if row == JobRow::Removed {
            self.phases = Vec::new();
            self.payload = Arc::from("");
        }
        change
    }

    /// Returns the memory that the job occupies, in bytes. One occurrence always counts, so that there is memory
    /// for the first one.
    pub(crate) fn memory_bytes(&self) -> usize {
        let occurrences = match self.state.is_final() && self.phases.is_empty() {
            true => 0,
            false => self.occurrences_created.max(1) as usize,
        };
        let phases = self.record.occurrence_bytes().saturating_mul(occurrences);
        (self.record.record_bytes() + self.payload.len()).saturating_add(phases)
    }

    /// Returns the job as submitted, including the payload.
    pub(crate) fn full_record(&self) -> JobRecord {
        JobRecord { payload: self.payload.to_string(), ..self.record.clone() }
    }

    /// Returns the number of occurrences; 1 for a job that runs immediately.
    pub(crate) fn occurrences(&self) -> u32 {
        self.record.occurrences.max(1)
    }

    /// Returns the time at which an occurrence is due, in Unix milliseconds.
    pub(crate) fn due_ms(&self, occurrence: u32) -> u64 {
        match self.record.occurrences {
            0 => 0,
            _ => {
                let offset_ms = self.record.interval_ms.saturating_mul(u64::from(occurrence));
                self.record.first_due_ms.saturating_add(offset_ms)
            }
        }
    }

    /// Creates the phases of the first `count` occurrences.
    pub(crate) fn create_occurrences(&mut self, count: u32) {
        if self.occurrences_created == 0 {
            self.phases.reserve_exact(self.record.steps.len());
        }
        while self.occurrences_created < count {
            for (step, spec) in self.record.steps.iter().enumerate() {
                self.phases.push(PhaseEntry::new(self.occurrences_created, step, spec.tasks));
            }
            self.occurrences_created += 1;
        }
    }

    /// Returns the memory that the next occurrence takes beyond what the job is charged with, in bytes; `None` if
    /// it is not due, or earlier ones have [`MAX_UNFINISHED_TASKS`] unfinished tasks.
    pub(crate) fn due_occurrence_bytes(&self, wall_ms: u64) -> Option<usize> {
        let created = self.occurrences_created;
        if created >= self.occurrences() || self.due_ms(created) > wall_ms {
            return None;
        }
        let unfinished: usize = self.phases.iter().map(|phase| phase.unfinished).sum();
        if unfinished >= MAX_UNFINISHED_TASKS {
            return None;
        }
        Some(if created == 0 { 0 } else { self.record.occurrence_bytes() })
    }

    /// Creates the occurrences up to that of a stored phase and returns the phase's index; `None` if the
    /// job has no such phase, or it is restored already.
    pub(crate) fn restore_occurrences(
        &mut self,
        stored: &PhaseProgress,
        stored_phases: usize,
    ) -> Option<usize> {
        let (occurrence, step) = (stored.occurrence as usize, stored.step as usize);
        let steps = self.record.steps.len();
        let tasks = self.record.task_count() as usize;
        // Each earlier occurrence has a stored phase or is one of those with unfinished tasks only.
        let max_occurrence = stored_phases + MAX_UNFINISHED_TASKS / tasks.max(1) + 1;
        if stored.occurrence >= self.occurrences() || step >= steps || occurrence > max_occurrence {
            return None;
        }
        self.create_occurrences(stored.occurrence + 1);
        let phase = occurrence * steps + step;
        (!self.phases[phase].has_started()).then_some(phase)
    }

    /// Returns whether the steps that a phase depends on have completed.
    pub(crate) fn is_ready(&self, phase: usize) -> bool {
        let entry = &self.phases[phase];
        let first = phase - entry.step;
        let after = &self.record.steps[entry.step].after;
        after
            .iter()
            .all(|step| self.phases.get(first + *step as usize).is_none_or(|p| p.unfinished == 0))
    }

    /// Returns whether every task of every occurrence has completed.
    pub(crate) fn is_complete(&self) -> bool {
        self.occurrences_created == self.occurrences()
            && self.phases.iter().all(|phase| phase.unfinished == 0)
    }

    pub(crate) fn has_started(&self) -> bool {
        self.phases.iter().any(PhaseEntry::has_started)
    }

    /// Returns the name of a phase in requests to the adviser.
    pub(crate) fn phase_name(&self, phase: usize) -> String {
        let entry = &self.phases[phase];
        format!("{}.{}.{}", self.record.id, entry.occurrence, entry.step)
    }

    /// Returns the name of a task in requests to workers.
    pub(crate) fn task_name(&self, phase: usize, index: usize) -> String {
        format!("{}.{index}", self.phase_name(phase))
    }

    /// Returns the number of attempts that may be running.
    pub(crate) fn attempt_count(&self) -> usize {
        let tasks = self.phases.iter().flat_map(|phase| &phase.tasks);
        tasks.filter(|task| task.attempt.is_some()).count()
    }
}
