//! A former leader that has lost the store and acts until its isolation ends, and the bounds on
//! leases that its successors rely on.

use {
    super::FakeCell,
    damaskrack_cell::{CellCore, CellInput, LeaseBound},
    std::{collections::BTreeMap, mem},
};

/// A leader that has been replaced without knowing it.
pub(super) struct FormerLeader {
    core: CellCore,
    token: u64,
    until_ms: u64,
    /// Worker that it reaches although nobody else does.
    reaches: String,
}

/// Bounds on the leases of workers that do not respond, in the store.
#[derive(Debug, Default)]
pub(crate) struct StoredBounds {
    pub(crate) bounds: Vec<LeaseBound>,
    /// Number of writes.
    pub(crate) writes: usize,
    /// Times at which the leases expire at the latest, by worker and incarnation.
    ends_ms: BTreeMap<(String, u64), u64>,
}

impl StoredBounds {
    /// Replaces the bounds.
    pub(super) fn write(&mut self, bounds: Vec<LeaseBound>, now_ms: u64) {
        let end = |bound: &LeaseBound| {
            ((bound.worker.clone(), bound.incarnation), now_ms + bound.remaining_ms)
        };
        self.ends_ms = bounds.iter().map(end).collect();
        self.bounds = bounds;
        self.writes += 1;
    }

    /// Checks that a lease does not last longer than the bound of its worker.
    pub(super) fn check(&self, worker: &str, incarnation: u64, expiry_ms: u64) {
        if let Some(end_ms) = self.ends_ms.get(&(worker.to_owned(), incarnation)) {
            assert!(expiry_ms <= *end_ms, "{worker} has a lease until {expiry_ms} > {end_ms}");
        }
    }
}

impl FakeCell {
    /// Replaces the leader by a new one, while the former one still acts for some time and
    /// reaches one more worker.
    pub(crate) fn start_leader_beside_former(&mut self, reaches: &str, for_ms: u64) {
        let core = mem::replace(&mut self.core, CellCore::new(Default::default()));
        let (token, until_ms) = (self.token, self.now_ms + for_ms);
        self.former = Some(FormerLeader { core, token, until_ms, reaches: reaches.to_owned() });
        self.start_leader();
    }

    /// Ends the former leader, if one still acts, and tells the present one.
    pub(crate) fn end_former_leader(&mut self) {
        self.former = None;
        self.apply(CellInput::FormerLeadersEnded);
    }

    /// Applies the writes in flight without a response to the leader.
    pub(crate) fn land_held_commits(&mut self) {
        for request in mem::take(&mut self.held_commits) {
            self.write_rows(request);
        }
    }

    /// Completes the last commit in flight before the others.
    pub(crate) fn complete_last_commit(&mut self) {
        let request = self.held_commits.pop().unwrap();
        let lane = request.lane;
        self.write_rows(request);
        self.apply(CellInput::Committed { lane });
    }

    /// Lets the former leader act. Its writes are refused.
    pub(super) fn run_former(&mut self) {
        let Some(mut former) = self.former.take() else { return };
        if self.now_ms >= former.until_ms {
            return;
        }
        self.swap_leaders(&mut former);
        let was_down = mem::replace(&mut self.is_store_down, true);
        let held = mem::take(&mut self.held_commits);
        let is_silent = &mut self.workers.get_mut(&former.reaches).unwrap().is_silent;
        let was_silent = mem::take(is_silent);
        let actions = self.core.tick(self.now_ms, self.wall_ms());
        actions.into_iter().for_each(|action| self.perform(action));
        self.workers.get_mut(&former.reaches).unwrap().is_silent = was_silent;
        self.held_commits = held;
        self.is_store_down = was_down;
        self.swap_leaders(&mut former);
        self.former = Some(former);
    }

    fn swap_leaders(&mut self, former: &mut FormerLeader) {
        mem::swap(&mut self.core, &mut former.core);
        mem::swap(&mut self.token, &mut former.token);
    }
}
