//! Model of a former and a new owner of one team with one rack.
//!
//! The team has an idempotent and a non-idempotent task. The former owner does not know that it
//! has been replaced and continues indefinitely. Its commands arrive in any order and arbitrarily
//! late. The rack's owner may be replaced too, workers are lost with everything known about their
//! attempts, operators lower the upper limit, and callers cancel.

use {
    crate::{Mutation, SpecMachine},
    damaskrack_model::Epoch,
    damaskrack_ownership::{
        EpochFence, FenceOutcome, MissingTaskStep, is_provably_unstarted, resolve_missing_task,
    },
};

/// Number of tasks; the first one is idempotent.
const TASKS: usize = 2;
/// Largest number of messages in flight.
const MAX_MESSAGES: usize = 3;
/// Upper limit on running tasks, before and after it is lowered.
const UPPER_LIMITS: [u8; 2] = [2, 1];

/// A message between an owner of the team and the rack's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TeamMessage {
    /// A command of the owner with this index to start this task under this upper limit.
    Place(usize, usize, u8),
    /// The new owner's request for the attempts that run.
    RollCall,
    /// The response to it: the tasks that run on the rack and those that ended there.
    RollAnswer([bool; TASKS], [bool; TASKS]),
    /// The new owner's attempt has started.
    Started(usize),
    /// The new owner's attempt was rejected and never starts.
    Refused(usize),
}

/// What the new owner knows about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum TaskPhase {
    /// It waits for placement.
    Waiting,
    /// It was sent, and the rack has not responded.
    Sent,
    /// It was sent, and the rack has confirmed that it runs.
    Running,
    /// The reconciliation of attempts found it running.
    Found,
    /// It ended.
    Ended,
    /// Its caller was told that it may have run.
    Unknown,
    /// Its caller was told that it never started.
    NotRun,
}

/// Phase of the takeover by the new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum TakeoverPhase {
    /// It does not own the team.
    Absent,
    /// The ownership record names it.
    Taken,
    /// It has read the journal.
    Loaded,
    /// It has written to the journal.
    Fenced,
    /// It has reconciled the attempts, or skipped that, and starts work.
    Active,
}

/// Content of the journal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct JournalRows {
    has_intent: bool,
    ended: [bool; TASKS],
}

/// State of both owners, the journal, the rack and the messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TeamState {
    journal: JournalRows,
    is_lowered: bool,
    /// Tasks that the former owner has sent.
    sent: [bool; TASKS],
    /// Whether the former owner regards its intent as durable.
    has_intent: bool,
    phase: TakeoverPhase,
    loaded: JournalRows,
    tasks: [TaskPhase; TASKS],
    fence: EpochFence,
    is_rack_replaced: bool,
    /// Running attempts, by owner and task.
    running: [[bool; TASKS]; 2],
    /// Ended attempts that are not acknowledged, by owner and task.
    ended: [[bool; TASKS]; 2],
    starts: [u8; TASKS],
    is_over_limit: bool,
    messages: Vec<TeamMessage>,
}

/// A step of the team model.
#[derive(Debug, Clone, Copy)]
pub enum TeamStep {
    /// The former owner's intent becomes durable.
    Intend,
    /// The former owner sends a task to the rack.
    FormerPlace(usize),
    /// The former owner records the end of a task and acknowledges it.
    FormerEnd(usize),
    /// Operators lower the upper limit.
    Lower,
    /// The new owner takes over the team.
    Take,
    /// The new owner reads the journal.
    Load,
    /// The new owner's first segment becomes durable.
    Fence,
    /// The new owner asks the rack for the attempts that run.
    AskRoll,
    /// The new owner starts work without a reconciliation of attempts.
    SkipRoll,
    /// The new owner sends a task to the rack.
    Place(usize),
    /// The new owner learns of the end of a task.
    LearnEnd(usize),
    /// A caller cancels a waiting task.
    Cancel(usize),
    /// A message arrives.
    Deliver(TeamMessage),
    /// The rack rejects an attempt that arrives for lack of free capacity.
    Full(TeamMessage),
    /// A message is lost.
    Drop(TeamMessage),
    /// An attempt of an owner ends.
    End(usize, usize),
    /// The worker of an attempt is lost, and nothing about the attempt remains known.
    Vanish(usize, usize),
    /// The rack's owner is replaced.
    ReplaceRack,
}

