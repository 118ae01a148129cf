//! Renewal of leases, which also tells what runs and what has ended.

use {
    super::CellCore,
    crate::{
        AttemptKey, CellAction, EndKind, EndedAttempt, RenewOutcome, RenewRequest, RenewResponse,
        RunningAttempt, WorkerKey,
        message::PhaseRef,
        table::{AfterCommit, AttemptState, WorkerEntry},
    },
};

/// Longest time that an answer waits for an end, in milliseconds.
const HOLD_WAIT_MS: u64 = 1_200;
/// Time between an answer and the next renewal, in milliseconds; ends gather meanwhile.
const HOLD_PAUSE_MS: u64 = 30;
/// Time after which leases are renewed although ends are not durable yet, in milliseconds.
const UNNOTED_LIMIT_MS: u64 = 1_000;
/// Most workers that are met for the first time at once. Each takes a connection of its own, and a
/// new leader meets them all.
const MAX_FIRST_HOLDS: usize = 128;
/// Time between a failed renewal and the next, in milliseconds.
const HOLD_RETRY_MS: u64 = 250;
/// Time between renewals for a worker whose address another one has, in milliseconds; it stays in the
/// list of workers for some time.
const REPLACED_RETRY_MS: u64 = 1_000;
/// Time for which a worker that did not answer gets no new work, in milliseconds.
const SILENCE_PENALTY_MS: u64 = 1_000;

impl WorkerEntry {
    fn wants_hold(&self) -> bool {
        let has_work = self.is_busy() || self.unnoted > 0 || self.owes_note();
        self.hold_sent_ms.is_none() && (has_work || (self.is_listed && !self.is_fenced_in))
    }

    /// There are durable ends that the worker was not told of.
    fn owes_note(&self) -> bool {
        self.last_durable_end > self.last_told
    }

    fn hold_due_ms(&self) -> u64 {
        match (self.wants_hold(), self.unnoted) {
            (false, _) => u64::MAX,
            (true, 0) => self.next_hold_ms,
            (true, _) => self.next_hold_ms + UNNOTED_LIMIT_MS,
        }
    }
}

impl CellCore {
    pub(super) fn next_hold_ms(&self) -> u64 {
        self.workers.values().map(WorkerEntry::hold_due_ms).min().unwrap_or(u64::MAX)
    }

    pub(super) fn renew_holds(&mut self) {
        let CellCore { time, settings, workers, actions, .. } = self;
        let is_first = |w: &WorkerEntry| !w.is_fenced_in && w.hold_sent_ms.is_some();
        let mut first_holds = workers.values().filter(|worker| is_first(worker)).count();
        for (key, worker) in workers.iter_mut() {
            if worker.hold_due_ms() > time.now_ms || worker.report.address.is_empty() {
                continue;
            }
            if !worker.is_fenced_in && !worker.is_busy() {
                if first_holds >= MAX_FIRST_HOLDS {
                    continue;
                }
                first_holds += 1;
            }
            worker.hold_sent_ms = Some(time.now_ms);
            let can_wait =
                worker.is_fenced_in && worker.unnoted == 0 && !worker.attempts.is_empty();
            worker.last_told = worker.last_durable_end;
            actions.push(CellAction::Renew(RenewRequest {
                worker: key,
                address: worker.report.address.clone(),
                worker_id: worker.report.id.clone(),
                incarnation: worker.report.incarnation,
                deadline_ms: match worker.is_silent {
                    true => None,
                    false => worker.deadline_for(time.now_ms, settings.lease_ms),
                },
                last_durable_end: worker.last_durable_end,
                wait_ms: if can_wait { HOLD_WAIT_MS } else { 0 },
            }));
        }
    }

