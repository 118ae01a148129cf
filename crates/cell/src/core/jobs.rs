//! Submission, restoration and cancellation of jobs.

use {
    super::{
        CellCore,
        admission::{Admission, Refusal},
    },
    crate::{
        CellAction, JobCaller, JobKey, JobOwner, JobRecord, JobState, PhaseProgress,
        ProgressRecord, TaskProgress,
        message::{PhaseRef, TaskRef},
        table::{AfterCommit, AttemptState, JobEntry, JobRow, PhaseEntry, StartRequests},
    },
};

impl CellCore {
    /// Adds a job that is not durable yet, unless admission control refuses it. The job may be
    /// placed at once, because its first attempts are committed together with the job or after it.
    pub(super) fn submit(&mut self, record: JobRecord, reply: u64) {
        if let Some(&key) = self.job_ids.get(&record.id) {
            return self.resubmit(key, &record, reply);
        }
        if !self.are_ended_known {
            // The job may have ended before. The daemon's write fails if it has.
            return self.offer(record, reply);
        }
        match self.admit(&record) {
            Admission::Admit => {
                let key = self.add_job(record);
                self.jobs[key].job_row = JobRow::Missing;
                self.mark_dirty(key, Some(AfterCommit::Reply(reply)));
            }
            Admission::Refuse(refusal) => self.refuse(&record, reply, refusal),
        }
    }

    /// Decides whether a daemon may write a job.
    pub(super) fn offer(&mut self, record: JobRecord, reply: u64) {
        if let Some(&key) = self.job_ids.get(&record.id) {
            return self.resubmit(key, &record, reply);
        }
        match self.admit(&record) {
            Admission::Admit => {
                let (bytes, now_ms) = (record.memory_bytes(), self.time.now_ms);
                self.job_memory.reserve(&record.id, &record.team, bytes, now_ms);
                self.actions.push(CellAction::Admit { reply, record });
            }
            Admission::Refuse(refusal) => self.refuse(&record, reply, refusal),
        }
    }

    /// Replies to the submission of a job whose id is known, which is the same job if its owner is the same.
    fn resubmit(&mut self, key: JobKey, record: &JobRecord, reply: u64) {
        if self.jobs[key].record.owner().resubmits(&record.owner()) {
            return self.mark_dirty(key, Some(AfterCommit::Reply(reply)));
        }
        self.log(
            "job_id_taken",
            &record.id,
            format!("queue={} team={}", record.queue, record.team),
        );
        self.actions.push(CellAction::ReportTaken { reply });
    }

    fn refuse(&mut self, record: &JobRecord, reply: u64, refusal: Refusal) {
        let (retry_ms, cause) = (refusal.retry_ms, refusal.cause);
        let mut detail = format!("queue={} team={} retry_ms={retry_ms}", record.queue, record.team);
        if self.settings.features.admission || cause.is_memory() {
            detail.push_str(&format!(" {cause}"));
        }
        let event = if cause.is_memory() { "job_memory_refused" } else { "job_refused" };
        self.log(event, &record.id, detail);
        self.actions.push(CellAction::Refuse { reply, retry_ms });
    }

    pub(super) fn accept(&mut self, record: JobRecord) {
        if !self.job_ids.contains_key(&record.id) && !self.rejects(&record) {
            self.add_job(record);
        }
    }

    /// Returns whether a job that is in the store cannot be taken.
    fn rejects(&mut self, record: &JobRecord) -> bool {
        let is_rejected = !record.can_be_taken();
        if is_rejected {
            self.log("job_rejected", &record.id, format!("steps={}", record.steps.len()));
        }
        is_rejected
    }

    fn add_job(&mut self, record: JobRecord) -> JobKey {
        let detail =
            format!("queue={} team={} steps={}", record.queue, record.team, record.steps.len());
        self.log("job_taken", &record.id, detail);
        let key = self.insert(record);
        self.live.push(key);
        key
    }

    fn insert(&mut self, record: JobRecord) -> JobKey {
        let id = record.id.clone();
        self.job_memory.end_reservation(&id);
        let key = self.jobs.insert(JobEntry::new(record));
        self.job_ids.insert(id, key);
        if self.jobs[key].record.occurrences == 0 {
            self.jobs[key].create_occurrences(1);
        }
        self.update_charge(key);
        key
    }

    /// Charges what a job occupies now to its team, in place of what it was charged with.
    pub(super) fn update_charge(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let bytes = job.memory_bytes();
        let former = std::mem::replace(&mut job.charged_bytes, bytes);
        let (memory, team) = (&mut self.job_memory, &job.record.team);
        match bytes.checked_sub(former) {
            Some(more) => memory.charge(team, more),
            None => memory.release(team, former - bytes, self.time.now_ms),
        }
    }