/// Model of the takeover of a team.
#[derive(Debug)]
pub struct TeamMachine {
    removed: Vec<Mutation>,
}

impl TeamMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    fn may_former_owner_write(&self, state: &TeamState) -> bool {
        state.phase < TakeoverPhase::Fenced || self.is_removed(Mutation::JournalFence)
    }

    fn former_owner_steps(&self, state: &TeamState) -> Vec<TeamStep> {
        let mut steps = Vec::new();
        if !state.has_intent && self.may_former_owner_write(state) {
            steps.push(TeamStep::Intend);
        }
        let counted_tasks = state.sent.iter().filter(|sent| **sent).count();
        for task in 0..TASKS {
            let has_intent =
                is_idempotent(task) || state.has_intent || self.is_removed(Mutation::Intent);
            let can_place = counted_tasks < usize::from(upper_limit(state))
                && state.messages.len() < MAX_MESSAGES;
            if !state.sent[task] && has_intent && can_place {
                steps.push(TeamStep::FormerPlace(task));
            }
            if state.ended[0][task] && self.may_former_owner_write(state) {
                steps.push(TeamStep::FormerEnd(task));
            }
        }
        steps
    }

    fn new_owner_steps(&self, state: &TeamState) -> Vec<TeamStep> {
        let can_send = state.messages.len() < MAX_MESSAGES;
        match state.phase {
            TakeoverPhase::Absent => vec![TeamStep::Take],
            TakeoverPhase::Taken => vec![TeamStep::Load],
            // The first write finds a segment if the former owner has written since the read.
            TakeoverPhase::Loaded if state.loaded == state.journal => vec![TeamStep::Fence],
            TakeoverPhase::Loaded => vec![TeamStep::Load],
            TakeoverPhase::Fenced if self.is_removed(Mutation::RollCall) => {
                vec![TeamStep::SkipRoll]
            }
            TakeoverPhase::Fenced if can_send => vec![TeamStep::AskRoll],
            TakeoverPhase::Fenced => Vec::new(),
            TakeoverPhase::Active => self.task_steps(state),
        }
    }

    fn task_steps(&self, state: &TeamState) -> Vec<TeamStep> {
        let mut steps = Vec::new();
        let counted_tasks = state.tasks.iter().filter(|task| self.is_counted(**task)).count();
        let can_place =
            counted_tasks < usize::from(upper_limit(state)) && state.messages.len() < MAX_MESSAGES;
        for task in 0..TASKS {
            if state.tasks[task] == TaskPhase::Waiting {
                steps.push(TeamStep::Cancel(task));
                steps.extend(can_place.then_some(TeamStep::Place(task)));
            }
            if state.ended[0][task] || state.ended[1][task] {
                steps.push(TeamStep::LearnEnd(task));
            }
        }
        steps
    }

    fn is_counted(&self, task: TaskPhase) -> bool {
        match task {
            TaskPhase::Sent => !self.is_removed(Mutation::UncertainCount),
            TaskPhase::Found => !self.is_removed(Mutation::FoundCount),
            TaskPhase::Running => true,
            _ => false,
        }
    }

    fn rack_steps(&self, state: &TeamState) -> Vec<TeamStep> {
        let mut steps = Vec::new();
        for owner in 0..2 {
            for task in 0..TASKS {
                if state.running[owner][task] {
                    steps.extend([TeamStep::End(owner, task), TeamStep::Vanish(owner, task)]);
                }
            }
        }
        if !state.is_rack_replaced {
            steps.push(TeamStep::ReplaceRack);
        }
        let mut messages = state.messages.clone();
        messages.dedup();
        for message in messages {
            steps.extend([TeamStep::Deliver(message), TeamStep::Drop(message)]);
            if matches!(message, TeamMessage::Place(1, ..)) {
                steps.push(TeamStep::Full(message));
            }
        }
        steps
    }

    fn handle_message(&self, state: &mut TeamState, message: TeamMessage) {
        match message {
            TeamMessage::Place(owner, task, limit) => self.handle_place(state, owner, task, limit),
            TeamMessage::RollCall => {
                state.fence.admit(epoch_of(1));
                push_message(state, TeamMessage::RollAnswer(state.running[0], state.ended[0]));
            }
            TeamMessage::RollAnswer(running, ended) => {
                if state.phase == TakeoverPhase::Fenced {
                    activate(state, running, ended);
                }
            }
            TeamMessage::Started(task) => {
                if state.tasks[task] == TaskPhase::Sent {
                    state.tasks[task] = TaskPhase::Running;
                }
            }
            TeamMessage::Refused(task) => {
                if state.tasks[task] == TaskPhase::Sent {
                    state.tasks[task] = TaskPhase::Waiting;
                }
            }
        }
    }

    fn handle_place(&self, state: &mut TeamState, owner: usize, task: usize, limit: u8) {
        let is_stale = state.fence.admit(epoch_of(owner)) == FenceOutcome::Stale;
        if is_stale && !self.is_removed(Mutation::TeamFence) {
            return;
        }
        state.running[owner][task] = true;
        state.starts[task] += 1;
        if owner == 1 {
            let running = state.running.iter().flatten().filter(|running| **running).count();
            state.is_over_limit |= running > usize::from(limit);
            push_message(state, TeamMessage::Started(task));
        }
    }

    fn cancel(&self, state: &mut TeamState, task: usize) {
        let has_intent = state.loaded.has_intent;
        let is_unstarted = is_provably_unstarted(false, true, is_idempotent(task), has_intent)
            || self.is_removed(Mutation::InheritedDoubt);
        state.tasks[task] = if is_unstarted { TaskPhase::NotRun } else { TaskPhase::Unknown };
    }

    fn replace_rack(&self, state: &mut TeamState) {
        state.is_rack_replaced = true;
        state.fence = EpochFence::default();
        if !self.is_removed(Mutation::RecordFloor) {
            let owner = usize::from(state.phase >= TakeoverPhase::Taken);
            state.fence.raise(epoch_of(owner));
        }
    }

    fn apply(&self, state: &mut TeamState, step: TeamStep) {
        match step {
            TeamStep::Intend => {
                state.has_intent = true;
                state.journal.has_intent = true;
            }
            TeamStep::FormerPlace(task) => {
                state.sent[task] = true;
                push_message(state, TeamMessage::Place(0, task, upper_limit(state)));
            }
            TeamStep::FormerEnd(task) => {
                state.journal.ended[task] = true;
                state.ended[0][task] = false;
            }
            TeamStep::Lower => state.is_lowered = true,
            TeamStep::Take => state.phase = TakeoverPhase::Taken,
            TeamStep::Load => {
                state.phase = TakeoverPhase::Loaded;
                state.loaded = state.journal;
            }
            TeamStep::Fence => state.phase = TakeoverPhase::Fenced,
            TeamStep::AskRoll => push_message(state, TeamMessage::RollCall),
            TeamStep::SkipRoll => activate(state, [false; TASKS], [false; TASKS]),
            TeamStep::Place(task) => {
                state.tasks[task] = TaskPhase::Sent;
                push_message(state, TeamMessage::Place(1, task, upper_limit(state)));
            }
            TeamStep::LearnEnd(task) => {
                state.ended.iter_mut().for_each(|tasks| tasks[task] = false);
                if !is_reported(state.tasks[task]) {
                    state.tasks[task] = TaskPhase::Ended;
                }
            }
            TeamStep::Cancel(task) => self.cancel(state, task),
            TeamStep::Deliver(message) => {
                remove_message(state, message);
                self.handle_message(state, message);
            }
            TeamStep::Full(message) => {
                remove_message(state, message);
                if let TeamMessage::Place(_, task, _) = message {
                    push_message(state, TeamMessage::Refused(task));
                }
            }
            TeamStep::Drop(message) => remove_message(state, message),
            TeamStep::End(owner, task) => {
                state.running[owner][task] = false;
                state.ended[owner][task] = true;
            }
            TeamStep::Vanish(owner, task) => state.running[owner][task] = false,
            TeamStep::ReplaceRack => self.replace_rack(state),
        }
    }
}

