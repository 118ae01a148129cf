//! Model of a request that is not journalled and that the entry daemon sends more than once.
//!
//! The first owner of the team is replaced at any point, by a release or a takeover, and learns of
//! it later or never. Messages are lost or arrive in any order, as happens when connections are
//! replaced.

use {
    crate::{Mutation, SpecMachine},
    damaskrack_model::Epoch,
    damaskrack_ownership::{SubmissionInput, SubmissionStep, classify_submission},
};

/// Largest number of copies of the request that the entry daemon sends.
const MAX_SENDS: u8 = 3;
/// Largest number of messages in flight.
const MAX_MESSAGES: usize = 3;
/// Index of the new owner; an owner's epoch is its index plus one.
const NEW_OWNER: usize = 1;

/// Response to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallerResponse {
    /// The request ran.
    Done,
    /// The request never started.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A message between the entry daemon and an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallMessage {
    /// A copy of the request: its receiver, the first owner that the request may have reached, and
    /// the number of the copy.
    Submit(usize, Option<usize>, u8),
    /// The sender does not own the team, so this copy had no effect there.
    NotOwner(usize, u8),
    /// The sender returns the request: this copy and all earlier ones had no effect there.
    GivenBack(usize, u8),
    /// An owner's response to this copy.
    Answer(usize, CallerResponse, u8),
}

/// An attempt of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum AttemptState {
    /// It was never started.
    None,
    /// It runs.
    Running,
    /// It ended, and its rack still has its result.
    Ended,
    /// It ended, and its rack has deleted it.
    Gone,
}

/// State of an owner of the team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct OwnerState {
    /// Whether it regards itself as the owner and is ready.
    is_owner: bool,
    /// Whether it is about to release the team and accepts no new requests.
    is_frozen: bool,
    knows: bool,
    /// Latest copy that it received of the request that it knows.
    copy: u8,
    has_started: bool,
    /// Latest copy that it returned; it no longer accepts that one or earlier ones.
    returned: u8,
    has_ended: bool,
    /// Whether the reconciliation of attempts found the first owner's attempt.
    has_found: bool,
}

/// State of the entry daemon, both owners and the racks.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallState {
    /// Whether the request may run twice; `None` in the initial state.
    is_idempotent: Option<bool>,
    sends: u8,
    /// First and last copy that each owner may have accepted.
    sent: [Option<(u8, u8)>; 2],
    /// Owner that the entry daemon knows.
    seen: usize,
    answer: Option<CallerResponse>,
    /// Owner in the ownership record.
    recorded: usize,
    owners: [OwnerState; 2],
    attempts: [AttemptState; 2],
    starts: u8,
    messages: Vec<CallMessage>,
    is_wrongly_lost: bool,
    /// Whether the request was started while it ran.
    is_doubled: bool,
}

/// A step of the resubmission model.
#[derive(Debug, Clone, Copy)]
pub enum ResubmissionStep {
    /// The exploration starts with a request that may run twice, or may not.
    Begin(bool),
    /// The entry daemon sends the request to the owner that it knows.
    Send,
    /// A message arrives.
    Deliver(CallMessage),
    /// The owner refuses a request because it is isolated.
    Refuse(CallMessage),
    /// A message is lost.
    Drop(CallMessage),
    /// The first owner prepares the release of the team.
    Freeze,
    /// The first owner cancels the release.
    Thaw,
    /// The first owner returns the request, which it has not started.
    GiveBack,
    /// An owner starts the request that it accepted.
    Start(usize),
    /// An attempt ends.
    End(usize),
    /// An owner learns of the end and responds.
    Learn(usize),
    /// An owner deletes the answered request.
    Forget(usize),
    /// A rack deletes the result of an ended attempt that no owner asked for.
    ForgetEnd,
    /// The ownership record names the new owner.
    Take,
    /// The former owner reads that record.
    Lose,
    /// The entry daemon reads that record.
    See,
    /// The new owner's reconciliation of attempts is complete.
    Roll,
    /// The entry daemon gives up.
    GiveUp,
}

/// Model of repeated submissions.
#[derive(Debug)]
pub struct ResubmissionMachine {
    removed: Vec<Mutation>,
}

