//! Orphans: runs that a worker reports but that belong to no attempt in the tables.

use {
    super::CellCore,
    crate::{
        AttemptKey, CellAction, RunningAttempt, StopRequest, WorkerKey,
        message::PhaseRef,
        table::{AttemptState, OrphanRun},
    },
};

impl CellCore {
    /// Handles a run that is not in the tables: adopts it as an attempt if its task is unfinished
    /// and has no other attempt, or else stops it.
    pub(super) fn adopt_or_stop(
        &mut self,
        key: WorkerKey,
        running: &RunningAttempt,
    ) -> Option<AttemptKey> {
        self.check_expiry(key, running);
        let unfinished = self.find_task(&running.task).filter(|(phase, index)| {
            let task = &self.jobs[phase.job].phases[phase.phase].tasks[*index];
            task.attempt.is_none() && task.last_number <= running.attempt && !self.is_gang(*phase)
        });
        let Some((phase, index)) = unfinished else {
            self.account_orphan(key, running);
            self.stop_orphan(key, running);
            return None;
        };
        let state = AttemptState::Running { since_ms: self.time.now_ms };
        let attempt = self.insert_attempt(phase, index, running.attempt, key, state);
        self.jobs[phase.job].has_begun = true;
        self.mark_dirty(phase.job, None);
        self.log_attempt("attempt_adopted", attempt, "");
        Some(attempt)
    }

    /// Logs a run that has outlasted the end of its lease.
    fn check_expiry(&mut self, key: WorkerKey, running: &RunningAttempt) {
        let report = &self.workers[key].report;
        let incarnation = (report.id.as_str(), report.incarnation);
        let (task, number) = (running.task.as_str(), running.attempt);
        if let Some(released_ms) = self.expired_attempts.released_ms(incarnation, task, number) {
            let ago_ms = self.time.now_ms - released_ms;
            let detail = format!("attempt={number} worker={} released_ms_ago={ago_ms}", report.id);
            self.log("lease_outlasted", task, detail);
        }
    }

    /// Finds an unfinished task of a live job by its name.
    pub(super) fn find_task(&self, name: &str) -> Option<(PhaseRef, usize)> {
        let mut parts = name.split('.');
        let key = *self.job_ids.get(parts.next()?)?;
        let mut number = || parts.next()?.parse::<usize>().ok();
        let (occurrence, step, index) = (number()?, number()?, number()?);
        let job = &self.jobs[key];
        let steps = job.record.steps.len();
        if step >= steps {
            return None;
        }
        let phase = occurrence.checked_mul(steps)?.checked_add(step)?;
        let task = job.phases.get(phase)?.tasks.get(index)?;
        let is_unfinished = !job.state.is_final() && !task.is_done;
        is_unfinished.then_some((PhaseRef { job: key, phase }, index))
    }

    pub(super) fn release_orphans(&mut self, key: WorkerKey) {
        for OrphanRun { team, resources, .. } in std::mem::take(&mut self.workers[key].orphans) {
            let worker = &mut self.workers[key];
            worker.used = worker.used.minus(&resources);
            if let Some(used) = self.team_used.get_mut(&team) {
                *used = used.minus(&resources);
            }
        }
    }

    /// Reserves the resources of an orphan, which typically belongs to a job that had ended when
    /// this leader took over. If the job is unknown, the whole worker counts as used.
    fn account_orphan(&mut self, key: WorkerKey, running: &RunningAttempt) {
        let mut parts = running.task.split('.');
        let job = parts.next().and_then(|id| self.job_ids.get(id).copied());
        if let Some(job) = job {
            self.jobs[job].has_begun = true;
        }
        let record = job.map(|job| &self.jobs[job].record);
        let step = parts.nth(1).and_then(|step| step.parse::<usize>().ok());
        let found = record.and_then(|record| Some((record, record.steps.get(step?)?)));
        let worker = &mut self.workers[key];
        let (team, resources) = match found {
            Some((record, step)) => (record.team.clone(), step.resources()),
            None => (String::new(), worker.report.capacity),
        };
        worker.used = worker.used.plus(&resources);
        let used = self.team_used.entry(team.clone()).or_default();
        *used = used.plus(&resources);
        worker.orphans.push(OrphanRun { task: running.task.clone(), team, resources });
    }

    /// Stops a run that belongs to no attempt in the tables.
    fn stop_orphan(&mut self, worker: WorkerKey, running: &RunningAttempt) {
        self.request_window.send();
        let worker = &self.workers[worker];
        self.actions.push(CellAction::Stop(StopRequest {
            attempt: AttemptKey::default(),
            address: worker.report.address.clone(),
            worker_id: worker.report.id.clone(),
            incarnation: worker.report.incarnation,
            fence: worker.fence.number(),
            task: running.task.clone(),
            number: running.attempt,
        }));
        self.log("stray_stopped", &running.task, format!("attempt={}", running.attempt));
    }
}
