//! Requests to start and stop attempts, and their outcomes.

use {
    super::{CellCore, release_cause::ReleaseCause, request_window::RequestEnd},
    crate::{
        AttemptKey, CellAction, JobKey, JobState, StartOutcome, StartRefusal, StartRequest,
        StartResponse, StopRequest, WorkerKey,
        message::PhaseRef,
        table::{AfterCommit, AttemptEntry, AttemptState, ClockMatch, StartRequests, TicketTimes},
    },
};

/// Lease duration that a start request asks for, in milliseconds. The renewal after a confirmed
/// start extends it; if the worker is lost, a short lease lets the task start elsewhere sooner.
const START_LEASE_MS: u64 = 2_000;
/// Minimum remaining validity of a ticket when a start request is sent, in milliseconds.
const SEND_MARGIN_MS: u64 = 20;
/// Time after which a stop request is repeated, in milliseconds. It doubles with each repetition while
/// responses are slow.
const STOP_RETRY_MS: u64 = 600;
/// Maximum number of doublings of that time.
const MAX_STOP_DOUBLINGS: u32 = 2;
/// Minimum interval between two log entries about a full window of start requests, in milliseconds.
const WINDOW_LOG_INTERVAL_MS: u64 = 1_000;
/// Maximum number of requests to start an attempt, of which all but the last had no response.
const MAX_START_TRIES: u32 = 3;
/// Number of unanswered start requests in a row up to which a worker counts as responsive. Requests to
/// others are not repeated.
const MAX_UNANSWERED_STARTS: u32 = 2;
/// Time for which a worker that is not responsive gets no new work after an unanswered start request,
/// in milliseconds. It doubles with each further one.
const UNANSWERED_BACKOFF_MS: u64 = 150;
/// Maximum number of doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Time for which a worker gets no new work after it refused a start request, in milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 1_500;

impl CellCore {
    /// Adds an attempt to all tables and reserves its resources.
    pub(super) fn insert_attempt(
        &mut self,
        phase: PhaseRef,
        index: usize,
        number: u32,
        worker: WorkerKey,
        state: AttemptState,
    ) -> AttemptKey {
        let is_kept_apart = self.is_kept_apart(phase);
        let is_gang_member = self.is_gang(phase);
        let is_service = self.is_service_step(phase);
        let needs_ticket = self.advice_timing(phase).is_some();
        let job = &mut self.jobs[phase.job];
        let entry = &job.phases[phase.phase];
        let resources = job.record.steps[entry.step].resources();
        let team = job.record.team.clone();
        let name = job.task_name(phase.phase, index);
        let entry = &mut job.phases[phase.phase];
        let incarnation = self.workers[worker].report.incarnation;
        let used = self.team_used.entry(team.clone()).or_default();
        *used = used.plus(&resources);
        let key = self.attempts.insert(AttemptEntry {
            phase,
            index,
            number,
            worker,
            incarnation,
            resources,
            team,
            state,
            has_partial_run_time: !entry.tasks[index].checkpoint.is_empty()
                || state != AttemptState::Persisting,
            percent: 0,
            is_overdue: false,
            is_gang_aborted: false,
            is_kept_apart,
            is_gang_member,
            is_service,
            is_on_probation: false,
            has_begun: matches!(state, AttemptState::Running { .. }),
            start: StartRequests::default(),
            is_address_stored: false,
            is_loss_recorded: false,
            is_crash_possible: false,
            sent_ms: 0,
            preempted_ms: None,
            stop_due_ms: 0,
            stop_tries: 0,
        });
        let task = &mut entry.tasks[index];
        task.last_number = number;
        task.attempt = Some(key);
        entry.unassigned -= usize::from(!task.is_done);
        let is_bounded = self.has_bounded_leases(&self.workers[worker]);
        let worker = &mut self.workers[worker];
        worker.has_unbounded_rows |= !is_bounded;
        worker.has_unidentified_service_rows |= is_service && needs_ticket;
        worker.used = worker.used.plus(&resources);
        worker.attempts.insert((name, number), key);
        worker.kept_apart += usize::from(is_kept_apart);
        worker.gang_members += usize::from(is_gang_member);
        key
    }

    /// Returns the latest ticket for an attempt with its times, an empty one without times if none is needed; `None`
    /// if it expired while the job's row was written.
    fn ticket_for(&self, attempt: &AttemptEntry) -> Option<(String, Option<TicketTimes>)> {
        if self.advice_timing(attempt.phase).is_none() {
            return Some((String::new(), None));
        }
        let entry = &self.jobs[attempt.phase.job].phases[attempt.phase.phase];
        let held = entry.allowed.get(&attempt.worker)?;
        let is_valid = held.times.valid_until_ms > self.time.now_ms + SEND_MARGIN_MS;
        is_valid.then(|| (held.ticket.clone(), Some(held.times)))
    }

