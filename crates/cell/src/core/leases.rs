//! Lease renewals, whose responses also report running and ended attempts.

use {
    super::{CellCore, losses::LossCause},
    crate::{
        AttemptKey, CellAction, EndKind, EndedAttempt, RenewOutcome, RenewRequest, RenewResponse,
        RunningAttempt, WorkerKey,
        message::PhaseRef,
        table::{AfterCommit, AttemptState, WorkerEntry},
    },
};

/// Maximum time for which a worker delays its response until an attempt ends, in milliseconds.
const RENEW_WAIT_MS: u64 = 1_200;
/// Maximum of this time while an attempt is on probation, in milliseconds.
const PROBATION_WAIT_MS: u64 = 150;
/// Time between a response and the next renewal, in milliseconds, so that one response reports
/// several ends.
const RENEW_PAUSE_MS: u64 = 30;
/// Factor by which this pause grows with the delay of responses on a slow network link.
const RENEW_PAUSE_DELAYS: f64 = 4.0;
/// Maximum of this pause, in milliseconds.
const MAX_RENEW_PAUSE_MS: u64 = 1_000;
/// Additional time before the next renewal while ends are not durable yet, in milliseconds.
const PENDING_ENDS_RENEW_MS: u64 = 1_000;
/// Maximum number of first renewals in flight. Each needs a new connection, and a new leader
/// contacts all workers.
const MAX_FIRST_RENEWALS: usize = 128;
/// Retry interval after a failed renewal, in milliseconds.
const RENEW_RETRY_MS: u64 = 250;
/// Retry interval for a worker whose address another worker has taken over, in milliseconds. The
/// lost worker remains registered for some time.
const REPLACED_RETRY_MS: u64 = 1_000;
/// Time for which a worker gets no new work after a renewal without a response, in milliseconds.
const SILENCE_BACKOFF_MS: u64 = 1_000;

impl WorkerEntry {
    fn needs_renewal(&self) -> bool {
        let has_work = self.is_busy() || self.pending_ends > 0 || self.has_ends_to_acknowledge();
        self.renew_sent_ms.is_none() && (has_work || (self.is_listed && !self.has_accepted_token))
    }

    /// Returns whether there are durable ends that have not been acknowledged to the worker.
    fn has_ends_to_acknowledge(&self) -> bool {
        self.last_durable_end > self.last_acknowledged_end
    }

    fn renew_due_ms(&self) -> u64 {
        match (self.needs_renewal(), self.pending_ends) {
            (false, _) => u64::MAX,
            (true, 0) => self.next_renew_ms,
            (true, _) => self.next_renew_ms + PENDING_ENDS_RENEW_MS,
        }
    }
}

impl CellCore {
    pub(super) fn next_renew_ms(&self) -> u64 {
        self.workers.values().map(WorkerEntry::renew_due_ms).min().unwrap_or(u64::MAX)
    }

    pub(super) fn renew_leases(&mut self) {
        let CellCore { time, settings, workers, actions, .. } = self;
        let is_first = |w: &WorkerEntry| !w.has_accepted_token && w.renew_sent_ms.is_some();
        let mut first_renewals = workers.values().filter(|worker| is_first(worker)).count();
        for (key, worker) in workers.iter_mut() {
            if worker.renew_due_ms() > time.now_ms || worker.report.address.is_empty() {
                continue;
            }
            if !worker.has_accepted_token && !worker.is_busy() {
                if first_renewals >= MAX_FIRST_RENEWALS {
                    continue;
                }
                first_renewals += 1;
            }
            worker.renew_sent_ms = Some(time.now_ms);
            let can_wait = worker.has_accepted_token
                && worker.pending_ends == 0
                && !worker.attempts.is_empty();
            // A worker that did not respond may have restarted and count its ends anew, so none is
            // acknowledged to it until it has said which incarnation it is.
            let acknowledged_end = if worker.is_silent { 0 } else { worker.last_durable_end };
            worker.last_acknowledged_end = worker.last_acknowledged_end.max(acknowledged_end);
            worker.renew_wait_ms = match can_wait {
                true if worker.probations > 0 => PROBATION_WAIT_MS,
                true => RENEW_WAIT_MS,
                false => 0,
            };
            actions.push(CellAction::Renew(RenewRequest {
                worker: key,
                address: worker.report.address.clone(),
                worker_id: worker.report.id.clone(),
                incarnation: worker.report.incarnation,
                deadline_ms: match worker.is_silent {
                    true => None,
                    false => worker.deadline_for(time.now_ms, settings.lease_ms),
                },
                last_durable_end: acknowledged_end,
                wait_ms: worker.renew_wait_ms,
            }));
        }
    }

