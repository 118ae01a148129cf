//! Model of a former and a new owner of one rack with one worker.
//!
//! Time is discrete. The former owner was given an attempt, may start it, and renews its lease.
//! Messages to the worker arrive in any order and arbitrarily late. The queue owner asks about the
//! attempt and starts another one on another worker as soon as it may.

use {
    crate::{Mutation, SpecMachine},
    damaskrack_model::{ClockTime, Epoch},
    damaskrack_ownership::{
        EpochFence, FenceOutcome, SilenceInput, VoidOutcome, lease_expiry, resolve_void_attempt,
    },
};

/// Time at which the exploration ends.
const END_TIME: u64 = 9;
/// Latest time of the takeover.
const LATEST_TAKEOVER: u64 = 2;
/// Length of a task's lease.
const LEASE: u64 = 2;
/// Time within which a former owner stops.
const ISOLATION_TIME: u64 = 2;
/// Largest number of messages in flight to the worker.
const MAX_MESSAGES: usize = 2;
/// Epoch of the former owner.
const FORMER_EPOCH: Epoch = Epoch(1);
/// Epoch of the new owner.
const NEW_EPOCH: Epoch = Epoch(2);

/// A request to the worker; numbers are ends of leases on the worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerMessage {
    /// Starts the attempt, unless the lease has expired.
    Start(u64),
    /// Renews the attempt's lease and asks whether it runs.
    Sync(Epoch, u64),
}

/// What an owner knows about the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum KnownAttemptState {
    /// The worker has not responded.
    Unheard,
    /// The worker does not list it.
    Unlisted,
    /// It runs.
    Running,
    /// Its lease has expired, because the worker has not responded for long enough.
    Lapsed,
}

/// What the queue owner concludes about the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum TaskOutcome {
    /// It counts as running.
    Open,
    /// It is not running now, but may have run: only an idempotent task may start again.
    Over,
    /// It never started and never will: any task may start again or be reported as not run.
    NeverRan,
}

/// State of the worker, both owners and the queue owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RackState {
    now: u64,
    fence: EpochFence,
    /// End of the lease while the attempt runs.
    running: Option<u64>,
    has_started: bool,
    has_restarted: bool,
    messages: Vec<WorkerMessage>,
    /// Latest reading of the worker's clock that the former owner received.
    former_heard: u64,
    former_phase: KnownAttemptState,
    /// End of the lease in the start request that the former owner sent.
    start_until: Option<u64>,
    is_void: bool,
    taken_at: Option<u64>,
    /// Latest reading of the worker's clock that the new owner received.
    taker_heard: Option<u64>,
    taker_phase: KnownAttemptState,
    /// The queue owner's conclusion about the attempt.
    verdict: TaskOutcome,
}

/// A step of the rack model.
#[derive(Debug, Clone, Copy)]
pub enum RackStep {
    /// A unit of time passes.
    Tick,
    /// The former owner sends the start request.
    SendStart,
    /// An owner sends a renewal.
    SendSync(Epoch),
    /// A request arrives at the worker and its response at the sender.
    Deliver(WorkerMessage),
    /// A request arrives at the worker and its response is lost.
    DeliverLost(WorkerMessage),
    /// A request is lost.
    Drop(WorkerMessage),
    /// The worker's process restarts; requests on its connections are lost.
    Restart,
    /// The new owner takes over the rack.
    Take,
    /// The new owner treats the worker's leases as expired.
    Lapse,
    /// The queue owner asks an owner about the attempt.
    Ask(Epoch),
}

/// Model of the takeover of a rack.
#[derive(Debug)]
pub struct RackMachine {
    removed: Vec<Mutation>,
}

