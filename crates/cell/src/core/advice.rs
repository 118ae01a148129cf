//! Calls to the adviser, which decides which workers may run a step and issues tickets for them.
//!
//! The adviser serves one call per daemon at a time, and the duration of a call grows with the
//! number of workers in it. The leader therefore spreads the calls over all daemons, includes no
//! more workers than are likely to be needed, and reserves some daemons for short calls so that
//! urgent steps do not wait behind long ones. Whether a worker may run a step never changes, so
//! later calls only renew the tickets of allowed workers.

use {
    super::{
        CellCore, advance_calls::AdvanceCalls, ask_outcome::AskOutcome,
        available::AvailableWorkers, placement::PlacementOutcome,
    },
    crate::{
        AdviceCallKey, AdviceRequest, AdviceTiming, CellAction, JobKey, WorkerKey, WorkerTicket,
        message::PhaseRef,
        table::{
            AdviceCallEntry, AttemptEntry, AttemptState, DaemonEntry, TicketEntry, TicketTimes,
        },
    },
    rustc_hash::FxHashSet,
};

/// Base duration from which calls count as long, in milliseconds.
const LONG_CALL_MS: u64 = 60;
/// One in this many daemons is reserved for short calls.
const SHORT_CALL_DAEMON_SHARE: usize = 3;
/// Maximum time for which a short call may be queued, in milliseconds.
const SHORT_WAIT_MS: u64 = 60;
/// Maximum number of calls in flight per daemon, including a new long one.
const MAX_LONG_CALLS: usize = 2;
/// Maximum number of calls in flight per daemon, including a new short one.
const MAX_SHORT_CALLS: usize = 8;
/// Maximum time for which a long call may be queued, in milliseconds.
const LONG_WAIT_MS: u64 = 250;
/// Round-trip time to the adviser, in milliseconds.
const CALL_OVERHEAD_MS: u64 = 4;
/// A call without a response counts as lost after this multiple of its expected duration plus
/// [`LOST_CALL_MS`]; its daemon may have lost the connection to the leader in the meantime.
const LOST_CALL_FACTOR: u64 = 3;
/// Constant part of that time, in milliseconds.
const LOST_CALL_MS: u64 = 1_000;
/// Time beyond the expected end of a call after which its step asks through another daemon as well, in
/// milliseconds. Either response serves.
const OVERDUE_MS: u64 = 200;
/// Assumed share of allowed workers before a queue has had a response.
pub(super) const INITIAL_GRANT_RATE: f64 = 0.4;
/// Weight of a new response in a queue's share of allowed workers.
const GRANT_RATE_WEIGHT: f64 = 0.1;

impl CellCore {
    pub(super) fn update_daemons(&mut self, ids: &[u64]) {
        self.daemons.retain(|daemon| ids.contains(&daemon.id));
        for id in ids {
            if !self.daemons.iter().any(|daemon| daemon.id == *id) {
                let daemon = DaemonEntry { id: *id, busy_until_ms: 0, calls: 0, is_overdue: false };
                self.daemons.push(daemon);
            }
        }
        self.daemons.sort_by_key(|daemon| daemon.id);
        self.finish_advice_through(|daemon| !ids.contains(&daemon));
    }

    /// Ends the calls through daemons whose connections have ended.
    pub(super) fn finish_advice_through(&mut self, is_lost: impl Fn(u64) -> bool) {
        for key in self.advice_calls_where(|call| is_lost(call.daemon)) {
            self.finish_advice(key, None);
        }
    }

    /// Returns the timing of the adviser of a phase's queue, if it has one. The job's record has that of
    /// a queue which is no longer configured.
    pub(super) fn advice_timing(&self, phase: PhaseRef) -> Option<AdviceTiming> {
        self.job_advice_timing(phase.job)
    }

    fn job_advice_timing(&self, job: JobKey) -> Option<AdviceTiming> {
        let record = &self.jobs[job].record;
        let queue = self.config.queues.get(&record.queue);
        queue.map_or(record.advice, |queue| queue.advice)
    }