    /// Restores a job and its progress from the store. The list of workers must have been applied
    /// before.
    ///
    /// ```
    /// use damaskrack_cell::{CellCore, JobRecord, JobState, ProgressRecord};
    ///
    /// let mut core = CellCore::new(Default::default());
    /// let job = JobRecord { id: "1".into(), ..Default::default() };
    /// let state = JobState::Cancelled as i32;
    /// core.restore(job, Some(&ProgressRecord { state, ..Default::default() }));
    /// assert_eq!(core.state_of("1"), Some(JobState::Cancelled));
    /// ```
    pub fn restore(&mut self, record: JobRecord, progress: Option<&ProgressRecord>) {
        if self.job_ids.contains_key(&record.id) || self.rejects(&record) {
            return;
        }
        let key = self.insert(record);
        self.jobs[key].is_inherited = true;
        let Some(progress) = progress else {
            self.live.push(key);
            return;
        };
        let job = &mut self.jobs[key];
        job.has_progress_row = true;
        job.state = progress.state();
        job.has_begun = progress.shows_begin();
        job.ended_ms = progress.ended_ms;
        match job.state.is_final() {
            true => self.ended.push_back(key),
            false => self.live.push(key),
        }
        for stored in &progress.phases {
            self.restore_phase(key, stored, progress.phases.len());
        }
        let job = &mut self.jobs[key];
        if job.state.is_final() && job.attempt_count() == 0 {
            job.phases = Vec::new();
        }
        self.update_charge(key);
    }

    /// Restores an ended job of which only the progress row is left.
    ///
    /// ```
    /// use damaskrack_cell::{CellCore, JobState, ProgressRecord};
    ///
    /// let mut core = CellCore::new(Default::default());
    /// let state = JobState::Completed as i32;
    /// core.restore_ended("1", &ProgressRecord { state, ..Default::default() });
    /// assert_eq!(core.state_of("1"), Some(JobState::Completed));
    /// ```
    pub fn restore_ended(&mut self, id: &str, progress: &ProgressRecord) {
        if !progress.state().is_final() || self.job_ids.contains_key(id) {
            return;
        }
        let JobOwner { queue, team } = progress.owner_or_unknown();
        let record = JobRecord { id: id.to_owned(), queue, team, ..JobRecord::default() };
        self.restore(record, Some(progress));
        self.jobs[self.job_ids[id]].job_row = JobRow::Removed;
    }

    /// Adds a job that ended under a former leader.
    pub(super) fn learn_ended(&mut self, id: &str, progress: &ProgressRecord) {
        if self.job_ids.contains_key(id) {
            return;
        }
        self.restore_ended(id, progress);
        if let Some(key) = self.job_ids.get(id) {
            self.jobs[*key].has_progress_row = false;
            self.jobs[*key].has_ended_row = true;
        }
    }

    /// Restores one of a job's stored phases, unless the job cannot have such a phase.
    fn restore_phase(&mut self, key: JobKey, stored: &PhaseProgress, stored_phases: usize) {
        let job = &mut self.jobs[key];
        let Some(phase) = job.restore_occurrences(stored, stored_phases) else {
            let (id, detail) = (job.record.id.clone(), format!("occurrence={}", stored.occurrence));
            return self.log("phase_rejected", id, detail);
        };
        job.phases[phase].restore(stored);
        let phase = PhaseRef { job: key, phase };
        for task in stored.tasks.iter().filter(|task| !task.worker.is_empty()) {
            self.restore_attempt(phase, task);
        }
        for task in stored.tasks.iter().filter(|task| !task.bound_worker.is_empty()) {
            self.restore_binding(TaskRef { phase, index: task.index as usize }, &task.bound_worker);
        }
        for task in &stored.tasks {
            self.restore_loss(TaskRef { phase, index: task.index as usize }, task.lost.as_ref());
        }
    }

