//! Renewals of leases, which may wait at their workers for an end.

use {
    super::{FakeCell, FakeRun, FakeWorker, REQUEST_TIMEOUT_MS, worker::LateRequest},
    damaskrack_cell::{
        CellAction, CellInput, EndKind, RenewOutcome, RenewRequest, RenewResponse, RunningAttempt,
    },
};

/// A renewal that waits at its worker for an end.
#[derive(Debug)]
pub(super) struct WaitingRenewal {
    until_ms: u64,
    /// Incarnation at which it waits.
    incarnation: u64,
    /// It has been processed, and only its response waits.
    is_processed: bool,
    request: RenewRequest,
}

impl FakeCell {
    /// Processes a renewal when it arrives at its worker.
    pub(super) fn receive_renewal(&mut self, request: RenewRequest) {
        let worker = &self.workers[&request.address];
        let has_link = self.link.is_some();
        if !has_link && (!self.lets_renewals_wait || worker.is_silent || worker.defers_renewals) {
            return self.renew(&request);
        }
        let until_ms = self.now_ms + request.wait_ms;
        let incarnation = worker.report.incarnation;
        let token = self.token_of(request.fence);
        let refusal = if has_link { None } else { self.process_renewal(&request, token).err() };
        match refusal {
            Some(outcome) => self.finish_renewal(&request, outcome),
            None => {
                let is_processed = !has_link;
                let waiting = WaitingRenewal { until_ms, incarnation, is_processed, request };
                self.waiting_renewals.push(waiting);
            }
        }
    }

    /// Responds to the renewals that have waited long enough. The response to one is lost if its worker has
    /// restarted meanwhile.
    pub(super) fn answer_waiting_renewals(&mut self) {
        let waiting = std::mem::take(&mut self.waiting_renewals);
        let (due, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|renewal| {
            renewal.until_ms <= self.now_ms || self.has_end_to_report(renewal)
        });
        self.waiting_renewals = later;
        due.into_iter().for_each(|renewal| self.answer_waiting_renewal(renewal));
    }

    fn answer_waiting_renewal(&mut self, renewal: WaitingRenewal) {
        let WaitingRenewal { until_ms, incarnation, is_processed, request } = renewal;
        let worker = &self.workers[&request.address];
        let is_lost =
            worker.report.incarnation != incarnation || (worker.is_silent && self.has_timeouts);
        if is_lost {
            let timeout_ms = until_ms + REQUEST_TIMEOUT_MS;
            self.unanswered.push((timeout_ms, CellAction::Renew(request)));
        } else if is_processed && !worker.is_silent {
            self.finish_renewal(&request, RenewOutcome::Answered(self.renewal_response(worker)));
        } else {
            self.renew(&request);
        }
    }

    fn has_end_to_report(&self, renewal: &WaitingRenewal) -> bool {
        let worker = &self.workers[&renewal.request.address];
        let last_durable_end = renewal.request.last_durable_end;
        let has_end = worker.ended.iter().any(|end| end.number > last_durable_end);
        has_end && !worker.is_silent && worker.report.incarnation == renewal.incarnation
    }

    fn renew(&mut self, request: &RenewRequest) {
        let token = self.token_of(request.fence);
        let worker = self.workers.get_mut(&request.address).unwrap();
        let outcome = if worker.defers_renewals {
            let (sent_ms, request) = (self.now_ms, request.clone());
            worker.deferred_renewals.push(LateRequest { sent_ms, token, request });
            RenewOutcome::Unknown
        } else if worker.is_silent {
            RenewOutcome::Unknown
        } else {
            self.renew_now(request, token)
        };
        self.finish_renewal(request, outcome);
    }

    /// Reports the outcome of a renewal.
    fn finish_renewal(&mut self, request: &RenewRequest, outcome: RenewOutcome) {
        let input =
            CellInput::RenewFinished { worker: request.worker, fence: request.fence, outcome };
        match self.delays_renewals_of.as_deref() == Some(request.address.as_str()) {
            true => self.delayed_renewals.push(input),
            false => self.apply(input),
        }
    }

