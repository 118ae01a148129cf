//! One rack with its workers and attempts.

use {
    super::{AttemptKey, LocalPhase, TrackedAttempt, UnacknowledgedEnd, WorkerEntry, WorkerKey},
    damaskrack_model::{
        AttemptId, ClockTime, Epoch, MemberName, RackName, Resources, TaskResult, TeamName,
        WorkerName, ZoneName,
    },
    damaskrack_ownership::TokenBucket,
    damaskrack_wire::{AttemptRow, PlaceVerdict, RefusalReason},
    rustc_hash::FxHashMap,
    slotmap::SlotMap,
    std::collections::BTreeMap,
};

/// Time that an attempt stays void after it was inquired about, in milliseconds.
const VOID_RETENTION_MS: u64 = 60_000;

/// Stops a second while a zone drains.
const DRAIN_STOPS_PER_S: u32 = 8;

/// Stops at once when a zone drains.
const DRAIN_STOP_BURST: u32 = 4;

/// Starts a second while a zone ramps up again.
const RAMP_STARTS_PER_S: u32 = 20;

/// Starts at once when a zone ramps up again.
const RAMP_START_BURST: u32 = 8;

/// A roll call that waits for the rebuild.
#[derive(Debug, Clone)]
pub(crate) struct RollCallEntry {
    /// Epoch of the asking owner.
    pub(crate) epoch: Epoch,
    /// The asking owner.
    pub(crate) requester: MemberName,
}

/// Room taken on a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorkerLoad {
    /// Taken by what runs, may run, is about to start or is held.
    pub(crate) allocated: Resources,
    /// Slots of the same.
    pub(crate) allocated_slots: u32,
    /// Part of `present` that is being stopped.
    pub(crate) stopping: Resources,
    /// Slots of the same.
    pub(crate) stopping_slots: u32,
    /// Kept for attempts that wait for victims.
    pub(crate) pending: Resources,
    /// Slots of the same.
    pub(crate) pending_slots: u32,
}

impl WorkerLoad {
    fn add(&mut self, attempt: &TrackedAttempt) {
        if matches!(attempt.phase, LocalPhase::Pending { .. }) {
            self.pending = self.pending.saturating_add(attempt.resources);
            self.pending_slots += 1;
            return;
        }
        self.allocated = self.allocated.saturating_add(attempt.resources);
        self.allocated_slots += 1;
        if attempt.is_stopping() {
            self.stopping = self.stopping.saturating_add(attempt.resources);
            self.stopping_slots += 1;
        }
    }
}

/// One rack.
#[derive(Debug)]
pub(crate) struct RackTable {
    /// Its name.
    pub(crate) name: RackName,
    /// Its availability zone, once the host list names it.
    pub(crate) zone: Option<ZoneName>,
    /// Epoch of this daemon's ownership.
    pub(crate) epoch: Epoch,
    /// When this daemon took it.
    pub(crate) taken_at: ClockTime,
    /// Whether a worker's report is still missing since then.
    pub(crate) is_rebuilding: bool,
    /// Whether it is about to be released.
    pub(crate) is_frozen: bool,
    /// Whether a worker has seen a higher epoch: somebody else owns the rack.
    pub(crate) is_fenced: bool,
    /// Whether something happened since its systems ran.
    pub(crate) is_dirty: bool,
    /// When its systems run next if nothing happens.
    pub(crate) next_run_at: ClockTime,
    /// Its workers.
    pub(crate) workers: SlotMap<WorkerKey, WorkerEntry>,
    /// Workers by name.
    pub(crate) worker_keys: BTreeMap<WorkerName, WorkerKey>,
    /// Its attempts.
    pub(crate) attempts: SlotMap<AttemptKey, TrackedAttempt>,
    /// Attempts by id; never iterated.
    pub(crate) attempt_keys: FxHashMap<AttemptId, AttemptKey>,
    /// Attempts that must not start any more, until when.
    pub(crate) voids: BTreeMap<AttemptId, ClockTime>,
    /// Roll calls that wait for the rebuild.
    pub(crate) roll_calls: BTreeMap<TeamName, RollCallEntry>,
    /// Verdicts to send.
    pub(crate) verdicts: BTreeMap<MemberName, Vec<(AttemptId, PlaceVerdict)>>,
    /// Phases to send.
    pub(crate) phases: BTreeMap<MemberName, Vec<AttemptRow>>,
    /// Since when the zone has been out of service.
    pub(crate) zone_out_since: Option<ClockTime>,
    /// Until when starts are limited after the zone came back.
    pub(crate) ramp_until: ClockTime,
    /// Limits starts during the ramp.
    pub(crate) ramp_budget: TokenBucket,
    /// Limits stops during the drain.
    pub(crate) drain_budget: TokenBucket,
    /// When ended attempts are told next.
    pub(crate) next_notice_at: ClockTime,
}