impl ResubmissionMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    fn handle_submission(&self, state: &mut CallState, to: usize, first: Option<usize>, copy: u8) {
        let owner = state.owners[to];
        let is_returned = copy <= owner.returned && !self.is_removed(Mutation::ReturnStays);
        if !owner.is_owner || ((owner.is_frozen || is_returned) && !owner.knows) {
            return push_message(state, CallMessage::NotOwner(to, copy));
        }
        if owner.knows {
            state.owners[to].copy = owner.copy.max(copy);
            if owner.has_ended {
                push_message(state, CallMessage::Answer(to, CallerResponse::Done, copy));
            }
            return;
        }
        let first = first.filter(|_| !self.is_removed(Mutation::FirstEpoch));
        let input = SubmissionInput {
            first_epoch: first.map(epoch_of),
            epoch: epoch_of(to),
            age_ms: 0,
            remembered_ms: 0,
            is_found: owner.has_found && !self.is_removed(Mutation::AdoptFound),
            is_idempotent: state.is_idempotent == Some(true),
            is_journalled: false,
        };
        match classify_submission(input) {
            SubmissionStep::Adopt => {
                state.owners[to] = OwnerState { knows: true, has_started: true, copy, ..owner };
            }
            SubmissionStep::Start => {
                state.owners[to] = OwnerState { knows: true, copy, ..owner };
            }
            SubmissionStep::Lost => {
                let attempt = state.attempts[0];
                state.is_wrongly_lost |=
                    owner.has_found && matches!(attempt, AttemptState::Running);
                push_message(state, CallMessage::Answer(to, CallerResponse::Unknown, copy));
            }
        }
    }

    fn handle_message(&self, state: &mut CallState, message: CallMessage) {
        match message {
            CallMessage::Submit(to, first, copy) => self.handle_submission(state, to, first, copy),
            CallMessage::NotOwner(from, copy) => self.rule_out_copy(state, from, copy),
            CallMessage::GivenBack(from, copy) => rule_out_copies_up_to(state, from, copy),
            CallMessage::Answer(from, CallerResponse::NotRun, copy) => {
                self.rule_out_copy(state, from, copy);
                if state.sent == [None; 2] {
                    state.answer = Some(CallerResponse::NotRun);
                }
            }
            CallMessage::Answer(_, answer, _) => state.answer = Some(answer),
        }
    }

    /// Records that a copy had no effect. A copy between the first and the last stays counted,
    /// which is safe: the request is then at worst reported as unknown.
    fn rule_out_copy(&self, state: &mut CallState, from: usize, copy: u8) {
        let Some((first, last)) = state.sent[from] else { return };
        let remaining = if self.is_removed(Mutation::EveryCopy) {
            None
        } else if copy == first {
            Some((first + 1, last))
        } else if copy == last {
            Some((first, last - 1))
        } else {
            Some((first, last))
        };
        state.sent[from] = remaining.filter(|(first, last)| first <= last);
    }

    fn owner_steps(&self, state: &CallState, index: usize) -> Vec<ResubmissionStep> {
        let owner = state.owners[index];
        let mut steps = Vec::new();
        if state.attempts[index] == AttemptState::Running {
            steps.push(ResubmissionStep::End(index));
        }
        // Racks reject the former owner once the new owner's reconciliation has reached them.
        let is_fenced = index != NEW_OWNER && state.owners[NEW_OWNER].is_owner;
        if owner.is_owner && owner.knows && !owner.has_started && !owner.is_frozen && !is_fenced {
            steps.push(ResubmissionStep::Start(index));
        }
        if owner.is_owner && owner.knows && ended_attempt(state, index).is_some() {
            steps.push(ResubmissionStep::Learn(index));
        }
        // An owner keeps a response for longer than a message can be in flight.
        let is_submission = |message: &CallMessage| matches!(message, CallMessage::Submit(..));
        let is_submission_in_flight = state.messages.iter().any(is_submission);
        let is_needed = state.answer.is_none() && !self.is_removed(Mutation::RememberAnswer);
        if owner.has_ended && !is_submission_in_flight && !is_needed {
            steps.push(ResubmissionStep::Forget(index));
        }
        steps
    }

    fn message_steps(&self, state: &CallState) -> Vec<ResubmissionStep> {
        let mut steps = Vec::new();
        for &message in &state.messages {
            steps.extend([ResubmissionStep::Deliver(message), ResubmissionStep::Drop(message)]);
            // An owner never refuses work that may have reached a former owner.
            if let CallMessage::Submit(to, first, _) = message
                && state.owners[to].is_owner
                && !state.owners[to].knows
                && first.is_none_or(|first| first == to)
            {
                steps.push(ResubmissionStep::Refuse(message));
            }
        }
        steps
    }

    fn entry_and_ownership_steps(&self, state: &CallState) -> Vec<ResubmissionStep> {
        let mut steps = Vec::new();
        if state.answer.is_none() {
            if state.sends < MAX_SENDS && state.messages.len() < MAX_MESSAGES {
                steps.push(ResubmissionStep::Send);
            }
            steps.push(ResubmissionStep::GiveUp);
        }
        if state.seen < state.recorded {
            steps.push(ResubmissionStep::See);
        }
        let former = state.owners[0];
        if former.is_owner {
            steps.push(if former.is_frozen {
                ResubmissionStep::Thaw
            } else {
                ResubmissionStep::Freeze
            });
            if former.is_frozen && former.knows && !former.has_started {
                steps.push(ResubmissionStep::GiveBack);
            }
        }
        if state.recorded == 0 {
            steps.push(ResubmissionStep::Take);
        } else {
            steps.extend(state.owners[0].is_owner.then_some(ResubmissionStep::Lose));
            steps.extend((!state.owners[NEW_OWNER].is_owner).then_some(ResubmissionStep::Roll));
        }
        let is_orphan = state.owners[NEW_OWNER].is_owner && !state.owners[NEW_OWNER].knows;
        if is_orphan && state.attempts[0] == AttemptState::Ended {
            steps.push(ResubmissionStep::ForgetEnd);
        }
        steps
    }

    fn apply(&self, state: &mut CallState, step: ResubmissionStep) {
        match step {
            ResubmissionStep::Begin(is_idempotent) => state.is_idempotent = Some(is_idempotent),
            ResubmissionStep::Send => send_request(state),
            ResubmissionStep::Deliver(message) => {
                remove_message(state, message);
                self.handle_message(state, message);
            }
            ResubmissionStep::Refuse(message) => {
                remove_message(state, message);
                if let CallMessage::Submit(to, _, copy) = message {
                    push_message(state, CallMessage::Answer(to, CallerResponse::NotRun, copy));
                }
            }
            ResubmissionStep::Drop(message) => remove_message(state, message),
            ResubmissionStep::Freeze => state.owners[0].is_frozen = true,
            ResubmissionStep::Thaw => state.owners[0].is_frozen = false,
            ResubmissionStep::GiveBack => {
                let copy = state.owners[0].copy;
                state.owners[0].knows = false;
                state.owners[0].returned = copy;
                push_message(state, CallMessage::GivenBack(0, copy));
            }
            ResubmissionStep::Start(index) => {
                state.owners[index].has_started = true;
                state.start_attempt(index);
            }
            ResubmissionStep::End(index) => state.attempts[index] = AttemptState::Ended,
            ResubmissionStep::Learn(index) => {
                if let Some(attempt) = ended_attempt(state, index) {
                    state.attempts[attempt] = AttemptState::Gone;
                }
                state.owners[index].has_ended = true;
                let copy = state.owners[index].copy;
                push_message(state, CallMessage::Answer(index, CallerResponse::Done, copy));
            }
            ResubmissionStep::Forget(index) => {
                let owner = &mut state.owners[index];
                *owner = OwnerState { is_owner: owner.is_owner, ..OwnerState::new(false) };
            }
            ResubmissionStep::ForgetEnd => {
                state.attempts[0] = AttemptState::Gone;
                state.owners[NEW_OWNER].has_found = false;
            }
            ResubmissionStep::Take => state.recorded = NEW_OWNER,
            ResubmissionStep::Lose => state.owners[0] = OwnerState::new(false),
            ResubmissionStep::See => state.seen = state.recorded,
            ResubmissionStep::Roll => {
                let attempt = state.attempts[0];
                let has_found = matches!(attempt, AttemptState::Running | AttemptState::Ended);
                state.owners[NEW_OWNER] = OwnerState { has_found, ..OwnerState::new(true) };
            }
            ResubmissionStep::GiveUp => {
                let is_ruled_out = state.sent == [None; 2];
                state.answer = Some(if is_ruled_out {
                    CallerResponse::NotRun
                } else {
                    CallerResponse::Unknown
                });
            }
        }
    }
}

