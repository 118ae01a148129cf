//! Model of successive leaders of a cell and one worker that runs a task, with the durable bound on
//! the worker's leases.
//!
//! Time passes in units. A former leader acts until its isolation ends or a later leader has reached
//! and stopped it. Its requests arrive at any later time, and its writes too. A leader may learn late that
//! it was elected. One that takes the task for over while the worker's lease has not expired would run it
//! twice.

use crate::{Mutation, SpecMachine};

/// Number of leaders, one for each term.
const LEADERS: usize = 3;
/// Duration of a lease, in units of time.
const LEASE: u8 = 2;
/// Time for which a former leader acts, in units of time.
const ISOLATION: u8 = 2;
/// Number of units of time.
const MAX_TICKS: u8 = 5;
/// Largest number of renewals in flight.
const MAX_RENEWALS: usize = 1;
/// Largest number of writes in flight.
const MAX_WRITES: usize = 2;

/// A write of the bound in flight to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BoundWrite {
    leader: usize,
    /// Time that the leases can last, counted from the writing; `None` removes the bound.
    remaining: Option<u8>,
}

/// A renewal in flight to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RenewMessage {
    leader: usize,
    /// Time until the new deadline.
    left: u8,
}

/// A set of leaders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct LeaderSet(u8);

impl LeaderSet {
    const fn one(index: usize) -> Self {
        Self(1 << index)
    }

    fn contains(self, index: usize) -> bool {
        self.0 & Self::one(index).0 != 0
    }

    fn with(self, index: usize) -> Self {
        Self(self.0 | Self::one(index).0)
    }

    fn without(self, index: usize) -> Self {
        Self(self.0 & !Self::one(index).0)
    }

    fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// State of a leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct BoundLeader {
    has_begun: bool,
    has_stopped: bool,
    /// Time for which it acts on after it was replaced.
    isolation_left: Option<u8>,
    /// Time after which it takes all leases for expired.
    bound: u8,
    /// It does not know yet that it was elected.
    is_unaware: bool,
    /// Former leaders that are not known to have ended.
    open_terms: LeaderSet,
    /// The worker has responded to it.
    has_contact: bool,
    /// The store has a bound that it knows.
    is_stored: bool,
    pending: Option<BoundWrite>,
}

impl BoundLeader {
    fn acts(&self) -> bool {
        self.has_begun && !self.has_stopped && !self.is_unaware
    }

    /// Stops; what the leader knew no longer matters.
    fn stop(&mut self) {
        *self = Self { has_begun: true, has_stopped: true, ..Self::default() };
    }
}

/// State of the store, the leaders and the worker, with the writes and renewals in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseBoundsState {
    ticks: u8,
    /// Leader that was elected last.
    elected: usize,
    /// Bound in the store.
    row: Option<u8>,
    /// Leaders in the store that may still act.
    open_terms: LeaderSet,
    leaders: [BoundLeader; LEADERS],
    /// Highest term that the worker has seen.
    worker_term: usize,
    /// Time until the worker's lease expires and its task ends.
    lease: u8,
    writes: Vec<BoundWrite>,
    renewals: Vec<RenewMessage>,
    violation: Option<&'static str>,
}

/// A step of the model of lease bounds.
#[derive(Debug, Clone, Copy)]
pub enum LeaseBoundsStep {
    /// A unit of time passes.
    Tick,
    /// The next leader is elected and reads the bound. It may not know yet.
    Lead(usize, bool),
    /// A leader learns that it was elected.
    Learn(usize),
    /// A leader reaches a former one, which ends.
    End(usize, usize),
    /// A leader writes that every former one has ended.
    Settle(usize),
    /// The worker responds to a leader for the first time.
    Contact(usize),
    /// A leader sends a renewal that extends the lease.
    Renew(usize),
    /// A renewal arrives at the worker.
    Deliver(RenewMessage),
    /// A renewal is lost.
    Lose(RenewMessage),
    /// A leader sends a write of the bound.
    Bound(usize),
    /// A leader sends the removal of the bound.
    Remove(usize),
    /// A write arrives at the store, with or without a response to its leader.
    Land(BoundWrite, bool),
    /// The leader takes the task for over.
    Release(usize),
}

/// Model of the bound on the leases of a worker that does not respond.
#[derive(Debug)]
pub struct LeaseBoundsMachine {
    removed: Vec<Mutation>,
}

