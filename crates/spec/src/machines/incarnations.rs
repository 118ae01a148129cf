//! Model of one worker that restarts under its id, and of two leaders in succession.
//!
//! Time passes in units. A renewal arrives at any later time, at whichever incarnation is there. Its
//! deadline is a time on the clock of the incarnation that it was meant for. For any other it is so far
//! away that the longest lease is granted. A leader that takes the task for over while it runs would run
//! it twice.

use crate::{Mutation, SpecMachine};

/// Number of incarnations.
const INCARNATIONS: u8 = 3;
/// Number of leaders.
const LEADERS: usize = 2;
/// Duration of the lease that a leader asks for, in units of time.
const LEASE: u8 = 1;
/// Duration of the longest lease that the worker grants, in units of time.
const MAX_LEASE: u8 = 3;
/// Number of units of time.
const MAX_TICKS: u8 = 6;
/// Largest number of renewals in flight.
const MAX_RENEWALS: usize = 2;
/// Fences of a leader are above all of the one before.
const TERM_FENCES: u8 = 8;

/// A renewal in flight to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RenewRequest {
    fence: u8,
    /// Incarnation that the renewal was meant for.
    incarnation: u8,
    /// Time until the deadline on that incarnation's clock; `None` for a renewal without a deadline.
    left: Option<u8>,
}

/// What the leader knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WorkerView {
    fence: u8,
    incarnation: u8,
    /// The incarnation has responded to this leader, so its clock is known.
    has_responded: bool,
    /// The incarnation refuses requests to former ones, and those of a former leader.
    has_accepted_fence: bool,
    /// Duration of the longest lease that other requests can have been granted.
    longest_other: u8,
    /// Time after which the leases granted on other requests have expired.
    other: u8,
    /// Time after which the leases granted on own requests have expired.
    own: u8,
    /// The task has been placed on the incarnation.
    has_task: bool,
}

/// The present incarnation of the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WorkerState {
    incarnation: u8,
    fence: u8,
    /// Time until the lease expires.
    lease: u8,
    is_running: bool,
}

/// The row of the task's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptRow {
    incarnation: u8,
    has_bounded_leases: bool,
}

/// State of the leader, the worker and the store, with the renewals in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IncarnationsState {
    ticks: u8,
    leader: usize,
    view: WorkerView,
    worker: WorkerState,
    row: Option<AttemptRow>,
    renewals: Vec<RenewRequest>,
    violation: Option<&'static str>,
}

/// A step of the model of incarnations.
#[derive(Debug, Clone, Copy)]
pub enum IncarnationsStep {
    /// A unit of time passes.
    Tick,
    /// The worker restarts under its id.
    Restart,
    /// The leader sends a renewal.
    Renew,
    /// A renewal arrives at the worker, with or without a response to the leader.
    Deliver(RenewRequest, bool),
    /// A renewal is lost.
    Lose(RenewRequest),
    /// The leader places the task on the worker. The start arrives at once.
    Place,
    /// The leader takes the task for over.
    Release,
    /// The next leader is elected and reads the row.
    Lead,
}

/// Model of the leases on a worker that restarts under its id.
#[derive(Debug)]
pub struct IncarnationsMachine {
    removed: Vec<Mutation>,
}

impl IncarnationsMachine {
    fn has(&self, mutation: Mutation) -> bool {
        !self.removed.contains(&mutation)
    }

    fn longest_other(&self) -> u8 {
        if self.has(Mutation::OtherLeases) { MAX_LEASE } else { LEASE }
    }

    fn steps(&self, state: &IncarnationsState) -> Vec<IncarnationsStep> {
        let mut steps = Vec::new();
        let view = &state.view;
        if state.ticks < MAX_TICKS {
            steps.push(IncarnationsStep::Tick);
        }
        if state.worker.incarnation + 1 < INCARNATIONS {
            steps.push(IncarnationsStep::Restart);
        }
        if state.renewals.len() < MAX_RENEWALS {
            steps.push(IncarnationsStep::Renew);
        }
        let is_fenced = view.has_accepted_fence || !self.has(Mutation::FenceBeforePlacement);
        if !view.has_task && view.has_responded && is_fenced {
            steps.push(IncarnationsStep::Place);
        }
        if view.has_task && view.own == 0 && view.other == 0 {
            steps.push(IncarnationsStep::Release);
        }
        if state.leader + 1 < LEADERS {
            steps.push(IncarnationsStep::Lead);
        }
        steps
    }

    fn apply(&self, state: &mut IncarnationsState, step: IncarnationsStep) {
        match step {
            IncarnationsStep::Tick => tick(state),
            IncarnationsStep::Restart => {
                let incarnation = state.worker.incarnation + 1;
                state.worker = WorkerState { incarnation, fence: 0, lease: 0, is_running: false };
            }
            IncarnationsStep::Renew => renew(state),
            IncarnationsStep::Deliver(renewal, is_answered) => {
                remove_one(&mut state.renewals, &renewal);
                let is_accepted = accept(&mut state.worker, renewal);
                let is_own = renewal.fence / TERM_FENCES == state.view.fence / TERM_FENCES;
                if is_accepted && is_answered && is_own {
                    self.respond(state, renewal.fence);
                }
            }
            IncarnationsStep::Lose(renewal) => remove_one(&mut state.renewals, &renewal),
            IncarnationsStep::Place => self.place(state),
            IncarnationsStep::Release => {
                if state.worker.is_running {
                    state.violation = Some("a task that is taken for over runs");
                }
                state.view.has_task = false;
                state.row = None;
            }
            IncarnationsStep::Lead => self.lead(state),
        }
    }

