//! Questions to the adviser: which workers may run a step, and with which tickets.
//!
//! The adviser serves one call of a daemon at a time, and a call takes longer the more workers it
//! names. So the leader spreads the calls over all daemons, names no more workers than are likely
//! to be needed, and keeps some daemons free of long calls so that urgent steps need not wait
//! behind one. Whether a worker may run a step never changes, so it is asked about once; later
//! calls only renew tickets of workers that may.

use {
    super::{CellCore, available::OpenWorkers, placement::PlaceResult},
    crate::{
        AdviceCallKey, AdviceRequest, AdviceTiming, CellAction, WorkerKey, WorkerTicket,
        message::PhaseRef,
        table::{AskEntry, AskerEntry, TicketEntry},
    },
};

/// Calls above this length are long, in milliseconds.
const LONG_CALL_MS: u64 = 60;
/// One in so many daemons makes no long calls.
const SHORT_CALL_SHARE: usize = 3;
/// Longest time for which a short call may wait for its turn, in milliseconds.
const SHORT_WAIT_MS: u64 = 60;
/// Most calls of a daemon on the way when a long one is added.
const MAX_LONG_CALLS: usize = 2;
/// Most calls of a daemon on the way when a short one is added.
const MAX_SHORT_CALLS: usize = 8;
/// Longest time for which a long call may wait for its turn, in milliseconds.
const LONG_WAIT_MS: u64 = 250;
/// Steps in line for which long calls are made although the cell has no room for them yet.
const AHEAD_STEPS: usize = 4;
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
const NEAR_SHARE: usize = 3;
/// Workers between the first ones that two questions in a row name; a prime, so that it goes round
/// lists of any length.
const SPREAD_STRIDE: usize = 7_919;
/// Share of the workers that is taken to be allowed before a queue has shown its own.
const FIRST_SHARE: f64 = 0.4;
/// Weight of a new answer in a queue's share of allowed workers.
const SHARE_WEIGHT: f64 = 0.1;

impl CellCore {
    pub(super) fn update_askers(&mut self, ids: &[u64]) {
        self.askers.retain(|asker| ids.contains(&asker.id));
        for id in ids {
            if !self.askers.iter().any(|asker| asker.id == *id) {
                self.askers.push(AskerEntry { id: *id, busy_until_ms: 0, calls: 0 });
            }
        }
        self.askers.sort_by_key(|asker| asker.id);
        for key in self.asks_where(|ask| !ids.contains(&ask.asker)) {
            self.finish_ask(key, None);
        }
    }

    /// Returns the timing of the adviser of a step's queue, if it has one.
    pub(super) fn advice_of(&self, phase: PhaseRef) -> Option<AdviceTiming> {
        let queue = &self.jobs[phase.job].record.queue;
        self.config.queues.get(queue)?.advice
    }

    /// Places the steps in line, and asks for tickets where that could help.
    pub(super) fn place_and_ask(&mut self) {
        self.avoid_failing();
        self.forget_lost_asks();
        let mut ahead = AHEAD_STEPS;
        let open = self.open_workers();
        for phase in self.line() {
            if self.place_phase(phase, &open) == PlaceResult::Short {
                self.ask_for(phase, &open, &mut ahead);
            }
        }
    }

    fn asks_where(&self, is_meant: impl Fn(&AskEntry) -> bool) -> Vec<AdviceCallKey> {
        self.asks.iter().filter(|(_, ask)| is_meant(ask)).map(|(key, _)| key).collect()
    }

    fn forget_lost_asks(&mut self) {
        let now_ms = self.time.now_ms;
        let lost = self.asks_where(|ask| {
            now_ms > ask.sent_ms + LOST_CALL_FACTOR * ask.expected_ms + LOST_CALL_MS
        });
        for key in lost {
            let AskEntry { phase, asker, .. } = self.asks[key];
            // A job that has ended meanwhile may be gone, or have given its steps back.
            if let Some(job) = self.jobs.get(phase.job) {
                let id = job.record.id.clone();
                self.note("advice_lost", id, format!("asker={asker}"));
            }
            self.finish_ask(key, None);
        }
    }

    fn ask_for(&mut self, phase: PhaseRef, open: &OpenWorkers, ahead: &mut usize) {
        let Some(timing) = self.advice_of(phase) else { return };
        if self.jobs[phase.job].phases[phase.phase].ask.is_some() {
            *ahead = ahead.saturating_sub(1);
            return;
        }
        let is_long = timing.call_us / 1_000 >= LONG_CALL_MS;
        let may_go_ahead = is_long && *ahead > 0;
        let Some(asker) = self.pick_asker(is_long) else { return };
        let workers = self.workers_to_ask(phase, open, may_go_ahead);
        if workers.is_empty() {
            return;
        }
        let expected_ms = timing.duration_us(workers.len()) / 1_000 + CALL_OVERHEAD_MS;
        *ahead = ahead.saturating_sub(1);
        self.send_ask(phase, asker, workers, expected_ms);
    }