impl LeaseBoundsMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    /// Returns whether a leader may extend leases.
    fn may_renew(&self, leader: &BoundLeader) -> bool {
        let is_sent = leader.pending.is_some_and(|write| write.remaining.is_some());
        let is_removing = leader.pending.is_some_and(|write| write.remaining.is_none());
        let is_held_by_write = is_sent && !self.is_removed(Mutation::BoundFromSending);
        let is_held_by_row =
            leader.is_stored && !(is_removing && self.is_removed(Mutation::DurableRemoval));
        leader.has_contact && !is_held_by_write && !is_held_by_row
    }

    fn leader_steps(&self, state: &LeaseBoundsState, index: usize) -> Vec<LeaseBoundsStep> {
        let leader = &state.leaders[index];
        if leader.is_unaware && !leader.has_stopped {
            return vec![LeaseBoundsStep::Learn(index)];
        }
        if !leader.acts() {
            let is_next = index == state.elected + 1;
            let step = |is_unaware| LeaseBoundsStep::Lead(index, is_unaware);
            return if is_next { vec![step(false), step(true)] } else { Vec::new() };
        }
        let mut steps = Vec::new();
        let is_open = |former: &usize| leader.open_terms.contains(*former);
        steps.extend((0..index).filter(is_open).map(|former| LeaseBoundsStep::End(index, former)));
        // A settled set is written once; a former leader cannot write it.
        let is_settled = state.open_terms == LeaderSet::one(index);
        if index == state.elected && leader.open_terms.is_empty() && !is_settled {
            steps.push(LeaseBoundsStep::Settle(index));
        }
        if !leader.has_contact {
            steps.push(LeaseBoundsStep::Contact(index));
        }
        if self.may_renew(leader) && state.renewals.len() < MAX_RENEWALS {
            steps.push(LeaseBoundsStep::Renew(index));
        }
        if leader.pending.is_none() && state.writes.len() < MAX_WRITES {
            steps.push(LeaseBoundsStep::Bound(index));
            if leader.is_stored {
                steps.push(LeaseBoundsStep::Remove(index));
            }
        }
        if index == state.elected && leader.bound == 0 {
            steps.push(LeaseBoundsStep::Release(index));
        }
        steps
    }

    fn tick(state: &mut LeaseBoundsState) {
        state.ticks += 1;
        state.lease = state.lease.saturating_sub(1);
        state.renewals.retain(|renewal| renewal.left > 1);
        state.renewals.iter_mut().for_each(|renewal| renewal.left -= 1);
        for leader in &mut state.leaders {
            leader.bound = leader.bound.saturating_sub(1);
            match leader.isolation_left {
                None => {}
                Some(1) => leader.stop(),
                Some(left) => leader.isolation_left = Some(left - 1),
            }
        }
    }

    fn begin_term(&self, state: &mut LeaseBoundsState, index: usize, is_unaware: bool) {
        let former = &mut state.leaders[state.elected];
        let may_act = former.has_begun && !former.has_stopped;
        former.isolation_left = may_act.then_some(ISOLATION);
        let open_terms = match self.is_removed(Mutation::SeriesOfLeaders) {
            true => LeaderSet::one(state.elected),
            false => state.open_terms,
        };
        state.open_terms = open_terms.with(index);
        state.elected = index;
        let isolation = if self.is_removed(Mutation::InheritedIsolation) { 0 } else { ISOLATION };
        let leader = &mut state.leaders[index];
        leader.has_begun = true;
        leader.is_unaware = is_unaware;
        leader.open_terms = open_terms;
        leader.bound = state.row.unwrap_or(u8::MAX).min(LEASE + isolation);
        leader.is_stored = state.row.is_some() && !self.is_removed(Mutation::InheritedBound);
    }

    /// Stops a former leader that is reached, and cuts the bound once none may act any more.
    fn end(&self, state: &mut LeaseBoundsState, index: usize, former: usize) {
        let reached = &mut state.leaders[former];
        let keeps_acting = match reached.is_unaware {
            true => self.is_removed(Mutation::EndedForGood),
            false => self.is_removed(Mutation::EndedFirst),
        };
        if !keeps_acting {
            reached.stop();
        }
        let leader = &mut state.leaders[index];
        leader.open_terms = leader.open_terms.without(former);
        if leader.open_terms.is_empty() {
            let lease = if self.is_removed(Mutation::LeaseAfterEnd) { 0 } else { LEASE };
            // A lease of its own is not one of a former leader.
            leader.bound = leader.bound.min(if leader.has_contact { LEASE } else { lease });
        }
    }

    fn contact(state: &mut LeaseBoundsState, index: usize) {
        let leader = &mut state.leaders[index];
        if index < state.worker_term {
            leader.stop();
            return;
        }
        state.worker_term = index;
        leader.has_contact = true;
        // Former leaders are fenced from now on.
        leader.bound = leader.bound.min(LEASE);
    }

    fn send_write(state: &mut LeaseBoundsState, index: usize, remaining: Option<u8>) {
        let write = BoundWrite { leader: index, remaining };
        state.leaders[index].pending = Some(write);
        state.writes.push(write);
        state.writes.sort_unstable();
    }

    fn land(&self, state: &mut LeaseBoundsState, write: BoundWrite, is_confirmed: bool) {
        remove_one(&mut state.writes, &write);
        let is_guarded = !self.is_removed(Mutation::BoundGuard);
        if write.leader != state.elected && is_guarded {
            return;
        }
        state.row = write.remaining;
        let leader = &mut state.leaders[write.leader];
        if is_confirmed && leader.acts() {
            leader.pending = None;
            leader.is_stored = write.remaining.is_some();
        }
    }

    fn apply(&self, state: &mut LeaseBoundsState, step: LeaseBoundsStep) {
        match step {
            LeaseBoundsStep::Tick => Self::tick(state),
            LeaseBoundsStep::Lead(index, is_unaware) => self.begin_term(state, index, is_unaware),
            LeaseBoundsStep::Learn(index) => state.leaders[index].is_unaware = false,
            LeaseBoundsStep::End(index, former) => self.end(state, index, former),
            LeaseBoundsStep::Settle(index) => state.open_terms = LeaderSet::one(index),
            LeaseBoundsStep::Contact(index) => Self::contact(state, index),
            LeaseBoundsStep::Renew(index) => {
                let leader = &mut state.leaders[index];
                leader.bound = leader.bound.max(LEASE);
                state.renewals.push(RenewMessage { leader: index, left: LEASE });
                state.renewals.sort_unstable();
            }
            LeaseBoundsStep::Deliver(renewal) => {
                remove_one(&mut state.renewals, &renewal);
                if renewal.leader >= state.worker_term {
                    state.worker_term = renewal.leader;
                    state.lease = state.lease.max(renewal.left);
                }
            }
            LeaseBoundsStep::Lose(renewal) => remove_one(&mut state.renewals, &renewal),
            LeaseBoundsStep::Bound(index) => {
                let remaining = Some(state.leaders[index].bound);
                Self::send_write(state, index, remaining);
            }
            LeaseBoundsStep::Remove(index) => Self::send_write(state, index, None),
            LeaseBoundsStep::Land(write, is_confirmed) => self.land(state, write, is_confirmed),
            LeaseBoundsStep::Release(index) => {
                if state.lease > 0 {
                    state.violation = Some("a task that is taken for over has a lease");
                }
                state.leaders[index].stop();
            }
        }
    }
}

