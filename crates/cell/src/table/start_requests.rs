//! Requests to start an attempt, and which of them may still be carried out.
//!
//! A request without a response may be carried out late, by whichever incarnation has the worker's id then. It
//! names no incarnation, except by its ticket.
//!
//! A ticket is of the incarnation that the adviser knew when it answered, which the leader may not have heard of. It
//! is identified once an incarnation is known to have carried out a request that was sent after the ticket had arrived:
//! the ticket is then of that incarnation or of a former one, and no later one accepts it. Until then, a response to
//! the start does not tell who gave it, and the attempt may be running on an incarnation that is not known.

use {super::attempt::AttemptState, crate::StartOutcome, std::num::NonZeroU64};

/// Time after which a request without a response is no longer carried out, in milliseconds.
pub(crate) const MAX_REQUEST_DELAY_MS: u64 = 15_000;

/// Start requests of former leaders that may still be carried out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum FormerStarts {
    /// There are none.
    #[default]
    Settled,
    /// At most one, and no incarnation is known to have carried it out.
    One,
    /// One or more beside that which an incarnation lists.
    Several,
}

/// When a ticket arrived and how long it is valid, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TicketTimes {
    /// Time at which the leader received it. It was issued before.
    pub(crate) arrived_ms: u64,
    /// Time after which no worker accepts it.
    pub(crate) valid_until_ms: u64,
}

impl TicketTimes {
    /// Returns the time until which a request with the ticket that was sent at `sent_ms` may be carried out.
    fn last_start_ms(self, sent_ms: u64) -> u64 {
        self.valid_until_ms.min(sent_ms + MAX_REQUEST_DELAY_MS)
    }
}

/// The requests to start an attempt. Each of up to 10,000 tasks of a job may have them, so a time that may be missing takes
/// no more space than a number.
#[derive(Debug, Default)]
pub(crate) struct StartRequests {
    /// Number of requests so far.
    pub(crate) tries: u32,
    /// Time at which the last one was sent; 0 if this leader sent none.
    pub(crate) sent_ms: u64,
    /// Number of the fence that the last one had.
    pub(crate) fence: u32,
    /// The requests carried a ticket.
    pub(crate) has_ticket: bool,
    /// The job's row says that more than one request may be without a response.
    pub(crate) is_repeated: bool,
    /// Requests of former leaders.
    pub(crate) former: FormerStarts,
    /// Time at which the request in flight was sent, if that has no ticket.
    in_flight_ms: Option<NonZeroU64>,
    /// Time at which the last request without a response and without a ticket was sent.
    unanswered_ms: Option<NonZeroU64>,
    /// The present incarnation of the worker is known to have carried out the start.
    is_settled: bool,
    /// Another incarnation of the worker, of which the leader knows, may have carried out the start.
    may_run_on_next: bool,
    /// Time at which the newest ticket of the requests arrived.
    ticket_ms: u64,
    /// Time until which the request in flight may be carried out, if that has a ticket.
    ticketed_in_flight_until_ms: Option<NonZeroU64>,
    /// Time until which requests with tickets that had no response may be carried out.
    ticketed_open_until_ms: Option<NonZeroU64>,
    /// Time of the last confirmation of a request with a ticket.
    ticketed_begun_ms: Option<NonZeroU64>,
    /// An incarnation after the known one has confirmed the start.
    is_on_next: bool,
}

impl StartRequests {
    /// Returns the requests of a former leader, of which the job's row says whether more than one may be without a
    /// response. Those with a ticket that is not identified may be carried out until `unidentified_until_ms`.
    pub(crate) fn inherited(is_repeated: bool, unidentified_until_ms: Option<u64>) -> Self {
        let former = if is_repeated { FormerStarts::Several } else { FormerStarts::One };
        let ticketed_open_until_ms = unidentified_until_ms.and_then(NonZeroU64::new);
        Self { is_repeated, former, ticketed_open_until_ms, ..Self::default() }
    }

    /// Records that a request is sent, with a ticket or without one.
    pub(crate) fn send(&mut self, fence: u32, ticket: Option<TicketTimes>, now_ms: u64) {
        self.tries += 1;
        self.sent_ms = now_ms;
        self.fence = fence;
        self.has_ticket = ticket.is_some();
        let until_ms = ticket.map_or(0, |ticket| ticket.last_start_ms(now_ms));
        self.in_flight_ms = NonZeroU64::new(now_ms).filter(|_| ticket.is_none());
        self.ticketed_in_flight_until_ms = NonZeroU64::new(until_ms);
        self.ticket_ms = self.ticket_ms.max(ticket.map_or(0, |ticket| ticket.arrived_ms));
    }

    /// Records what came of the request in flight.
    pub(crate) fn finish(&mut self, outcome: StartOutcome, now_ms: u64) {
        let sent_ms = self.in_flight_ms.take();
        let ticketed_until_ms = self.ticketed_in_flight_until_ms.take();
        match outcome {
            StartOutcome::Unknown => {
                self.unanswered_ms = sent_ms.or(self.unanswered_ms);
                self.ticketed_open_until_ms = self.ticketed_open_until_ms.max(ticketed_until_ms);
            }
            StartOutcome::Started if ticketed_until_ms.is_some() => {
                self.ticketed_begun_ms = NonZeroU64::new(now_ms);
            }
            StartOutcome::Started | StartOutcome::Refused(_) => {}
        }
    }