    /// Returns whether a job's starts need tickets.
    pub(super) fn has_adviser(&self, job: JobKey) -> bool {
        self.job_advice_timing(job).is_some()
    }

    /// Places the backlog, and requests tickets for steps that could not be placed without them.
    pub(super) fn place_backlog(&mut self) {
        self.back_off_failing();
        self.forget_lost_calls();
        self.review_daemons();
        self.update_shares();
        if self.settings.features.admission {
            self.update_classes();
        }
        self.end_segregation();
        self.begin_suspect_backlog();
        self.review_reservations();
        self.begin_wait_pass();
        let available = self.available_workers();
        let is_planned = |attempt: &&AttemptEntry| attempt.state == AttemptState::Persisting;
        let planned = self.attempts.values().filter(is_planned).count();
        let mut budget = self.request_window.planning_budget(planned, self.time.now_ms);
        let backlog = self.backlog();
        let mut incomplete = Vec::new();
        let first = self.first_suspects(&backlog);
        for phase in first.into_iter().chain(backlog.iter().copied()) {
            if self.place_phase(phase, &available, &mut budget) == PlacementOutcome::Incomplete {
                incomplete.push(phase);
            }
        }
        incomplete.retain(|phase| self.phase(*phase).is_some());
        self.make_room(&incomplete, &available);
        if !incomplete.is_empty() {
            self.refresh_room_index();
        }
        self.ask_adviser(&incomplete, &available);
        self.explain_waiting(&backlog);
    }

    /// Asks the adviser for steps that could not be placed, in the order of the backlog. The step whose turn it
    /// is comes first, so that others which ask in vain again and again do not use the adviser up.
    fn ask_adviser(&mut self, waiting: &[PhaseRef], available: &AvailableWorkers) {
        if let Some(phase) = self.next_turn(waiting) {
            let outcome = self.request_advice(phase, available, &mut AdvanceCalls::none());
            self.finish_turn(phase, outcome);
        }
        let mut advance = AdvanceCalls::new(self.max_reserved_gangs());
        for phase in waiting {
            self.request_advice(*phase, available, &mut advance);
        }
    }

    /// Returns the step whose turn it is, if one is due: the one without a call in flight that has waited for
    /// the most calls of others.
    fn next_turn(&mut self, waiting: &[PhaseRef]) -> Option<PhaseRef> {
        let calls = self.advice_turns.calls();
        for phase in waiting {
            if let Some(entry) = self.phase_mut(*phase) {
                entry.asked_at_call.get_or_insert(calls);
            }
        }
        if !self.advice_turns.is_due() {
            return None;
        }
        let may_ask = |phase: &&PhaseRef| {
            self.phase(**phase).is_some_and(|entry| entry.advice_call.is_none())
        };
        let asked_at_call = |phase: &&PhaseRef| self.phase(**phase)?.asked_at_call;
        waiting.iter().filter(may_ask).min_by_key(asked_at_call).copied()
    }

    /// Ends a step's turn, unless it still has to wait for a daemon.
    fn finish_turn(&mut self, phase: PhaseRef, outcome: AskOutcome) {
        match outcome {
            AskOutcome::Asked => self.advice_turns.end_turn(),
            AskOutcome::Pointless => {
                let calls = self.advice_turns.calls();
                if let Some(entry) = self.phase_mut(phase) {
                    entry.asked_at_call = Some(calls);
                }
            }
            AskOutcome::Busy => {}
        }
    }

    fn advice_calls_where(&self, matches: impl Fn(&AdviceCallEntry) -> bool) -> Vec<AdviceCallKey> {
        self.advice_calls.iter().filter(|(_, call)| matches(call)).map(|(key, _)| key).collect()
    }

    fn forget_lost_calls(&mut self) {
        let now_ms = self.time.now_ms;
        let lost = self.advice_calls_where(|call| {
            now_ms > call.sent_ms + LOST_CALL_FACTOR * call.expected_ms + LOST_CALL_MS
        });
        for key in lost {
            let AdviceCallEntry { phase, daemon, .. } = self.advice_calls[key];
            // The job may have ended and been removed, or its phases freed, in the meantime.
            if let Some(job) = self.jobs.get(phase.job) {
                let id = job.record.id.clone();
                self.log("advice_lost", id, format!("asker={daemon}"));
            }
            self.finish_advice(key, None);
        }
    }

