//! Model of starts that carry tickets, on one worker that restarts under its id.
//!
//! A ticket is of the incarnation that is up when the adviser answers; the leader may still count on the one
//! before. No answer names the incarnation of a ticket. An incarnation that carries out a request sent after the
//! ticket arrived is an upper bound: no later one accepts the ticket. A start whose ticket has no such bound is
//! unidentified, and any later incarnation may carry it out. The deadline of a start is a time on the clock of the
//! incarnation that the leader counts on; any other grants the longest lease.
//!
//! Renewals extend no lease here (see the machine `incarnations`).

use crate::{Mutation, SpecMachine};

/// Number of incarnations.
const INCARNATIONS: u8 = 3;
/// Number of leaders.
const LEADERS: u8 = 2;
/// Number of tickets that arrive.
const MAX_TICKETS: u8 = 2;
/// Largest number of starts that are sent.
const MAX_STARTS: u8 = 2;
/// Duration of the lease that a leader asks for, in units of time.
const LEASE: u8 = 1;
/// Duration of the longest lease that the worker grants, in units of time.
const MAX_LEASE: u8 = 3;
/// Validity of a ticket, in units of time.
const VALID: u8 = 2;
/// Number of units of time.
const MAX_TICKS: u8 = 7;

/// A ticket that the leader holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldTicket {
    number: u8,
    /// Incarnation that accepts the ticket. The leader does not know it.
    incarnation: u8,
    /// Time until the ticket ends.
    left: u8,
    /// Incarnation that is known to have carried out a request sent after the ticket arrived.
    bound: Option<u8>,
}

/// A start in flight to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartRequest {
    leader: u8,
    ticket: u8,
    ticket_incarnation: u8,
    /// Time until the ticket ends.
    ticket_left: u8,
    /// Incarnation on whose clock the deadline is.
    incarnation: u8,
    /// Time until the deadline on that clock.
    left: u8,
}

/// The worker's response to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RenewalResponse {
    incarnation: u8,
    lists_task: bool,
    /// Number of tickets that had arrived when the renewal was sent.
    tickets: u8,
}

/// The attempt as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptView {
    /// Number of the last start's ticket. Those of earlier starts arrived before.
    ticket: u8,
    /// Time until that ticket ends.
    ticket_left: u8,
    /// Upper bound of the tickets' incarnations, if the start is identified.
    bound: Option<u8>,
    /// Time until the leases have expired that the leader asked for.
    asked: u8,
    /// Time until the longest lease has expired that an incarnation grants for a deadline on another clock,
    /// once the leader has heard from such an incarnation.
    switched: u8,
    /// Time until the longest lease has expired that any incarnation can have granted.
    longest: u8,
}

/// What the leader knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LeaderView {
    incarnation: u8,
    ticket: Option<HeldTicket>,
    attempt: Option<AttemptView>,
}

/// The present incarnation of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct WorkerState {
    incarnation: u8,
    /// Time until the lease expires.
    lease: u8,
    is_running: bool,
    /// The run has ended, so the incarnation refuses another start of it.
    is_closed: bool,
}

/// The row of the task's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptRow {
    incarnation: u8,
    is_identified: bool,
}

/// State of the leader, the worker and the store, with what is in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketsState {
    ticks: u8,
    leader: u8,
    view: LeaderView,
    worker: WorkerState,
    row: Option<AttemptRow>,
    /// Number of tickets that have arrived.
    tickets: u8,
    /// Number of starts that were sent.
    sent: u8,
    starts: Vec<StartRequest>,
    /// Number of tickets that had arrived when the renewal in flight was sent.
    renewal: Option<u8>,
    response: Option<RenewalResponse>,
    /// The attempt was released, and the task runs elsewhere.
    runs_elsewhere: bool,
}

impl TicketsState {
    /// Returns whether the task was released and runs elsewhere.
    #[must_use]
    pub fn runs_elsewhere(&self) -> bool {
        self.runs_elsewhere
    }