    pub(super) fn finish_hold(&mut self, key: WorkerKey, outcome: RenewOutcome) {
        let now_ms = self.time.now_ms;
        let Some(worker) = self.workers.get_mut(key) else { return };
        let sent_ms = worker.hold_sent_ms.take().unwrap_or(now_ms);
        let was_silent = worker.is_silent;
        worker.is_silent = !matches!(outcome, RenewOutcome::Answered(_));
        if was_silent != worker.is_silent {
            let id = worker.report.id.clone();
            let event = if was_silent { "worker_heard" } else { "worker_silent" };
            let waited_ms = now_ms - sent_ms;
            self.note(event, id, format!("waited_ms={waited_ms}"));
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        match outcome {
            RenewOutcome::Answered(report) if report.incarnation < worker.report.incarnation => {
                worker.next_hold_ms = now_ms;
                let id = worker.report.id.clone();
                self.note("hold_outdated", id, "a former incarnation answered");
            }
            RenewOutcome::Answered(report) => {
                worker.next_hold_ms = now_ms + HOLD_PAUSE_MS;
                if report.incarnation > worker.report.incarnation {
                    let id = worker.report.id.clone();
                    worker.restart(report.incarnation);
                    worker.is_listed = false;
                    self.forget_advice(key);
                    self.note("worker_restarted", id, format!("born={}", report.incarnation));
                }
                self.take_report(key, &report, sent_ms);
            }
            RenewOutcome::Incarnation => {
                // Its process is gone: another one listens where it did.
                worker.next_hold_ms = now_ms + REPLACED_RETRY_MS;
                worker.is_fenced_in = false;
                worker.clock = None;
                self.clear_worker(key, "another worker has its address");
            }
            RenewOutcome::Fenced => {
                worker.next_hold_ms = now_ms + HOLD_RETRY_MS;
                let id = worker.report.id.clone();
                self.note("worker_fenced", id, "it has seen a higher fencing token");
            }
            RenewOutcome::Unknown => {
                worker.next_hold_ms = now_ms + HOLD_RETRY_MS;
                worker.avoid_until_ms = now_ms + SILENCE_PENALTY_MS;
            }
        }
    }

    fn take_report(&mut self, key: WorkerKey, report: &RenewResponse, sent_ms: u64) {
        let now_ms = self.time.now_ms;
        let worker = &mut self.workers[key];
        worker.read_clock(report.clock_ms, now_ms);
        worker.fence_in(now_ms, self.settings.lease_ms);
        for ended in &report.ended {
            self.take_end(key, ended);
        }
        self.clear_strays(key);
        let mut listed = Vec::with_capacity(report.running.len());
        for running in &report.running {
            listed.extend(self.take_running(key, running));
        }
        self.drop_unlisted(key, &listed, sent_ms);
    }

    fn take_end(&mut self, key: WorkerKey, ended: &EndedAttempt) {
        let worker = &mut self.workers[key];
        if ended.number <= worker.last_seen {
            return;
        }
        worker.last_seen = ended.number;
        let name = (ended.task.clone(), ended.attempt);
        let Some(&attempt) = worker.attempts.get(&name) else {
            self.note("end_of_unknown", &ended.task, format!("attempt={}", ended.attempt));
            self.take_unknown_end(key, ended);
            return;
        };
        match ended.kind {
            EndKind::Done => worker.strikes = 0,
            EndKind::Failed => worker.strikes += 1,
            EndKind::Interrupted => {}
        }
        worker.unnoted += 1;
        let job = self.attempts[attempt].phase.job;
        if ended.kind == EndKind::Done {
            let run_ms = self.attempts[attempt].run_ms(self.time.now_ms);
            self.sample_pace(attempt, run_ms, 100);
        }
        self.end_attempt(attempt, ended.kind, &ended.checkpoint);
        let incarnation = self.workers[key].report.incarnation;
        self.touch(job, Some(AfterCommit::Note(key, incarnation)));
    }

    /// Takes in an end of an attempt that is in no table. A task that is done is done, whichever
    /// attempt it was. The end is acknowledged once its job's row is durable, since a job that has
    /// ended may not be in the store yet.
    fn take_unknown_end(&mut self, key: WorkerKey, ended: &EndedAttempt) {
        let id = ended.task.split('.').next().unwrap_or_default();
        let Some(&job) = self.job_ids.get(id) else {
            self.settle_noted(key);
            return;
        };
        let open = self.find_task(&ended.task).filter(|_| ended.kind == EndKind::Done);
        if let Some((phase, index)) = open {
            self.finish_task(phase, index);
            if let Some(other) = self.attempt_of(phase, index) {
                self.stop_attempt(other);
            }
        }
        let worker = &mut self.workers[key];
        worker.unnoted += 1;
        let incarnation = worker.report.incarnation;
        self.touch(job, Some(AfterCommit::Note(key, incarnation)));
    }

    /// Takes in that an end is durable.
    pub(super) fn note_end(&mut self, key: WorkerKey, incarnation: u64) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.report.incarnation == incarnation {
            worker.unnoted = worker.unnoted.saturating_sub(1);
            self.settle_noted(key);
        }
    }

