//! Free capacity of racks, as known to this daemon's queues.
//!
//! Rack summaries lag by a heartbeat. Placements of this daemon since the last summary are
//! reserved here, so that a burst does not overload one rack.

use {
    crate::view::ClusterView,
    damaskrack_model::{ClockTime, RackName, Resources},
    damaskrack_policy::{RackFreeCapacity, rank_full_racks, rank_racks},
    rustc_hash::FxHashMap,
};

/// Time for which a rack that refused a task gets no new ones, in milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 150;

/// Time without a response to a placement after which a rack gets no new tasks until it responds,
/// in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 300;
/// Time after which an unresponsive rack is tried again, in milliseconds.
const UNRESPONSIVE_RETRY_MS: u64 = 3_000;

/// Free capacity of every rack.
#[derive(Debug, Default)]
pub(super) struct FreeCapacityTracker {
    names: Vec<RackName>,
    racks: Vec<RackFreeCapacity>,
    index: FxHashMap<RackName, usize>,
    refused_until: FxHashMap<RackName, ClockTime>,
    /// Number of placements without a response, and when they began or the rack last responded.
    pending_responses: FxHashMap<RackName, (u32, ClockTime)>,
    generation: u64,
    /// Distinct capacities of the racks' largest workers.
    largest_workers: Vec<Resources>,
    /// Rack index and its free capacity before each reservation since the last summaries.
    reservations: Vec<(usize, RackFreeCapacity)>,
}

/// A point to which reservations can be rolled back.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityCheckpoint(usize);

/// Rack chosen for a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RackChoice {
    /// The rack should have enough free capacity.
    Free(RackName),
    /// The rack has to preempt tasks of teams above their entitlement.
    Preempting(RackName),
    /// No rack can take the task now.
    Unavailable,
}

impl FreeCapacityTracker {
    /// Replaces the tracked capacities if there are new summaries, which drops the reservations.
    pub(super) fn refresh(&mut self, view: &ClusterView) {
        self.refused_until.retain(|_, until| *until > view.now);
        if self.generation == view.summaries_generation {
            return;
        }
        self.generation = view.summaries_generation;
        self.names.clear();
        self.racks.clear();
        self.index.clear();
        self.largest_workers.clear();
        self.reservations.clear();
        for (name, entry) in &view.summaries {
            let summary = &entry.summary;
            let is_reachable = view.reachable_owner(name).is_some();
            let is_open = summary.is_open && is_reachable && view.is_zone_in_service(&summary.zone);
            self.index.insert(name.clone(), self.names.len());
            self.names.push(name.clone());
            self.racks.push(RackFreeCapacity {
                is_open,
                capacity: summary.capacity,
                free: summary.free,
                free_slots: summary.free_slots,
                largest_free: summary.largest_free,
                largest_worker: summary.largest_worker,
                same_job_tasks: 0,
            });
            if !self.largest_workers.contains(&summary.largest_worker) {
                self.largest_workers.push(summary.largest_worker);
            }
        }
    }

    /// Returns whether an empty worker of the cell could run a task. True while no rack is known.
    pub(super) fn fits_any_worker(&self, need: Resources) -> bool {
        self.largest_workers.is_empty()
            || self.largest_workers.iter().any(|capacity| capacity.covers(need))
    }

    /// Chooses a rack for a task; only an entitled task may go where others must be preempted.
    pub(super) fn choose(
        &self,
        need: Resources,
        is_entitled: bool,
        draw: u64,
        now: ClockTime,
    ) -> RackChoice {
        let is_usable = |index: usize| {
            let name = &self.names[index];
            !self.refused_until.contains_key(name) && !self.is_unresponsive(name, now)
        };
        let free = rank_racks(&self.racks, need, draw).into_iter().find(|&index| is_usable(index));
        if let Some(index) = free {
            return RackChoice::Free(self.names[index].clone());
        }
        if !is_entitled {
            return RackChoice::Unavailable;
        }
        let full = rank_full_racks(&self.racks, need, draw);
        match full.into_iter().find(|&index| is_usable(index)) {
            Some(index) => RackChoice::Preempting(self.names[index].clone()),
            None => RackChoice::Unavailable,
        }
    }

    /// Returns a checkpoint for [`Self::restore`].
    pub(super) fn checkpoint(&self) -> CapacityCheckpoint {
        CapacityCheckpoint(self.reservations.len())
    }

    /// Rolls back the reservations since a checkpoint.
    pub(super) fn restore(&mut self, checkpoint: CapacityCheckpoint) {
        for (index, former) in self.reservations.drain(checkpoint.0..).rev() {
            self.racks[index] = former;
        }
    }

    /// Reserves capacity for a task that is placed in a rack.
    pub(super) fn reserve(&mut self, rack: &RackName, need: Resources) {
        let Some(&index) = self.index.get(rack) else { return };
        self.reservations.push((index, self.racks[index]));
        let capacity = &mut self.racks[index];
        capacity.free = capacity.free.saturating_sub(need);
        capacity.free_slots = capacity.free_slots.saturating_sub(1);
        if !capacity.free.covers(capacity.largest_free) {
            capacity.largest_free = capacity.free;
        }
    }

    fn is_unresponsive(&self, rack: &RackName, now: ClockTime) -> bool {
        self.pending_responses.get(rack).is_some_and(|(_, since)| {
            (RESPONSE_TIMEOUT_MS..UNRESPONSIVE_RETRY_MS).contains(&now.since(*since))
        })
    }

    /// Records that a task was sent to a rack with enough free capacity.
    pub(super) fn record_sent(&mut self, rack: &RackName, now: ClockTime) {
        self.pending_responses.entry(rack.clone()).or_insert((0, now)).0 += 1;
    }

    /// Records a rack's response to a placement.
    pub(super) fn record_response(&mut self, rack: &RackName, now: ClockTime) {
        if let Some((count, since)) = self.pending_responses.get_mut(rack) {
            *count = count.saturating_sub(1);
            *since = now;
            if *count == 0 {
                self.pending_responses.remove(rack);
            }
        }
    }

    /// Records that a rack refused a task.
    pub(super) fn record_refusal(&mut self, rack: &RackName, now: ClockTime) {
        self.refused_until.insert(rack.clone(), now.plus(REFUSAL_BACKOFF_MS));
    }
}
