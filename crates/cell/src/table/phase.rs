//! Phases: one step of one occurrence of a job.

use {
    super::{
        ChosenWait, LogEstimate, PhaseRetry, StartBinding, TaskEntry, TicketTimes,
        task::MAX_PROBATION_MS,
    },
    crate::{AdviceCallKey, AttemptKey, PhaseProgress, TaskProgress, WorkerKey},
    rustc_hash::{FxHashMap, FxHashSet},
};

/// A ticket from the adviser.
#[derive(Debug)]
pub(crate) struct TicketEntry {
    pub(crate) ticket: String,
    pub(crate) times: TicketTimes,
}

/// Ratio of run time to estimate of a step's tasks on an average worker, from those that completed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepRatio {
    /// Logarithm of the ratio.
    pub(crate) log_ratio: LogEstimate,
    /// The worker that ran all of these tasks; `None` if several did.
    pub(crate) sole_worker: Option<WorkerKey>,
}

/// Where an attempt may be running.
#[derive(Debug, Default)]
pub(crate) struct AttemptLocation {
    /// Id of the worker.
    pub(crate) worker: String,
    pub(crate) incarnation: u64,
    /// Address of the worker; empty if it need not be stored.
    pub(crate) address: String,
    /// The incarnation's leases end within the time that its leader asks for.
    pub(crate) has_bounded_leases: bool,
    /// More than one start request may be without a response.
    pub(crate) has_open_start: bool,
    /// No incarnation after this one may have begun the attempt by a request with a ticket.
    pub(crate) is_start_identified: bool,
}

/// One step of one occurrence of a job.
#[derive(Debug, Default)]
pub(crate) struct PhaseEntry {
    pub(crate) occurrence: u32,
    pub(crate) step: usize,
    pub(crate) tasks: Vec<TaskEntry>,
    /// Number of tasks that have not completed.
    pub(crate) unfinished: usize,
    /// Number of tasks that have neither completed nor an attempt that may be running.
    pub(crate) unassigned: usize,
    /// Workers that the adviser allows, with their last tickets.
    pub(crate) allowed: FxHashMap<WorkerKey, TicketEntry>,
    /// Workers that the adviser denies.
    pub(crate) denied: FxHashSet<WorkerKey>,
    pub(crate) advice_call: Option<AdviceCallKey>,
    /// Number of the adviser's responses since a task was last placed.
    pub(crate) fruitless_calls: u32,
    /// Number of calls of all steps before the last one, or before the phase began to wait; `None` if it has not.
    pub(crate) asked_at_call: Option<usize>,
    /// Time at which it was last logged why the phase waits, or at which it began to wait.
    pub(crate) explained_ms: Option<u64>,
    /// Time from which the phase was seen to wait for placement; `None` if it does not, or admission control
    /// does not measure it.
    pub(crate) ready_ms: Option<u64>,
    pub(crate) retry: PhaseRetry,
    /// Logarithm of the ratio of run time to estimate on an average worker, from the tasks that completed.
    pub(crate) run_ratio: Option<StepRatio>,
    /// Time since which the phase waits for places or tickets; `None` if it does not.
    pub(crate) waits_since_ms: Option<u64>,
    /// Time from which room may be made for the phase again.
    pub(crate) room_due_ms: u64,
    /// Number of times that others have been stopped for the phase since a task was last placed.
    pub(crate) room_rounds: u32,
    /// Time from which tasks could have started and waited by choice.
    pub(crate) startable_ms: Option<u64>,
    /// Tasks wait by choice.
    pub(crate) chosen_wait: Option<ChosenWait>,
    /// Workers have been lost with tasks of the phase, so some may be suspected.
    pub(crate) has_losses: bool,
    /// Number of tasks that may run on one worker only.
    bindings: usize,
    /// Attempt number of the last gang run that was counted as failed.
    failed_run: u32,
}

impl PhaseEntry {
    pub(crate) fn new(occurrence: u32, step: usize, tasks: u32) -> Self {
        let count = tasks as usize;
        Self {
            occurrence,
            step,
            tasks: vec![TaskEntry::default(); count],
            unfinished: count,
            unassigned: count,
            ..Self::default()
        }
    }

    /// Counts a failed run of a gang once for all members.
    pub(crate) fn count_gang_failure(&mut self, run: u32) {
        if run > self.failed_run {
            self.failed_run = run;
            let failed = self.tasks.iter_mut();
            failed.for_each(|task| task.failures = task.failures.saturating_add(1));
        }
    }

    /// Binds a task to a worker; returns whether it was not bound before.
    pub(crate) fn bind(&mut self, index: usize, binding: StartBinding) -> bool {
        let task = &mut self.tasks[index];
        let former = task.binding.take();
        let is_new = former.is_none();
        self.bindings += usize::from(is_new);
        task.binding = Some(Box::new(binding.after(former.map(|former| *former))));
        is_new
    }

    /// Lets a task run on any worker again.
    pub(crate) fn unbind(&mut self, index: usize) {
        self.bindings -= usize::from(self.tasks[index].binding.take().is_some());
    }

