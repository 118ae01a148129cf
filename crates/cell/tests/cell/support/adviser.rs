//! A fake adviser, whose tickets are of the incarnations that are up when it responds.

use {
    super::{FORMER_LIFE_MS, FakeCell, load_model::job_id, reference::step_name},
    damaskrack_cell::{AdviceRequest, AdviceTiming, CellInput, StartRequest, WorkerTicket},
};

/// A ticket that the adviser has issued.
#[derive(Debug)]
struct IssuedTicket {
    step: String,
    worker: String,
    incarnation: u64,
    valid_until_ms: u64,
}

/// Tickets that the adviser has issued, by their numbers.
#[derive(Debug, Default)]
pub(crate) struct IssuedTickets {
    tickets: Vec<IssuedTicket>,
}

impl IssuedTickets {
    /// Issues a ticket and returns its number.
    fn issue(&mut self, ticket: IssuedTicket) -> String {
        self.tickets.push(ticket);
        (self.tickets.len() - 1).to_string()
    }

    /// Returns whether any ticket of a step for a worker is valid.
    pub(super) fn has_valid(&self, step: &str, worker: &str, now_ms: u64) -> bool {
        let is_same = |ticket: &&IssuedTicket| ticket.step == step && ticket.worker == worker;
        self.tickets.iter().filter(is_same).any(|ticket| now_ms <= ticket.valid_until_ms)
    }

    /// Returns whether an incarnation of a worker accepts a ticket for a step.
    pub(super) fn is_accepted(
        &self,
        number: &str,
        step: &str,
        (worker, incarnation): (&str, u64),
        now_ms: u64,
    ) -> bool {
        let number = number.parse::<usize>().ok();
        number.and_then(|number| self.tickets.get(number)).is_some_and(|ticket| {
            (ticket.step.as_str(), ticket.worker.as_str()) == (step, worker)
                && ticket.incarnation == incarnation
                && now_ms <= ticket.valid_until_ms
        })
    }
}

/// Creates a cell with one worker, which needs tickets.
pub(crate) fn cell_with_tickets() -> FakeCell {
    let mut cell = FakeCell::new(1);
    cell.add_adviser(AdviceTiming { call_us: 1_000, worker_us: 100, valid_ms: 2_500 });
    // Else the wait for a former leader's isolation hides others.
    cell.settings.isolation_ms = 1_000;
    cell.start_leader();
    cell.workers.get_mut("w0").expect("a worker").needs_tickets = true;
    cell.lets_renewals_wait = true;
    cell.run(FORMER_LIFE_MS);
    cell.run_ms = 600_000;
    cell
}

impl FakeCell {
    /// Processes a call to the adviser.
    pub(super) fn advise(&mut self, request: AdviceRequest) {
        let is_silent = self.silent_daemons.contains(&request.daemon);
        self.advice_requests.push(request.clone());
        match self.lost_advice {
            _ if is_silent => {}
            0 if self.defers_calls => self.deferred_calls.push(request),
            0 if self.has_slow_adviser => {
                self.slow_advice.push((self.slow_response_ms(&request), request));
            }
            0 => {
                let response = self.decide(&request);
                match self.holds_advice {
                    true => self.held_advice.push(response),
                    false => self.apply(response),
                }
            }
            _ => self.lost_advice -= 1,
        }
    }

    /// Returns the adviser's response to a call.
    fn decide(&mut self, request: &AdviceRequest) -> CellInput {
        let valid_until_ms = self.now_ms + self.ticket_duration_ms(&request.phase);
        let allowed = request.workers.iter().filter(|id| self.is_advised(&request.phase, id));
        let allowed: Vec<String> = allowed.cloned().collect();
        let mut tickets = Vec::new();
        for worker in allowed {
            let incarnation =
                self.workers.get(&worker).map_or(0, |worker| worker.report.incarnation);
            let step = request.phase.clone();
            let issued = IssuedTicket { step, worker: worker.clone(), incarnation, valid_until_ms };
            let ticket = self.tickets.issue(issued);
            tickets.push(WorkerTicket { worker, ticket });
        }
        CellInput::Advice { call: request.call, allowed: Some(tickets) }
    }

    /// Returns the time for which the tickets of a step are valid, in milliseconds.
    fn ticket_duration_ms(&self, step: &str) -> u64 {
        let record = &self.records[job_id(step)];
        let queue = self.config.queues.get(&record.queue);
        let advice = queue.map_or(record.advice, |queue| queue.advice);
        advice.map_or(0, |advice| advice.valid_ms)
    }

    /// Returns whether the worker of a start request accepts its ticket.
    pub(super) fn accepts_ticket(&self, request: &StartRequest) -> bool {
        let StartRequest { worker_id, task, ticket, .. } = request;
        let incarnation = self.workers[&request.address].report.incarnation;
        let worker = (worker_id.as_str(), incarnation);
        self.tickets.is_accepted(ticket, step_name(task), worker, self.now_ms)
    }

    /// Returns the time at which the slow adviser responds, behind the other calls through its daemon.
    fn slow_response_ms(&self, request: &AdviceRequest) -> u64 {
        let own = self.slow_advice.iter().filter(|(_, other)| other.daemon == request.daemon);
        let free_ms = own.map(|(at_ms, _)| *at_ms).max().unwrap_or(0).max(self.now_ms);
        free_ms + request.expected_ms
    }

    /// Delivers the responses of the slow adviser that are due.
    pub(super) fn deliver_slow_advice(&mut self) {
        let now_ms = self.now_ms;
        let waiting = std::mem::take(&mut self.slow_advice);
        let (due, later): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.slow_advice = later;
        for (_, request) in due {
            let response = self.decide(&request);
            self.apply(response);
        }
    }

    /// Lets the adviser decide on the last of the calls that were deferred.
    pub(crate) fn decide_last_call(&mut self) {
        let request = self.deferred_calls.pop().unwrap();
        let response = self.decide(&request);
        self.apply(response);
    }

    /// Delivers the adviser's responses that were held, and holds no more.
    pub(crate) fn deliver_held_advice(&mut self) {
        self.holds_advice = false;
        let held = std::mem::take(&mut self.held_advice);
        held.into_iter().for_each(|input| self.apply(input));
    }
}