impl OwnerState {
    fn new(is_owner: bool) -> Self {
        Self {
            is_owner,
            is_frozen: false,
            knows: false,
            copy: 0,
            has_started: false,
            returned: 0,
            has_ended: false,
            has_found: false,
        }
    }
}

impl CallState {
    fn start_attempt(&mut self, owner: usize) {
        self.is_doubled |= self.attempts.contains(&AttemptState::Running);
        self.attempts[owner] = AttemptState::Running;
        self.starts = (self.starts + 1).min(2);
    }
}

fn epoch_of(owner: usize) -> Epoch {
    Epoch(owner as u64 + 1)
}

/// Returns the ended attempt whose result an owner can obtain.
fn ended_attempt(state: &CallState, index: usize) -> Option<usize> {
    let is_ended = |attempt: usize| state.attempts[attempt] == AttemptState::Ended;
    if is_ended(index) {
        return Some(index);
    }
    (state.owners[index].has_found && is_ended(0)).then_some(0)
}

fn send_request(state: &mut CallState) {
    let to = state.seen;
    state.sends += 1;
    let copy = state.sends;
    let first = state.sent.iter().position(Option::is_some);
    push_message(state, CallMessage::Submit(to, first, copy));
    let (earliest, _) = state.sent[to].unwrap_or((copy, copy));
    state.sent[to] = Some((earliest, copy));
}