    /// Sends the start requests of durable attempts, oldest first, as far as the window has space.
    pub(super) fn send_ready(&mut self) {
        while let Some(key) = self.ready.front().copied() {
            if !self.request_window.try_send(self.time.now_ms) {
                self.log_window();
                return;
            }
            self.ready.pop_front();
            if !self.send_attempt(key) {
                self.request_window.cancel();
            }
        }
    }

    fn log_window(&mut self) {
        if self.time.now_ms < self.window_log_due_ms {
            return;
        }
        self.window_log_due_ms = self.time.now_ms + WINDOW_LOG_INTERVAL_MS;
        let detail = format!(
            "requests={} delay_ms={:.0} ready={}",
            self.request_window.size(),
            self.request_window.delay_ms(),
            self.ready.len()
        );
        self.log("request_window_full", "", detail);
    }

    /// Sends the start request of an attempt that is durable, unless it is no longer wanted. Returns
    /// whether it was sent.
    fn send_attempt(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get(key) else { return false };
        if !matches!(attempt.state, AttemptState::Persisting | AttemptState::Sent) {
            return false;
        }
        let (phase, worker) = (attempt.phase, attempt.worker);
        let Some((ticket, times)) = self.ticket_for(attempt) else {
            self.log_attempt("ticket_outdated", key, "");
            self.give_up_start(key);
            return false;
        };
        let is_wanted = !self.jobs[phase.job].state.is_final() && !attempt.is_gang_aborted;
        if attempt.incarnation != self.workers[worker].report.incarnation {
            // The row names the former one.
            self.log_attempt("incarnation_changed", key, "");
            self.give_up_start(key);
            return false;
        }
        if is_wanted && self.workers[worker].is_overcommitted() {
            self.log_attempt("capacity_reduced", key, "");
            self.give_up_start(key);
            return false;
        }
        let is_schedulable = self.is_schedulable(&self.workers[worker]);
        let now_ms = self.time.now_ms;
        let lease = &mut self.workers[worker].lease;
        let lease_ms = (START_LEASE_MS + lease.drift_ms(now_ms)).min(self.settings.lease_ms);
        let deadline = lease.deadline_for(now_ms, lease_ms);
        let (true, true, Some(deadline_ms)) = (is_wanted, is_schedulable, deadline) else {
            self.give_up_start(key);
            return false;
        };
        let job = &self.jobs[phase.job];
        let worker = &mut self.workers[worker];
        let attempt = &mut self.attempts[key];
        attempt.state = AttemptState::Sent;
        attempt.sent_ms = now_ms;
        let fence = worker.fence.number_for_start();
        attempt.start.send(fence, times, now_ms);
        self.actions.push(CellAction::Start(StartRequest {
            attempt: key,
            address: worker.report.address.clone(),
            worker_id: worker.report.id.clone(),
            incarnation: worker.report.incarnation,
            fence,
            task: job.task_name(phase.phase, attempt.index),
            number: attempt.number,
            payload: (!job.record.has_stored_payload).then(|| job.payload.clone()),
            deadline_ms,
            checkpoint: job.phases[phase.phase].tasks[attempt.index].checkpoint.clone(),
            ticket,
        }));
        true
    }

    pub(super) fn finish_start(&mut self, key: AttemptKey, response: StartResponse) {
        let now_ms = self.time.now_ms;
        let StartResponse { outcome, clock_ms } = response;
        let sent_ms = self.attempts.get(key).map(|attempt| attempt.sent_ms);
        // One that refuses the request as another worker has a clock of its own.
        let is_same_worker = outcome != StartOutcome::Refused(StartRefusal::Incarnation);
        let clock = self.identify_by_clock(key, clock_ms.filter(|_| is_same_worker));
        let is_answered = outcome != StartOutcome::Unknown;
        self.request_window.finish(RequestEnd::of(is_answered, sent_ms), now_ms);
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.start.finish(outcome, now_ms);
        match (outcome, clock) {
            (StartOutcome::Started, ClockMatch::Same) => attempt.start.identify(),
            (StartOutcome::Started, ClockMatch::Other) => attempt.start.record_next(true),
            _ => {}
        }
        let worker = &mut self.workers[attempt.worker];
        match outcome {
            StartOutcome::Started => {
                worker.unanswered_starts = 0;
                let job = &mut self.jobs[attempt.phase.job];
                job.has_begun = true;
                job.phases[attempt.phase.phase].retry.reset();
                attempt.has_begun = true;
                if attempt.state == AttemptState::Sent {
                    attempt.state = AttemptState::Running { since_ms: now_ms };
                    self.stop_if_unwanted(key);
                }
            }
            StartOutcome::Unknown => self.repeat_start(key),
            StartOutcome::Refused(refusal) => self.refuse_start(key, refusal),
        }
    }

