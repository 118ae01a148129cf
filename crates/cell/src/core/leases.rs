//! Lease renewals, whose responses also report running and ended attempts.

use {
    super::{CellCore, losses::LossCause, release_cause::ReleaseCause},
    crate::{
        AttemptKey, CellAction, EndKind, EndedAttempt, RenewOutcome, RenewRequest, RenewResponse,
        RunningAttempt, WorkerKey,
        message::{PhaseRef, TaskRef},
        table::{AfterCommit, AttemptEntry, AttemptState, WorkerEntry},
    },
    slotmap::SlotMap,
    std::cmp::Ordering,
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
/// Minimum of this pause while ends cannot be acknowledged, in milliseconds. The worker responds at once
/// as long as it has any.
const DELAYED_ACKNOWLEDGEMENT_PAUSE_MS: u64 = 150;
/// Additional time before the next renewal while ends are not durable yet, in milliseconds.
const PENDING_ENDS_RENEW_MS: u64 = 1_000;
/// Maximum number of first renewals in flight. Each needs a new connection, and a new leader
/// contacts all workers.
const MAX_FIRST_RENEWALS: usize = 128;
/// Retry interval after a failed renewal, in milliseconds.
const RENEW_RETRY_MS: u64 = 250;
/// Retry interval after a failed renewal of a worker on which nothing runs, in milliseconds. It gets
/// nothing new until it responds.
const IDLE_RETRY_MS: u64 = 500;
/// Retry interval for a worker whose address another worker has taken over, in milliseconds. The
/// lost worker remains registered for some time.
const REPLACED_RETRY_MS: u64 = 1_000;
/// Time between renewals of an unlisted worker on which nothing runs and to which tasks are bound, in milliseconds.
const BOUND_RENEW_MS: u64 = 500;
/// Time for which a worker gets no new work after a renewal without a response, in milliseconds.
const SILENCE_BACKOFF_MS: u64 = 1_000;

impl WorkerEntry {
    fn needs_renewal(&self) -> bool {
        let has_work = self.is_busy() || self.pending_ends > 0 || self.has_ends_to_acknowledge();
        let is_awaited = self.is_listed && (!self.has_accepted_token || self.is_silent);
        let needs_fence = self.needs_fence() || self.needs_fence_for_bound();
        let needs_answer = is_awaited || needs_fence || self.is_identity_due;
        self.renew_sent_ms.is_none() && (has_work || needs_answer)
    }

    /// Returns whether a start with a ticket was confirmed by an incarnation that is not identified.
    fn has_unidentified_run(&self, attempts: &SlotMap<AttemptKey, AttemptEntry>) -> bool {
        let own = self.attempts.values();
        own.map(|key| &attempts[*key].start)
            .any(|start| start.is_confirmed_by_unidentified(self.identified_ms))
    }

    /// Returns whether an incarnation other than the present one may have carried out a start, or may carry it out.
    /// Those of former leaders may be until `former_until_ms`.
    fn has_unsettled_start(
        &self,
        attempts: &SlotMap<AttemptKey, AttemptEntry>,
        former_until_ms: u64,
        now_ms: u64,
    ) -> bool {
        let may_reach_another = |key: &AttemptKey| {
            let start = &attempts[*key].start;
            start.may_reach_another(former_until_ms, self.identified_ms, now_ms)
        };
        now_ms < self.unsettled_until_ms || self.attempts.values().any(may_reach_another)
    }

    /// Returns the time after which a failed renewal is retried, in milliseconds.
    fn renew_retry_ms(&self) -> u64 {
        match self.has_accepted_token && !self.is_busy() {
            true => IDLE_RETRY_MS,
            false => RENEW_RETRY_MS,
        }
    }

    /// Returns the last end up to which all are durable.
    fn last_complete_end(&self) -> u64 {
        let limit = self.unreadable_end.map_or(u64::MAX, |number| number.saturating_sub(1));
        self.last_durable_end.min(limit)
    }

    /// Returns whether there are durable ends that have not been acknowledged to the worker.
    fn has_ends_to_acknowledge(&self) -> bool {
        self.last_complete_end() > self.last_acknowledged_end
    }

    /// Returns the last end that a renewal sent now acknowledges, or 0 for none.
    ///
    /// A renewal may be carried out late, by another incarnation under the worker's id, whose ends have
    /// other numbers. It discards none if that incarnation has run nothing for this leader, or refuses
    /// the renewal: so the present incarnation must be known to have carried out every start so far, and
    /// later ones have a higher fence. A worker that did not respond may have restarted, and must first
    /// say which incarnation it is.
    fn acknowledgeable_end(&self, has_unsettled_start: bool) -> u64 {
        let is_safe =
            !self.is_silent && !has_unsettled_start && self.fence.allows_acknowledgement();
        if is_safe && self.has_ends_to_acknowledge() { self.last_complete_end() } else { 0 }
    }

    fn renew_due_ms(&self) -> u64 {
        if self.is_identity_due && self.renew_sent_ms.is_none() {
            return self.next_renew_ms;
        }
        match (self.needs_renewal(), self.pending_ends) {
            (false, _) if self.renew_sent_ms.is_some() => u64::MAX,
            (false, _) => self.idle_renew_due_ms().max(self.next_renew_ms),
            (true, 0) => self.next_renew_ms,
            (true, _) => self.next_renew_ms + PENDING_ENDS_RENEW_MS,
        }
    }

    /// Returns the time at which a worker that has nothing to report is asked, in milliseconds.
    fn idle_renew_due_ms(&self) -> u64 {
        let reading_ms = self.lease.reading_due_ms().filter(|_| self.is_listed);
        let bound_ms = self.awaited_until_ms().map(|until_ms| match self.is_listed {
            true => until_ms + 1,
            // Whether it is gone shows only if it is asked.
            false => self.heard_ms + BOUND_RENEW_MS,
        });
        reading_ms.into_iter().chain(bound_ms).min().unwrap_or(u64::MAX)
    }

    /// Makes later requests supersede the renewal in flight, which may be carried out late, if it
    /// acknowledges ends.
    fn supersede_acknowledgement(&mut self) {
        if self.renew_acknowledged_end > 0 {
            self.fence.advance();
        }
    }

    /// Records that an incarnation has responded to the renewal in flight.
    fn record_acknowledgement(&mut self, incarnation: u64) {
        if incarnation == self.report.incarnation {
            self.last_acknowledged_end =
                self.last_acknowledged_end.max(self.renew_acknowledged_end);
        }
        if self.renew_acknowledged_end > 0 {
            self.fence.close_acknowledgement(self.renew_fence);
        }
    }
}

impl CellCore {
    pub(super) fn next_renew_ms(&self) -> u64 {
        self.workers.values().map(WorkerEntry::renew_due_ms).min().unwrap_or(u64::MAX)
    }

    pub(super) fn renew_leases(&mut self) {
        let former_until_ms = self.former_starts_until_ms();
        let CellCore { time, settings, workers, attempts, actions, lease_bounds, .. } = self;
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
            let is_bounded = lease_bounds.contain(&worker.report.id);
            let can_wait = worker.has_accepted_token
                && !worker.is_identity_due
                && worker.lease.has_comparable_clock(time.now_ms)
                && !worker.needs_fence()
                && !worker.needs_fence_for_bound()
                && !is_bounded
                && worker.pending_ends == 0
                && !worker.attempts.is_empty()
                && !worker.has_unidentified_run(attempts);
            let has_unsettled_start =
                worker.has_unsettled_start(attempts, former_until_ms, time.now_ms);
            let acknowledged_end = worker.acknowledgeable_end(has_unsettled_start);
            if acknowledged_end > 0 {
                worker.fence.open_acknowledgement();
            }
            worker.renew_fence = worker.fence.number();
            worker.renew_address.clone_from(&worker.report.address);
            worker.renew_acknowledged_end = acknowledged_end;
            worker.is_acknowledgement_delayed =
                acknowledged_end == 0 && worker.has_ends_to_acknowledge();
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
                fence: worker.renew_fence,
                deadline_ms: match worker.is_silent || is_bounded {
                    true => None,
                    false => worker.lease.deadline_for(time.now_ms, settings.lease_ms),
                },
                last_durable_end: acknowledged_end,
                wait_ms: worker.renew_wait_ms,
            }));
        }
    }

    /// Returns the time between a worker's response and the next renewal, in milliseconds. A worker
    /// is renewed at once when its bound is removed.
    fn renew_pause_ms(&self, key: WorkerKey) -> u64 {
        // A float-to-integer cast saturates.
        let delay_ms = (self.request_window.delay_ms() * RENEW_PAUSE_DELAYS) as u64;
        let pause_ms = (RENEW_PAUSE_MS + delay_ms).min(MAX_RENEW_PAUSE_MS);
        let worker = self.workers.get(key);
        match worker.is_some_and(|worker| self.lease_bounds.contain(&worker.report.id)) {
            true => pause_ms.max(RENEW_RETRY_MS),
            false => pause_ms,
        }
    }

    pub(super) fn finish_renewal(&mut self, key: WorkerKey, fence: u32, outcome: RenewOutcome) {
        let now_ms = self.time.now_ms;
        let pause_ms = self.renew_pause_ms(key);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(sent_ms) = worker.end_renewal(fence) else { return };
        let was_silent = worker.is_silent;
        // A later request of this leader was carried out first.
        let is_overtaken =
            outcome == RenewOutcome::Fenced && worker.fence.supersedes(worker.renew_fence);
        worker.is_silent = !is_overtaken && !matches!(outcome, RenewOutcome::Answered(_));
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
            RenewOutcome::Answered(response) => {
                worker.next_renew_ms = now_ms + pause_ms;
                self.finish_answered_renewal(key, &response, sent_ms);
            }
            RenewOutcome::Incarnation if !worker.is_gone_if_replaced() => {
                // The address may be wrong.
                worker.next_renew_ms = now_ms + REPLACED_RETRY_MS;
            }
            RenewOutcome::Incarnation => {
                // The worker's process has ended: another one listens on its address.
                worker.next_renew_ms = now_ms + REPLACED_RETRY_MS;
                worker.has_accepted_token = false;
                worker.lease.forget_clock();
                self.record_losses(key, LossCause::Crash);
                self.release_attempts(key, ReleaseCause::Replaced);
            }
            RenewOutcome::Fenced if is_overtaken => worker.next_renew_ms = now_ms,
            RenewOutcome::Fenced => {
                worker.next_renew_ms = now_ms + RENEW_RETRY_MS;
                let id = worker.report.id.clone();
                self.log("worker_fenced", id, "it has seen a higher fencing token");
                self.actions.push(CellAction::Resign);
            }
            RenewOutcome::Unknown => {
                worker.supersede_acknowledgement();
                worker.next_renew_ms = now_ms + pause_ms.max(worker.renew_retry_ms());
                worker.backoff_until_ms = now_ms + SILENCE_BACKOFF_MS;
            }
        }
        if self.workers.get(key).is_some_and(|worker| worker.is_silent) {
            self.adopt_claim(key);
        }
    }

    fn finish_answered_renewal(&mut self, key: WorkerKey, response: &RenewResponse, sent_ms: u64) {
        let now_ms = self.time.now_ms;
        let worker = &mut self.workers[key];
        let id = worker.report.id.clone();
        worker.record_acknowledgement(response.incarnation);
        if worker.is_acknowledgement_delayed {
            let due_ms = now_ms + DELAYED_ACKNOWLEDGEMENT_PAUSE_MS;
            worker.next_renew_ms = worker.next_renew_ms.max(due_ms);
        }
        // Only the outcome of the last renewal counts. So if the known incarnation has responded, this renewal was
        // sent after that, and another incarnation is a later one, also if its host's clock has jumped
        // back and its number is lower.
        match response.incarnation.cmp(&worker.report.incarnation) {
            Ordering::Less if !worker.has_responded => {
                let claim = worker.report.clone();
                worker.cancel_crash();
                self.restart_worker(key, response.incarnation);
                self.workers[key].claim = Some(claim);
                self.log("worker_corrected", id, format!("born={}", response.incarnation));
            }
            Ordering::Equal if self.workers[key].resume_crash() => {
                self.record_crash(key, response, sent_ms);
                self.workers[key].lost_ms = None;
            }
            Ordering::Equal => {}
            Ordering::Less | Ordering::Greater => {
                self.workers[key].resume_crash();
                self.record_crash(key, response, sent_ms);
                self.switch_incarnation(key, response.incarnation);
                self.workers[key].is_listed = false;
                self.log("worker_restarted", id, format!("born={}", response.incarnation));
                self.adopt_confirmed_claim(key);
            }
        }
        self.apply_response(key, response, sent_ms);
    }

    /// Records the crash of a former incarnation. The attempts that the present one lists are not lost with it. One that
    /// an unknown incarnation confirmed before, and that is not listed, was lost with that.
    fn record_crash(&mut self, key: WorkerKey, response: &RenewResponse, sent_ms: u64) {
        for attempt in self.workers[key].attempts.values() {
            let attempt = &mut self.attempts[*attempt];
            let AttemptState::Running { since_ms } = attempt.state else { continue };
            if since_ms < sent_ms && !response.is_partial {
                attempt.start.record_next(false);
            }
        }
        let running = response.running.iter().map(|run| (run.task.clone(), run.attempt));
        let ended = response.ended.iter().map(|end| (end.task.clone(), end.attempt));
        for name in running.chain(ended) {
            if let Some(attempt) = self.workers[key].attempts.get(&name) {
                self.attempts[*attempt].start.record_next(true);
            }
        }
        self.record_losses(key, LossCause::Crash);
    }

    fn apply_response(&mut self, key: WorkerKey, response: &RenewResponse, sent_ms: u64) {
        let now_ms = self.time.now_ms;
        let worker = &mut self.workers[key];
        worker.identify(sent_ms);
        worker.record_presence();
        worker.record_fence(now_ms);
        if !response.is_partial {
            worker.heard_ms = sent_ms;
        }
        if worker.needs_fence() {
            // Requests to the former incarnation that are carried out late must find this one fenced.
            worker.next_renew_ms = now_ms;
        }
        worker.lease.record_clock(response.clock_ms, sent_ms, now_ms);
        worker.has_accepted_token = true;
        let former = std::mem::replace(&mut worker.unreadable_end, response.unreadable_end);
        if let (None, Some(number)) = (former, response.unreadable_end) {
            let id = worker.report.id.clone();
            self.log("end_unreadable", id, format!("number={number}"));
        }
        self.forget_losses(key);
        for attempt in self.workers[key].attempts.values() {
            let attempt = &mut self.attempts[*attempt];
            attempt.start.settle(attempt.state, sent_ms);
        }
        for ended in &response.ended {
            self.apply_end(key, ended);
        }
        self.release_orphans(key);
        let mut listed = Vec::with_capacity(response.running.len());
        for running in &response.running {
            listed.extend(self.apply_running(key, running));
        }
        if !response.is_partial {
            self.drop_unlisted_attempts(key, &listed, sent_ms);
        }
    }

    fn apply_end(&mut self, key: WorkerKey, ended: &EndedAttempt) {
        let worker = &mut self.workers[key];
        if ended.number <= worker.last_recorded_end {
            return;
        }
        let missing = ended.number - worker.last_recorded_end - 1;
        worker.last_recorded_end = ended.number;
        if missing > 0 && worker.has_reported_ends {
            let id = worker.report.id.clone();
            self.log("ends_missing", id, format!("before={} missing={missing}", ended.number));
        }
        let worker = &mut self.workers[key];
        worker.has_reported_ends = true;
        let name = (ended.task.clone(), ended.attempt);
        let Some(&attempt) = worker.attempts.get(&name) else {
            let detail = format!("attempt={} kind={:?}", ended.attempt, ended.kind);
            self.log("end_of_unknown", &ended.task, detail);
            self.apply_unknown_end(key, ended);
            return;
        };
        match ended.kind {
            EndKind::Done => worker.failure_streak = 0,
            EndKind::Failed => worker.failure_streak += 1,
            EndKind::Interrupted => {}
        }
        worker.pending_ends += 1;
        self.settle_listed(attempt);
        let entry = &self.attempts[attempt];
        let job = entry.phase.job;
        self.jobs[job].has_begun = true;
        if ended.kind == EndKind::Done {
            self.record_run(attempt);
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
        if ended.kind == EndKind::Failed {
            self.count_released_failure(key, ended);
        }
        // A former leader may have recorded the end and not told of another request to start the task.
        let former_until_ms = match self.has_adviser(job) {
            true => 0,
            false => self.former_starts_until_ms(),
        };
        let worker = &mut self.workers[key];
        worker.unsettled_until_ms = worker.unsettled_until_ms.max(former_until_ms);
        worker.pending_ends += 1;
        let incarnation = worker.report.incarnation;
        self.mark_dirty(job, Some(AfterCommit::AcknowledgeEnd(key, incarnation)));
    }

    /// Counts the failure of an attempt that was released when its leases had expired. A gang's counts once for all
    /// members.
    fn count_released_failure(&mut self, key: WorkerKey, ended: &EndedAttempt) {
        let worker = &self.workers[key].report.id;
        if !self.expired_attempts.take(worker, &ended.task, ended.attempt) {
            return;
        }
        if let Some((phase, index)) = self.find_task(&ended.task) {
            let id = worker.clone();
            self.count_failure(TaskRef { phase, index }, ended.attempt, &id);
        }
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
        let incarnation = self.workers[key].report.incarnation;
        let former = std::mem::replace(&mut entry.incarnation, incarnation);
        entry.has_begun = true;
        entry.is_crash_possible = false;
        self.jobs[entry.phase.job].has_begun = true;
        if running.percent > entry.percent {
            entry.percent = running.percent;
        }
        let is_newly_confirmed = matches!(
            entry.state,
            AttemptState::Sent | AttemptState::Uncertain | AttemptState::Inherited { .. }
        );
        if is_newly_confirmed {
            entry.state = AttemptState::Running { since_ms: now_ms };
        }
        self.settle_listed(attempt);
        if former != incarnation {
            self.mark_dirty(self.attempts[attempt].phase.job, None);
        }
        if is_newly_confirmed {
            self.stop_if_unwanted(attempt);
        }
        self.review_running(attempt);
        self.observe_survival(attempt);
        Some(attempt)
    }

    /// Records that the present incarnation has carried out the start of an attempt.
    fn settle_listed(&mut self, key: AttemptKey) {
        let attempt = &mut self.attempts[key];
        attempt.start.settle_listed();
        if attempt.start.tries == 1 {
            self.workers[attempt.worker].identify(attempt.start.sent_ms);
        }
    }

    fn attempt_of(&self, phase: PhaseRef, index: usize) -> Option<AttemptKey> {
        self.jobs[phase.job].phases[phase.phase].tasks[index].attempt
    }

    /// Drops attempts that the worker did not report, if it would have reported them while they run
    /// or can still start. An incarnation that does not refuse the requests to a former one yet may still carry out a
    /// start with its ticket.
    fn drop_unlisted_attempts(&mut self, key: WorkerKey, listed: &[AttemptKey], sent_ms: u64) {
        let now_ms = self.time.now_ms;
        let is_unfenced = self.workers[key].needs_fence();
        let may_begin = |attempt: &AttemptKey| {
            is_unfenced && self.attempts[*attempt].start.has_open_ticket(now_ms)
        };
        let absent: Vec<AttemptKey> = self.workers[key]
            .attempts
            .values()
            .copied()
            .filter(|attempt| !listed.contains(attempt) && !may_begin(attempt))
            .filter(|attempt| match self.attempts[*attempt].state {
                AttemptState::Running { since_ms }
                | AttemptState::StopAcknowledged { since_ms } => since_ms < sent_ms,
                AttemptState::Inherited { since_ms } => since_ms <= sent_ms,
                _ => false,
            })
            .collect();
        for attempt in absent {
            if let AttemptState::Running { since_ms } = self.attempts[attempt].state {
                let ran_ms = self.time.now_ms - since_ms;
                self.log_attempt("attempt_vanished", attempt, &format!("ran_ms={ran_ms}"));
            }
            let cause = match self.attempts[attempt].state {
                AttemptState::StopAcknowledged { .. } => ReleaseCause::Stopped,
                _ => ReleaseCause::Unlisted,
            };
            let entry = &self.attempts[attempt];
            let is_crash = entry.is_crash_possible && !entry.is_loss_recorded;
            if is_crash && self.has_task(entry.task()) {
                self.count_inherited_crash(attempt);
            }
            self.drop_attempt(attempt, cause);
        }
    }
}
