//! Start requests: how they are planned, sent and carried out.

use {
    super::{
        DELAY, LEASE, OpenStartsMachine, TERM_FENCES,
        state::{LeaderView, OpenStart, OpenStartsState, TaskBinding, WorkerAttempt},
    },
    crate::Mutation,
};

impl OpenStartsMachine {
    pub(super) fn repeat(&self, state: &mut OpenStartsState) {
        state.planned_starts += 1;
        let view = &mut state.view;
        let unwritten = u8::from(!self.has(Mutation::DurableRepeat));
        view.attempt.iter_mut().for_each(|attempt| attempt.unsent = 1);
        bind(view, unwritten);
    }

    pub(super) fn deliver(&self, state: &mut OpenStartsState, start: OpenStart, is_answered: bool) {
        remove_start(state, start);
        let is_started = self.start(state, start);
        let view = &mut state.view;
        if !is_answered || start.fence / TERM_FENCES != view.fence / TERM_FENCES {
            return;
        }
        // Nothing tells which incarnation has responded. A start that is refused extends leases, too.
        view.lease = LEASE;
        if is_started {
            view.is_empty = false;
            let attempt = view.attempt.get_or_insert(WorkerAttempt {
                number: start.attempt,
                incarnation: start.incarnation,
                is_confirmed: true,
                is_stopped: false,
                unsent: 0,
            });
            if attempt.number != start.attempt {
                return;
            }
            attempt.is_confirmed = true;
        }
        if let Some(binding) = &mut view.binding {
            binding.answered += 1;
            if binding.answered == binding.starts {
                view.binding = None;
                view.attempt = view.attempt.filter(|attempt| attempt.is_confirmed);
            }
        }
    }

    /// Lets the worker carry out a start; returns whether the attempt is running then.
    fn start(&self, state: &mut OpenStartsState, start: OpenStart) -> bool {
        let worker = &mut state.worker;
        let is_own = start.incarnation == worker.incarnation;
        if start.fence < worker.fence || (is_own && start.lease == 0) {
            return false;
        }
        worker.fence = start.fence;
        // A deadline on the clock of another incarnation is far away.
        worker.lease = worker.lease.max(if is_own { start.lease } else { LEASE });
        if worker.running == Some(start.attempt) {
            return true;
        }
        if start.attempt <= worker.closed_attempt {
            return false;
        }
        if worker.running.is_some() {
            if is_own || !self.has(Mutation::OneRunAfterRestart) {
                state.violation = Some("a worker runs two attempts of a task");
            }
            return false;
        }
        worker.running = Some(start.attempt);
        if state.runs_elsewhere {
            state.violation = Some("a task that runs elsewhere starts");
        }
        if state.is_acknowledged {
            state.violation = Some("a task starts after its end was acknowledged");
        }
        true
    }
}

/// Binds the task to the worker for another start, which the row may not have.
fn bind(view: &mut LeaderView, unwritten: u8) {
    let former = view.binding;
    view.binding = Some(TaskBinding {
        fence: view.fence,
        starts: former.map_or(0, |binding| binding.starts) + 1,
        unwritten: former.map_or(0, |binding| binding.unwritten) + unwritten,
        answered: former.map_or(0, |binding| binding.answered),
        // A former leader may still send one later than this leader.
        left: former.map_or(0, |binding| binding.left).max(DELAY),
        lease: LEASE,
    });
}

pub(super) fn place(state: &mut OpenStartsState) {
    state.planned_starts += 1;
    let view = &mut state.view;
    view.last_attempt += 1;
    view.attempt = Some(WorkerAttempt {
        number: view.last_attempt,
        incarnation: view.incarnation,
        is_confirmed: false,
        is_stopped: false,
        unsent: 1,
    });
    bind(view, 0);
}

pub(super) fn send(state: &mut OpenStartsState) {
    let view = &mut state.view;
    let Some(attempt) = &mut view.attempt else { return };
    attempt.unsent -= 1;
    view.lease = LEASE;
    view.is_empty = false;
    if let Some(binding) = &mut view.binding {
        binding.fence = view.fence;
        binding.left = binding.left.max(DELAY);
        binding.lease = LEASE;
    }
    let (attempt, fence) = (*attempt, view.fence);
    push_start(state, attempt, fence);
}

pub(super) fn send_former(state: &mut OpenStartsState) {
    let Some(former) = state.former.take() else { return };
    push_start(state, former.attempt, former.fence);
}

fn push_start(state: &mut OpenStartsState, attempt: WorkerAttempt, fence: u8) {
    let (number, incarnation) = (attempt.number, attempt.incarnation);
    state.starts.push(OpenStart { fence, attempt: number, incarnation, lease: LEASE, left: DELAY });
    state.starts.sort_unstable();
}

fn remove_start(state: &mut OpenStartsState, start: OpenStart) {
    if let Some(index) = state.starts.iter().position(|other| *other == start) {
        state.starts.remove(index);
    }
}