    /// Returns how many units of time have passed.
    #[must_use]
    pub fn ticks(&self) -> u8 {
        self.ticks
    }
}

/// A step of the model of tickets.
#[derive(Debug, Clone, Copy)]
pub enum TicketsStep {
    /// A unit of time passes.
    Tick,
    /// The worker restarts under its id.
    Restart,
    /// The adviser issues a ticket of the incarnation that is up.
    Advise,
    /// The leader sends a start of the attempt, after its row.
    Start,
    /// A start arrives at the worker, with or without a response to the leader.
    Deliver(StartRequest, bool),
    /// A start is lost.
    Lose(StartRequest),
    /// The leader sends a renewal.
    Renew,
    /// The renewal arrives at the worker.
    CarryOutRenewal,
    /// The renewal or its response is lost.
    LoseRenewal,
    /// The response to the renewal arrives at the leader.
    Respond,
    /// The leader writes to the row that the start is identified.
    Note,
    /// The leader releases the attempt of a worker that it does not hear from; the task starts elsewhere.
    Release,
    /// The next leader is elected and reads the row.
    Lead,
}

/// Model of starts with tickets.
#[derive(Debug)]
pub struct TicketsMachine {
    removed: Vec<Mutation>,
}

impl TicketsMachine {
    fn has(&self, mutation: Mutation) -> bool {
        !self.removed.contains(&mutation)
    }

    fn steps(&self, state: &TicketsState) -> Vec<TicketsStep> {
        let view = &state.view;
        let mut steps = Vec::new();
        let mut add_if = |is_possible: bool, step| {
            if is_possible {
                steps.push(step);
            }
        };
        add_if(state.ticks < MAX_TICKS, TicketsStep::Tick);
        add_if(state.worker.incarnation + 1 < INCARNATIONS, TicketsStep::Restart);
        add_if(state.tickets < MAX_TICKETS, TicketsStep::Advise);
        add_if(can_start(state), TicketsStep::Start);
        let is_renewal_open = state.renewal.is_some() || state.response.is_some();
        add_if(!is_renewal_open, TicketsStep::Renew);
        add_if(state.renewal.is_some(), TicketsStep::CarryOutRenewal);
        add_if(is_renewal_open, TicketsStep::LoseRenewal);
        add_if(state.response.is_some(), TicketsStep::Respond);
        let is_noted = state.row.is_none_or(|row| row.is_identified);
        add_if(!is_noted && view.attempt.is_some_and(is_identified), TicketsStep::Note);
        let is_over = view.attempt.is_some_and(|attempt| self.is_over(attempt));
        add_if(is_over, TicketsStep::Release);
        add_if(state.leader + 1 < LEADERS, TicketsStep::Lead);
        for start in &state.starts {
            steps
                .extend([true, false].map(|is_answered| TicketsStep::Deliver(*start, is_answered)));
            steps.push(TicketsStep::Lose(*start));
        }
        steps
    }

    /// Returns whether no incarnation can be running the attempt, as far as the leader knows.
    fn is_over(&self, attempt: AttemptView) -> bool {
        let is_held = attempt.bound.is_none() && self.has(Mutation::UnidentifiedStartHolds);
        attempt.asked == 0 && attempt.switched == 0 && !(is_held && attempt.longest > 0)
    }