fn remove_one<T: PartialEq>(items: &mut Vec<T>, item: &T) {
    if let Some(index) = items.iter().position(|other| other == item) {
        items.remove(index);
    }
}

impl SpecMachine for LeaseBoundsMachine {
    type State = LeaseBoundsState;
    type Step = LeaseBoundsStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "3 leaders, 1 worker, 1 renewal and 2 writes on the way, late or lost, 5 units of time"
    }

    fn initial(&self) -> LeaseBoundsState {
        let first =
            BoundLeader { has_begun: true, has_contact: true, bound: LEASE, ..Default::default() };
        LeaseBoundsState {
            ticks: 0,
            elected: 0,
            row: None,
            open_terms: LeaderSet::one(0),
            leaders: [first, BoundLeader::default(), BoundLeader::default()],
            worker_term: 0,
            lease: LEASE,
            writes: Vec::new(),
            renewals: Vec::new(),
            violation: None,
        }
    }

    fn successors(&self, state: &LeaseBoundsState) -> Vec<(LeaseBoundsStep, LeaseBoundsState)> {
        if state.lease == 0 {
            // Nothing runs any more, and a renewal starts nothing.
            return Vec::new();
        }
        let time = (state.ticks < MAX_TICKS).then_some(LeaseBoundsStep::Tick);
        let leaders = (0..LEADERS).flat_map(|index| self.leader_steps(state, index));
        let renewals = state.renewals.iter().flat_map(|renewal| {
            [LeaseBoundsStep::Deliver(*renewal), LeaseBoundsStep::Lose(*renewal)]
        });
        let writes = state.writes.iter().flat_map(|write| {
            [LeaseBoundsStep::Land(*write, true), LeaseBoundsStep::Land(*write, false)]
        });
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        time.into_iter().chain(leaders).chain(renewals).chain(writes).map(successor).collect()
    }

    fn violation(&self, state: &LeaseBoundsState) -> Option<&'static str> {
        state.violation
    }
}
