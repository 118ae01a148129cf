//! What this daemon's queues know about room in racks.
//!
//! Summaries lag by a heartbeat. What the queues of this daemon placed since the last summary is
//! deducted here, so that a burst does not run into one rack.

use {
    crate::view::ClusterView,
    damaskrack_model::{ClockTime, RackName, Resources},
    damaskrack_policy::{RackFreeCapacity, rank_full_racks, rank_racks},
    rustc_hash::FxHashMap,
};

/// Time for which a rack that refused is not asked again, in milliseconds.
const REFUSED_MS: u64 = 150;

/// Time without a verdict after which a rack gets nothing more until it gives one, in
/// milliseconds.
const UNANSWERED_MS: u64 = 300;
/// Time after which such a rack is tried again, in milliseconds.
const RETRY_UNANSWERED_MS: u64 = 3_000;

/// Room in every rack.
#[derive(Debug, Default)]
pub(super) struct RackBoard {
    names: Vec<RackName>,
    rooms: Vec<RackFreeCapacity>,
    index: FxHashMap<RackName, usize>,
    refused_until: FxHashMap<RackName, ClockTime>,
    /// Placements without a verdict, and when the rack last gave one while there were any.
    unanswered: FxHashMap<RackName, (u32, ClockTime)>,
    generation: u64,
    largest_worker: Vec<Resources>,
    /// Rooms before each deduction since the last summaries.
    deductions: Vec<(usize, RackFreeCapacity)>,
}

/// A point to which deductions can be taken back.
#[derive(Debug, Clone, Copy)]
pub(super) struct BoardCheckpoint(usize);

/// Where a task can go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RackChoice {
    /// There should be room.
    Free(RackName),
    /// There is room if borrowers yield.
    Yielding(RackName),
    /// Nowhere now.
    Nowhere,
}

impl RackBoard {
    /// Takes over new summaries.
    pub(super) fn refresh(&mut self, view: &ClusterView) {
        self.refused_until.retain(|_, until| *until > view.now);
        if self.generation == view.summaries_generation {
            return;
        }
        self.generation = view.summaries_generation;
        self.names.clear();
        self.rooms.clear();
        self.index.clear();
        self.largest_worker.clear();
        self.deductions.clear();
        for (name, row) in &view.summaries {
            let summary = &row.summary;
            let is_reachable = view.reachable_owner(name).is_some();
            let is_open = summary.is_open && is_reachable && view.is_zone_in_service(&summary.zone);
            self.index.insert(name.clone(), self.names.len());
            self.names.push(name.clone());
            self.rooms.push(RackFreeCapacity {
                is_open,
                capacity: summary.capacity,
                free: summary.free,
                free_slots: summary.free_slots,
                largest_free: summary.largest_free,
                largest_worker: summary.largest_worker,
                same_job_tasks: 0,
            });
            if !self.largest_worker.contains(&summary.largest_worker) {
                self.largest_worker.push(summary.largest_worker);
            }
        }
    }

    /// Tells whether some worker of the cell could ever hold a task. True while nothing is known.
    pub(super) fn could_ever_hold(&self, need: Resources) -> bool {
        self.largest_worker.is_empty()
            || self.largest_worker.iter().any(|capacity| capacity.covers(need))
    }

    /// Chooses a rack for a task.
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
        let free = rank_racks(&self.rooms, need, draw).into_iter().find(|&index| is_usable(index));
        if let Some(index) = free {
            return RackChoice::Free(self.names[index].clone());
        }
        if !is_entitled {
            return RackChoice::Nowhere;
        }
        let full = rank_full_racks(&self.rooms, need, draw);
        match full.into_iter().find(|&index| is_usable(index)) {
            Some(index) => RackChoice::Yielding(self.names[index].clone()),
            None => RackChoice::Nowhere,
        }
    }

    /// Returns the rooms, to be restored if a choice is not carried out.
    pub(super) fn checkpoint(&self) -> BoardCheckpoint {
        BoardCheckpoint(self.deductions.len())
    }

    /// Takes back the deductions since a checkpoint.
    pub(super) fn restore(&mut self, checkpoint: BoardCheckpoint) {
        for (index, room) in self.deductions.drain(checkpoint.0..).rev() {
            self.rooms[index] = room;
        }
    }

    /// Deducts a task that was sent to a rack.
    pub(super) fn deduct(&mut self, rack: &RackName, need: Resources) {
        let Some(&index) = self.index.get(rack) else { return };
        self.deductions.push((index, self.rooms[index]));
        let room = &mut self.rooms[index];
        room.free = room.free.saturating_sub(need);
        room.free_slots = room.free_slots.saturating_sub(1);
        if !room.free.covers(room.largest_free) {
            room.largest_free = room.free;
        }
    }

    fn is_unresponsive(&self, rack: &RackName, now: ClockTime) -> bool {
        self.unanswered.get(rack).is_some_and(|(_, since)| {
            (UNANSWERED_MS..RETRY_UNANSWERED_MS).contains(&now.since(*since))
        })
    }

    /// Notes that a task was sent to a rack that has room for it.
    pub(super) fn note_sent(&mut self, rack: &RackName, now: ClockTime) {
        self.unanswered.entry(rack.clone()).or_insert((0, now)).0 += 1;
    }

    /// Notes that a rack has given a verdict.
    pub(super) fn note_answered(&mut self, rack: &RackName, now: ClockTime) {
        if let Some((count, since)) = self.unanswered.get_mut(rack) {
            *count = count.saturating_sub(1);
            *since = now;
            if *count == 0 {
                self.unanswered.remove(rack);
            }
        }
    }

    /// Notes that a rack refused.
    pub(super) fn mark_refused(&mut self, rack: &RackName, now: ClockTime) {
        self.refused_until.insert(rack.clone(), now.plus(REFUSED_MS));
    }
}