    fn apply(&self, state: &mut TicketsState, step: TicketsStep) {
        match step {
            TicketsStep::Tick => tick(state),
            TicketsStep::Restart => {
                let incarnation = state.worker.incarnation + 1;
                state.worker =
                    WorkerState { incarnation, lease: 0, is_running: false, is_closed: false };
            }
            TicketsStep::Advise => {
                state.tickets += 1;
                let incarnation = state.worker.incarnation;
                let ticket =
                    HeldTicket { number: state.tickets, incarnation, left: VALID, bound: None };
                state.view.ticket = Some(ticket);
            }
            TicketsStep::Start => self.start(state),
            TicketsStep::Deliver(request, is_answered) => deliver(state, request, is_answered),
            TicketsStep::Lose(request) => remove_start(state, request),
            TicketsStep::Renew => state.renewal = Some(state.tickets),
            TicketsStep::CarryOutRenewal => carry_out_renewal(state),
            TicketsStep::LoseRenewal => {
                state.renewal = None;
                state.response = None;
            }
            TicketsStep::Respond => {
                if let Some(response) = state.response.take() {
                    self.respond(state, response);
                }
            }
            TicketsStep::Note => {
                let incarnation = state.view.incarnation;
                state.row = Some(AttemptRow { incarnation, is_identified: true });
            }
            TicketsStep::Release => release(state),
            TicketsStep::Lead => self.lead(state),
        }
    }

    fn start(&self, state: &mut TicketsState) {
        let incarnation = state.view.incarnation;
        let Some(ticket) = state.view.ticket.take() else { return };
        let attempt = AttemptView {
            ticket: ticket.number,
            ticket_left: ticket.left,
            bound: ticket.bound,
            asked: LEASE,
            switched: 0,
            longest: self.longest(ticket.left),
        };
        state.view.attempt = Some(attempt);
        state.row = Some(AttemptRow { incarnation, is_identified: is_identified(attempt) });
        state.sent += 1;
        state.starts.push(StartRequest {
            leader: state.leader,
            ticket: ticket.number,
            ticket_incarnation: ticket.incarnation,
            ticket_left: ticket.left,
            incarnation,
            left: LEASE,
        });
        state.starts.sort_unstable();
    }

    /// Returns the time until the longest lease has expired that was granted on a start with a ticket.
    fn longest(&self, ticket_left: u8) -> u8 {
        let begins = if self.has(Mutation::LeaseAfterTicketEnds) { ticket_left } else { 0 };
        begins + MAX_LEASE
    }

    fn respond(&self, state: &mut TicketsState, response: RenewalResponse) {
        let incarnation = response.incarnation;
        if incarnation < state.view.incarnation {
            return;
        }
        let is_new = incarnation > state.view.incarnation;
        state.view.incarnation = incarnation;
        if is_new && !response.lists_task && self.is_lost(state.view.attempt, incarnation) {
            release(state);
        }
        let covers =
            |ticket| ticket <= response.tickets || !self.has(Mutation::TicketBeforeRequest);
        if let Some(ticket) = &mut state.view.ticket
            && covers(ticket.number)
        {
            ticket.bound = Some(incarnation);
        }
        let Some(attempt) = &mut state.view.attempt else { return };
        if is_new && self.has(Mutation::LongestLeaseAfterSwitch) {
            attempt.switched = self.longest(attempt.ticket_left);
        }
        if covers(attempt.ticket) {
            attempt.bound = Some(incarnation);
        }
    }

    /// Returns whether a restart has ended the attempt for good: the new incarnation does not accept its tickets.
    fn is_lost(&self, attempt: Option<AttemptView>, incarnation: u8) -> bool {
        attempt.is_some_and(|attempt| match attempt.bound {
            Some(bound) => bound < incarnation,
            None => !self.has(Mutation::OnlyIdentifiedIsLost),
        })
    }

    fn lead(&self, state: &mut TicketsState) {
        state.leader += 1;
        state.renewal = None;
        state.response = None;
        let tickets = state.tickets;
        let inherit = |row: AttemptRow| {
            let is_known = row.is_identified || !self.has(Mutation::RowSaysIdentified);
            AttemptView {
                ticket: tickets,
                ticket_left: VALID,
                bound: is_known.then_some(row.incarnation),
                asked: LEASE,
                switched: 0,
                longest: self.longest(VALID),
            }
        };
        state.view.incarnation = state.row.map_or(state.view.incarnation, |row| row.incarnation);
        state.view.ticket = None;
        state.view.attempt = state.row.map(inherit);
    }
}