fn rule_out_copies_up_to(state: &mut CallState, from: usize, copy: u8) {
    let remaining = state.sent[from].map(|(first, last)| (first.max(copy + 1), last));
    state.sent[from] = remaining.filter(|(first, last)| first <= last);
}

fn push_message(state: &mut CallState, message: CallMessage) {
    state.messages.push(message);
    state.messages.sort_unstable();
}

fn remove_message(state: &mut CallState, message: CallMessage) {
    if let Some(index) = state.messages.iter().position(|other| *other == message) {
        state.messages.remove(index);
    }
}

impl SpecMachine for ResubmissionMachine {
    type State = CallState;
    type Step = ResubmissionStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "1 request, idempotent or not, sent up to 3 times, 2 owners, 3 messages on the way, lost and in any order"
    }

    fn initial(&self) -> CallState {
        CallState {
            is_idempotent: None,
            sends: 0,
            sent: [None; 2],
            seen: 0,
            answer: None,
            recorded: 0,
            owners: [OwnerState::new(true), OwnerState::new(false)],
            attempts: [AttemptState::None; 2],
            starts: 0,
            messages: Vec::new(),
            is_wrongly_lost: false,
            is_doubled: false,
        }
    }

    fn successors(&self, state: &CallState) -> Vec<(ResubmissionStep, CallState)> {
        let mut steps = Vec::new();
        if state.is_idempotent.is_none() {
            steps.extend([true, false].map(ResubmissionStep::Begin));
        } else {
            steps.extend(self.entry_and_ownership_steps(state));
            steps.extend(self.message_steps(state));
            steps.extend((0..2).flat_map(|index| self.owner_steps(state, index)));
        }
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        steps.into_iter().map(successor).collect()
    }

    fn violation(&self, state: &CallState) -> Option<&'static str> {
        if state.is_doubled {
            return Some("a request was started while it ran");
        }
        if state.is_idempotent == Some(false) && state.starts > 1 {
            return Some("a non-idempotent request started twice");
        }
        if state.answer == Some(CallerResponse::NotRun) && state.starts > 0 {
            return Some("a request that was answered not run has started");
        }
        state.is_wrongly_lost.then_some("a request whose attempt was found is called unknown")
    }
}
