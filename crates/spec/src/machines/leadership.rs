//! Model of two successive leaders of a cell and one task.
//!
//! The former leader does not know that it has been replaced: its writes and start requests arrive
//! at any later time. Expired leases are not modelled here, but by the machine for rack takeovers.

use crate::{Mutation, SpecMachine};

/// Number of leaders, one for each term.
const LEADERS: usize = 2;
/// Number of workers.
const WORKERS: usize = 2;
/// Highest attempt number.
const MAX_ATTEMPT: u8 = 3;
/// Largest number of start requests in flight, and of writes in flight.
const MAX_IN_FLIGHT: usize = 2;

/// The task's row in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct TaskRow {
    attempt: u8,
    worker: Option<usize>,
    is_done: bool,
}

/// A write in flight to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowWrite {
    leader: usize,
    /// Revision of the commit guard that it expects.
    guard: u8,
    row: TaskRow,
}

/// A start request in flight to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartMessage {
    term: usize,
    worker: usize,
    attempt: u8,
}

/// State of a leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct LeaderTable {
    is_leading: bool,
    guard: u8,
    row: TaskRow,
    /// The row that it is writing.
    pending: Option<TaskRow>,
    /// Worker on which the task may be running, and the attempt's number.
    running: Option<(usize, u8)>,
    /// Whether an attempt that the worker does not list will never start.
    is_settled: bool,
}

/// State of a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct WorkerTable {
    term: usize,
    running: Option<u8>,
    ended: Option<u8>,
    /// Highest attempt number that the worker no longer starts.
    barred: u8,
}

/// State of the store, the leaders and the workers, with the writes and requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeadershipState {
    guard: u8,
    row: TaskRow,
    leaders: [LeaderTable; LEADERS],
    workers: [WorkerTable; WORKERS],
    writes: Vec<RowWrite>,
    orders: Vec<StartMessage>,
    /// Whether the end of the task was acknowledged to its worker.
    is_noted: bool,
    violation: Option<&'static str>,
}

/// A step of the leadership model.
#[derive(Debug, Clone, Copy)]
pub enum LeadershipStep {
    /// A daemon becomes leader and reads the row.
    Lead(usize),
    /// A leader assigns the task to a worker.
    Place(usize, usize),
    /// A write arrives at the store.
    Land(RowWrite),
    /// A start request arrives at its worker.
    Deliver(StartMessage),
    /// A start request is lost.
    Lose(StartMessage),
    /// A worker finishes the task.
    Finish(usize),
    /// A leader renews a worker's leases and learns which attempts run or have ended there.
    Hold(usize, usize),
    /// A leader stops an attempt whose start was not confirmed.
    Stop(usize),
}

/// Model of a change of leaders.
#[derive(Debug)]
pub struct LeadershipMachine {
    removed: Vec<Mutation>,
}

