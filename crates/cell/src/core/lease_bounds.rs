//! Durable bounds on the leases of workers that do not respond.
//!
//! A new leader does not know what its predecessors sent. Without more knowledge it has to assume
//! that the leases of a worker that does not respond were extended until just before the takeover,
//! and by a former leader without access to the store even later. Therefore the leader writes a
//! row with the workers that have not responded for some time, each with the time that its leases
//! can still last. From the moment at which the write is sent until the worker is durably removed
//! from the row, no lease of the worker is extended, whichever leader it is that reads the row.
//! A successor waits for the bound from its own reading, so no clocks are compared.

use {
    super::CellCore,
    crate::{AttemptKey, LeaseBound, WorkerKey, table::WorkerEntry},
    rustc_hash::FxHashSet,
    slotmap::SecondaryMap,
};

/// Time for which a busy worker has not responded before it gets a bound, in milliseconds. Leases
/// cannot be extended while the store is down and the bound stands, so a single lost response is
/// no reason for one.
const MIN_SILENCE_MS: u64 = 700;
/// Time between two writes of the bounds, which get smaller as time passes, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 1_000;
/// Time for which a commit has been in flight from which the store may be unavailable, in
/// milliseconds. Workers get no bounds then, as these could not be removed.
const STALLED_COMMIT_MS: u64 = 300;

/// A write of the row in flight.
#[derive(Debug)]
struct BoundsWrite {
    lane: usize,
    workers: FxHashSet<String>,
}

/// The bounds that the store has or may have.
#[derive(Debug, Default)]
pub(super) struct LeaseBounds {
    /// Ids of the workers in the durable row.
    stored: FxHashSet<String>,
    in_flight: Option<BoundsWrite>,
    /// Times since which busy workers have not responded, as observed by this leader.
    silent_since_ms: SecondaryMap<WorkerKey, u64>,
    next_refresh_ms: u64,
    is_write_due: bool,
}

impl LeaseBounds {
    /// Returns whether the store has a bound of a worker or may get one, so that no lease on any
    /// incarnation of the worker may be extended.
    pub(super) fn contain(&self, worker: &str) -> bool {
        self.stored.contains(worker)
            || self.in_flight.as_ref().is_some_and(|write| write.workers.contains(worker))
    }

    /// Returns whether the row should be written.
    pub(super) fn is_write_due(&self) -> bool {
        self.is_write_due
    }

    /// Updates since when a worker has not responded. One that this leader has not asked yet counts
    /// only if it cannot be asked, or did not respond to the former leader either.
    fn observe(&mut self, key: WorkerKey, worker: &WorkerEntry, now_ms: u64) {
        let is_unreachable =
            worker.report.address.is_empty() || self.stored.contains(&worker.report.id);
        let is_silent = worker.is_silent || (!worker.has_accepted_token && is_unreachable);
        if !is_silent || !worker.is_busy() {
            self.silent_since_ms.remove(key);
        } else if !self.silent_since_ms.contains_key(key) {
            self.silent_since_ms.insert(key, now_ms);
        }
    }
}

impl CellCore {
    /// Takes over the bounds that a former leader has written. The jobs must have been restored
    /// before, and the row must have been read in this leader's term.
    ///
    /// ```
    /// let mut core = damaskrack_cell::CellCore::new(Default::default());
    /// let worker = "w1".to_owned();
    /// let bound = damaskrack_cell::LeaseBound { worker, remaining_ms: 2_000, ..Default::default() };
    /// core.restore_lease_bounds(&[bound]);
    /// ```
    pub fn restore_lease_bounds(&mut self, bounds: &[LeaseBound]) {
        for bound in bounds {
            self.lease_bounds.stored.insert(bound.worker.clone());
            let Some(&key) = self.worker_ids.get(&bound.worker) else { continue };
            let worker = &mut self.workers[key];
            if worker.report.incarnation != bound.incarnation || !worker.is_busy() {
                continue;
            }
            let expiry_ms = self.time.now_ms.saturating_add(bound.remaining_ms);
            worker.lease.limit_others(expiry_ms);
            if worker.report.address.is_empty() {
                worker.report.address.clone_from(&bound.address);
                worker.responded_address.clone_from(&bound.address);
            }
            let detail = format!("remaining_ms={}", bound.remaining_ms);
            self.log("lease_bound_inherited", &bound.worker, detail);
        }
    }

