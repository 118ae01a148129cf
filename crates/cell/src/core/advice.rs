//! Questions to the adviser: which workers may run a step, and with which tickets.
//!
//! The adviser serves one call of a daemon at a time, and a call takes longer the more workers it
//! names. So the leader spreads the calls over all daemons, names no more workers than are likely
//! to be needed, and keeps some daemons free of long calls so that urgent steps need not wait
//! behind one. Whether a worker may run a step never changes, so it is asked about once; later
//! calls only renew tickets of workers that may.

use {
    super::{CellCore, available::AvailableWorkers, placement::PlacementOutcome},
    crate::{
        AdviceCallKey, AdviceRequest, AdviceTiming, CellAction, WorkerKey, WorkerTicket,
        message::PhaseRef,
        table::{AdviceCallEntry, DaemonEntry, TicketEntry},
    },
};

/// Calls above this length are long, in milliseconds.
const LONG_CALL_MS: u64 = 60;
/// One in so many daemons makes no long calls.
const SHORT_CALL_DAEMON_SHARE: usize = 3;
/// Longest time for which a short call may wait for its turn, in milliseconds.
const SHORT_WAIT_MS: u64 = 60;
/// Most calls of a daemon on the way when a long one is added.
const MAX_LONG_CALLS: usize = 2;
/// Most calls of a daemon on the way when a short one is added.
const MAX_SHORT_CALLS: usize = 8;
/// Longest time for which a long call may wait for its turn, in milliseconds.
const LONG_WAIT_MS: u64 = 250;
/// Steps in line for which long calls are made although the cell has no room for them yet.
const PREFETCH_STEPS: usize = 4;
/// Time to reach the adviser and back, in milliseconds.
const CALL_OVERHEAD_MS: u64 = 4;
/// A call without an answer counts as lost after this multiple of its expected time, and
/// [`LOST_CALL_MS`] more: the daemon that asked may have lost its connection meanwhile.
const LOST_CALL_FACTOR: u64 = 3;
/// Time on top of that, in milliseconds.
const LOST_CALL_MS: u64 = 1_000;
/// Most workers in a call.
const MAX_WORKERS: usize = 100;
/// Workers asked about, as a multiple of what would be needed on average.
const SPARE_FACTOR: f64 = 1.6;
/// Workers asked about besides.
const SPARE_WORKERS: usize = 3;
/// Steps begin with one in so many of the workers with room.
const ROTATED_SHARE: usize = 3;
/// Workers between the first ones that two questions in a row name; a prime, so that it goes round
/// lists of any length.
const ROTATION_STRIDE: usize = 7_919;
/// Share of the workers that is taken to be allowed before a queue has shown its own.
const INITIAL_GRANT_RATE: f64 = 0.4;
/// Weight of a new answer in a queue's share of allowed workers.
const GRANT_RATE_WEIGHT: f64 = 0.1;

impl CellCore {
    pub(super) fn update_daemons(&mut self, ids: &[u64]) {
        self.daemons.retain(|daemon| ids.contains(&daemon.id));
        for id in ids {
            if !self.daemons.iter().any(|daemon| daemon.id == *id) {
                self.daemons.push(DaemonEntry { id: *id, busy_until_ms: 0, calls: 0 });
            }
        }
        self.daemons.sort_by_key(|daemon| daemon.id);
        for key in self.advice_calls_where(|call| !ids.contains(&call.daemon)) {
            self.finish_advice(key, None);
        }
    }

    /// Returns the timing of the adviser of a step's queue, if it has one.
    pub(super) fn advice_timing(&self, phase: PhaseRef) -> Option<AdviceTiming> {
        let queue = &self.jobs[phase.job].record.queue;
        self.config.queues.get(queue)?.advice
    }

    /// Places the steps in line, and asks for tickets where that could help.
    pub(super) fn place_backlog(&mut self) {
        self.back_off_failing();
        self.forget_lost_calls();
        let mut prefetch_left = PREFETCH_STEPS;
        let available = self.available_workers();
        for phase in self.backlog() {
            if self.place_phase(phase, &available) == PlacementOutcome::Incomplete {
                self.request_advice(phase, &available, &mut prefetch_left);
            }
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
            // A job that has ended meanwhile may be gone, or have given its steps back.
            if let Some(job) = self.jobs.get(phase.job) {
                let id = job.record.id.clone();
                self.log("advice_lost", id, format!("asker={daemon}"));
            }
            self.finish_advice(key, None);
        }
    }

    fn request_advice(
        &mut self,
        phase: PhaseRef,
        available: &AvailableWorkers,
        prefetch_left: &mut usize,
    ) {
        let Some(timing) = self.advice_timing(phase) else { return };
        if self.jobs[phase.job].phases[phase.phase].advice_call.is_some() {
            *prefetch_left = prefetch_left.saturating_sub(1);
            return;
        }
        let is_long = timing.call_us / 1_000 >= LONG_CALL_MS;
        let may_prefetch = is_long && *prefetch_left > 0;
        let Some(daemon) = self.pick_daemon(is_long) else { return };
        let workers = self.workers_to_name(phase, available, may_prefetch);
        if workers.is_empty() {
            return;
        }
        let expected_ms = timing.duration_us(workers.len()) / 1_000 + CALL_OVERHEAD_MS;
        *prefetch_left = prefetch_left.saturating_sub(1);
        self.send_advice_request(phase, daemon, workers, expected_ms);
    }

