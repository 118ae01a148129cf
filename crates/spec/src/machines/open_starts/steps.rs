//! Steps of the machine, and which of them are possible.

use {
    super::{
        INCARNATIONS, LEADERS, MAX_STARTS, OpenStartsMachine,
        state::{OpenStart, OpenStartsState},
    },
    crate::Mutation,
};

/// A step of the model of open starts.
#[derive(Debug, Clone, Copy)]
pub enum OpenStartsStep {
    /// A unit of time passes.
    Tick,
    /// The worker restarts under its id.
    Restart,
    /// The worker ends for good and its entry is removed.
    Leave,
    /// A worker whose entry was removed starts again under its id.
    Return,
    /// The task's run on the worker ends `done`.
    End,
    /// The leader writes the row of an attempt on the worker.
    Place,
    /// The leader decides to repeat the start.
    Repeat,
    /// The leader sends a start.
    Send,
    /// A former leader sends a start.
    SendFormer,
    /// A start is carried out, with or without a response to the leader.
    Deliver(OpenStart, bool),
    /// The leader chooses a higher fence for the worker.
    RaiseFence,
    /// The leader renews the leases and reads the list of runs, with or without a response.
    Renew(bool),
    /// The leader stops the attempt, with or without a response.
    Stop(bool),
    /// The leader releases the attempt, as its leases have expired.
    Lapse,
    /// The leader acknowledges the end that it has read.
    Acknowledge,
    /// The leader starts the task on another worker.
    PlaceElsewhere,
    /// The next leader is elected and reads the row.
    Lead,
}

impl OpenStartsMachine {
    fn may_place(&self, state: &OpenStartsState) -> bool {
        let view = &state.view;
        let is_above = view.binding.is_none_or(|binding| view.fence > binding.fence);
        let is_fenced = view.is_fenced && is_above;
        let is_free = view.attempt.is_none() && !view.is_done && !state.runs_elsewhere;
        let is_known = view.is_empty && (is_fenced || !self.has(Mutation::FencesBeforeStart));
        is_free && is_known && state.planned_starts < MAX_STARTS && state.worker.is_listed
    }

    fn may_place_elsewhere(&self, state: &OpenStartsState) -> bool {
        let view = &state.view;
        let is_bound = view.binding.is_some() && self.has(Mutation::BindsTask);
        let is_free = view.attempt.is_none() && !view.is_done && !state.runs_elsewhere;
        is_free && (!is_bound || !state.worker.is_listed)
    }

    fn leader_steps(&self, state: &OpenStartsState) -> Vec<OpenStartsStep> {
        let view = &state.view;
        if state.runs_elsewhere || state.is_acknowledged {
            return Vec::new();
        }
        let mut steps = Vec::new();
        if state.worker.is_up {
            steps.extend([OpenStartsStep::Renew(true), OpenStartsStep::Renew(false)]);
        }
        if self.may_place(state) {
            steps.push(OpenStartsStep::Place);
        }
        if self.may_place_elsewhere(state) {
            steps.push(OpenStartsStep::PlaceElsewhere);
        }
        if let Some(attempt) = view.attempt {
            if !attempt.is_stopped {
                steps.extend([OpenStartsStep::Stop(true), OpenStartsStep::Stop(false)]);
            }
            let may_repeat = !attempt.is_stopped && !attempt.is_confirmed;
            if attempt.unsent > 0 {
                steps.push(OpenStartsStep::Send);
            } else if may_repeat && state.planned_starts < MAX_STARTS {
                steps.push(OpenStartsStep::Repeat);
            }
            if view.lease == 0 {
                steps.push(OpenStartsStep::Lapse);
            }
        }
        if view.binding.is_some_and(|binding| binding.fence == view.fence) {
            steps.push(OpenStartsStep::RaiseFence);
        }
        let is_over = view.binding.is_none() || !self.has(Mutation::EndAfterOpenStarts);
        if view.is_done && is_over && !state.is_acknowledged {
            steps.push(OpenStartsStep::Acknowledge);
        }
        if state.leader + 1 < LEADERS {
            steps.push(OpenStartsStep::Lead);
        }
        steps
    }

    pub(super) fn steps(&self, state: &OpenStartsState) -> Vec<OpenStartsStep> {
        let worker = &state.worker;
        let mut steps = self.leader_steps(state);
        steps.push(OpenStartsStep::Tick);
        let has_next = worker.incarnation + 1 < INCARNATIONS;
        if worker.is_up {
            steps.push(OpenStartsStep::Leave);
            steps.extend(has_next.then_some(OpenStartsStep::Restart));
            steps.extend(worker.running.map(|_| OpenStartsStep::End));
        } else if has_next && !self.has(Mutation::GoneForGood) {
            steps.push(OpenStartsStep::Return);
        }
        if state.former.is_some() {
            steps.push(OpenStartsStep::SendFormer);
        }
        for &start in &state.starts {
            if worker.is_up {
                steps.push(OpenStartsStep::Deliver(start, true));
                steps.push(OpenStartsStep::Deliver(start, false));
            }
        }
        steps
    }
}