fn is_reported(task: TaskPhase) -> bool {
    matches!(task, TaskPhase::Unknown | TaskPhase::NotRun)
}

/// Starts work with the attempts that the reconciliation found.
fn activate(state: &mut TeamState, running: [bool; TASKS], ended: [bool; TASKS]) {
    state.phase = TakeoverPhase::Active;
    for task in 0..TASKS {
        let step = resolve_missing_task(is_idempotent(task), state.loaded.has_intent);
        state.tasks[task] = if state.loaded.ended[task] || ended[task] {
            TaskPhase::Ended
        } else if running[task] {
            TaskPhase::Found
        } else if step == MissingTaskStep::EndUnknown {
            TaskPhase::Unknown
        } else {
            TaskPhase::Waiting
        };
    }
}

fn is_idempotent(task: usize) -> bool {
    task == 0
}

fn upper_limit(state: &TeamState) -> u8 {
    UPPER_LIMITS[usize::from(state.is_lowered)]
}

fn epoch_of(owner: usize) -> Epoch {
    Epoch(owner as u64 + 1)
}

fn push_message(state: &mut TeamState, message: TeamMessage) {
    state.messages.push(message);
    state.messages.sort_unstable();
}

fn remove_message(state: &mut TeamState, message: TeamMessage) {
    if let Some(index) = state.messages.iter().position(|other| *other == message) {
        state.messages.remove(index);
    }
}