    /// Chooses the workers to name, no more than are likely to be needed: those with room first, of
    /// these the ones that are known to be allowed. Gangs ask for those with the most room, all
    /// others for those with the least, so that large room stays whole for gangs. Steps that ask
    /// together name different ones.
    fn workers_to_name(
        &self,
        phase: PhaseRef,
        available: &AvailableWorkers,
        may_prefetch: bool,
    ) -> Vec<WorkerKey> {
        let job = &self.jobs[phase.job];
        let entry = &job.phases[phase.phase];
        let step = &job.record.steps[entry.step];
        let need = step.resources();
        let available = available.of(self.service_of(&job.record));
        let is_wanted = |key: &&WorkerKey| {
            !entry.denied.contains(*key)
                && self.could_host(**key, step)
                && !self.has_ticket(entry, **key)
        };
        let has_free_capacity = |key: &WorkerKey| need.fits(&self.workers[*key].free());
        let (mut roomy, full): (Vec<WorkerKey>, Vec<WorkerKey>) =
            available.iter().copied().partition(has_free_capacity);
        if step.is_gang {
            roomy.reverse();
        }
        let (rotated, rest) = roomy.split_at(roomy.len().div_ceil(ROTATED_SHARE));
        let rotation = self.advice_call_count * ROTATION_STRIDE;
        let (last, first) = rotated.split_at(rotation.checked_rem(rotated.len()).unwrap_or(0));
        let mut known = Vec::new();
        let mut fresh = Vec::new();
        for key in first.iter().chain(last).chain(rest).filter(is_wanted) {
            match entry.allowed.contains_key(key) {
                true => known.push(*key),
                false => fresh.push(*key),
            }
            if fresh.len() >= MAX_WORKERS {
                break;
            }
        }
        known.append(&mut fresh);
        if may_prefetch {
            known.extend(full.iter().rev().filter(is_wanted).take(MAX_WORKERS));
        }
        self.truncate_to_need(phase, known)
    }

    /// Cuts a list of workers to as many as are likely to be needed.
    fn truncate_to_need(&self, phase: PhaseRef, mut workers: Vec<WorkerKey>) -> Vec<WorkerKey> {
        let job = &self.jobs[phase.job];
        let entry = &job.phases[phase.phase];
        let need = job.record.steps[entry.step].resources();
        let share = self.grant_rate.get(&job.record.queue).copied().unwrap_or(INITIAL_GRANT_RATE);
        let mut expected_tasks = 0.0;
        let wanted = entry.unassigned as f64 * SPARE_FACTOR;
        let mut count = 0;
        for key in &workers {
            if expected_tasks >= wanted {
                break;
            }
            let fitting = self.workers[*key].free().count_fitting(&need).max(1);
            let chance = if entry.allowed.contains_key(key) { 1.0 } else { share };
            expected_tasks += fitting.min(entry.unassigned as u64) as f64 * chance;
            count += 1;
        }
        workers.truncate((count + SPARE_WORKERS).min(MAX_WORKERS));
        workers
    }

    /// Chooses the daemon whose turn comes first. One whose calls take longer than expected, perhaps
    /// behind those of a former leader, gets no more until it has answered.
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
            .min_by_key(|index| self.daemons[*index].busy_until_ms)
            .filter(|index| self.daemons[*index].busy_until_ms <= now_ms + limit_ms)
    }

    fn send_advice_request(
        &mut self,
        phase: PhaseRef,
        daemon: usize,
        workers: Vec<WorkerKey>,
        expected_ms: u64,
    ) {
        let now_ms = self.time.now_ms;
        let daemon = &mut self.daemons[daemon];
        daemon.busy_until_ms = daemon.busy_until_ms.max(now_ms) + expected_ms;
        daemon.calls += 1;
        let daemon = daemon.id;
        let ids = workers.iter().map(|key| self.workers[*key].report.id.clone()).collect();
        let call = self.advice_calls.insert(AdviceCallEntry {
            phase,
            daemon,
            workers,
            expected_ms,
            sent_ms: now_ms,
        });
        let job = &mut self.jobs[phase.job];
        job.phases[phase.phase].advice_call = Some(call);
        let phase = job.phase_name(phase.phase);
        let request = AdviceRequest { call, daemon, phase, workers: ids, expected_ms };
        self.actions.push(CellAction::RequestAdvice(request));
        self.advice_call_count += 1;
    }

    pub(super) fn finish_advice(&mut self, key: AdviceCallKey, allowed: Option<Vec<WorkerTicket>>) {
        let Some(call) = self.advice_calls.remove(key) else { return };
        self.release_daemon(&call);
        let Some(timing) = self.advice_timing(call.phase) else { return };
        let Some(job) = self.jobs.get_mut(call.phase.job) else { return };
        let Some(entry) = job.phases.get_mut(call.phase.phase) else { return };
        entry.advice_call = None;
        let Some(allowed) = allowed else { return };
        let valid_until_ms = self.time.now_ms + timing.valid_ms;
        let mut granted = 0;
        for worker in &call.workers {
            let Some(known) = self.workers.get(*worker) else { continue };
            let ticket = allowed.iter().find(|held| held.worker == known.report.id);
            match ticket {
                Some(held) => {
                    let ticket = held.ticket.clone();
                    entry.allowed.insert(*worker, TicketEntry { ticket, valid_until_ms });
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

    /// Forgets what the adviser said of a worker: tickets count for one incarnation only, and the
    /// next one may be of another kind.
    pub(super) fn forget_advice(&mut self, key: WorkerKey) {
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