    /// Returns the time until which an incarnation that is not known may have begun the attempt, or may begin it, by a
    /// request with a ticket; `None` if none may. `identified_ms` is the time of the last request of which it is known
    /// which incarnation has carried it out.
    pub(crate) fn unidentified_until_ms(&self, identified_ms: u64) -> Option<u64> {
        let begun_ms = self.ticketed_begun_ms.map(NonZeroU64::get);
        begun_ms.max(self.ticketed_until_ms()).filter(|_| identified_ms <= self.ticket_ms)
    }

    /// Returns the time until which a request with a ticket that has had no response may be carried out, `None` if there
    /// is none.
    pub(crate) fn ticketed_until_ms(&self) -> Option<u64> {
        let until_ms = self.ticketed_in_flight_until_ms.max(self.ticketed_open_until_ms);
        until_ms.map(NonZeroU64::get)
    }

    /// Returns whether a request with a ticket was confirmed, and it is not known by which incarnation.
    pub(crate) fn is_confirmed_by_unidentified(&self, identified_ms: u64) -> bool {
        self.ticketed_begun_ms.is_some() && self.unidentified_until_ms(identified_ms).is_some()
    }

    /// Returns whether a request with a ticket that had no response may still be carried out.
    pub(crate) fn has_open_ticket(&self, now_ms: u64) -> bool {
        self.ticketed_open_until_ms.is_some_and(|until_ms| now_ms <= until_ms.get())
    }

    /// Records that the known incarnation has carried out the last request. All tickets arrived before that was sent.
    pub(crate) fn identify(&mut self) {
        self.ticketed_open_until_ms = None;
        self.ticketed_begun_ms = None;
    }

    /// Records whether an incarnation after the known one runs the attempt.
    pub(crate) fn record_next(&mut self, is_on_next: bool) {
        self.is_on_next = is_on_next;
    }

    /// Returns whether an incarnation after the known one has confirmed the start.
    pub(crate) fn is_on_next(&self) -> bool {
        self.is_on_next
    }

    /// Returns whether a repetition has to wait until the job's row tells of it. A new leader takes a run that the
    /// worker lists for that of the only request otherwise.
    pub(crate) fn needs_row_to_repeat(&self) -> bool {
        self.unanswered_ms.is_some() && !self.is_repeated
    }

    /// Returns the time until which an incarnation that has not been heard from may carry out a request without a
    /// ticket, `None` if none may. Those of former leaders may be until `former_until_ms`.
    pub(crate) fn open_until_ms(&self, former_until_ms: u64) -> Option<u64> {
        let own_ms = self.in_flight_ms.max(self.unanswered_ms);
        let own_until_ms = own_ms.map(|sent_ms| sent_ms.get() + MAX_REQUEST_DELAY_MS);
        let former_until_ms = (self.former != FormerStarts::Settled).then_some(former_until_ms);
        own_until_ms.max(former_until_ms)
    }

    /// Records that the worker's incarnation responded to a renewal sent at `sent_ms`. If the only
    /// request was confirmed before, the same incarnation has carried it out.
    pub(crate) fn settle(&mut self, state: AttemptState, sent_ms: u64) {
        let is_confirmed = match state {
            AttemptState::Running { since_ms } => self.tries == 1 && since_ms < sent_ms,
            _ => false,
        };
        self.is_settled |= is_confirmed;
    }

    /// Records that the worker's incarnation lists the attempt. An earlier one of several requests may still
    /// be carried out by another.
    pub(crate) fn settle_listed(&mut self) {
        self.is_settled |= self.tries <= 1;
        self.is_on_next = false;
        if self.tries <= 1 {
            self.identify();
        }
        if self.former == FormerStarts::One {
            self.former = FormerStarts::Settled;
        }
    }

    /// Records that the worker has restarted. Unless the former incarnation is known to have carried out a start
    /// without a ticket, the next one may.
    pub(crate) fn record_restart(&mut self) {
        self.may_run_on_next |= self.tries > 0 && !self.is_settled && !self.has_ticket;
        self.is_settled = false;
        self.is_on_next = false;
    }

    /// Returns the time until which an incarnation that has not been heard from may begin the attempt, if the
    /// leader knows of one that may.
    pub(crate) fn unheard_until_ms(&self) -> Option<u64> {
        self.may_run_on_next.then(|| self.last_until_ms())
    }

    /// Returns the time until which the last request may be carried out.
    fn last_until_ms(&self) -> u64 {
        self.sent_ms + MAX_REQUEST_DELAY_MS
    }

    /// Returns whether a request may be carried out, or may have been, by another incarnation of the worker. Those of
    /// former leaders may be until `former_until_ms`, if there are more than the one that an incarnation lists.
    pub(crate) fn may_reach_another(
        &self,
        former_until_ms: u64,
        identified_ms: u64,
        now_ms: u64,
    ) -> bool {
        let is_former_open = self.former == FormerStarts::Several && now_ms < former_until_ms;
        let is_unidentified = self.unidentified_until_ms(identified_ms).is_some();
        is_former_open || is_unidentified || now_ms < self.unsettled_until_ms(identified_ms)
    }

    /// Returns the time until which a request of this leader, with a ticket or without one, may be carried out by
    /// another incarnation of the worker; 0 if none can be.
    pub(crate) fn unsettled_until_ms(&self, identified_ms: u64) -> u64 {
        match self.tries > 0 && !self.is_settled {
            true if self.has_ticket => self.unidentified_until_ms(identified_ms).unwrap_or(0),
            true => self.last_until_ms(),
            false => 0,
        }
    }
}