    /// Returns the time between a response and the next renewal, in milliseconds.
    fn renew_pause_ms(&self) -> u64 {
        // A float-to-integer cast saturates.
        let delay_ms = (self.request_window.delay_ms() * RENEW_PAUSE_DELAYS) as u64;
        (RENEW_PAUSE_MS + delay_ms).min(MAX_RENEW_PAUSE_MS)
    }

    pub(super) fn finish_renewal(&mut self, key: WorkerKey, outcome: RenewOutcome) {
        let now_ms = self.time.now_ms;
        let pause_ms = self.renew_pause_ms();
        let Some(worker) = self.workers.get_mut(key) else { return };
        let sent_ms = worker.renew_sent_ms.take().unwrap_or(now_ms);
        let was_silent = worker.is_silent;
        worker.is_silent = !matches!(outcome, RenewOutcome::Answered(_));
        worker.record_response(worker.is_silent, sent_ms, now_ms);
        if !was_silent {
            self.record_recent_starts(key);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        if was_silent != worker.is_silent {
            let id = worker.report.id.clone();
            let event = if was_silent { "worker_heard" } else { "worker_silent" };
            let waited_ms = now_ms - sent_ms;
            self.log(event, id, format!("waited_ms={waited_ms}"));
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        match outcome {
            RenewOutcome::Answered(response)
                if response.incarnation < worker.report.incarnation =>
            {
                worker.next_renew_ms = now_ms;
                let id = worker.report.id.clone();
                self.log("hold_outdated", id, "a former incarnation answered");
            }
            RenewOutcome::Answered(response) => {
                worker.next_renew_ms = now_ms + pause_ms;
                if response.incarnation > worker.report.incarnation {
                    let id = worker.report.id.clone();
                    self.record_losses(key, LossCause::Crash);
                    let worker = &mut self.workers[key];
                    worker.restart(response.incarnation);
                    worker.is_listed = false;
                    self.forget_advice(key);
                    self.log("worker_restarted", id, format!("born={}", response.incarnation));
                }
                self.apply_response(key, &response, sent_ms);
            }
            RenewOutcome::Incarnation => {
                // The worker's process has ended: another one listens on its address.
                worker.next_renew_ms = now_ms + REPLACED_RETRY_MS;
                worker.has_accepted_token = false;
                worker.clock = None;
                self.record_losses(key, LossCause::Crash);
                self.release_attempts(key, "another worker has its address");
            }
            RenewOutcome::Fenced => {
                worker.next_renew_ms = now_ms + RENEW_RETRY_MS;
                let id = worker.report.id.clone();
                self.log("worker_fenced", id, "it has seen a higher fencing token");
            }
            RenewOutcome::Unknown => {
                worker.next_renew_ms = now_ms + pause_ms.max(RENEW_RETRY_MS);
                worker.backoff_until_ms = now_ms + SILENCE_BACKOFF_MS;
            }
        }
    }

    fn apply_response(&mut self, key: WorkerKey, response: &RenewResponse, sent_ms: u64) {
        let now_ms = self.time.now_ms;
        let worker = &mut self.workers[key];
        worker.record_clock(response.clock_ms, now_ms);
        worker.accept_token(now_ms, self.settings.lease_ms);
        self.forget_losses(key);
        for ended in &response.ended {
            self.apply_end(key, ended);
        }
        self.release_orphans(key);
        let mut listed = Vec::with_capacity(response.running.len());
        for running in &response.running {
            listed.extend(self.apply_running(key, running));
        }
        self.drop_unlisted_attempts(key, &listed, sent_ms);
    }

    fn apply_end(&mut self, key: WorkerKey, ended: &EndedAttempt) {
        let worker = &mut self.workers[key];
        if ended.number <= worker.last_recorded_end {
            return;
        }
        worker.last_recorded_end = ended.number;
        let name = (ended.task.clone(), ended.attempt);
        let Some(&attempt) = worker.attempts.get(&name) else {
            self.log("end_of_unknown", &ended.task, format!("attempt={}", ended.attempt));
            self.apply_unknown_end(key, ended);
            return;
        };
        match ended.kind {
            EndKind::Done => worker.failure_streak = 0,
            EndKind::Failed => worker.failure_streak += 1,
            EndKind::Interrupted => {}
        }
        worker.pending_ends += 1;
        let job = self.attempts[attempt].phase.job;
        self.jobs[job].has_begun = true;
        if ended.kind == EndKind::Done {
            let run_ms = self.attempts[attempt].run_ms(self.time.now_ms);
            self.sample_worker_speed(attempt, run_ms, 100);
        }
        self.end_attempt(attempt, ended.kind, &ended.checkpoint);
        let incarnation = self.workers[key].report.incarnation;
        self.mark_dirty(job, Some(AfterCommit::AcknowledgeEnd(key, incarnation)));
    }

    /// Applies an end of an attempt that is not in the tables. A completed attempt completes its
    /// task even so. The end is acknowledged once the job's row is durable, because the end of the
    /// job may not be in the store yet.
    fn apply_unknown_end(&mut self, key: WorkerKey, ended: &EndedAttempt) {
        let id = ended.task.split('.').next().unwrap_or_default();
        let Some(&job) = self.job_ids.get(id) else {
            self.advance_durable_end(key);
            return;
        };
        self.jobs[job].has_begun = true;
        let unfinished = self.find_task(&ended.task).filter(|_| ended.kind == EndKind::Done);
        if let Some((phase, index)) = unfinished {
            self.finish_task(phase, index);
            if let Some(other) = self.attempt_of(phase, index) {
                self.stop_attempt(other);
            }
        }
        let worker = &mut self.workers[key];
        worker.pending_ends += 1;
        let incarnation = worker.report.incarnation;
        self.mark_dirty(job, Some(AfterCommit::AcknowledgeEnd(key, incarnation)));
    }

    /// Records that an end is durable.
    pub(super) fn confirm_end(&mut self, key: WorkerKey, incarnation: u64) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.report.incarnation == incarnation {
            worker.pending_ends = worker.pending_ends.saturating_sub(1);
            self.advance_durable_end(key);
        }
    }

    fn advance_durable_end(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key)
            && worker.pending_ends == 0
        {
            worker.last_durable_end = worker.last_recorded_end;
        }
    }