    /// Returns whether some tasks may run on one worker only.
    pub(crate) fn has_bindings(&self) -> bool {
        self.bindings > 0
    }

    /// Returns the indexes of the tasks that wait and may run on one worker only.
    pub(crate) fn bound_tasks(&self) -> Vec<usize> {
        match self.has_bindings() {
            true => (0..self.tasks.len()).filter(|index| self.tasks[*index].is_bound()).collect(),
            false => Vec::new(),
        }
    }

    /// Returns the indexes of the tasks without an attempt that may run on any worker, of those that are suspected
    /// of having crashed one, or of the others.
    pub(crate) fn waiting_tasks(&self, are_suspected: bool) -> Vec<usize> {
        let is_free = |task: &TaskEntry| task.is_waiting() && task.binding.is_none();
        let tasks = self.tasks.iter().enumerate().filter(|(_, task)| is_free(task));
        tasks
            .filter(|(_, task)| task.is_suspected() == are_suspected)
            .map(|(index, _)| index)
            .collect()
    }

    /// Records that a task was placed.
    pub(crate) fn end_wait(&mut self) {
        self.waits_since_ms = None;
        self.room_rounds = 0;
    }

    pub(crate) fn has_started(&self) -> bool {
        self.tasks.iter().any(|task| task.last_number > 0)
    }

    /// Restores the progress that a former leader stored, except for attempts that may be running.
    pub(crate) fn restore(&mut self, progress: &PhaseProgress) {
        for (index, task) in self.tasks.iter_mut().enumerate() {
            let byte = progress.done.get(index / 8).copied().unwrap_or(0);
            task.is_done = byte & (1 << (index % 8)) != 0;
            if task.is_done {
                task.last_number = task.last_number.max(1);
            }
        }
        for stored in &progress.tasks {
            let Some(task) = self.tasks.get_mut(stored.index as usize) else { continue };
            task.last_number = stored.attempt;
            task.failures = stored.failures;
            task.crashes = stored.crashes;
            task.possible_crashes = stored.possible_crashes;
            task.unresolved_losses = stored.unresolved_losses;
            task.probation_ms = stored.probation_ms.min(MAX_PROBATION_MS);
            task.is_accused_alone = stored.is_accused_alone;
            task.preemptions = stored.preemptions;
            task.lost.clone_from(&stored.lost);
            self.has_losses |= task.has_losses();
            task.checkpoint.clone_from(&stored.checkpoint);
        }
        self.unfinished = self.tasks.iter().filter(|task| !task.is_done).count();
        self.unassigned = self.unfinished;
    }

    /// Builds the stored progress of an ended job's phase: only the attempts that may be running; `locate`
    /// returns where.
    pub(crate) fn remaining_attempts(
        &self,
        locate: impl Fn(AttemptKey) -> Option<AttemptLocation>,
    ) -> PhaseProgress {
        let located = self.tasks.iter().enumerate().filter_map(|(index, task)| {
            let location = locate(task.attempt?)?;
            Some(TaskProgress {
                index: u32::try_from(index).unwrap_or(u32::MAX),
                attempt: task.last_number,
                worker: location.worker,
                incarnation: location.incarnation,
                worker_address: location.address,
                ..TaskProgress::default()
            })
        });
        let step = u32::try_from(self.step).unwrap_or(u32::MAX);
        let (occurrence, tasks) = (self.occurrence, located.collect());
        PhaseProgress { occurrence, step, done: Vec::new(), tasks }
    }

    /// Builds the stored progress; `locate` returns where an attempt may be running.
    pub(crate) fn progress(
        &self,
        locate: impl Fn(AttemptKey) -> Option<AttemptLocation>,
    ) -> PhaseProgress {
        let mut done = vec![0; self.tasks.len().div_ceil(8)];
        let mut tasks = Vec::new();
        for (index, task) in self.tasks.iter().enumerate() {
            if task.is_done {
                done[index / 8] |= 1 << (index % 8);
            } else if task.last_number > 0 {
                let location = task.attempt.and_then(&locate).unwrap_or_default();
                let bound = task.binding.as_ref().map(|binding| binding.worker.clone());
                tasks.push(TaskProgress {
                    index: u32::try_from(index).unwrap_or(u32::MAX),
                    attempt: task.last_number,
                    failures: task.failures,
                    worker: location.worker,
                    incarnation: location.incarnation,
                    worker_address: location.address,
                    has_bounded_leases: location.has_bounded_leases,
                    checkpoint: task.checkpoint.clone(),
                    crashes: task.crashes,
                    possible_crashes: task.possible_crashes,
                    unresolved_losses: task.unresolved_losses,
                    probation_ms: task.probation_ms,
                    is_accused_alone: task.is_accused_alone,
                    lost: task.lost.clone(),
                    preemptions: task.preemptions,
                    bound_worker: bound.unwrap_or_default(),
                    has_open_start: location.has_open_start,
                    is_start_identified: location.is_start_identified,
                });
            }
        }
        let step = u32::try_from(self.step).unwrap_or(u32::MAX);
        PhaseProgress { occurrence: self.occurrence, step, done, tasks }
    }
}