    /// Chooses the workers to name, no more than are likely to be needed: those with room first, of
    /// these the ones that are known to be allowed. Gangs ask for those with the most room, all
    /// others for those with the least, so that large room stays whole for gangs. Steps that ask
    /// together name different ones.
    fn workers_to_ask(
        &self,
        phase: PhaseRef,
        open: &OpenWorkers,
        may_go_ahead: bool,
    ) -> Vec<WorkerKey> {
        let job = &self.jobs[phase.job];
        let entry = &job.phases[phase.phase];
        let step = &job.record.steps[entry.step];
        let need = step.resources();
        let open = open.of(self.service_of(&job.record));
        let is_wanted = |key: &&WorkerKey| {
            !entry.denied.contains(*key)
                && self.suits(**key, step)
                && !self.has_ticket(entry, **key)
        };
        let has_room = |key: &WorkerKey| need.fits(&self.workers[*key].room());
        let (mut roomy, full): (Vec<WorkerKey>, Vec<WorkerKey>) =
            open.iter().copied().partition(has_room);
        if step.is_gang {
            roomy.reverse();
        }
        let (near, far) = roomy.split_at(roomy.len().div_ceil(NEAR_SHARE));
        let turn = self.asked * SPREAD_STRIDE;
        let (last, first) = near.split_at(turn.checked_rem(near.len()).unwrap_or(0));
        let mut known = Vec::new();
        let mut fresh = Vec::new();
        for key in first.iter().chain(last).chain(far).filter(is_wanted) {
            match entry.allowed.contains_key(key) {
                true => known.push(*key),
                false => fresh.push(*key),
            }
            if fresh.len() >= MAX_WORKERS {
                break;
            }
        }
        known.append(&mut fresh);
        if may_go_ahead {
            known.extend(full.iter().rev().filter(is_wanted).take(MAX_WORKERS));
        }
        self.trim_to_need(phase, known)
    }

    /// Cuts a list of workers to as many as are likely to be needed.
    fn trim_to_need(&self, phase: PhaseRef, mut workers: Vec<WorkerKey>) -> Vec<WorkerKey> {
        let job = &self.jobs[phase.job];
        let entry = &job.phases[phase.phase];
        let need = job.record.steps[entry.step].resources();
        let share = self.allowed_share.get(&job.record.queue).copied().unwrap_or(FIRST_SHARE);
        let mut expected_tasks = 0.0;
        let wanted = entry.idle as f64 * SPARE_FACTOR;
        let mut count = 0;
        for key in &workers {
            if expected_tasks >= wanted {
                break;
            }
            let fitting = self.workers[*key].room().times(&need).max(1);
            let chance = if entry.allowed.contains_key(key) { 1.0 } else { share };
            expected_tasks += fitting.min(entry.idle as u64) as f64 * chance;
            count += 1;
        }
        workers.truncate((count + SPARE_WORKERS).min(MAX_WORKERS));
        workers
    }

    /// Chooses the daemon whose turn comes first. One whose calls take longer than expected, perhaps
    /// behind those of a former leader, gets no more until it has answered.
    fn pick_asker(&self, is_long: bool) -> Option<usize> {
        let now_ms = self.time.now_ms;
        let reserved =
            self.askers.len().div_ceil(SHORT_CALL_SHARE).min(self.askers.len().saturating_sub(1));
        let first = if is_long { reserved } else { 0 };
        let limit_ms = if is_long { LONG_WAIT_MS } else { SHORT_WAIT_MS };
        let max_calls = if is_long { MAX_LONG_CALLS } else { MAX_SHORT_CALLS };
        (first..self.askers.len())
            .filter(|index| self.askers[*index].calls < max_calls)
            .min_by_key(|index| self.askers[*index].busy_until_ms)
            .filter(|index| self.askers[*index].busy_until_ms <= now_ms + limit_ms)
    }

    fn send_ask(
        &mut self,
        phase: PhaseRef,
        asker: usize,
        workers: Vec<WorkerKey>,
        expected_ms: u64,
    ) {
        let now_ms = self.time.now_ms;
        let asker = &mut self.askers[asker];
        asker.busy_until_ms = asker.busy_until_ms.max(now_ms) + expected_ms;
        asker.calls += 1;
        let asker = asker.id;
        let ids = workers.iter().map(|key| self.workers[*key].report.id.clone()).collect();
        let ask =
            self.asks.insert(AskEntry { phase, asker, workers, expected_ms, sent_ms: now_ms });
        let job = &mut self.jobs[phase.job];
        job.phases[phase.phase].ask = Some(ask);
        let phase = job.phase_name(phase.phase);
        let order = AdviceRequest { call: ask, daemon: asker, phase, workers: ids, expected_ms };
        self.actions.push(CellAction::RequestAdvice(order));
        self.asked += 1;
    }

    pub(super) fn finish_ask(&mut self, key: AdviceCallKey, allowed: Option<Vec<WorkerTicket>>) {
        let Some(ask) = self.asks.remove(key) else { return };
        self.release_asker(&ask);
        let Some(timing) = self.advice_of(ask.phase) else { return };
        let Some(job) = self.jobs.get_mut(ask.phase.job) else { return };
        let Some(entry) = job.phases.get_mut(ask.phase.phase) else { return };
        entry.ask = None;
        let Some(allowed) = allowed else { return };
        let valid_until_ms = self.time.now_ms + timing.valid_ms;
        let mut granted = 0;
        for worker in &ask.workers {
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
        let share = f64::from(granted) / ask.workers.len().max(1) as f64;
        let queue = job.record.queue.clone();
        let known = self.allowed_share.entry(queue).or_insert(FIRST_SHARE);
        *known += (share - *known) * SHARE_WEIGHT;
        let detail = format!(
            "asked={} allowed={granted} took_ms={} expected_ms={}",
            ask.workers.len(),
            self.time.now_ms - ask.sent_ms,
            ask.expected_ms
        );
        let name = self.jobs[ask.phase.job].phase_name(ask.phase.phase);
        self.note("advice", name, detail);
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

    fn release_asker(&mut self, ask: &AskEntry) {
        let now_ms = self.time.now_ms;
        if let Some(asker) = self.askers.iter_mut().find(|asker| asker.id == ask.asker) {
            asker.calls = asker.calls.saturating_sub(1);
            if asker.calls == 0 {
                asker.busy_until_ms = now_ms;
            }
        }
    }
}