    fn apply_running(&mut self, key: WorkerKey, running: &RunningAttempt) -> Option<AttemptKey> {
        let now_ms = self.time.now_ms;
        let name = (running.task.clone(), running.attempt);
        let Some(&attempt) = self.workers[key].attempts.get(&name) else {
            return self.adopt_or_stop(key, running);
        };
        let entry = &mut self.attempts[attempt];
        entry.has_begun = true;
        self.jobs[entry.phase.job].has_begun = true;
        let run_ms = entry.run_ms(now_ms);
        if running.percent > entry.percent {
            entry.percent = running.percent;
        }
        let is_newly_confirmed = matches!(
            entry.state,
            AttemptState::Sent | AttemptState::Uncertain | AttemptState::Inherited { .. }
        );
        if is_newly_confirmed {
            entry.state = AttemptState::Running { since_ms: now_ms };
            self.stop_if_unwanted(attempt);
        }
        self.sample_worker_speed(attempt, run_ms, running.percent);
        self.observe_survival(attempt);
        Some(attempt)
    }

    /// Handles a run that is not in the tables: adopts it as an attempt if its task is unfinished
    /// and has no other attempt, or else stops it.
    fn adopt_or_stop(&mut self, key: WorkerKey, running: &RunningAttempt) -> Option<AttemptKey> {
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

    /// Finds an unfinished task of a live job by its name.
    fn find_task(&self, name: &str) -> Option<(PhaseRef, usize)> {
        let mut parts = name.split('.');
        let key = *self.job_ids.get(parts.next()?)?;
        let mut number = || parts.next()?.parse::<usize>().ok();
        let (occurrence, step, index) = (number()?, number()?, number()?);
        let job = &self.jobs[key];
        let phase = occurrence * job.record.steps.len() + step;
        let task = job.phases.get(phase)?.tasks.get(index)?;
        let is_unfinished = !job.state.is_final() && !task.is_done;
        is_unfinished.then_some((PhaseRef { job: key, phase }, index))
    }

    fn attempt_of(&self, phase: PhaseRef, index: usize) -> Option<AttemptKey> {
        self.jobs[phase.job].phases[phase.phase].tasks[index].attempt
    }

    pub(super) fn release_orphans(&mut self, key: WorkerKey) {
        for (team, resources) in std::mem::take(&mut self.workers[key].orphans) {
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
        worker.orphans.push((team, resources));
    }

    /// Drops attempts that the worker did not report, if it would have reported them while they run
    /// or can still start.
    fn drop_unlisted_attempts(&mut self, key: WorkerKey, listed: &[AttemptKey], sent_ms: u64) {
        let absent: Vec<AttemptKey> = self.workers[key]
            .attempts
            .values()
            .copied()
            .filter(|attempt| !listed.contains(attempt))
            .filter(|attempt| match self.attempts[*attempt].state {
                AttemptState::Running { since_ms }
                | AttemptState::StopAcknowledged { since_ms } => since_ms < sent_ms,
                AttemptState::Inherited { since_ms } => since_ms <= sent_ms,
                _ => false,
            })
            .collect();
        for attempt in absent {
            self.drop_attempt(attempt);
        }
    }
}