    /// Finds out by the clock in the response to a start which incarnation has given it. One that is not known is asked
    /// at once.
    fn identify_by_clock(&mut self, key: AttemptKey, clock_ms: Option<u64>) -> ClockMatch {
        let (Some(attempt), Some(clock_ms)) = (self.attempts.get(key), clock_ms) else {
            return ClockMatch::Unknown;
        };
        let (now_ms, sent_ms, worker) = (self.time.now_ms, attempt.start.sent_ms, attempt.worker);
        let entry = &mut self.workers[worker];
        let clock = entry.lease.match_clock(clock_ms, sent_ms, now_ms);
        match clock {
            ClockMatch::Same => {
                entry.identify(sent_ms);
                entry.lease.record_clock(clock_ms, sent_ms, now_ms);
            }
            ClockMatch::Other => {
                self.log_attempt(
                    "start_by_other_incarnation",
                    key,
                    &format!("clock_ms={clock_ms}"),
                );
                self.workers[worker].ask_for_incarnation(now_ms);
            }
            ClockMatch::Unknown => {}
        }
        clock
    }

    /// Repeats a start request that had no response, or gives the attempt up. A worker that gets a
    /// request twice starts one run, so a repetition costs nothing if only the response was lost, and
    /// spares a gang from being stopped if the request will be carried out late.
    fn repeat_start(&mut self, key: AttemptKey) {
        let now_ms = self.time.now_ms;
        let attempt = &self.attempts[key];
        let (tries, state, phase) = (attempt.start.tries, attempt.state, attempt.phase);
        let is_wanted = !attempt.is_gang_aborted;
        let worker = &mut self.workers[attempt.worker];
        worker.unanswered_starts += 1;
        let is_responsive = worker.unanswered_starts <= MAX_UNANSWERED_STARTS;
        if !is_responsive {
            let doublings =
                (worker.unanswered_starts - MAX_UNANSWERED_STARTS - 1).min(MAX_BACKOFF_DOUBLINGS);
            worker.backoff_until_ms = now_ms + (UNANSWERED_BACKOFF_MS << doublings);
        }
        if state != AttemptState::Sent {
            return;
        }
        if is_wanted && is_responsive && tries < MAX_START_TRIES {
            self.log_attempt("start_repeated", key, "");
            return self.queue_repetition(key);
        }
        self.jobs[phase.job].phases[phase.phase].retry.delay(now_ms);
        self.log_attempt("start_unanswered", key, "");
        self.give_up_start(key);
    }

    /// Sends another request to start an attempt, once the job's row tells that there are several.
    fn queue_repetition(&mut self, key: AttemptKey) {
        let attempt = &mut self.attempts[key];
        if !attempt.start.needs_row_to_repeat() {
            return self.ready.push_front(key);
        }
        attempt.start.is_repeated = true;
        let job = attempt.phase.job;
        self.mark_dirty(job, Some(AfterCommit::Send(key)));
    }

    /// Drops an attempt that no worker can have begun, and stops any other.
    fn give_up_start(&mut self, key: AttemptKey) {
        if self.attempts[key].start.tries == 0 {
            return self.drop_attempt(key, ReleaseCause::Unsent);
        }
        self.attempts[key].state = AttemptState::Uncertain;
        self.stop_attempt(key);
    }

    fn refuse_start(&mut self, key: AttemptKey, refusal: StartRefusal) {
        let now_ms = self.time.now_ms;
        self.log_attempt("start_refused", key, &format!("reason={refusal:?}"));
        let attempt = &self.attempts[key];
        let (phase, worker) = (attempt.phase, attempt.worker);
        let is_overtaken = refusal == StartRefusal::Fenced
            && self.workers[worker].fence.supersedes(attempt.start.fence);
        if is_overtaken
            && attempt.state == AttemptState::Sent
            && attempt.start.tries < MAX_START_TRIES
        {
            // A later request to the worker was carried out first.
            return self.queue_repetition(key);
        }
        if refusal != StartRefusal::Unsent {
            // The worker responded.
            self.workers[worker].unanswered_starts = 0;
        }
        match refusal {
            StartRefusal::Ticket => {
                let entry = &mut self.jobs[phase.job].phases[phase.phase];
                entry.allowed.remove(&worker);
                if !attempt.start.has_ticket {
                    // The adviser of the queue is not known.
                    entry.retry.delay_once(now_ms);
                }
            }
            StartRefusal::Unavailable => {
                self.workers[worker].backoff_until_ms = now_ms + REFUSAL_BACKOFF_MS;
                self.workers[worker].failure_streak += 1;
            }
            StartRefusal::Incarnation
            | StartRefusal::Full
            | StartRefusal::Late
            | StartRefusal::Fenced => {
                self.workers[worker].backoff_until_ms = now_ms + REFUSAL_BACKOFF_MS;
            }
            StartRefusal::Unsent => {
                self.jobs[phase.job].phases[phase.phase].retry.delay(now_ms);
            }
            StartRefusal::Stale | StartRefusal::Invalid => {}
        }
        match self.attempts[key].start.tries {
            // The refused request was the only one.
            0 | 1 => self.drop_attempt(key, ReleaseCause::Refused),
            _ => self.give_up_start(key),
        }
    }

