//! Model of two operators who change the manifest through two daemons.
//!
//! The head is replaced by compare-and-swap; responses are lost, and writes take effect after the
//! sender has given up on them. A daemon follows the head and gets versions from peers in any
//! order.

use {
    crate::{Mutation, SpecMachine},
    damaskrack_ownership::{SwapOutcome, VersionStamp, classify_swap},
};

/// Largest number of lost responses and late writes together, for each operator.
const MAX_FAULTS: u8 = 2;
/// Number of operators.
const OPERATORS: usize = 2;
/// Change number of the initial head.
const INITIAL_CHANGE: u64 = 9;

/// Phase of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum ChangePhase {
    /// The operator has not submitted it.
    New,
    /// The compare-and-swap of the head has yet to be sent.
    Head,
    /// The compare-and-swap is in flight.
    Sent,
    /// The head has yet to be read back.
    ReadBack,
    /// The operator was told that it took effect.
    Written,
    /// The operator was told that it did not take effect.
    NotRun,
    /// The operator was told that it may have taken effect.
    Unknown,
}

/// State of a change that a daemon carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ChangeState {
    phase: ChangePhase,
    mark: VersionStamp,
    base: u64,
    is_uncertain: bool,
    /// A write that the daemon has given up on and that may still take effect.
    late: Option<(VersionStamp, u64)>,
    faults: u8,
}

/// State of the store, the changes and a process that follows the manifest.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ManifestState {
    head: VersionStamp,
    revision: u64,
    history: Vec<VersionStamp>,
    changes: [ChangeState; OPERATORS],
    in_force: u64,
    has_gone_back: bool,
}

/// A step of the manifest model.
#[derive(Debug, Clone, Copy)]
pub enum ManifestStep {
    /// An operator submits a change based on the current version.
    HandIn(usize),
    /// The daemon sends the compare-and-swap.
    Send(usize),
    /// The store applies or rejects the compare-and-swap, and the response arrives.
    Answered(usize),
    /// The store applies or rejects the compare-and-swap, and the response is lost.
    AnswerLost(usize),
    /// The daemon gives up on the compare-and-swap before it arrives at the store.
    Late(usize),
    /// A late compare-and-swap arrives at the store.
    LateArrives(usize),
    /// The daemon reads the head back.
    Read(usize),
    /// The daemon gives up on the change.
    GiveUp(usize),
    /// A process receives this version from the store or from a peer.
    Follow(usize),
}

/// Model of concurrent changes of the manifest.
#[derive(Debug)]
pub struct ManifestMachine {
    removed: Vec<Mutation>,
}