/// Returns whether the leader may send a start: the first, or a repetition on the same clock.
fn can_start(state: &TicketsState) -> bool {
    let view = &state.view;
    let is_repeatable = view.attempt.is_none_or(|attempt| attempt.switched == 0);
    view.ticket.is_some_and(|ticket| ticket.left > 0)
        && state.sent < MAX_STARTS
        && is_repeatable
        && !state.runs_elsewhere
}

/// Returns whether only the incarnation that the leader counts on may carry out the attempt's starts.
fn is_identified(attempt: AttemptView) -> bool {
    attempt.bound.is_some() && attempt.switched == 0
}

fn deliver(state: &mut TicketsState, request: StartRequest, is_answered: bool) {
    remove_start(state, request);
    let worker = &mut state.worker;
    let is_ticket_valid =
        request.ticket_left > 0 && request.ticket_incarnation == worker.incarnation;
    let lease = if request.incarnation == worker.incarnation { request.left } else { MAX_LEASE };
    if !is_ticket_valid || lease == 0 || worker.is_closed {
        return;
    }
    worker.is_running = true;
    worker.lease = worker.lease.max(lease);
    // A response has no incarnation, but its clock tells whether it is the one that the leader counts on.
    let is_clock_known = worker.incarnation == state.view.incarnation;
    if !is_answered || !is_clock_known || request.leader != state.leader {
        return;
    }
    if let Some(attempt) = &mut state.view.attempt
        && attempt.ticket == request.ticket
    {
        attempt.bound = Some(worker.incarnation);
    }
}

fn carry_out_renewal(state: &mut TicketsState) {
    let WorkerState { incarnation, is_running: lists_task, .. } = state.worker;
    let response = |tickets| RenewalResponse { incarnation, lists_task, tickets };
    state.response = state.renewal.take().map(response);
}

fn release(state: &mut TicketsState) {
    state.view.attempt = None;
    state.row = None;
    state.runs_elsewhere = true;
}

fn remove_start(state: &mut TicketsState, request: StartRequest) {
    if let Some(index) = state.starts.iter().position(|other| *other == request) {
        state.starts.remove(index);
    }
}

fn tick(state: &mut TicketsState) {
    state.ticks += 1;
    let worker = &mut state.worker;
    worker.lease = worker.lease.saturating_sub(1);
    worker.is_closed |= worker.is_running && worker.lease == 0;
    worker.is_running &= worker.lease > 0;
    let count_down = |left: &mut u8| *left = left.saturating_sub(1);
    for start in &mut state.starts {
        count_down(&mut start.ticket_left);
        count_down(&mut start.left);
    }
    state.starts.sort_unstable();
    state.view.ticket.iter_mut().for_each(|ticket| count_down(&mut ticket.left));
    if let Some(attempt) = &mut state.view.attempt {
        count_down(&mut attempt.ticket_left);
        count_down(&mut attempt.asked);
        count_down(&mut attempt.switched);
        count_down(&mut attempt.longest);
    }
}

impl SpecMachine for TicketsMachine {
    type State = TicketsState;
    type Step = TicketsStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 leaders, 1 worker with 3 incarnations, 2 tickets, 2 starts on the way, late or lost, 7 units of time"
    }

    fn initial(&self) -> TicketsState {
        TicketsState {
            ticks: 0,
            leader: 0,
            view: LeaderView { incarnation: 0, ticket: None, attempt: None },
            worker: WorkerState { incarnation: 0, lease: 0, is_running: false, is_closed: false },
            row: None,
            tickets: 0,
            sent: 0,
            starts: Vec::new(),
            renewal: None,
            response: None,
            runs_elsewhere: false,
        }
    }

    fn successors(&self, state: &TicketsState) -> Vec<(TicketsStep, TicketsState)> {
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        self.steps(state).into_iter().map(successor).collect()
    }

    fn violation(&self, state: &TicketsState) -> Option<&'static str> {
        let runs_twice = state.runs_elsewhere && state.worker.is_running;
        runs_twice.then_some("a task that was released runs on its worker")
    }
}