impl LeadershipMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    fn leader_steps(state: &LeadershipState, leader: usize) -> Vec<LeadershipStep> {
        let table = &state.leaders[leader];
        if !table.is_leading {
            let is_next = state.leaders[..leader].iter().all(|former| former.guard > 0);
            return match table.guard == 0 && is_next {
                true => vec![LeadershipStep::Lead(leader)],
                false => Vec::new(),
            };
        }
        let mut steps = Vec::new();
        let can_place = table.pending.is_none() && table.running.is_none() && !table.row.is_done;
        for worker in 0..WORKERS {
            steps.push(LeadershipStep::Hold(leader, worker));
            if can_place && table.row.attempt < MAX_ATTEMPT && state.writes.len() < MAX_IN_FLIGHT {
                steps.push(LeadershipStep::Place(leader, worker));
            }
        }
        if table.running.is_some() && !table.is_settled && table.pending.is_none() {
            steps.push(LeadershipStep::Stop(leader));
        }
        steps
    }

    fn begin_term(&self, state: &mut LeadershipState, leader: usize) {
        state.guard += 1;
        let row = state.row;
        let inherited = row.worker.map(|worker| (worker, row.attempt));
        let table = &mut state.leaders[leader];
        table.is_leading = true;
        table.guard = state.guard;
        table.row = row;
        table.running = inherited.filter(|_| !self.is_removed(Mutation::InheritedAttempt));
        table.is_settled = true;
    }

    fn send_write(state: &mut LeadershipState, leader: usize, row: TaskRow) {
        let table = &mut state.leaders[leader];
        table.pending = Some(row);
        state.writes.push(RowWrite { leader, guard: table.guard, row });
        state.writes.sort_unstable();
    }

    fn send_start(state: &mut LeadershipState, leader: usize, row: TaskRow) {
        let Some(worker) = row.worker else { return };
        let table = &mut state.leaders[leader];
        table.running = Some((worker, row.attempt));
        table.is_settled = false;
        let request = StartMessage { term: leader + 1, worker, attempt: row.attempt };
        if state.orders.len() < MAX_IN_FLIGHT {
            state.orders.push(request);
            state.orders.sort_unstable();
        }
    }

    fn apply_write(&self, state: &mut LeadershipState, write: RowWrite) {
        state.writes.retain(|other| *other != write);
        let is_awaited = state.leaders[write.leader].pending == Some(write.row);
        if write.guard != state.guard && !self.is_removed(Mutation::CommitGuard) {
            let table = &mut state.leaders[write.leader];
            table.is_leading &= !is_awaited;
            return;
        }
        state.guard += 1;
        state.row = write.row;
        let table = &mut state.leaders[write.leader];
        if !is_awaited || !table.is_leading {
            return;
        }
        table.guard = state.guard;
        table.row = write.row;
        table.pending = None;
        if write.row.is_done {
            table.running = None;
            state.is_noted = true;
        } else if !self.is_removed(Mutation::DurableIntent) {
            Self::send_start(state, write.leader, write.row);
        }
    }

    fn deliver_start(&self, state: &mut LeadershipState, request: StartMessage) {
        remove_start(&mut state.orders, request);
        let worker = &mut state.workers[request.worker];
        if request.term < worker.term && !self.is_removed(Mutation::TermFence) {
            return;
        }
        worker.term = worker.term.max(request.term);
        if request.attempt <= worker.barred {
            return;
        }
        worker.running = Some(request.attempt);
        if state.workers.iter().filter(|worker| worker.running.is_some()).count() > 1 {
            state.violation = Some("the task runs in two places");
        }
        if state.is_noted {
            state.violation = Some("the task starts after its end was acknowledged");
        }
    }

    fn renew_leases(&self, state: &mut LeadershipState, leader: usize, renewed_worker: usize) {
        let worker = &mut state.workers[renewed_worker];
        let table = &mut state.leaders[leader];
        if leader + 1 < worker.term {
            table.is_leading = false;
            return;
        }
        worker.term = leader + 1;
        if worker.ended.is_some() && table.pending.is_none() && !table.row.is_done {
            let row = TaskRow { is_done: true, worker: None, ..table.row };
            if self.is_removed(Mutation::DurableEnd) {
                worker.ended = None;
                state.is_noted = true;
            } else if state.writes.len() < MAX_IN_FLIGHT {
                Self::send_write(state, leader, row);
            }
            return;
        }
        let Some((assigned_worker, attempt)) = table.running else { return };
        let is_listed = worker.running == Some(attempt) || worker.ended.is_some();
        let is_settled = table.is_settled || self.is_removed(Mutation::StopBeforeRetry);
        if assigned_worker == renewed_worker && !is_listed && is_settled && table.pending.is_none()
        {
            table.running = None;
        }
    }

    fn apply(&self, state: &mut LeadershipState, step: LeadershipStep) {
        match step {
            LeadershipStep::Lead(leader) => self.begin_term(state, leader),
            LeadershipStep::Place(leader, worker) => {
                let attempt = state.leaders[leader].row.attempt + 1;
                let row = TaskRow { attempt, worker: Some(worker), is_done: false };
                Self::send_write(state, leader, row);
                if self.is_removed(Mutation::DurableIntent) {
                    Self::send_start(state, leader, row);
                }
            }
            LeadershipStep::Land(write) => self.apply_write(state, write),
            LeadershipStep::Deliver(request) => self.deliver_start(state, request),
            LeadershipStep::Lose(request) => remove_start(&mut state.orders, request),
            LeadershipStep::Finish(worker) => {
                let worker = &mut state.workers[worker];
                worker.ended = worker.running.take();
                worker.barred = worker.barred.max(worker.ended.unwrap_or(0));
            }
            LeadershipStep::Hold(leader, worker) => self.renew_leases(state, leader, worker),
            LeadershipStep::Stop(leader) => {
                let table = &mut state.leaders[leader];
                let Some((assigned_worker, attempt)) = table.running else { return };
                let worker = &mut state.workers[assigned_worker];
                if leader + 1 < worker.term {
                    table.is_leading = false;
                    return;
                }
                worker.term = leader + 1;
                worker.barred = worker.barred.max(attempt);
                worker.running = worker.running.filter(|running| *running != attempt);
                table.is_settled = true;
            }
        }
    }
}

fn remove_start(requests: &mut Vec<StartMessage>, request: StartMessage) {
    if let Some(index) = requests.iter().position(|other| *other == request) {
        requests.remove(index);
    }
}

impl SpecMachine for LeadershipMachine {
    type State = LeadershipState;
    type Step = LeadershipStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 leaders, 2 workers, 1 task with 3 attempts, 2 writes and 2 orders on the way, late or lost"
    }

    fn initial(&self) -> LeadershipState {
        LeadershipState {
            guard: 0,
            row: TaskRow::default(),
            leaders: Default::default(),
            workers: Default::default(),
            writes: Vec::new(),
            orders: Vec::new(),
            is_noted: false,
            violation: None,
        }
    }

    fn successors(&self, state: &LeadershipState) -> Vec<(LeadershipStep, LeadershipState)> {
        let leaders = (0..LEADERS).flat_map(|leader| Self::leader_steps(state, leader));
        let writes = state.writes.iter().map(|write| LeadershipStep::Land(*write));
        let orders = state.orders.iter().flat_map(|request| {
            [LeadershipStep::Deliver(*request), LeadershipStep::Lose(*request)]
        });
        let is_running = |worker: &usize| state.workers[*worker].running.is_some();
        let ends = (0..WORKERS).filter(is_running).map(LeadershipStep::Finish);
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        leaders.chain(writes).chain(orders).chain(ends).map(successor).collect()
    }

    fn violation(&self, state: &LeadershipState) -> Option<&'static str> {
        state.violation
    }
}