impl ManifestMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    /// Executes a compare-and-swap in the store and returns whether it took effect.
    fn compare_and_swap(&self, state: &mut ManifestState, mark: VersionStamp, base: u64) -> bool {
        if state.revision != base && !self.is_removed(Mutation::HeadSwap) {
            return false;
        }
        state.head = mark;
        state.revision += 1;
        state.history.push(mark);
        true
    }

    fn update_phase(&self, change: &mut ChangeState, found: VersionStamp) {
        change.phase = match classify_swap(change.mark, found) {
            SwapOutcome::Applied => ChangePhase::Written,
            SwapOutcome::Pending => ChangePhase::Head,
            SwapOutcome::Superseded => self.refused_phase(change),
        };
    }

    fn refused_phase(&self, change: &ChangeState) -> ChangePhase {
        if change.is_uncertain && !self.is_removed(Mutation::UncertainChange) {
            ChangePhase::Unknown
        } else {
            ChangePhase::NotRun
        }
    }

    fn lose_response(&self, change: &mut ChangeState) {
        change.faults -= 1;
        change.is_uncertain = true;
        change.phase = if self.is_removed(Mutation::ReadBack) {
            ChangePhase::NotRun
        } else {
            ChangePhase::ReadBack
        };
    }

    fn change_steps(&self, state: &ManifestState, index: usize) -> Vec<ManifestStep> {
        let change = &state.changes[index];
        let mut steps = match change.phase {
            ChangePhase::New => vec![ManifestStep::HandIn(index)],
            ChangePhase::Head => vec![ManifestStep::Send(index), ManifestStep::GiveUp(index)],
            ChangePhase::Sent if change.faults > 0 => {
                let late = change.late.is_none().then_some(ManifestStep::Late(index));
                let steps = [ManifestStep::Answered(index), ManifestStep::AnswerLost(index)];
                steps.into_iter().chain(late).collect()
            }
            ChangePhase::Sent => vec![ManifestStep::Answered(index)],
            ChangePhase::ReadBack => vec![ManifestStep::Read(index), ManifestStep::GiveUp(index)],
            _ => Vec::new(),
        };
        steps.extend(change.late.map(|_| ManifestStep::LateArrives(index)));
        steps
    }

    fn apply(&self, state: &mut ManifestState, step: ManifestStep) {
        match step {
            ManifestStep::HandIn(index) => {
                let change = &mut state.changes[index];
                change.phase = ChangePhase::Head;
                change.mark =
                    VersionStamp { version: state.head.version + 1, change: index as u64 + 1 };
                change.base = state.revision;
            }
            ManifestStep::Send(index) => state.changes[index].phase = ChangePhase::Sent,
            ManifestStep::Answered(index) => {
                let ChangeState { mark, base, .. } = state.changes[index];
                if self.compare_and_swap(state, mark, base) {
                    state.changes[index].phase = ChangePhase::Written;
                } else {
                    let found = state.head;
                    self.update_phase(&mut state.changes[index], found);
                }
            }
            ManifestStep::AnswerLost(index) => {
                let ChangeState { mark, base, .. } = state.changes[index];
                self.compare_and_swap(state, mark, base);
                self.lose_response(&mut state.changes[index]);
            }
            ManifestStep::Late(index) => {
                let change = &mut state.changes[index];
                change.late = Some((change.mark, change.base));
                self.lose_response(change);
            }
            ManifestStep::LateArrives(index) => {
                if let Some((mark, base)) = state.changes[index].late.take() {
                    self.compare_and_swap(state, mark, base);
                }
            }
            ManifestStep::Read(index) => {
                let found = state.head;
                self.update_phase(&mut state.changes[index], found);
            }
            ManifestStep::GiveUp(index) => {
                let phase = self.refused_phase(&state.changes[index]);
                state.changes[index].phase = phase;
            }
            ManifestStep::Follow(index) => {
                let version = state.history[index].version;
                if version > state.in_force || self.is_removed(Mutation::VersionGrows) {
                    state.has_gone_back |= version < state.in_force;
                    state.in_force = version;
                }
            }
        }
    }
}

impl SpecMachine for ManifestMachine {
    type State = ManifestState;
    type Step = ManifestStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 operators with a change each, 2 lost answers or late writes each, versions followed in any order"
    }

    fn initial(&self) -> ManifestState {
        let head = VersionStamp { version: 1, change: INITIAL_CHANGE };
        let change = ChangeState {
            phase: ChangePhase::New,
            mark: VersionStamp::default(),
            base: 0,
            is_uncertain: false,
            late: None,
            faults: MAX_FAULTS,
        };
        ManifestState {
            head,
            revision: 1,
            history: vec![head],
            changes: [change; OPERATORS],
            in_force: 1,
            has_gone_back: false,
        }
    }

    fn successors(&self, state: &ManifestState) -> Vec<(ManifestStep, ManifestState)> {
        let changes = (0..OPERATORS).flat_map(|index| self.change_steps(state, index));
        let follow_steps = (0..state.history.len()).map(ManifestStep::Follow);
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        changes.chain(follow_steps).map(successor).collect()
    }

    fn violation(&self, state: &ManifestState) -> Option<&'static str> {
        if state.has_gone_back {
            return Some("a process went back to an earlier version");
        }
        if state.history.windows(2).any(|pair| pair[1].version != pair[0].version + 1) {
            return Some("versions do not grow by one");
        }
        let count = |change: u64| state.history.iter().filter(|mark| mark.change == change).count();
        for (index, change) in state.changes.iter().enumerate() {
            match (change.phase, count(index as u64 + 1)) {
                (ChangePhase::NotRun, 1..) => return Some("a refused change took effect"),
                (ChangePhase::Written, 0) => return Some("a written change never took effect"),
                (_, 2..) => return Some("a change took effect twice"),
                _ => {}
            }
        }
        None
    }
}