    /// Returns whether the response to a call should have come by now.
    fn is_overdue(&self, call: &AdviceCallEntry) -> bool {
        self.time.now_ms > call.due_ms + OVERDUE_MS
    }

    /// Finds out which daemons do not respond in time.
    fn review_daemons(&mut self) {
        let calls = self.advice_calls.values().filter(|call| self.is_overdue(call));
        let overdue: FxHashSet<u64> = calls.map(|call| call.daemon).collect();
        for daemon in &mut self.daemons {
            daemon.is_overdue = overdue.contains(&daemon.id);
        }
    }

    fn request_advice(
        &mut self,
        phase: PhaseRef,
        available: &AvailableWorkers,
        advance: &mut AdvanceCalls,
    ) -> AskOutcome {
        let Some(timing) = self.advice_timing(phase) else { return AskOutcome::Pointless };
        let is_long = timing.call_us / 1_000 >= LONG_CALL_MS;
        if self.reservations.is_freeing(phase) {
            // Its tickets are valid until it starts.
            return AskOutcome::Pointless;
        }
        let present = self.jobs[phase.job].phases[phase.phase].advice_call;
        let present = present.and_then(|key| self.advice_calls.get(key));
        if present.is_some_and(|call| !self.is_overdue(call)) {
            advance.record_call(is_long);
            return AskOutcome::Asked;
        }
        let is_repeated = present.is_some();
        let Some(daemon) = self.pick_daemon(is_long) else { return AskOutcome::Busy };
        if is_repeated && self.daemons[daemon].is_overdue {
            // Asking there once more would be of no use.
            return AskOutcome::Busy;
        }
        let may_make_room = advance.may_make_room(is_long);
        let workers =
            self.workers_to_name(phase, available, advance.may_ask(is_long), may_make_room);
        if workers.is_empty() {
            return AskOutcome::Pointless;
        }
        let expected_ms = timing.duration_us(workers.len()) / 1_000 + CALL_OVERHEAD_MS;
        advance.record_call(is_long);
        let now_ms = self.time.now_ms;
        let call = AdviceCallEntry {
            phase,
            daemon: self.daemons[daemon].id,
            workers,
            expected_ms,
            sent_ms: now_ms,
            due_ms: self.daemons[daemon].busy_until_ms.max(now_ms) + expected_ms,
            valid_ms: timing.valid_ms,
        };
        let (start_ms, named) = (call.due_ms, call.workers.clone());
        self.send_advice_request(daemon, call);
        self.plan_start(phase, start_ms, &named);
        AskOutcome::Asked
    }

    /// Chooses the daemon that can serve a call first. A daemon whose calls take longer than
    /// expected, for example because of calls of a former leader or of a connection that has gone silent,
    /// is asked only if all do, and gets no more than a few until it has responded.
    fn pick_daemon(&self, is_long: bool) -> Option<usize> {
        let now_ms = self.time.now_ms;
        let reserved = self
            .daemons
            .len()
            .div_ceil(SHORT_CALL_DAEMON_SHARE)
            .min(self.daemons.len().saturating_sub(1));
        let first = if is_long { reserved } else { 0 };
        let limit_ms = if is_long { LONG_WAIT_MS } else { SHORT_WAIT_MS };
        let max_calls = if is_long { MAX_LONG_CALLS } else { MAX_SHORT_CALLS };
        (first..self.daemons.len())
            .filter(|index| self.daemons[*index].calls < max_calls)
            .min_by_key(|index| {
                let daemon = &self.daemons[*index];
                (daemon.is_overdue, daemon.busy_until_ms)
            })
            .filter(|index| self.daemons[*index].busy_until_ms <= now_ms + limit_ms)
    }