impl RackMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    fn is_former_owner_active(&self, state: &RackState) -> bool {
        state.taken_at.is_none_or(|at| state.now <= at + ISOLATION_TIME)
            || self.is_removed(Mutation::FormerOwnerStops)
    }

    /// Handles a request at the worker and returns whether the epoch fence admitted it.
    fn handle_at_worker(&self, state: &mut RackState, message: WorkerMessage) -> bool {
        let (epoch, until) = match message {
            WorkerMessage::Start(until) => (FORMER_EPOCH, until),
            WorkerMessage::Sync(epoch, until) => (epoch, until),
        };
        let is_stale = state.fence.admit(epoch) == FenceOutcome::Stale;
        if is_stale && !self.is_removed(Mutation::WorkerFence) {
            return false;
        }
        let is_relative = self.is_removed(Mutation::AbsoluteLease) && until > 0;
        let until = if is_relative { state.now + LEASE } else { until };
        match message {
            WorkerMessage::Start(_) if until > state.now && !state.has_started => {
                state.has_started = true;
                state.running = Some(until);
            }
            WorkerMessage::Start(_) => {}
            WorkerMessage::Sync(..) => {
                state.running = state.running.map(|lease| lease.max(until));
            }
        }
        true
    }

    fn report_to_owner(state: &mut RackState, message: WorkerMessage) {
        let listed = match state.running {
            Some(_) => KnownAttemptState::Running,
            None => KnownAttemptState::Unlisted,
        };
        match message {
            WorkerMessage::Start(_) | WorkerMessage::Sync(FORMER_EPOCH, _) => {
                state.former_heard = state.now;
                state.former_phase = listed;
            }
            WorkerMessage::Sync(..) => {
                state.taker_heard = Some(state.now);
                state.taker_phase = listed;
            }
        }
    }

    fn may_expire_leases(&self, state: &RackState, taken_at: u64) -> bool {
        let isolation_ms = if self.is_removed(Mutation::LapseWait) { 0 } else { ISOLATION_TIME };
        let end = lease_expiry(SilenceInput {
            heard_at: state.taker_heard.map(ClockTime),
            added_at: ClockTime(taken_at),
            resumed_at: ClockTime::default(),
            expiry_ms: LEASE,
            isolation_ms,
        });
        ClockTime(state.now) > end
    }

    /// Updates the queue owner's conclusion with an owner's response about the attempt.
    fn resolve_query(&self, state: &mut RackState, asked_epoch: Epoch) {
        if asked_epoch == FORMER_EPOCH {
            return resolve_by_former_owner(state);
        }
        if state.taker_phase == KnownAttemptState::Running {
            return;
        }
        let answering_epoch =
            if self.is_removed(Mutation::VoidEpoch) { FORMER_EPOCH } else { asked_epoch };
        state.verdict = match resolve_void_attempt(FORMER_EPOCH, answering_epoch, false) {
            VoidOutcome::NeverRan => TaskOutcome::NeverRan,
            VoidOutcome::MayHaveRun => TaskOutcome::Over,
        };
    }

    fn former_owner_steps(&self, state: &RackState) -> Vec<RackStep> {
        let mut steps = Vec::new();
        if !self.is_former_owner_active(state) {
            return steps;
        }
        let can_send = state.messages.len() < MAX_MESSAGES;
        if can_send && state.start_until.is_none() && !state.is_void {
            steps.push(RackStep::SendStart);
        }
        if can_send {
            steps.push(RackStep::SendSync(FORMER_EPOCH));
        }
        let is_unsent = state.start_until.is_none();
        let is_refused = state.former_phase == KnownAttemptState::Unlisted
            && state.start_until.is_some_and(|until| state.former_heard > until)
            && !state.has_started;
        if state.verdict == TaskOutcome::Open && (is_unsent || is_refused) {
            steps.push(RackStep::Ask(FORMER_EPOCH));
        }
        steps
    }

    fn new_owner_steps(&self, state: &RackState, taken_at: u64) -> Vec<RackStep> {
        let mut steps = Vec::new();
        if state.messages.len() < MAX_MESSAGES {
            steps.push(RackStep::SendSync(NEW_EPOCH));
        }
        if state.taker_phase != KnownAttemptState::Lapsed && self.may_expire_leases(state, taken_at)
        {
            steps.push(RackStep::Lapse);
        }
        let is_rebuilt = state.taker_phase != KnownAttemptState::Unheard;
        let may_answer = is_rebuilt || self.is_removed(Mutation::RebuildFirst);
        if state.verdict == TaskOutcome::Open && may_answer {
            steps.push(RackStep::Ask(NEW_EPOCH));
        }
        steps
    }

    fn apply(&self, state: &mut RackState, step: RackStep) {
        match step {
            RackStep::Tick => {
                state.now += 1;
                state.running = state.running.filter(|until| *until > state.now);
            }
            RackStep::SendStart => {
                let until = state.former_heard + LEASE;
                state.start_until = Some(until);
                push_message(state, WorkerMessage::Start(until));
            }
            RackStep::SendSync(FORMER_EPOCH) => {
                push_message(state, WorkerMessage::Sync(FORMER_EPOCH, state.former_heard + LEASE));
            }
            RackStep::SendSync(epoch) => {
                let until = state.taker_heard.map_or(0, |heard| heard + LEASE);
                push_message(state, WorkerMessage::Sync(epoch, until));
            }
            RackStep::Deliver(message) => {
                remove_message(state, message);
                if self.handle_at_worker(state, message) {
                    Self::report_to_owner(state, message);
                }
            }
            RackStep::DeliverLost(message) => {
                remove_message(state, message);
                self.handle_at_worker(state, message);
            }
            RackStep::Drop(message) => remove_message(state, message),
            RackStep::Restart => {
                state.has_restarted = true;
                state.running = None;
                state.fence = EpochFence::default();
                state.messages.clear();
            }
            RackStep::Take => state.taken_at = Some(state.now),
            RackStep::Lapse => state.taker_phase = KnownAttemptState::Lapsed,
            RackStep::Ask(epoch) => self.resolve_query(state, epoch),
        }
    }
}

