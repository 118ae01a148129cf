//! The budget of memory for jobs, and what each team holds of it.
//!
//! A pure type: times and amounts are passed in. An accepted job is never dropped, so the budget is checked
//! before a job is accepted. A team may hold at most [`FREE_FACTOR`] times as much as is free: one alone
//! gets three quarters of the budget, and however many have taken as much as they may, some is free for one
//! that holds less.

use {
    rustc_hash::FxHashMap,
    std::collections::{BTreeMap, VecDeque},
};

/// Multiple of the free memory that a team may hold.
const FREE_FACTOR: usize = 3;
/// Time for which an offered job is remembered, and its memory reserved, in milliseconds: longer than its
/// write may take.
pub const OFFER_TIMEOUT_MS: u64 = 3_000;
/// Time in which a sum of freed memory fades to 37 % of itself, in milliseconds.
const FADE_MS: f64 = 5_000.0;

/// Whether there is memory for a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum MemoryVerdict {
    /// There is.
    Admit,
    /// The job could never be held.
    TooLarge,
    /// The team holds too much.
    Refuse {
        /// Memory that the team holds, in bytes.
        held: usize,
        /// Time after which the team is expected to have given back enough, in milliseconds.
        wait_ms: f64,
    },
}

/// What one team holds.
#[derive(Debug, Default)]
struct TeamMemory {
    bytes: usize,
    /// Faded sum of the memory that the team has given back.
    freed: f64,
    freed_ms: u64,
}

impl TeamMemory {
    /// Returns the faded sum of the memory given back until now.
    fn freed_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.freed_ms) as f64;
        self.freed * (-elapsed_ms / FADE_MS).exp()
    }

    fn record_freed(&mut self, bytes: usize, now_ms: u64) {
        self.freed = self.freed_at(now_ms) + bytes as f64;
        self.freed_ms = now_ms;
    }
}

/// Memory for a job that its daemon may be writing.
#[derive(Debug)]
struct Reservation {
    team: String,
    bytes: usize,
    until_ms: u64,
}

/// The memory of all jobs.
#[derive(Debug)]
pub(super) struct JobMemory {
    limit: usize,
    held: usize,
    teams: FxHashMap<String, TeamMemory>,
    /// Reservations by job id.
    reserved: BTreeMap<String, Reservation>,
    /// Job ids and the ends of their reservations, oldest first.
    order: VecDeque<(u64, String)>,
}

impl JobMemory {
    /// Creates a budget of which nothing is held.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            teams: FxHashMap::default(),
            reserved: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the memory that is free, in bytes.
    pub(super) fn free(&self) -> usize {
        self.limit.saturating_sub(self.held)
    }

    fn held_by(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, |team| team.bytes)
    }

    /// Returns whether a team may hold more.
    pub(super) fn has_space(&self, team: &str, bytes: usize) -> bool {
        let Some(free) = self.free().checked_sub(bytes) else { return false };
        self.held_by(team) + bytes <= free.saturating_mul(FREE_FACTOR)
    }

    /// Decides on a job of a team. One that its daemon may already write has its memory.
    pub(super) fn decide(
        &mut self,
        job: &str,
        team: &str,
        bytes: usize,
        now_ms: u64,
    ) -> MemoryVerdict {
        self.end_reservations(now_ms);
        let is_reserved = self.reserved.get(job).is_some_and(|own| own.team == team);
        if is_reserved || self.has_space(team, bytes) {
            return MemoryVerdict::Admit;
        }
        if bytes > self.limit / (FREE_FACTOR + 1) * FREE_FACTOR {
            return MemoryVerdict::TooLarge;
        }
        let held = self.held_by(team);
        let allowed = self.free().saturating_mul(FREE_FACTOR);
        let wanted = held.saturating_add(bytes.saturating_mul(FREE_FACTOR + 1));
        // What the team gives back counts for the team, and `FREE_FACTOR` times as free.
        let missing = wanted.saturating_sub(allowed).div_ceil(FREE_FACTOR + 1);
        let freed = self.teams.get(team).map_or(0.0, |team| team.freed_at(now_ms));
        MemoryVerdict::Refuse { held, wait_ms: missing as f64 * FADE_MS / freed }
    }

    /// Records that a job of a team takes memory.
    pub(super) fn charge(&mut self, team: &str, bytes: usize) {
        self.held += bytes;
        match self.teams.get_mut(team) {
            Some(entry) => entry.bytes += bytes,
            None => {
                let entry = TeamMemory { bytes, ..TeamMemory::default() };
                self.teams.insert(team.to_owned(), entry);
            }
        }
    }

    /// Records that a team has given back memory.
    pub(super) fn release(&mut self, team: &str, bytes: usize, now_ms: u64) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.record_freed(bytes, now_ms);
        }
        self.subtract(team, bytes);
    }

    fn subtract(&mut self, team: &str, bytes: usize) {
        self.held -= bytes;
        let Some(entry) = self.teams.get_mut(team) else { return };
        entry.bytes -= bytes;
        if entry.bytes == 0 {
            self.teams.remove(team);
        }
    }

    /// Reserves memory for a job that its daemon may write.
    pub(super) fn reserve(&mut self, job: &str, team: &str, bytes: usize, now_ms: u64) {
        self.end_reservation(job);
        self.charge(team, bytes);
        let until_ms = now_ms + OFFER_TIMEOUT_MS;
        self.order.push_back((until_ms, job.to_owned()));
        self.reserved
            .insert(job.to_owned(), Reservation { team: team.to_owned(), bytes, until_ms });
    }

    /// Ends the reservation of a job, if it has one.
    pub(super) fn end_reservation(&mut self, job: &str) {
        if let Some(reservation) = self.reserved.remove(job) {
            self.subtract(&reservation.team, reservation.bytes);
        }
    }

    /// Ends the reservations whose time has passed.
    pub(super) fn end_reservations(&mut self, now_ms: u64) {
        while let Some((until_ms, _)) = self.order.front()
            && *until_ms <= now_ms
            && let Some((until_ms, job)) = self.order.pop_front()
        {
            if self.reserved.get(&job).is_some_and(|reserved| reserved.until_ms == until_ms) {
                self.end_reservation(&job);
            }
        }
    }
}
