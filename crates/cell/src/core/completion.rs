//! Ends of attempts, and their effects on tasks and jobs.

use {
    super::{CellCore, release_cause::ReleaseCause},
    crate::{
        AttemptKey, EndKind, JobState,
        message::{PhaseRef, TaskRef},
        table::{AttemptEntry, AttemptState},
    },
};

impl CellCore {
    /// Removes an attempt from all tables. Unless its task is done, that may start again where the attempt may
    /// still start.
    fn remove_attempt(&mut self, key: AttemptKey, is_task_done: bool) -> Option<AttemptEntry> {
        let attempt = self.attempts.remove(key)?;
        let open_until_ms = self.open_start_until_ms(&attempt).unwrap_or(0);
        if !is_task_done {
            self.bind_task(&attempt);
        }
        let job = &mut self.jobs[attempt.phase.job];
        let name = job.task_name(attempt.phase.phase, attempt.index);
        let phase = &mut job.phases[attempt.phase.phase];
        let task = &mut phase.tasks[attempt.index];
        if task.attempt == Some(key) {
            task.attempt = None;
            phase.unassigned += usize::from(!task.is_done);
        }
        let worker = &mut self.workers[attempt.worker];
        let unsettled_until_ms = attempt.start.unsettled_until_ms(worker.identified_ms);
        worker.unsettled_until_ms =
            worker.unsettled_until_ms.max(unsettled_until_ms).max(open_until_ms);
        worker.kept_apart -= usize::from(attempt.is_kept_apart);
        worker.gang_members -= usize::from(attempt.is_gang_member);
        worker.probations -= usize::from(attempt.is_on_probation);
        worker.used = worker.used.minus(&attempt.resources);
        worker.attempts.remove(&(name, attempt.number));
        if let Some(used) = self.team_used.get_mut(&attempt.team) {
            *used = used.minus(&attempt.resources);
        }
        self.is_placement_due = true;
        Some(attempt)
    }

    /// Removes an attempt that never ran or whose end was not reported, so that its task can be
    /// placed again.
    pub(super) fn drop_attempt(&mut self, key: AttemptKey, cause: ReleaseCause) {
        self.log_release(key, cause);
        let Some(attempt) = self.remove_attempt(key, false) else { return };
        if self.settings.features.admission && !attempt.has_begun {
            self.undo_class_start(attempt.phase);
        }
        self.mark_dirty(attempt.phase.job, None);
        self.abort_gang(attempt.phase, attempt.number);
    }

    /// Applies an end that the worker reported.
    pub(super) fn end_attempt(&mut self, key: AttemptKey, kind: EndKind, checkpoint: &str) {
        let Some(phase) = self.attempts.get(key).map(|attempt| attempt.phase) else { return };
        let is_task_done = kind == EndKind::Done && !self.is_service_step(phase);
        let Some(attempt) = self.remove_attempt(key, is_task_done) else { return };
        if !checkpoint.is_empty() {
            self.keep_checkpoint(phase, attempt.index, checkpoint);
        }
        if self.jobs[phase.job].state.is_final() {
            return;
        }
        if attempt.is_on_probation {
            self.record_survival(attempt.task());
        }
        match kind {
            EndKind::Done => self.finish_task(phase, attempt.index),
            EndKind::Failed => self.fail_task(&attempt),
            EndKind::Interrupted => self.abort_gang(phase, attempt.number),
        }
    }

    pub(super) fn is_gang(&self, phase: PhaseRef) -> bool {
        let job = &self.jobs[phase.job];
        job.record.steps[job.phases[phase.phase].step].is_gang
    }

    fn keep_checkpoint(&mut self, phase: PhaseRef, index: usize, checkpoint: &str) {
        let is_gang = self.is_gang(phase);
        let tasks = &mut self.jobs[phase.job].phases[phase.phase].tasks;
        match is_gang {
            true => tasks.iter_mut().for_each(|task| checkpoint.clone_into(&mut task.checkpoint)),
            false => checkpoint.clone_into(&mut tasks[index].checkpoint),
        }
    }

    pub(super) fn finish_task(&mut self, phase: PhaseRef, index: usize) {
        let is_gang = self.is_gang(phase);
        let job = &mut self.jobs[phase.job];
        let entry = &mut job.phases[phase.phase];
        if job.record.steps[entry.step].is_service {
            return;
        }
        // The members of a gang end together, so one completed member completes all.
        let range = if is_gang { 0..entry.tasks.len() } else { index..index + 1 };
        for task in &mut entry.tasks[range] {
            if !task.is_done {
                task.is_done = true;
                entry.unfinished -= 1;
                entry.unassigned -= usize::from(task.attempt.is_none());
            }
        }
        if job.is_complete() {
            self.end_job(phase.job, JobState::Completed, "every task is done");
        }
    }

    fn fail_task(&mut self, attempt: &AttemptEntry) {
        let worker = self.workers[attempt.worker].report.id.clone();
        self.count_failure(attempt.task(), attempt.number, &worker);
    }

    /// Counts a failed attempt of a task, ends the job if it was the last one that is allowed, and stops the other
    /// members of a gang's run.
    pub(super) fn count_failure(&mut self, task: TaskRef, number: u32, worker: &str) {
        let TaskRef { phase, index } = task;
        let is_gang = self.is_gang(phase);
        let limit = self.max_attempts(phase);
        let job = &mut self.jobs[phase.job];
        let entry = &mut job.phases[phase.phase];
        if entry.tasks[index].is_done {
            return;
        }
        let is_service = job.record.steps[entry.step].is_service;
        if is_gang {
            entry.count_gang_failure(number);
        } else {
            let task = &mut entry.tasks[index];
            task.failures = task.failures.saturating_add(1);
        }
        let failures = entry.tasks[index].failures;
        let name = job.task_name(phase.phase, index);
        let detail = format!("attempt={number} worker={worker} failures={failures} limit={limit}");
        self.log("attempt_failed", name, detail);
        if !is_service && failures >= limit {
            self.end_job(phase.job, JobState::Failed, "a task failed too often");
        } else {
            self.abort_gang(phase, number);
        }
    }

    fn max_attempts(&self, phase: PhaseRef) -> u32 {
        let record = &self.jobs[phase.job].record;
        let current = self.config.queues.get(&record.queue).map(|queue| queue.max_attempts);
        current.unwrap_or(record.max_attempts).max(1)
    }

    /// Stops the other members of a gang run that can no longer complete.
    fn abort_gang(&mut self, phase: PhaseRef, number: u32) {
        if !self.is_gang(phase) || self.jobs[phase.job].state.is_final() {
            return;
        }
        let tasks = &self.jobs[phase.job].phases[phase.phase].tasks;
        let members: Vec<AttemptKey> =
            tasks.iter().filter(|task| !task.is_done).filter_map(|task| task.attempt).collect();
        for key in members {
            let member = &mut self.attempts[key];
            if member.number != number || member.is_gang_aborted {
                continue;
            }
            member.is_gang_aborted = true;
            match member.state {
                AttemptState::Persisting | AttemptState::Sent => {}
                AttemptState::Stopping | AttemptState::StopAcknowledged { .. } => {}
                _ => self.stop_attempt(key),
            }
        }
    }
}
