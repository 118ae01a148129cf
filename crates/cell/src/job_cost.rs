//! Memory that a leader needs for a job.

use {
    crate::{
        JobRecord, StepSpec,
        table::{AttemptEntry, JobEntry, PhaseEntry, TaskEntry},
    },
    std::mem::size_of,
};

/// Memory of a job's entries in the indexes of the tables, in bytes: its id, key and slot.
const INDEX_BYTES: usize = 128;
/// Memory of a task and of its attempt, with the attempt's slot, entry in its worker's list and team, in bytes.
/// Any number of tasks that need few resources may run at once.
const TASK_BYTES: usize = size_of::<TaskEntry>() + size_of::<AttemptEntry>() + 64;
/// Memory that the allocator adds to each block, in bytes.
const BLOCK_BYTES: usize = 16;

impl JobRecord {
    /// Returns the memory that a leader needs for the job from its acceptance to its end, in bytes; for a job
    /// with scheduled occurrences, as long as one of them exists. It follows from the record alone, so each
    /// daemon finds the same.
    ///
    /// ```
    /// use damaskrack_cell::{JobRecord, StepSpec};
    ///
    /// let job = |tasks| {
    ///     let step = StepSpec { tasks, ..StepSpec::default() };
    ///     JobRecord { steps: vec![step], ..JobRecord::default() }
    /// };
    /// assert!(job(10_000).memory_bytes() > 100 * job(1).memory_bytes());
    /// ```
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.record_bytes().saturating_add(self.occurrence_bytes())
    }

    /// Returns the memory of the job's entries, texts and steps, which it takes until it is forgotten, in bytes.
    ///
    /// ```
    /// let job = damaskrack_cell::JobRecord::default();
    /// assert_eq!(job.record_bytes(), job.memory_bytes());
    /// ```
    #[must_use]
    pub fn record_bytes(&self) -> usize {
        let texts = [&self.id, &self.id, &self.queue, &self.team, &self.service, &self.payload];
        let texts: usize = texts.into_iter().map(|text| block_bytes(text.len())).sum();
        let steps: usize = self.steps.iter().map(step_bytes).sum();
        size_of::<JobEntry>() + INDEX_BYTES + texts + BLOCK_BYTES + steps
    }

    /// Returns the memory that one occurrence of the job takes until the job ends, in bytes.
    pub(crate) fn occurrence_bytes(&self) -> usize {
        let tasks = usize::try_from(self.task_count()).unwrap_or(usize::MAX);
        let phases = self.steps.len().saturating_mul(size_of::<PhaseEntry>() + BLOCK_BYTES);
        phases.saturating_add(tasks.saturating_mul(TASK_BYTES))
    }
}

fn step_bytes(step: &StepSpec) -> usize {
    let names = [&step.required_label, &step.data_rack, &step.image];
    let names: usize = names.into_iter().map(|name| block_bytes(name.len())).sum();
    size_of::<StepSpec>() + names + block_bytes(step.after.len() * size_of::<u32>())
}

/// Returns the memory of a block with so many bytes, in bytes.
fn block_bytes(length: usize) -> usize {
    if length == 0 { 0 } else { length + BLOCK_BYTES }
}
