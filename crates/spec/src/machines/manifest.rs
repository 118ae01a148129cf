//! Two operators who change the manifest through two daemons.
//!
//! The head is exchanged by compare-and-swap; answers are lost, and writes take effect after
//! their caller has given up on them. A daemon follows the head and gets versions from peers in
//! any order.

use {
    crate::{Mutation, SpecMachine},
    damaskrack_ownership::{SwapOutcome, VersionStamp, classify_swap},
};

/// Most answers that are lost and writes that are late, for each operator.
const MAX_FAULTS: u8 = 2;
/// Operators.
const OPERATORS: usize = 2;
/// Change number of the head at the start.
const INITIAL_CHANGE: u64 = 9;

/// How far a change has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum ChangePhase {
    /// The operator has not handed it in.
    New,
    /// The head is to be exchanged.
    Head,
    /// The exchange is on its way.
    Sent,
    /// The head is to be read back.
    ReadBack,
    /// The operator was told that it is written.
    Written,
    /// The operator was told that it did not take effect.
    NotRun,
    /// The operator was told that it may have taken effect.
    Unknown,
}

/// A change in the hands of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ChangeState {
    phase: ChangePhase,
    mark: VersionStamp,
    base: u64,
    is_uncertain: bool,
    /// A write whose caller gave up on it and that may still take effect.
    late: Option<(VersionStamp, u64)>,
    faults: u8,
}

/// Store, changes and followers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ManifestState {
    head: VersionStamp,
    revision: u64,
    history: Vec<VersionStamp>,
    changes: [ChangeState; OPERATORS],
    in_force: u64,
    has_gone_back: bool,
}

/// What happens.
#[derive(Debug, Clone, Copy)]
pub enum ManifestStep {
    /// An operator hands a change in against the present version.
    HandIn(usize),
    /// The exchange is sent.
    Send(usize),
    /// The store takes or refuses the exchange and the answer arrives.
    Answered(usize),
    /// The store takes or refuses the exchange and the answer is lost.
    AnswerLost(usize),
    /// The caller gives up before the store has the exchange.
    Late(usize),
    /// The store carries out a late exchange.
    LateArrives(usize),
    /// The head is read back.
    Read(usize),
    /// The daemon stops trying.
    GiveUp(usize),
    /// A follower gets this version, from the store or from a peer.
    Follow(usize),
}

/// Explores changes of the manifest.
#[derive(Debug)]
pub struct ManifestMachine {
    removed: Vec<Mutation>,
}

impl ManifestMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    /// Carries out an exchange in the store; returns whether it took effect.
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
