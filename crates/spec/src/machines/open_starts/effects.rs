//! What the steps of the machine change.

use {
    super::{
        OpenStartsMachine,
        leader::{renew, stop, store},
        starts::{place, send, send_former},
        state::{OpenStartsState, StartWorker},
        steps::OpenStartsStep,
    },
    crate::Mutation,
};

impl OpenStartsMachine {
    pub(super) fn apply(&self, state: &mut OpenStartsState, step: OpenStartsStep) {
        match step {
            OpenStartsStep::Tick => self.tick(state),
            OpenStartsStep::Restart | OpenStartsStep::Return => {
                state.worker = StartWorker::new(state.worker.incarnation + 1);
            }
            OpenStartsStep::Leave => {
                let ended = StartWorker::new(state.worker.incarnation);
                state.worker = StartWorker { is_up: false, is_listed: false, ..ended };
            }
            OpenStartsStep::End => {
                state.worker.end_run();
                state.worker.has_ended = true;
            }
            OpenStartsStep::Place => place(state),
            OpenStartsStep::Repeat => self.repeat(state),
            OpenStartsStep::Send => send(state),
            OpenStartsStep::SendFormer => send_former(state),
            OpenStartsStep::Deliver(start, is_answered) => {
                self.deliver(state, start, is_answered);
            }
            OpenStartsStep::RaiseFence => {
                state.view.fence += 1;
                state.view.is_fenced = false;
            }
            OpenStartsStep::Renew(is_answered) => renew(state, is_answered),
            OpenStartsStep::Stop(is_answered) => stop(state, is_answered),
            OpenStartsStep::Lapse => state.view.attempt = None,
            OpenStartsStep::Acknowledge => {
                let worker = &mut state.worker;
                let is_same = worker.incarnation == state.view.incarnation && worker.is_up;
                state.is_acknowledged = is_same && std::mem::take(&mut worker.has_ended);
            }
            OpenStartsStep::PlaceElsewhere => {
                state.runs_elsewhere = true;
                if state.worker.running.is_some() {
                    state.violation = Some("a task that is started elsewhere runs");
                }
            }
            OpenStartsStep::Lead => self.lead(state),
        }
        if !matches!(step, OpenStartsStep::Lead) {
            store(state);
        }
    }

    fn tick(&self, state: &mut OpenStartsState) {
        let worker = &mut state.worker;
        worker.lease = worker.lease.saturating_sub(1);
        if worker.lease == 0 {
            // An end that is acknowledged after a lapse does not count.
            worker.has_ended = false;
            worker.end_run();
        }
        for start in &mut state.starts {
            start.left -= 1;
            start.lease = start.lease.saturating_sub(1);
        }
        state.starts.retain(|start| start.left > 0);
        state.starts.sort_unstable();
        if let Some(former) = &mut state.former {
            former.left -= 1;
        }
        state.former = state.former.take().filter(|former| former.left > 0);
        let view = &mut state.view;
        view.lease = view.lease.saturating_sub(1);
        // The time counts from the last sending.
        let has_unsent = view.attempt.is_some_and(|attempt| attempt.unsent > 0);
        if let Some(binding) = view.binding.as_mut().filter(|_| !has_unsent) {
            if binding.left > 0 {
                binding.left -= 1;
            } else {
                binding.lease = binding.lease.saturating_sub(1);
            }
            let is_over = binding.lease == 0 || !self.has(Mutation::WaitsForResponseAfterDelay);
            if binding.left == 0 && is_over {
                view.binding = None;
            }
        }
    }
}
