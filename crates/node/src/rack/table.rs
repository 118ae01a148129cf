//! Table of a rack's workers and attempts.

use {
    super::{AttemptKey, LocalPhase, TrackedAttempt, UnacknowledgedEnd, WorkerEntry, WorkerKey},
    damaskrack_model::{
        AttemptId, ClockTime, Epoch, MemberName, RackName, Resources, TaskResult, TeamName,
        WorkerName, ZoneName,
    },
    damaskrack_ownership::TokenBucket,
    damaskrack_wire::{PlaceOutcome, RefusalReason, ReportedAttempt},
    rustc_hash::FxHashMap,
    slotmap::SlotMap,
    std::collections::BTreeMap,
};

/// Time for which a void attempt is remembered, in milliseconds.
const VOID_RETENTION_MS: u64 = 60_000;

/// Maximum number of stops per second while a zone drains.
const DRAIN_STOPS_PER_S: u32 = 8;

/// Maximum number of stops in a burst while a zone drains.
const DRAIN_STOP_BURST: u32 = 4;

/// Maximum number of starts per second while a zone ramps up.
const RAMP_STARTS_PER_S: u32 = 20;

/// Maximum number of starts in a burst while a zone ramps up.
const RAMP_START_BURST: u32 = 8;

/// A roll call whose response waits for the end of the rebuild.
#[derive(Debug, Clone)]
pub(crate) struct RollCallEntry {
    /// Epoch of the new queue owner.
    pub(crate) epoch: Epoch,
    /// The new queue owner.
    pub(crate) requester: MemberName,
}

/// Resources and slots in use on a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorkerLoad {
    /// Allocated to attempts that run, may run, are about to start or are held.
    pub(crate) allocated: Resources,
    /// Slots of those attempts.
    pub(crate) allocated_slots: u32,
    /// Part of `allocated` that belongs to attempts that are being stopped.
    pub(crate) stopping: Resources,
    /// Slots of those attempts.
    pub(crate) stopping_slots: u32,
    /// Reserved for attempts that wait for preempted ones to stop.
    pub(crate) pending: Resources,
    /// Slots of those attempts.
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

/// A rack and what is known about it.
#[derive(Debug)]
pub(crate) struct RackTable {
    /// Name of the rack.
    pub(crate) name: RackName,
    /// Its availability zone, once the host list names it.
    pub(crate) zone: Option<ZoneName>,
    /// Epoch of this daemon's ownership.
    pub(crate) epoch: Epoch,
    /// When this daemon took ownership.
    pub(crate) taken_at: ClockTime,
    /// Whether some worker has neither reported nor expired since then.
    pub(crate) is_rebuilding: bool,
    /// Whether it is about to be released.
    pub(crate) is_frozen: bool,
    /// Whether a worker has seen a higher epoch, so that another daemon owns the rack.
    pub(crate) is_fenced: bool,
    /// Whether something has happened since the rack was last processed.
    pub(crate) is_dirty: bool,
    /// When the rack is processed next if nothing happens.
    pub(crate) next_run_at: ClockTime,
    /// Its workers.
    pub(crate) workers: SlotMap<WorkerKey, WorkerEntry>,
    /// Workers by name.
    pub(crate) worker_keys: BTreeMap<WorkerName, WorkerKey>,
    /// Its attempts.
    pub(crate) attempts: SlotMap<AttemptKey, TrackedAttempt>,
    /// Attempts by id; never iterated.
    pub(crate) attempt_keys: FxHashMap<AttemptId, AttemptKey>,
    /// Attempts that must never start, with the time until which they are remembered.
    pub(crate) voids: BTreeMap<AttemptId, ClockTime>,
    /// Roll calls whose responses wait for the end of the rebuild.
    pub(crate) roll_calls: BTreeMap<TeamName, RollCallEntry>,
    /// Verdicts to send, by queue owner.
    pub(crate) verdicts: BTreeMap<MemberName, Vec<(AttemptId, PlaceOutcome)>>,
    /// Phases to send, by queue owner.
    pub(crate) phases: BTreeMap<MemberName, Vec<ReportedAttempt>>,
    /// Since when the zone has been out of service.
    pub(crate) zone_out_since: Option<ClockTime>,
    /// Until when starts are rate-limited after the zone is back in service.
    pub(crate) ramp_until: ClockTime,
    /// Rate limit for starts until then.
    pub(crate) ramp_budget: TokenBucket,
    /// Rate limit for stops while the zone drains.
    pub(crate) drain_budget: TokenBucket,
    /// When notices of ended attempts are sent next.
    pub(crate) next_notice_at: ClockTime,
}