    fn send_advice_request(&mut self, daemon: usize, call: AdviceCallEntry) {
        let daemon = &mut self.daemons[daemon];
        daemon.busy_until_ms = call.due_ms;
        daemon.calls += 1;
        let PhaseRef { job, phase } = call.phase;
        let (daemon, expected_ms) = (call.daemon, call.expected_ms);
        let workers = call.workers.iter().map(|key| self.workers[*key].report.id.clone()).collect();
        let call = self.advice_calls.insert(call);
        let job = &mut self.jobs[job];
        job.phases[phase].advice_call = Some(call);
        job.phases[phase].asked_at_call = Some(self.advice_turns.calls());
        let phase = job.phase_name(phase);
        let request = AdviceRequest { call, daemon, phase, workers, expected_ms };
        self.actions.push(CellAction::RequestAdvice(request));
        self.advice_turns.record_call();
    }

    /// Ends a call, and records the adviser's decisions if it responded.
    pub(super) fn finish_advice(&mut self, key: AdviceCallKey, allowed: Option<Vec<WorkerTicket>>) {
        let Some(call) = self.remove_advice_call(key) else { return };
        if let Some(allowed) = allowed {
            self.record_advice(&call, &allowed);
        }
    }

    /// Removes a call from all tables, whatever became of its job, queue or daemon.
    fn remove_advice_call(&mut self, key: AdviceCallKey) -> Option<AdviceCallEntry> {
        let call = self.advice_calls.remove(key)?;
        self.release_daemon(&call);
        if let Some(entry) = self.phase_mut(call.phase)
            && entry.advice_call == Some(key)
        {
            entry.advice_call = None;
        }
        Some(call)
    }

    fn record_advice(&mut self, call: &AdviceCallEntry, allowed: &[WorkerTicket]) {
        let Some(job) = self.jobs.get_mut(call.phase.job) else { return };
        let Some(entry) = job.phases.get_mut(call.phase.phase) else { return };
        entry.fruitless_calls = entry.fruitless_calls.saturating_add(1);
        let arrived_ms = self.time.now_ms;
        let valid_until_ms = arrived_ms.saturating_add(call.valid_ms);
        let times = TicketTimes { arrived_ms, valid_until_ms };
        let mut granted = 0;
        for worker in &call.workers {
            let Some(known) = self.workers.get(*worker) else { continue };
            let ticket = allowed.iter().find(|held| held.worker == known.report.id);
            match ticket {
                Some(held) => {
                    let ticket = held.ticket.clone();
                    entry.allowed.insert(*worker, TicketEntry { ticket, times });
                    granted += 1;
                }
                None => {
                    entry.denied.insert(*worker);
                }
            }
        }
        let share = f64::from(granted) / call.workers.len().max(1) as f64;
        let queue = job.record.queue.clone();
        let known = self.grant_rate.entry(queue).or_insert(INITIAL_GRANT_RATE);
        *known += (share - *known) * GRANT_RATE_WEIGHT;
        let detail = format!(
            "asked={} allowed={granted} took_ms={} expected_ms={}",
            call.workers.len(),
            self.time.now_ms - call.sent_ms,
            call.expected_ms
        );
        let name = self.jobs[call.phase.job].phase_name(call.phase.phase);
        self.log("advice", name, detail);
    }

    /// Discards the adviser's decisions about a worker, and those that are to come of the calls in flight.
    /// They hold for one incarnation only, because the next one may be of another kind.
    pub(super) fn forget_advice(&mut self, key: WorkerKey) {
        for call in self.advice_calls.values_mut() {
            call.workers.retain(|worker| *worker != key);
        }
        for job in &self.live {
            for entry in &mut self.jobs[*job].phases {
                entry.allowed.remove(&key);
                entry.denied.remove(&key);
            }
        }
    }

    fn release_daemon(&mut self, call: &AdviceCallEntry) {
        let now_ms = self.time.now_ms;
        if let Some(daemon) = self.daemons.iter_mut().find(|daemon| daemon.id == call.daemon) {
            daemon.calls = daemon.calls.saturating_sub(1);
            if daemon.calls == 0 {
                daemon.busy_until_ms = now_ms;
            }
        }
    }
}