    /// Processes a renewal on its worker.
    fn renew_now(&mut self, request: &RenewRequest, token: u64) -> RenewOutcome {
        match self.process_renewal(request, token) {
            Ok(()) => {
                let worker = &self.workers[&request.address];
                RenewOutcome::Answered(self.renewal_response(worker))
            }
            Err(refusal) => refusal,
        }
    }

    /// Extends the leases of a worker and discards acknowledged ends, or returns why it does not.
    fn process_renewal(&mut self, request: &RenewRequest, token: u64) -> Result<(), RenewOutcome> {
        let now_ms = self.now_ms;
        let worker = self.workers.get_mut(&request.address).unwrap();
        if worker.is_replaced || worker.report.id != request.worker_id {
            return Err(RenewOutcome::Incarnation);
        }
        if token < worker.token {
            return Err(RenewOutcome::Fenced);
        }
        worker.token = token;
        worker.extend(request.deadline_ms, now_ms);
        worker.check_bound(&self.lease_bounds);
        self.acknowledge_ends(&request.address, request.last_durable_end);
        Ok(())
    }

    fn renewal_response(&self, worker: &FakeWorker) -> RenewResponse {
        let running = worker.runs.iter().map(|run| RunningAttempt {
            task: run.task.clone(),
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: self.reported_percent(worker, run),
        });
        let limit = if worker.max_listed_ends > 0 { worker.max_listed_ends } else { usize::MAX };
        RenewResponse {
            incarnation: worker.report.incarnation,
            clock_ms: worker.clock_ms(self.now_ms),
            running: running.collect(),
            ended: worker.ended.iter().take(limit).cloned().collect(),
            is_partial: worker.ended.len() >= limit,
            unreadable_end: None,
        }
    }

    /// Returns the progress of a run that a worker reports, in percent.
    fn reported_percent(&self, worker: &FakeWorker, run: &FakeRun) -> u32 {
        match worker.modelled_percent(run, self.now_ms) {
            Some(percent) => percent,
            None if self.has_progress => worker.elapsed_percent(run, self.now_ms),
            None if worker.hides_progress => 0,
            None => self.estimated_percent(run),
        }
    }

    /// Returns the progress of a run by its step's estimate, in percent; a half if tasks run for a fixed time.
    fn estimated_percent(&self, run: &FakeRun) -> u32 {
        if self.run_ms > 0 {
            return 50;
        }
        let estimate_ms = self.step_of(&run.task).estimate_ms.max(1);
        let left_ms = run.ends_ms.saturating_sub(self.now_ms).min(estimate_ms);
        u32::try_from((estimate_ms - left_ms) * 100 / estimate_ms).unwrap_or(100)
    }

    /// Discards the ends of a worker up to a number. A task must not have been started again since
    /// it was done, unless the worker's leases have expired between.
    fn acknowledge_ends(&mut self, id: &str, last: u64) {
        let worker = self.workers.get_mut(id).unwrap();
        let (acknowledged, left): (Vec<_>, Vec<_>) =
            worker.ended.drain(..).partition(|ended| ended.number <= last);
        worker.ended = left;
        let last_expired_end = worker.last_expired_end;
        for ended in acknowledged.into_iter().filter(|ended| ended.kind == EndKind::Done) {
            let starts = self.starts.iter().filter(|(task, ..)| *task == ended.task);
            let last_start = starts.map(|(_, attempt, _)| *attempt).max();
            let is_current = last_start == Some(ended.attempt) || ended.number <= last_expired_end;
            let is_service = self.step_of(&ended.task).is_service;
            assert!(is_current || is_service, "{} started again after it was done", ended.task);
            *self.done.entry(ended.task).or_default() += 1;
        }
    }

    /// Processes the deferred renewals of a worker.
    pub(crate) fn run_deferred_renewals(&mut self, id: &str) -> Vec<RenewOutcome> {
        self.end_runs();
        let late = std::mem::take(&mut self.workers.get_mut(id).unwrap().deferred_renewals);
        late.iter().map(|late| self.renew_now(&late.request, late.token)).collect()
    }
}