impl RackTable {
    /// Makes the table of a rack that was just taken.
    pub(crate) fn new(name: RackName, epoch: Epoch, now: ClockTime) -> Self {
        Self {
            name,
            zone: None,
            epoch,
            taken_at: now,
            is_rebuilding: true,
            is_frozen: false,
            is_fenced: false,
            is_dirty: true,
            next_run_at: now,
            workers: SlotMap::with_key(),
            worker_keys: BTreeMap::new(),
            attempts: SlotMap::with_key(),
            attempt_keys: FxHashMap::default(),
            voids: BTreeMap::new(),
            roll_calls: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            phases: BTreeMap::new(),
            zone_out_since: None,
            ramp_until: ClockTime::default(),
            ramp_budget: TokenBucket::new(RAMP_STARTS_PER_S, RAMP_START_BURST),
            drain_budget: TokenBucket::new(DRAIN_STOPS_PER_S, DRAIN_STOP_BURST),
            next_notice_at: ClockTime::default(),
        }
    }

    /// Returns the key of an attempt.
    pub(crate) fn find(&self, attempt: &AttemptId) -> Option<AttemptKey> {
        self.attempt_keys.get(attempt).copied()
    }

    /// Adds an attempt, on its worker unless it has ended.
    pub(crate) fn insert(&mut self, attempt: TrackedAttempt) -> AttemptKey {
        let (id, worker, is_ended) = (attempt.id.clone(), attempt.worker, attempt.is_ended());
        let key = self.attempts.insert(attempt);
        self.attempt_keys.insert(id, key);
        if !is_ended && let Some(row) = self.workers.get_mut(worker) {
            row.attempts.push(key);
        }
        self.is_dirty = true;
        key
    }

    /// Removes an attempt and frees its room.
    pub(crate) fn remove(&mut self, key: AttemptKey) -> Option<TrackedAttempt> {
        self.detach(key);
        let attempt = self.attempts.remove(key)?;
        self.attempt_keys.remove(&attempt.id);
        Some(attempt)
    }

    /// Moves an attempt that was not sent yet to another worker.
    pub(crate) fn move_to(&mut self, key: AttemptKey, worker: WorkerKey) {
        self.detach(key);
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.worker = worker;
        }
        if let Some(row) = self.workers.get_mut(worker) {
            row.attempts.push(key);
        }
    }

    /// Records the end of an attempt and frees its room.
    pub(crate) fn end(&mut self, key: AttemptKey, result: TaskResult, output: String) {
        self.detach(key);
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.phase = LocalPhase::Ended(UnacknowledgedEnd { result, output, notified: None });
        }
        self.next_notice_at = ClockTime::default();
        self.is_dirty = true;
    }

    /// Removes an attempt that was never started and tells its queue owner.
    pub(crate) fn refuse(&mut self, key: AttemptKey, reason: RefusalReason) {
        if let Some(attempt) = self.remove(key)
            && let Some(requester) = attempt.requester
        {
            self.queue_verdict(&requester, attempt.id, PlaceVerdict::Refused(reason));
        }
    }

    /// Queues a verdict.
    pub(crate) fn queue_verdict(
        &mut self,
        requester: &MemberName,
        id: AttemptId,
        verdict: PlaceVerdict,
    ) {
        self.is_dirty = true;
        self.verdicts.entry(requester.clone()).or_default().push((id, verdict));
    }

    /// Queues a verdict that names the attempt's worker.
    pub(crate) fn queue_worker_verdict(
        &mut self,
        key: AttemptKey,
        verdict: impl FnOnce(WorkerName) -> PlaceVerdict,
    ) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let (Some(requester), Some(worker)) =
            (attempt.requester.clone(), self.workers.get(attempt.worker))
        else {
            return;
        };
        let verdict = verdict(worker.name.clone());
        self.queue_verdict(&requester, attempt.id.clone(), verdict);
    }

    /// Makes an attempt void, so that it never starts here.
    pub(crate) fn mark_void(&mut self, id: AttemptId, now: ClockTime) {
        self.voids.insert(id, now.plus(VOID_RETENTION_MS));
    }

    /// Returns the attempts in a state, in the order of the table.
    pub(crate) fn keys_where(&self, wanted: impl Fn(&TrackedAttempt) -> bool) -> Vec<AttemptKey> {
        self.attempts.iter().filter(|(_, attempt)| wanted(attempt)).map(|(key, _)| key).collect()
    }

    /// Sums up what is taken on a worker.
    pub(crate) fn load(&self, worker: &WorkerEntry) -> WorkerLoad {
        let mut load = WorkerLoad::default();
        worker.attempts.iter().filter_map(|&key| self.attempts.get(key)).for_each(|a| load.add(a));
        load
    }

    /// Tells whether the rack may be asked for work at all.
    pub(crate) fn is_serving(&self) -> bool {
        !self.is_rebuilding && !self.is_frozen && !self.is_fenced
    }

    fn detach(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(key)
            && let Some(worker) = self.workers.get_mut(attempt.worker)
        {
            worker.attempts.retain(|&other| other != key);
        }
        self.is_dirty = true;
    }
}
