//! Tasks of which a start may still be carried out late.
//!
//! A start request without a ticket names its worker by an id only. While its response is missing, whichever
//! incarnation has the id may carry it out, so the task starts again on that worker only, once the present
//! incarnation refuses the request. It is free again when no incarnation carries the request out any more and either
//! what the worker runs is known, or its longest lease has expired, or the worker is gone: its entry has expired and it
//! does not respond. A service leaves a worker that is gone at once.

use {
    super::{
        CellCore, exclusion_set::ExclusionSet, placement::PlacementOutcome, step_hosts::StepHosts,
    },
    crate::{
        WorkerKey,
        message::{PhaseRef, TaskRef},
        table::{
            AttemptEntry, AttemptState, FormerStarts, MAX_REQUEST_DELAY_MS, StartBinding,
            WorkerEntry, longest_lease_ms,
        },
    },
};

/// Maximum number of attempts whose start requests may be late at a time. A worker that responds to no start holds a
/// task for no longer than the requests of these.
const MAX_LATE_ATTEMPTS: u32 = 3;
/// Time in which an incarnation that reaches the store has an entry there, in milliseconds.
const ENTRY_DELAY_MS: u64 = 2_000;

/// Why a task may run on any worker again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UnbindCause {
    /// The worker has reported what it runs since the request could be carried out last.
    Heard,
    /// The worker's entry names an incarnation that refuses the request, so no later one that reaches the store has
    /// carried it out. Only a service relies on that.
    Listed,
    /// What the request may have started has no lease any more.
    LeaseExpiry,
    /// The worker is gone.
    WorkerGone,
}

/// What becomes of a binding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BindingState {
    /// It holds.
    Held,
    /// The task is done, or its job has ended.
    Unneeded,
    /// The task may run on any worker again.
    Over(UnbindCause),
}

impl CellCore {
    /// Binds the task of an attempt that leaves the tables to its worker, if a start request without a ticket may
    /// still be carried out there.
    pub(super) fn bind_task(&mut self, attempt: &AttemptEntry) {
        let Some(until_ms) = self.open_start_until_ms(attempt) else { return };
        if until_ms <= self.time.now_ms || !self.runs_alone(attempt.task()) {
            return;
        }
        let worker = &mut self.workers[attempt.worker];
        let min_fence = match attempt.state {
            // The present incarnation has barred the attempt.
            AttemptState::StopAcknowledged { .. } => 0,
            _ if attempt.start.tries == 0 => 0,
            _ => worker.fence_above(attempt.start.fence),
        };
        let binding =
            StartBinding { worker: worker.report.id.clone(), until_ms, min_fence, attempts: 1 };
        let left_ms = until_ms - self.time.now_ms;
        let detail =
            format!("attempt={} worker={} for_ms={left_ms}", attempt.number, binding.worker);
        self.add_binding(attempt.task(), binding);
        let name = self.jobs[attempt.phase.job].task_name(attempt.phase.phase, attempt.index);
        self.log("task_bound", name, detail);
    }

    /// Binds a task to the worker that its row names. A former leader may have sent a request until it ended.
    pub(super) fn restore_binding(&mut self, task: TaskRef, worker: &str) {
        if self.has_task(task) && self.runs_alone(task) {
            let until_ms = self.former_starts_until_ms();
            let binding =
                StartBinding { worker: worker.to_owned(), until_ms, min_fence: 0, attempts: 1 };
            self.add_binding(task, binding);
        }
    }

    fn add_binding(&mut self, task: TaskRef, binding: StartBinding) {
        if let Some(key) = self.worker_ids.get(&binding.worker) {
            self.workers[*key].await_bound(binding.min_fence, binding.until_ms);
        }
        if self.jobs[task.phase.job].phases[task.phase.phase].bind(task.index, binding) {
            self.bound_tasks.push(task);
        }
    }

