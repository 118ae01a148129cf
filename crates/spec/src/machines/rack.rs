//! A former and a new owner of one rack with one worker.
//!
//! Time is discrete. An attempt was handed to the former owner, which starts it, or not, and
//! renews its lease. Messages to the worker arrive in any order and arbitrarily late. The queue
//! owner asks about the attempt and starts another one, on another worker, as soon as it may.

use {
    crate::{Mutation, SpecMachine},
    damaskrack_model::{ClockTime, Epoch},
    damaskrack_ownership::{
        EpochFence, FenceOutcome, SilenceInput, VoidOutcome, lease_expiry, resolve_void_attempt,
    },
};

/// Time at which the exploration ends.
const END: u64 = 9;
/// Latest takeover.
const LATEST_TAKE: u64 = 2;
/// Lease of tasks.
const LEASE: u64 = 2;
/// Time within which a former owner has stopped.
const ISOLATION: u64 = 2;
/// Most messages on the way to the worker.
const MESSAGES: usize = 2;
/// Epoch of the former owner.
const FORMER: Epoch = Epoch(1);
/// Epoch of the new owner.
const TAKER: Epoch = Epoch(2);

/// A call to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerMessage {
    /// Starts the attempt, unless the lease has ended.
    Start(u64),
    /// Renews its lease and asks what runs.
    Sync(Epoch, u64),
}

/// What an owner knows of the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum KnownPhase {
    /// Nothing is known.
    Unheard,
    /// The worker does not list it.
    Unlisted,
    /// It runs.
    Running,
    /// Its worker was silent for long enough.
    Lapsed,
}

/// What the queue owner concludes about the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum TaskVerdict {
    /// It counts as running.
    Open,
    /// It does not run any more, but may have: an idempotent task starts again.
    Over,
    /// It never started and never will: any task starts again, or is answered as not run.
    NeverRan,
}

/// The worker, both owners and the queue owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RackState {
    now: u64,
    fence: EpochFence,
    /// End of the lease while the attempt runs.
    running: Option<u64>,
    has_started: bool,
    has_restarted: bool,
    messages: Vec<WorkerMessage>,
    /// Last clock reading that the former owner heard.
    former_heard: u64,
    former_phase: KnownPhase,
    /// End of the lease of the start that the former owner sent.
    start_until: Option<u64>,
    is_void: bool,
    taken_at: Option<u64>,
    taker_heard: Option<u64>,
    taker_phase: KnownPhase,
    verdict: TaskVerdict,
}

/// What happens.
#[derive(Debug, Clone, Copy)]
pub enum RackStep {
    /// A unit of time passes.
    Tick,
    /// The former owner sends the start.
    SendStart,
    /// An owner sends a renewal.
    SendSync(Epoch),
    /// A call arrives and its answer too.
    Deliver(WorkerMessage),
    /// A call arrives and its answer is lost.
    DeliverLost(WorkerMessage),
    /// A call is lost.
    Drop(WorkerMessage),
    /// The worker's process is replaced; calls on its connections are lost.
    Restart,
    /// The new owner takes the rack.
    Take,
    /// The new owner declares the worker's leases lapsed.
    Lapse,
    /// The queue owner asks an owner about the attempt.
    Ask(Epoch),
}

/// Explores the takeover of a rack.
#[derive(Debug)]
pub struct RackMachine {
    removed: Vec<Mutation>,
}