impl SpecMachine for TeamMachine {
    type State = TeamState;
    type Step = TeamStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 owners of a team, 2 owners of its rack, 1 idempotent and 1 non-idempotent task, 3 \
         messages on the way, upper limit lowered once"
    }

    fn initial(&self) -> TeamState {
        TeamState {
            journal: JournalRows::default(),
            is_lowered: false,
            sent: [false; TASKS],
            has_intent: false,
            phase: TakeoverPhase::Absent,
            loaded: JournalRows::default(),
            tasks: [TaskPhase::Waiting; TASKS],
            fence: EpochFence::default(),
            is_rack_replaced: false,
            running: [[false; TASKS]; 2],
            ended: [[false; TASKS]; 2],
            starts: [0; TASKS],
            is_over_limit: false,
            messages: Vec::new(),
        }
    }

    fn successors(&self, state: &TeamState) -> Vec<(TeamStep, TeamState)> {
        let mut steps = self.former_owner_steps(state);
        steps.extend(self.new_owner_steps(state));
        steps.extend(self.rack_steps(state));
        steps.extend((!state.is_lowered).then_some(TeamStep::Lower));
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        steps.into_iter().map(successor).collect()
    }

    fn violation(&self, state: &TeamState) -> Option<&'static str> {
        if state.is_over_limit {
            return Some("a start passes the upper limit that its owner enforces");
        }
        for task in 0..TASKS {
            if state.running[0][task] && state.running[1][task] {
                return Some("a task runs in two places");
            }
            if !is_idempotent(task) && state.starts[task] > 1 {
                return Some("a non-idempotent task started twice");
            }
            if state.tasks[task] == TaskPhase::NotRun && state.starts[task] > 0 {
                return Some("a task that was answered not run has started");
            }
        }
        None
    }
}