/// Records the former owner's response that the attempt never ran: it has not sent the start
/// request and never will, or the worker's clock has passed the time until which it accepts it.
fn resolve_by_former_owner(state: &mut RackState) {
    state.is_void = true;
    state.verdict = TaskOutcome::NeverRan;
}

fn push_message(state: &mut RackState, message: WorkerMessage) {
    state.messages.push(message);
    state.messages.sort_unstable();
}

fn remove_message(state: &mut RackState, message: WorkerMessage) {
    if let Some(index) = state.messages.iter().position(|other| *other == message) {
        state.messages.remove(index);
    }
}

impl SpecMachine for RackMachine {
    type State = RackState;
    type Step = RackStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 owners, 1 worker that may restart once, 1 attempt, 2 messages on the way, 9 units of \
         time, lease 2, isolation 2"
    }

    fn initial(&self) -> RackState {
        RackState {
            now: 0,
            fence: EpochFence::default(),
            running: None,
            has_started: false,
            has_restarted: false,
            messages: Vec::new(),
            former_heard: 0,
            former_phase: KnownAttemptState::Unheard,
            start_until: None,
            is_void: false,
            taken_at: None,
            taker_heard: None,
            taker_phase: KnownAttemptState::Unheard,
            verdict: TaskOutcome::Open,
        }
    }

    fn successors(&self, state: &RackState) -> Vec<(RackStep, RackState)> {
        let mut steps = self.former_owner_steps(state);
        if state.now < END_TIME {
            steps.push(RackStep::Tick);
        }
        let mut messages = state.messages.clone();
        messages.dedup();
        for message in messages {
            let deliveries = [RackStep::Deliver, RackStep::DeliverLost, RackStep::Drop];
            steps.extend(deliveries.map(|delivery| delivery(message)));
        }
        let is_restart_safe = state.taken_at.is_none() || !self.is_former_owner_active(state);
        if !state.has_restarted && (is_restart_safe || self.is_removed(Mutation::QuietRestart)) {
            steps.push(RackStep::Restart);
        }
        match state.taken_at {
            None if state.now <= LATEST_TAKEOVER => steps.push(RackStep::Take),
            None => {}
            Some(at) => steps.extend(self.new_owner_steps(state, at)),
        }
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        steps.into_iter().map(successor).collect()
    }

    fn violation(&self, state: &RackState) -> Option<&'static str> {
        if state.verdict != TaskOutcome::Open && state.running.is_some() {
            return Some("a task that counts as over runs, so it can run in two places");
        }
        let is_contradicted = state.verdict == TaskOutcome::NeverRan && state.has_started;
        is_contradicted.then_some("an attempt that counts as never started has started")
    }
}