impl RackMachine {
    fn lacks(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    fn is_former_working(&self, state: &RackState) -> bool {
        state.taken_at.is_none_or(|at| state.now <= at + ISOLATION)
            || self.lacks(Mutation::FormerOwnerStops)
    }

    /// Carries a call out at the worker; returns whether it was admitted.
    fn handle(&self, state: &mut RackState, message: WorkerMessage) -> bool {
        let (epoch, until) = match message {
            WorkerMessage::Start(until) => (FORMER, until),
            WorkerMessage::Sync(epoch, until) => (epoch, until),
        };
        let is_stale = state.fence.admit(epoch) == FenceOutcome::Stale;
        if is_stale && !self.lacks(Mutation::WorkerFence) {
            return false;
        }
        let is_relative = self.lacks(Mutation::AbsoluteLease) && until > 0;
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

    fn report(state: &mut RackState, message: WorkerMessage) {
        let listed = match state.running {
            Some(_) => KnownPhase::Running,
            None => KnownPhase::Unlisted,
        };
        match message {
            WorkerMessage::Start(_) | WorkerMessage::Sync(FORMER, _) => {
                state.former_heard = state.now;
                state.former_phase = listed;
            }
            WorkerMessage::Sync(..) => {
                state.taker_heard = Some(state.now);
                state.taker_phase = listed;
            }
        }
    }

    fn may_lapse(&self, state: &RackState, taken_at: u64) -> bool {
        let isolation_ms = if self.lacks(Mutation::LapseWait) { 0 } else { ISOLATION };
        let end = lease_expiry(SilenceInput {
            heard_at: state.taker_heard.map(ClockTime),
            added_at: ClockTime(taken_at),
            resumed_at: ClockTime::default(),
            expiry_ms: LEASE,
            isolation_ms,
        });
        ClockTime(state.now) > end
    }

    /// Answers the queue owner's question.
    fn answer(&self, state: &mut RackState, asked: Epoch) {
        if asked == FORMER {
            return answer_of_former(state);
        }
        if state.taker_phase == KnownPhase::Running {
            return;
        }
        let answered = if self.lacks(Mutation::VoidEpoch) { FORMER } else { asked };
        state.verdict = match resolve_void_attempt(FORMER, answered, false) {
            VoidOutcome::NeverRan => TaskVerdict::NeverRan,
            VoidOutcome::MayHaveRun => TaskVerdict::Over,
        };
    }

    fn former_steps(&self, state: &RackState) -> Vec<RackStep> {
        let mut steps = Vec::new();
        if !self.is_former_working(state) {
            return steps;
        }
        let has_room = state.messages.len() < MESSAGES;
        if has_room && state.start_until.is_none() && !state.is_void {
            steps.push(RackStep::SendStart);
        }
        if has_room {
            steps.push(RackStep::SendSync(FORMER));
        }
        let is_unsent = state.start_until.is_none();
        let is_refused = state.former_phase == KnownPhase::Unlisted
            && state.start_until.is_some_and(|until| state.former_heard > until)
            && !state.has_started;
        if state.verdict == TaskVerdict::Open && (is_unsent || is_refused) {
            steps.push(RackStep::Ask(FORMER));
        }
        steps
    }

    fn taker_steps(&self, state: &RackState, taken_at: u64) -> Vec<RackStep> {
        let mut steps = Vec::new();
        if state.messages.len() < MESSAGES {
            steps.push(RackStep::SendSync(TAKER));
        }
        if state.taker_phase != KnownPhase::Lapsed && self.may_lapse(state, taken_at) {
            steps.push(RackStep::Lapse);
        }
        let is_rebuilt = state.taker_phase != KnownPhase::Unheard;
        let may_answer = is_rebuilt || self.lacks(Mutation::RebuildFirst);
        if state.verdict == TaskVerdict::Open && may_answer {
            steps.push(RackStep::Ask(TAKER));
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
                push(state, WorkerMessage::Start(until));
            }
            RackStep::SendSync(FORMER) => {
                push(state, WorkerMessage::Sync(FORMER, state.former_heard + LEASE));
            }
            RackStep::SendSync(epoch) => {
                let until = state.taker_heard.map_or(0, |heard| heard + LEASE);
                push(state, WorkerMessage::Sync(epoch, until));
            }
            RackStep::Deliver(message) => {
                take(state, message);
                if self.handle(state, message) {
                    Self::report(state, message);
                }
            }
            RackStep::DeliverLost(message) => {
                take(state, message);
                self.handle(state, message);
            }
            RackStep::Drop(message) => take(state, message),
            RackStep::Restart => {
                state.has_restarted = true;
                state.running = None;
                state.fence = EpochFence::default();
                state.messages.clear();
            }
            RackStep::Take => state.taken_at = Some(state.now),
            RackStep::Lapse => state.taker_phase = KnownPhase::Lapsed,
            RackStep::Ask(epoch) => self.answer(state, epoch),
        }
    }
}

/// The former owner says that the attempt never ran: it has not sent it and will not, or the
/// worker's clock has passed the time after which the worker refuses the start.
fn answer_of_former(state: &mut RackState) {
    state.is_void = true;
    state.verdict = TaskVerdict::NeverRan;
}

fn push(state: &mut RackState, message: WorkerMessage) {
    state.messages.push(message);
    state.messages.sort_unstable();
}

fn take(state: &mut RackState, message: WorkerMessage) {
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
            former_phase: KnownPhase::Unheard,
            start_until: None,
            is_void: false,
            taken_at: None,
            taker_heard: None,
            taker_phase: KnownPhase::Unheard,
            verdict: TaskVerdict::Open,
        }
    }

    fn successors(&self, state: &RackState) -> Vec<(RackStep, RackState)> {
        let mut steps = self.former_steps(state);
        if state.now < END {
            steps.push(RackStep::Tick);
        }
        let mut messages = state.messages.clone();
        messages.dedup();
        for message in messages {
            let ways = [RackStep::Deliver, RackStep::DeliverLost, RackStep::Drop];
            steps.extend(ways.map(|way| way(message)));
        }
        let is_quiet = state.taken_at.is_none() || !self.is_former_working(state);
        if !state.has_restarted && (is_quiet || self.lacks(Mutation::QuietRestart)) {
            steps.push(RackStep::Restart);
        }
        match state.taken_at {
            None if state.now <= LATEST_TAKE => steps.push(RackStep::Take),
            None => {}
            Some(at) => steps.extend(self.taker_steps(state, at)),
        }
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        steps.into_iter().map(successor).collect()
    }

    fn violation(&self, state: &RackState) -> Option<&'static str> {
        if state.verdict != TaskVerdict::Open && state.running.is_some() {
            return Some("a task that counts as over runs, so it can run in two places");
        }
        let is_untrue = state.verdict == TaskVerdict::NeverRan && state.has_started;
        is_untrue.then_some("an attempt that counts as never started has started")
    }
}