    /// Returns whether a task of a live job is not done and may not run twice at a time.
    fn runs_alone(&self, task: TaskRef) -> bool {
        let job = &self.jobs[task.phase.job];
        let entry = &job.phases[task.phase.phase];
        let is_live = !job.state.is_final() && !entry.tasks[task.index].is_done;
        is_live && !job.record.steps[entry.step].allows_copies
    }

    /// Returns the time until which a start request of an attempt may be carried out late, `None` if none may.
    pub(super) fn open_start_until_ms(&self, attempt: &AttemptEntry) -> Option<u64> {
        let until_ms = attempt.start.open_until_ms(self.former_starts_until_ms())?;
        (!self.counts_as_confirmed(attempt)).then_some(until_ms)
    }

    /// Returns whether the only start request of a former leader is taken for one with a response: the queue needs
    /// tickets, or the worker that got it does not respond and is not known to have restarted, so that its
    /// leases decide.
    fn counts_as_confirmed(&self, attempt: &AttemptEntry) -> bool {
        let worker = &self.workers[attempt.worker];
        let is_same = worker.report.incarnation == attempt.incarnation;
        let is_unheard = attempt.start.former == FormerStarts::One && !worker.has_responded;
        attempt.start.tries == 0
            && ((is_unheard && is_same) || self.advice_timing(attempt.phase).is_some())
    }

    /// Returns the time until which requests of former leaders may be carried out.
    pub(super) fn former_starts_until_ms(&self) -> u64 {
        self.former_end_ms() + MAX_REQUEST_DELAY_MS
    }

    /// Lets the tasks run on any worker again of which no start is carried out late any more.
    pub(super) fn review_bindings(&mut self) {
        for task in std::mem::take(&mut self.bound_tasks) {
            match self.review_binding(task) {
                BindingState::Held => self.bound_tasks.push(task),
                BindingState::Unneeded => {
                    if let Some(phase) = self.phase_mut(task.phase) {
                        phase.unbind(task.index);
                    }
                }
                BindingState::Over(cause) => self.unbind_task(task, cause),
            }
        }
    }

    fn unbind_task(&mut self, task: TaskRef, cause: UnbindCause) {
        let worker = self.binding(task).map(|binding| binding.worker.clone()).unwrap_or_default();
        let job = &mut self.jobs[task.phase.job];
        job.phases[task.phase.phase].unbind(task.index);
        let name = job.task_name(task.phase.phase, task.index);
        self.mark_dirty(task.phase.job, None);
        self.is_placement_due = true;
        self.log("task_unbound", name, format!("worker={worker} cause={cause:?}"));
    }

    fn binding(&self, task: TaskRef) -> Option<&StartBinding> {
        self.phase(task.phase)?.tasks.get(task.index)?.binding.as_deref()
    }

    /// Returns what becomes of the binding of a task, and lets its worker be asked when that has to be known.
    fn review_binding(&mut self, task: TaskRef) -> BindingState {
        if !self.has_task(task) || !self.runs_alone(task) {
            return BindingState::Unneeded;
        }
        let Some(binding) = self.binding(task).cloned() else { return BindingState::Unneeded };
        let key = self.worker_ids.get(&binding.worker).copied();
        let is_gone = key.is_none_or(|key| self.workers[key].is_gone());
        match key {
            _ if is_gone && self.may_leave_gone_worker(task, binding.until_ms) => {
                BindingState::Over(UnbindCause::WorkerGone)
            }
            None => BindingState::Held,
            Some(key) => {
                self.workers[key].await_bound(binding.min_fence, binding.until_ms);
                self.binding_state(task, &binding, &self.workers[key])
            }
        }
    }

    /// Returns whether an entry that is missing has expired for good. Those that expired while the store was down are
    /// back soon after its return, and a new leader does not know of that.
    fn are_missing_entries_gone(&self) -> bool {
        let now_ms = self.time.now_ms;
        self.is_worker_list_current()
            && now_ms >= self.started_ms + ENTRY_DELAY_MS
            && self.worker_list.has_been_current_for(ENTRY_DELAY_MS, now_ms)
    }