    /// Finds the workers that do not respond, and whether their bounds should be written.
    pub(super) fn review_lease_bounds(&mut self) {
        let now_ms = self.time.now_ms;
        let CellCore { lease_bounds, workers, .. } = self;
        lease_bounds.silent_since_ms.retain(|key, _| workers.contains_key(key));
        for (key, worker) in workers.iter() {
            lease_bounds.observe(key, worker, now_ms);
        }
        if lease_bounds.silent_since_ms.is_empty() && lease_bounds.stored.is_empty() {
            lease_bounds.is_write_due = false;
            return;
        }
        let bounded = self.bounded_workers();
        let ids: FxHashSet<&str> =
            bounded.iter().map(|key| self.workers[*key].report.id.as_str()).collect();
        let is_refresh_due = !ids.is_empty()
            && now_ms >= self.lease_bounds.next_refresh_ms
            && !self.commits.is_stalled(now_ms, STALLED_COMMIT_MS);
        let is_removal_due = self.lease_bounds.stored.iter().any(|id| !ids.contains(id.as_str()));
        self.lease_bounds.is_write_due =
            self.lease_bounds.in_flight.is_none() && (is_refresh_due || is_removal_due);
    }

    /// Returns the workers whose bounds the row should have.
    fn bounded_workers(&self) -> Vec<WorkerKey> {
        let now_ms = self.time.now_ms;
        let is_stalled = self.commits.is_stalled(now_ms, STALLED_COMMIT_MS);
        let is_bounded = |key: &WorkerKey, since_ms: u64| {
            let is_stored = self.lease_bounds.stored.contains(&self.workers[*key].report.id);
            is_stored || (!is_stalled && now_ms >= since_ms + MIN_SILENCE_MS)
        };
        let silent = self.lease_bounds.silent_since_ms.iter();
        silent.filter(|(key, since_ms)| is_bounded(key, **since_ms)).map(|(key, _)| key).collect()
    }

    /// Returns the incarnation whose leases expire when the worker's do; 0 if those are of a former one, and the present
    /// one may still carry out requests that were meant for that.
    fn bounded_incarnation(&self, worker: &WorkerEntry) -> u64 {
        let incarnation = worker.report.incarnation;
        let is_own = |key: &AttemptKey| self.attempts[*key].incarnation == incarnation;
        let has_own = !worker.needs_fence() && worker.attempts.values().all(is_own);
        let is_known = worker.has_accepted_fence() || has_own;
        if is_known { incarnation } else { 0 }
    }

    /// Returns the bounds for a write on a lane. From now on they hold.
    pub(super) fn take_lease_bounds(&mut self, lane: usize) -> Vec<LeaseBound> {
        let now_ms = self.time.now_ms;
        let bound = |key: WorkerKey| {
            let worker = &self.workers[key];
            LeaseBound {
                worker: worker.report.id.clone(),
                incarnation: self.bounded_incarnation(worker),
                address: worker.responded_address.clone(),
                remaining_ms: worker.lease.expiry_ms().saturating_sub(now_ms),
            }
        };
        let bounds: Vec<LeaseBound> = self.bounded_workers().into_iter().map(bound).collect();
        let workers: FxHashSet<String> = bounds.iter().map(|bound| bound.worker.clone()).collect();
        if workers != self.lease_bounds.stored {
            let count =
                format!("workers={} before={}", workers.len(), self.lease_bounds.stored.len());
            self.log("lease_bounds_changed", "", count);
        }
        self.lease_bounds.in_flight = Some(BoundsWrite { lane, workers });
        self.lease_bounds.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS;
        self.lease_bounds.is_write_due = false;
        bounds
    }

    /// Records that a commit is durable. Workers that are no longer in the row are renewed at once.
    pub(super) fn finish_lease_bounds(&mut self, lane: usize) {
        let bounds = &mut self.lease_bounds;
        let Some(write) = bounds.in_flight.take_if(|write| write.lane == lane) else { return };
        let former = std::mem::replace(&mut bounds.stored, write.workers);
        for id in former.difference(&self.lease_bounds.stored) {
            if let Some(worker) = self.worker_ids.get(id).and_then(|key| self.workers.get_mut(*key))
            {
                worker.next_renew_ms = worker.next_renew_ms.min(self.time.now_ms);
            }
        }
    }
}