    fn settle_noted(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key)
            && worker.unnoted == 0
        {
            worker.last_durable_end = worker.last_seen;
        }
    }

    fn take_running(&mut self, key: WorkerKey, running: &RunningAttempt) -> Option<AttemptKey> {
        let now_ms = self.time.now_ms;
        let name = (running.task.clone(), running.attempt);
        let Some(&attempt) = self.workers[key].attempts.get(&name) else {
            return self.take_unknown_run(key, running);
        };
        let entry = &mut self.attempts[attempt];
        let run_ms = entry.run_ms(now_ms);
        if running.percent > entry.percent {
            entry.percent = running.percent;
        }
        let is_news = matches!(
            entry.state,
            AttemptState::Sent | AttemptState::Uncertain | AttemptState::Inherited { .. }
        );
        if is_news {
            entry.state = AttemptState::Running { since_ms: now_ms };
            self.stop_if_unwanted(attempt);
        }
        self.sample_pace(attempt, run_ms, running.percent);
        Some(attempt)
    }

    /// Takes in a run that is in no table: it belongs to an open task that nothing else runs, or it
    /// is stopped.
    fn take_unknown_run(&mut self, key: WorkerKey, running: &RunningAttempt) -> Option<AttemptKey> {
        let open = self.find_task(&running.task).filter(|(phase, index)| {
            let task = &self.jobs[phase.job].phases[phase.phase].tasks[*index];
            task.attempt.is_none() && task.last_number <= running.attempt && !self.is_gang(*phase)
        });
        let Some((phase, index)) = open else {
            self.count_stray(key, running);
            self.stop_stray(key, running);
            return None;
        };
        let state = AttemptState::Running { since_ms: self.time.now_ms };
        let attempt = self.insert_attempt(phase, index, running.attempt, key, state);
        self.touch(phase.job, None);
        self.note_attempt("attempt_adopted", attempt, "");
        Some(attempt)
    }

    /// Finds an open task of a live job by its name.
    fn find_task(&self, name: &str) -> Option<(PhaseRef, usize)> {
        let mut parts = name.split('.');
        let key = *self.job_ids.get(parts.next()?)?;
        let mut number = || parts.next()?.parse::<usize>().ok();
        let (occurrence, step, index) = (number()?, number()?, number()?);
        let job = &self.jobs[key];
        let phase = occurrence * job.record.steps.len() + step;
        let task = job.phases.get(phase)?.tasks.get(index)?;
        let is_open = !job.state.is_final() && !task.is_done;
        is_open.then_some((PhaseRef { job: key, phase }, index))
    }

    fn attempt_of(&self, phase: PhaseRef, index: usize) -> Option<AttemptKey> {
        self.jobs[phase.job].phases[phase.phase].tasks[index].attempt
    }

    pub(super) fn clear_strays(&mut self, key: WorkerKey) {
        for (team, resources) in std::mem::take(&mut self.workers[key].strays) {
            let worker = &mut self.workers[key];
            worker.used = worker.used.minus(&resources);
            if let Some(used) = self.team_used.get_mut(&team) {
                *used = used.minus(&resources);
            }
        }
    }

    /// Counts what runs without an attempt in the tables: it belongs to a job that had ended when
    /// this leader took over. Where even the job is unknown, the worker counts as full.
    fn count_stray(&mut self, key: WorkerKey, running: &RunningAttempt) {
        let mut parts = running.task.split('.');
        let job = parts.next().and_then(|id| self.job_ids.get(id));
        let record = job.map(|job| &self.jobs[*job].record);
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
        worker.strays.push((team, resources));
    }

    /// Drops attempts that the worker would have listed if they were, or could come to be, there.
    fn drop_unlisted(&mut self, key: WorkerKey, listed: &[AttemptKey], sent_ms: u64) {
        let absent: Vec<AttemptKey> = self.workers[key]
            .attempts
            .values()
            .copied()
            .filter(|attempt| !listed.contains(attempt))
            .filter(|attempt| match self.attempts[*attempt].state {
                AttemptState::Running { since_ms } | AttemptState::Fenced { since_ms } => {
                    since_ms < sent_ms
                }
                AttemptState::Inherited { since_ms } => since_ms <= sent_ms,
                _ => false,
            })
            .collect();
        for attempt in absent {
            self.lose_attempt(attempt);
        }
    }
}
