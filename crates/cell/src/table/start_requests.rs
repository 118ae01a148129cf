//! Requests to start an attempt, and which of them may still be carried out.
//!
//! A request without a response may be carried out late, by whichever incarnation has the worker's id then. It
//! names no incarnation, except by its ticket.

use super::attempt::AttemptState;

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

/// The requests to start an attempt.
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
    in_flight_ms: Option<u64>,
    /// Time at which the last request without a response and without a ticket was sent.
    unanswered_ms: Option<u64>,
    /// The present incarnation of the worker is known to have carried out the start.
    is_settled: bool,
    /// Another incarnation of the worker, of which the leader knows, may have carried out the start.
    may_run_on_next: bool,
}

impl StartRequests {
    /// Returns the requests of a former leader, of which the job's row says whether more than one may be without a
    /// response.
    pub(crate) fn inherited(is_repeated: bool) -> Self {
        let former = if is_repeated { FormerStarts::Several } else { FormerStarts::One };
        Self { is_repeated, former, ..Self::default() }
    }

    /// Records that a request is sent.
    pub(crate) fn send(&mut self, fence: u32, has_ticket: bool, now_ms: u64) {
        self.tries += 1;
        self.sent_ms = now_ms;
        self.fence = fence;
        self.has_ticket = has_ticket;
        self.in_flight_ms = (!has_ticket).then_some(now_ms);
    }

    /// Records that the request in flight had a response, or none.
    pub(crate) fn finish(&mut self, is_answered: bool) {
        let sent_ms = self.in_flight_ms.take();
        if !is_answered {
            self.unanswered_ms = sent_ms.or(self.unanswered_ms);
        }
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
        let own_until_ms = own_ms.map(|sent_ms| sent_ms + MAX_REQUEST_DELAY_MS);
        let former_until_ms = (self.former != FormerStarts::Settled).then_some(former_until_ms);
        own_until_ms.max(former_until_ms)
    }

    /// Records that the worker's incarnation responded to a renewal sent at `sent_ms`. If the only
    /// request was confirmed before, the same incarnation has carried it out. If requests with tickets
    /// were sent before, the tickets are of this incarnation or a former one, so no later one accepts them.
    pub(crate) fn settle(&mut self, state: AttemptState, sent_ms: u64) {
        let is_confirmed = match state {
            AttemptState::Running { since_ms } => self.tries == 1 && since_ms < sent_ms,
            _ => false,
        };
        let is_ticket_known = self.has_ticket && self.sent_ms < sent_ms;
        self.is_settled |= self.tries > 0 && (is_confirmed || is_ticket_known);
    }

    /// Records that the worker's incarnation lists the attempt. An earlier one of several requests may still
    /// be carried out by another.
    pub(crate) fn settle_listed(&mut self) {
        self.is_settled |= self.tries <= 1;
        if self.former == FormerStarts::One {
            self.former = FormerStarts::Settled;
        }
    }

    /// Records that the worker has restarted. Unless the former incarnation is known to have carried out the
    /// start, the next one may, if it needs no ticket: those are of an incarnation.
    pub(crate) fn record_restart(&mut self) {
        self.may_run_on_next |= self.tries > 0 && !self.is_settled && !self.has_ticket;
        self.is_settled = false;
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

    /// Returns whether a request may be carried out by another incarnation of the worker. Those of former leaders may
    /// be until `former_until_ms`, if there are more than the one that an incarnation lists.
    pub(crate) fn may_reach_another(&self, former_until_ms: u64, now_ms: u64) -> bool {
        let is_former_open = self.former == FormerStarts::Several && now_ms < former_until_ms;
        is_former_open || now_ms < self.unsettled_until_ms()
    }

    /// Returns the time until which a request of this leader, with a ticket or without one, may be carried out by
    /// another incarnation of the worker; 0 if none can be.
    pub(crate) fn unsettled_until_ms(&self) -> u64 {
        match self.tries > 0 && !self.is_settled {
            true => self.last_until_ms(),
            false => 0,
        }
    }
}