impl RackTable {
    /// Makes the table of a rack of which this daemon has just become the owner.
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

    /// Adds an attempt. Unless it has ended, its resources on its worker are allocated.
    pub(crate) fn insert(&mut self, attempt: TrackedAttempt) -> AttemptKey {
        let (id, worker, is_ended) = (attempt.id.clone(), attempt.worker, attempt.is_ended());
        let key = self.attempts.insert(attempt);
        self.attempt_keys.insert(id, key);
        if !is_ended && let Some(entry) = self.workers.get_mut(worker) {
            entry.attempts.push(key);
        }
        self.is_dirty = true;
        key
    }

    /// Removes an attempt and frees its resources.
    pub(crate) fn remove(&mut self, key: AttemptKey) -> Option<TrackedAttempt> {
        self.detach(key);
        let attempt = self.attempts.remove(key)?;
        self.attempt_keys.remove(&attempt.id);
        Some(attempt)
    }

    /// Moves an attempt that has not been sent to a worker to another worker.
    pub(crate) fn move_to(&mut self, key: AttemptKey, worker: WorkerKey) {
        self.detach(key);
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.worker = worker;
        }
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.attempts.push(key);
        }
    }

    /// Records the end of an attempt and frees its resources.
    pub(crate) fn end(&mut self, key: AttemptKey, result: TaskResult, output: String) {
        self.detach(key);
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.phase = LocalPhase::Ended(UnacknowledgedEnd { result, output, notified: None });
        }
        self.next_notice_at = ClockTime::default();
        self.is_dirty = true;
    }

    /// Removes an attempt that was never started and queues the refusal for its queue owner.
    pub(crate) fn refuse(&mut self, key: AttemptKey, reason: RefusalReason) {
        if let Some(attempt) = self.remove(key)
            && let Some(requester) = attempt.requester
        {
            self.queue_verdict(&requester, attempt.id, PlaceOutcome::Refused(reason));
        }
    }

    /// Queues a verdict on an attempt.
    pub(crate) fn queue_verdict(
        &mut self,
        requester: &MemberName,
        id: AttemptId,
        verdict: PlaceOutcome,
    ) {
        self.is_dirty = true;
        self.verdicts.entry(requester.clone()).or_default().push((id, verdict));
    }

    /// Queues a verdict that names the attempt's worker.
    pub(crate) fn queue_worker_verdict(
        &mut self,
        key: AttemptKey,
        verdict: impl FnOnce(WorkerName) -> PlaceOutcome,
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

    /// Marks an attempt as void, so that it never starts here.
    pub(crate) fn mark_void(&mut self, id: AttemptId, now: ClockTime) {
        self.voids.insert(id, now.plus(VOID_RETENTION_MS));
    }

    /// Returns the keys of the attempts for which `wanted` holds, in the order of the table.
    pub(crate) fn keys_where(&self, wanted: impl Fn(&TrackedAttempt) -> bool) -> Vec<AttemptKey> {
        self.attempts.iter().filter(|(_, attempt)| wanted(attempt)).map(|(key, _)| key).collect()
    }

    /// Sums up the resources in use on a worker.
    pub(crate) fn load(&self, worker: &WorkerEntry) -> WorkerLoad {
        let mut load = WorkerLoad::default();
        worker.attempts.iter().filter_map(|&key| self.attempts.get(key)).for_each(|a| load.add(a));
        load
    }

    /// Returns whether the rack is rebuilt and neither frozen nor fenced.
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