    /// Returns whether a task may leave a worker without an entry that does not respond. The worker may come back and
    /// carry the request out, but a service cannot stand still for that long.
    fn may_leave_gone_worker(&self, task: TaskRef, until_ms: u64) -> bool {
        let is_due = self.is_service_step(task.phase) || self.time.now_ms >= until_ms;
        is_due && self.are_missing_entries_gone()
    }

    /// Returns what becomes of the binding of a task to a worker that is not gone.
    fn binding_state(
        &self,
        task: TaskRef,
        binding: &StartBinding,
        worker: &WorkerEntry,
    ) -> BindingState {
        let name = self.jobs[task.phase.job].task_name(task.phase.phase, task.index);
        let listed_ms = self.time.now_ms.saturating_sub(self.worker_list_age_ms());
        let is_service = self.is_service_step(task.phase);
        let is_named =
            is_service && worker.is_listed && !worker.may_carry_out_below(binding.min_fence);
        let expiry_ms = binding.until_ms + longest_lease_ms(self.settings.max_worker_lease_ms);
        if worker.runs_orphan_of(&name) {
            BindingState::Held
        } else if worker.heard_ms > binding.until_ms {
            BindingState::Over(UnbindCause::Heard)
        } else if is_named && listed_ms >= binding.until_ms + ENTRY_DELAY_MS {
            BindingState::Over(UnbindCause::Listed)
        } else if self.time.now_ms >= expiry_ms {
            BindingState::Over(UnbindCause::LeaseExpiry)
        } else {
            BindingState::Held
        }
    }

    /// Returns whether a step has no task that may run on any worker, because all of those that wait are bound, or a
    /// member of the gang is.
    pub(super) fn waits_for_late_starts(&self, phase: PhaseRef) -> bool {
        let entry = &self.jobs[phase.job].phases[phase.phase];
        let bound = entry.bound_tasks().len();
        bound > 0 && (bound == entry.unassigned || self.is_gang(phase))
    }

    /// Places the bound tasks of a step that their workers may run now. The members of a gang wait until none is
    /// bound.
    pub(super) fn place_bound_tasks(
        &mut self,
        phase: PhaseRef,
        budget: &mut usize,
    ) -> PlacementOutcome {
        let bound = self.jobs[phase.job].phases[phase.phase].bound_tasks();
        if !self.is_gang(phase) {
            for index in &bound {
                self.place_bound_task(phase, *index, budget);
            }
        }
        match self.jobs[phase.job].phases[phase.phase].bound_tasks().is_empty() {
            true => PlacementOutcome::Placed,
            false => PlacementOutcome::Blocked,
        }
    }

    fn place_bound_task(&mut self, phase: PhaseRef, index: usize, budget: &mut usize) {
        if *budget == 0 || self.within_limit(phase, 1) == 0 {
            return;
        }
        let Some(worker) = self.bound_host(TaskRef { phase, index }) else { return };
        *budget -= 1;
        // Whichever incarnation carries the start out refuses those of former attempts from then on.
        self.workers[worker].fence.advance();
        self.create_attempts(phase, &[index], &[worker]);
        if self.jobs[phase.job].phases[phase.phase].tasks[index].is_suspected() {
            self.start_probation(phase, &[index]);
        }
    }

    /// Returns the worker that a task is bound to if that may run it now: it refuses the start that may be late, and
    /// runs nothing that such a start has begun.
    fn bound_host(&self, task: TaskRef) -> Option<WorkerKey> {
        let binding = self.binding(task)?;
        let key = *self.worker_ids.get(&binding.worker)?;
        let worker = &self.workers[key];
        let name = self.jobs[task.phase.job].task_name(task.phase.phase, task.index);
        let is_safe = binding.attempts < MAX_LATE_ATTEMPTS
            && !worker.may_carry_out_below(binding.min_fence)
            && !worker.runs_orphan_of(&name);
        let hosts = StepHosts::new(self, task.phase);
        let may_run = hosts.allows(key, ExclusionSet::TO_START) && hosts.places(key) > 0;
        (is_safe && may_run).then_some(key)
    }
}