    /// Applies the worker's response to a renewal of the present leader.
    fn respond(&self, state: &mut IncarnationsState, fence: u8) {
        let incarnation = state.worker.incarnation;
        let view = &mut state.view;
        if view.incarnation != incarnation {
            view.incarnation = incarnation;
            view.fence += 1;
            view.has_accepted_fence = false;
            view.longest_other = self.longest_other();
            view.other = view.other.max(view.own);
            view.own = 0;
            // The incarnation does not list the task.
            view.has_task = false;
            state.row = None;
        }
        view.has_responded = true;
        if fence == view.fence && !view.has_accepted_fence {
            view.has_accepted_fence = true;
            view.other = view.longest_other;
        }
        if view.has_task && !state.worker.is_running {
            view.has_task = false;
            state.row = None;
        }
    }

    fn place(&self, state: &mut IncarnationsState) {
        let (view, worker) = (&mut state.view, &mut state.worker);
        view.has_task = true;
        view.own = LEASE;
        let is_bounded = view.has_accepted_fence && view.other <= LEASE;
        let has_bounded_leases =
            is_bounded || view.longest_other <= LEASE || !self.has(Mutation::KnownLeases);
        state.row = Some(AttemptRow { incarnation: view.incarnation, has_bounded_leases });
        let renewal =
            RenewRequest { fence: view.fence, incarnation: view.incarnation, left: Some(LEASE) };
        // Another incarnation refuses the ticket.
        let is_accepted = accept(worker, renewal);
        worker.is_running |= is_accepted && worker.incarnation == view.incarnation;
    }

    fn lead(&self, state: &mut IncarnationsState) {
        state.leader += 1;
        let longest_other = self.longest_other();
        let known = state.row.filter(|row| row.has_bounded_leases);
        let longest = if known.is_some() { LEASE } else { longest_other };
        state.view = WorkerView {
            fence: u8::try_from(state.leader).unwrap_or(u8::MAX) * TERM_FENCES,
            incarnation: state.row.map_or(state.view.incarnation, |row| row.incarnation),
            has_responded: false,
            has_accepted_fence: false,
            longest_other: longest,
            other: longest,
            own: 0,
            has_task: state.row.is_some(),
        };
    }
}

fn tick(state: &mut IncarnationsState) {
    state.ticks += 1;
    let worker = &mut state.worker;
    worker.lease = worker.lease.saturating_sub(1);
    worker.is_running &= worker.lease > 0;
    let lefts = state.renewals.iter_mut().filter_map(|renewal| renewal.left.as_mut());
    lefts.for_each(|left| *left = left.saturating_sub(1));
    state.renewals.sort_unstable();
    state.view.other = state.view.other.saturating_sub(1);
    state.view.own = state.view.own.saturating_sub(1);
}

fn renew(state: &mut IncarnationsState) {
    let view = &mut state.view;
    let left = view.has_responded.then_some(LEASE);
    if left.is_some() {
        view.own = LEASE;
    }
    state.renewals.push(RenewRequest { fence: view.fence, incarnation: view.incarnation, left });
    state.renewals.sort_unstable();
}

/// Lets the worker carry out a request; returns whether its fence was accepted.
fn accept(worker: &mut WorkerState, renewal: RenewRequest) -> bool {
    if renewal.fence < worker.fence {
        return false;
    }
    worker.fence = renewal.fence;
    let lease = match renewal.left {
        Some(left) if renewal.incarnation == worker.incarnation => left,
        Some(_) => MAX_LEASE,
        None => 0,
    };
    worker.lease = worker.lease.max(lease);
    true
}

fn remove_one<T: PartialEq>(items: &mut Vec<T>, item: &T) {
    if let Some(index) = items.iter().position(|other| other == item) {
        items.remove(index);
    }
}

impl SpecMachine for IncarnationsMachine {
    type State = IncarnationsState;
    type Step = IncarnationsStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 leaders, 1 worker with 3 incarnations, 2 renewals on the way, late or lost, 6 units of time"
    }

    fn initial(&self) -> IncarnationsState {
        IncarnationsState {
            ticks: 0,
            leader: 0,
            view: WorkerView {
                fence: 0,
                incarnation: 0,
                has_responded: true,
                has_accepted_fence: true,
                longest_other: self.longest_other(),
                other: 0,
                own: 0,
                has_task: false,
            },
            worker: WorkerState { incarnation: 0, fence: 0, lease: 0, is_running: false },
            row: None,
            renewals: Vec::new(),
            violation: None,
        }
    }

    fn successors(&self, state: &IncarnationsState) -> Vec<(IncarnationsStep, IncarnationsState)> {
        let renewals = state.renewals.iter().flat_map(|renewal| {
            [
                IncarnationsStep::Deliver(*renewal, true),
                IncarnationsStep::Deliver(*renewal, false),
                IncarnationsStep::Lose(*renewal),
            ]
        });
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        self.steps(state).into_iter().chain(renewals).map(successor).collect()
    }

    fn violation(&self, state: &IncarnationsState) -> Option<&'static str> {
        state.violation
    }
}