    fn restore_attempt(&mut self, phase: PhaseRef, stored: &TaskProgress) {
        let index = stored.index as usize;
        let task = self.jobs[phase.job].phases[phase.phase].tasks.get(index);
        // A damaged row may name a task twice.
        if task.is_none_or(|task| task.attempt.is_some()) {
            return;
        }
        let worker = self.find_worker(stored);
        self.inherit_leases(worker, stored);
        let since_ms = self.time.now_ms;
        let state = AttemptState::Inherited { since_ms };
        let key = self.insert_attempt(phase, index, stored.attempt, worker, state);
        self.attempts[key].incarnation = stored.incarnation;
        let unidentified_until_ms = self.unidentified_until_ms(phase, stored);
        self.attempts[key].start =
            StartRequests::inherited(stored.has_open_start, unidentified_until_ms);
        self.attempts[key].is_address_stored = !stored.worker_address.is_empty();
        if self.workers[worker].report.incarnation > stored.incarnation {
            match unidentified_until_ms {
                // Unless the present incarnation lists the attempt.
                Some(_) => self.attempts[key].is_crash_possible = true,
                None => self.count_inherited_crash(key),
            }
        }
        if self.jobs[phase.job].phases[phase.phase].tasks[index].is_suspected() {
            self.start_probation(phase, &[index]);
        }
    }

    /// Returns the time until which a start of a former leader may be carried out by an incarnation that the row does
    /// not name; `None` if none may. A former leader that takes a ticket which arrives after the election of this one is not
    /// allowed for.
    fn unidentified_until_ms(&self, phase: PhaseRef, stored: &TaskProgress) -> Option<u64> {
        let timing = self.advice_timing(phase).filter(|_| !stored.is_start_identified)?;
        Some(self.started_ms.saturating_add(timing.valid_ms))
    }

    /// Creates the phases of occurrences that are due. Beside the first one, for which there is memory since the
    /// job was accepted, an occurrence waits until its team may hold it.
    pub(super) fn start_due_occurrences(&mut self) {
        for index in 0..self.live.len() {
            let key = self.live[index];
            while let Some(bytes) = self.jobs[key].due_occurrence_bytes(self.time.wall_ms) {
                if bytes > 0 && !self.job_memory.has_space(&self.jobs[key].record.team, bytes) {
                    self.log_memory_wait(key, bytes);
                    break;
                }
                let job = &mut self.jobs[key];
                job.create_occurrences(job.occurrences_created + 1);
                self.update_charge(key);
            }
        }
    }

    /// Logs that a job's next occurrence is due and waits for memory, once for each occurrence.
    fn log_memory_wait(&mut self, key: JobKey, bytes: usize) {
        let job = &mut self.jobs[key];
        let occurrence = job.occurrences_created;
        if job.logged_wait.replace(occurrence) == Some(occurrence) {
            return;
        }
        let (queue, team) = (&job.record.queue, &job.record.team);
        let free = self.job_memory.free();
        let detail = format!(
            "queue={queue} team={team} occurrence={occurrence} reason=memory \
             needed_bytes={bytes} free_bytes={free}"
        );
        let id = job.record.id.clone();
        self.log("occurrence_waits", id, detail);
    }

    pub(super) fn cancel(&mut self, id: &str, caller: Option<&JobCaller>, reply: u64) {
        let may_access = |key: &JobKey| {
            caller.is_none_or(|caller| caller.may_access(&self.jobs[*key].record.owner()))
        };
        let Some(key) = self.job_ids.get(id).copied().filter(may_access) else {
            self.actions.push(CellAction::Reply { reply, state: None });
            return;
        };
        if !self.jobs[key].state.is_final() {
            self.end_job(key, JobState::Cancelled, "asked by its caller");
        }
        self.mark_dirty(key, Some(AfterCommit::Reply(reply)));
    }

    pub(super) fn push_reply(&mut self, reply: u64, state: JobState) {
        self.actions.push(CellAction::Reply { reply, state: Some(state) });
    }

    /// Ends a job and stops its attempts, unless it completed.
    pub(super) fn end_job(&mut self, key: JobKey, state: JobState, reason: &str) {
        let job = &mut self.jobs[key];
        job.state = state;
        job.ended_ms = self.time.wall_ms;
        let id = job.record.id.clone();
        self.live.retain(|live| *live != key);
        self.ended.push_back(key);
        self.mark_dirty(key, None);
        self.log("job_ended", id, format!("state={state:?} reason={reason}"));
        if state != JobState::Completed {
            self.stop_job(key);
        }
    }

    /// Returns a phase, unless its job was removed or has ended.
    pub(super) fn phase(&self, phase: PhaseRef) -> Option<&PhaseEntry> {
        self.jobs.get(phase.job)?.phases.get(phase.phase)
    }

    /// Returns a phase, unless its job was removed or has ended.
    pub(super) fn phase_mut(&mut self, phase: PhaseRef) -> Option<&mut PhaseEntry> {
        self.jobs.get_mut(phase.job)?.phases.get_mut(phase.phase)
    }
}
