//! Model of start requests without a ticket whose responses are missing, to a worker that restarts under
//! its id.
//!
//! Nothing in such a request names the incarnation that it was meant for. It is carried out at any time
//! within the delay by the incarnation that is there, unless that has accepted a higher fence. The leader
//! may run the task elsewhere meanwhile, which would run it twice. Renewals and stops are carried out when
//! they are sent; the machine `incarnations` has late renewals.

mod effects;
mod leader;
mod starts;
mod state;
mod steps;

use {
    crate::{Mutation, SpecMachine},
    state::{LeaderView, OpenStartsState, StartWorker, TaskRow},
    steps::OpenStartsStep,
};

/// Number of incarnations of the worker.
const INCARNATIONS: u8 = 3;
/// Number of leaders.
const LEADERS: u8 = 2;
/// Longest time from the sending of a start to its execution, in units of time.
const DELAY: u8 = 2;
/// Duration of the longest lease that the worker grants, in units of time. The leader asks for as much.
const LEASE: u8 = 2;
/// Time for which a former leader acts, in units of time.
const ISOLATION: u8 = 2;
/// Largest number of start requests to the worker.
const MAX_STARTS: u8 = 2;
/// Fences of a leader are above all of the one before.
const TERM_FENCES: u8 = 8;

/// Model of starts without a ticket that a later incarnation carries out.
#[derive(Debug)]
pub struct OpenStartsMachine {
    removed: Vec<Mutation>,
}

impl OpenStartsMachine {
    fn has(&self, mutation: Mutation) -> bool {
        !self.removed.contains(&mutation)
    }
}

impl SpecMachine for OpenStartsMachine {
    type State = OpenStartsState;
    type Step = OpenStartsStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 leaders, 1 worker with 3 incarnations and another one, 1 task, 2 starts, late or lost, unbounded time"
    }

    fn initial(&self) -> OpenStartsState {
        OpenStartsState {
            leader: 0,
            view: LeaderView {
                fence: 0,
                incarnation: 0,
                is_fenced: true,
                is_empty: true,
                lease: 0,
                last_attempt: 0,
                attempt: None,
                binding: None,
                is_done: false,
            },
            row: TaskRow::default(),
            former: None,
            worker: StartWorker::new(0),
            starts: Vec::new(),
            planned_starts: 0,
            runs_elsewhere: false,
            is_acknowledged: false,
            violation: None,
        }
    }

    fn successors(&self, state: &OpenStartsState) -> Vec<(OpenStartsStep, OpenStartsState)> {
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        self.steps(state).into_iter().map(successor).collect()
    }

    fn violation(&self, state: &OpenStartsState) -> Option<&'static str> {
        state.violation
    }
}
