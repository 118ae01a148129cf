//! What the leader learns from the worker, writes to the store and leaves to the next leader.

use {
    super::{
        DELAY, ISOLATION, LEASE, OpenStartsMachine, TERM_FENCES,
        state::{FormerLeader, LeaderView, OpenStartsState, TaskBinding, TaskRow, WorkerAttempt},
    },
    crate::Mutation,
};

impl OpenStartsMachine {
    pub(super) fn lead(&self, state: &mut OpenStartsState) {
        state.leader += 1;
        let (view, row) = (&mut state.view, &state.row);
        let unsent = view.attempt.filter(|attempt| attempt.unsent > 0);
        state.former =
            unsent.map(|attempt| FormerLeader { left: ISOLATION, fence: view.fence, attempt });
        let isolation = if self.has(Mutation::DelayAfterIsolation) { ISOLATION } else { 0 };
        let is_bound = row.starts > 0 && self.has(Mutation::RowCarriesBinding);
        let binding = TaskBinding {
            fence: view.fence,
            starts: row.starts,
            unwritten: 0,
            answered: 0,
            left: DELAY + isolation,
            lease: LEASE,
        };
        let attempt = row.attempt.map(|(number, incarnation)| WorkerAttempt {
            number,
            incarnation,
            is_confirmed: row.starts == 0,
            is_stopped: false,
            unsent: 0,
        });
        *view = LeaderView {
            fence: state.leader * TERM_FENCES,
            incarnation: row.incarnation,
            is_fenced: false,
            is_empty: false,
            lease: LEASE + ISOLATION,
            last_attempt: row.last_attempt,
            attempt,
            binding: is_bound.then_some(binding),
            is_done: row.is_done,
        };
    }
}

pub(super) fn renew(state: &mut OpenStartsState, is_answered: bool) {
    let view = &mut state.view;
    view.lease = LEASE;
    if let Some(binding) = &mut view.binding {
        binding.lease = LEASE;
    }
    if state.worker.renew(view.fence) && is_answered {
        respond(state);
    }
}

/// Applies the worker's response to a renewal.
fn respond(state: &mut OpenStartsState) {
    let (view, worker) = (&mut state.view, &state.worker);
    let is_same = view.incarnation == worker.incarnation;
    view.incarnation = worker.incarnation;
    view.is_fenced = is_same;
    view.fence += u8::from(!is_same);
    view.is_empty = worker.running.is_none();
    view.is_done |= worker.has_ended;
    // No start can be carried out any more, or the only one has been.
    let is_listed = worker.running.is_some() || worker.has_ended;
    let is_open = |binding: &TaskBinding| binding.left > 0 && (!is_listed || binding.starts > 1);
    view.binding = view.binding.filter(is_open);
    match worker.running {
        Some(number) => {
            let listed = WorkerAttempt {
                number,
                incarnation: worker.incarnation,
                is_confirmed: true,
                is_stopped: false,
                unsent: 0,
            };
            let is_other = |attempt: WorkerAttempt| attempt.number != number && !attempt.is_stopped;
            if !view.attempt.is_some_and(is_other) {
                view.attempt = Some(listed);
            }
        }
        None => {
            let is_open = |attempt: &WorkerAttempt| {
                is_same && !attempt.is_confirmed && !attempt.is_stopped && view.binding.is_some()
            };
            view.attempt = view.attempt.filter(is_open).filter(|_| !view.is_done);
        }
    }
}

pub(super) fn stop(state: &mut OpenStartsState, is_answered: bool) {
    let (view, worker) = (&mut state.view, &mut state.worker);
    let Some(attempt) = view.attempt else { return };
    if !worker.is_up || view.fence < worker.fence {
        return;
    }
    worker.fence = view.fence;
    if worker.running == Some(attempt.number) {
        worker.end_run();
    }
    worker.closed_attempt = worker.closed_attempt.max(attempt.number);
    if is_answered {
        view.attempt = Some(WorkerAttempt { is_stopped: true, unsent: 0, ..attempt });
    }
}

/// Writes what the leader knows to the row.
pub(super) fn store(state: &mut OpenStartsState) {
    let view = &state.view;
    state.row = TaskRow {
        attempt: view.attempt.map(|attempt| (attempt.number, attempt.incarnation)),
        incarnation: view.incarnation,
        last_attempt: view.last_attempt,
        starts: view.binding.map_or(0, |binding| binding.starts - binding.unwritten),
        is_done: view.is_done,
    };
}