    /// Stops a confirmed attempt that is no longer wanted.
    pub(super) fn stop_if_unwanted(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let job = &self.jobs[attempt.phase.job];
        let is_done = job
            .phases
            .get(attempt.phase.phase)
            .is_none_or(|phase| phase.tasks[attempt.index].is_done);
        let is_unwanted = job.state.is_final() && job.state != JobState::Completed;
        let is_aborted = attempt.is_gang_aborted;
        if is_unwanted || is_aborted || (is_done && !job.state.is_final()) {
            self.stop_attempt(key);
        }
    }

    /// Stops all attempts of a job.
    pub(super) fn stop_job(&mut self, key: JobKey) {
        let tasks = self.jobs[key].phases.iter().flat_map(|phase| &phase.tasks);
        let attempts: Vec<AttemptKey> = tasks.filter_map(|task| task.attempt).collect();
        for attempt in attempts {
            self.stop_attempt(attempt);
        }
    }

    /// Requests that an attempt be stopped, whatever its state. An attempt that has not been sent yet
    /// is dropped after its commit instead.
    pub(super) fn stop_attempt(&mut self, key: AttemptKey) {
        let now_ms = self.time.now_ms;
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if attempt.state != AttemptState::Persisting && attempt.state != AttemptState::Stopping {
            attempt.state = AttemptState::Stopping;
            attempt.stop_due_ms = now_ms;
            self.stopping.push(key);
        }
    }

    /// Sends the stop requests that are due, and repeats those that were not acknowledged, as far as
    /// the window has space. A worker that does not respond to renewals gets them once it does: until
    /// then they would time out, and keep other requests waiting.
    pub(super) fn send_stops(&mut self) {
        let now_ms = self.time.now_ms;
        let CellCore { attempts, stopping, .. } = self;
        stopping.retain(|key| {
            attempts.get(*key).is_some_and(|attempt| attempt.state == AttemptState::Stopping)
        });
        let is_due = |key: &AttemptKey| {
            let attempt = &self.attempts[*key];
            attempt.stop_due_ms <= now_ms && !self.workers[attempt.worker].is_silent
        };
        let due: Vec<AttemptKey> = self.stopping.iter().copied().filter(is_due).collect();
        for key in due {
            if !self.request_window.try_send(now_ms) {
                return self.log_window();
            }
            let attempt = &mut self.attempts[key];
            let doublings = match self.request_window.is_delayed() {
                true => attempt.stop_tries.min(MAX_STOP_DOUBLINGS),
                false => 0,
            };
            attempt.stop_tries += 1;
            attempt.sent_ms = now_ms;
            attempt.stop_due_ms = now_ms + (STOP_RETRY_MS << doublings);
            let request = self.stop_request(key);
            self.actions.push(CellAction::Stop(request));
        }
    }

    fn stop_request(&self, key: AttemptKey) -> StopRequest {
        let attempt = &self.attempts[key];
        let worker = &self.workers[attempt.worker];
        let job = &self.jobs[attempt.phase.job];
        StopRequest {
            attempt: key,
            address: worker.report.address.clone(),
            worker_id: worker.report.id.clone(),
            incarnation: worker.report.incarnation,
            fence: worker.fence.number(),
            task: job.task_name(attempt.phase.phase, attempt.index),
            number: attempt.number,
        }
    }

    pub(super) fn finish_stop(&mut self, key: AttemptKey, is_acknowledged: bool) {
        let now_ms = self.time.now_ms;
        let sent_ms = self.attempts.get(key).map(|attempt| attempt.sent_ms);
        self.request_window.finish(RequestEnd::of(is_acknowledged, sent_ms), now_ms);
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if is_acknowledged && attempt.state == AttemptState::Stopping {
            attempt.state = AttemptState::StopAcknowledged { since_ms: now_ms };
            let worker = &mut self.workers[attempt.worker];
            worker.next_renew_ms = worker.next_renew_ms.min(now_ms);
        }
    }

    pub(super) fn log_attempt(&mut self, event: &'static str, key: AttemptKey, detail: &str) {
        let attempt = &self.attempts[key];
        let job = &self.jobs[attempt.phase.job];
        let name = job.task_name(attempt.phase.phase, attempt.index);
        let worker = &self.workers[attempt.worker].report.id;
        let detail = format!("attempt={} worker={worker} {detail}", attempt.number);
        self.log(event, name, detail);
    }
}
