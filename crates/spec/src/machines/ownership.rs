//! Model of two daemons that take and release one unit of ownership by compare-and-swap.
//!
//! A daemon ignores the response to a write: it is the owner when the record that it watches says
//! so. A write may take effect at any later time, even after the process that sent it was replaced
//! by one with a new boot number.

use {
    crate::{Mutation, SpecMachine},
    damaskrack_model::{Epoch, MemberName},
    damaskrack_ownership::{MemberStanding, OwnerRecord, PieceStep, PieceView, next_piece_step},
};

/// Number of daemons.
const DAEMONS: usize = 2;
/// Highest epoch.
const MAX_EPOCH: u64 = 3;
/// Highest boot number; each process of a daemon has its own.
const MAX_BOOT: u64 = 2;
/// Largest number of writes in flight.
const MAX_WRITES: usize = 2;

/// An owner: the daemon and the boot number of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct OwnerMark {
    daemon: usize,
    boot: u64,
}

/// The ownership record with its revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordState {
    owner: Option<OwnerMark>,
    epoch: u64,
    revision: u64,
}

/// The ownership record, the version of it that each daemon has read, and the writes in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PieceState {
    record: RecordState,
    boots: [u64; DAEMONS],
    seen: [RecordState; DAEMONS],
    /// Records in flight to the store; `revision` is the one that the write expects to replace.
    writes: Vec<RecordState>,
    /// Processes that have ever regarded themselves as the owner, with the epoch.
    claims: Vec<(u64, OwnerMark)>,
}

/// A step of the ownership model.
#[derive(Debug, Clone, Copy)]
pub enum OwnershipStep {
    /// A daemon sends a record that names itself as the owner.
    Take(usize),
    /// A daemon sends a record without an owner.
    Release(usize),
    /// A write arrives at the store.
    Land(RecordState),
    /// A write is lost.
    Lose(RecordState),
    /// A daemon reads the current record.
    See(usize),
    /// A daemon restarts with the next boot number.
    Restart(usize),
}

/// Model of the ownership record of one unit of ownership.
#[derive(Debug)]
pub struct OwnershipMachine {
    removed: Vec<Mutation>,
    names: [MemberName; DAEMONS],
}

impl OwnershipMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    fn owner_mark(state: &PieceState, daemon: usize) -> OwnerMark {
        OwnerMark { daemon, boot: state.boots[daemon] }
    }

    /// Returns what a daemon does if `suggested`, which may be itself, should be the owner.
    fn piece_step(&self, state: &PieceState, daemon: usize, suggested: usize) -> PieceStep {
        let seen = state.seen[daemon];
        let record = OwnerRecord {
            owner: seen.owner.map(|owner| self.names[owner.daemon].clone()),
            boot: seen.owner.map_or(0, |owner| self.owner_boot(state, owner)),
            epoch: Epoch(seen.epoch),
            write: 0,
        };
        next_piece_step(PieceView {
            me: &self.names[daemon],
            boot: state.boots[daemon],
            record: (seen.revision > 0).then_some(&record),
            suggested: Some(&self.names[suggested]),
            is_owner_gone: true,
            is_suggested_heard: true,
            standing: MemberStanding::Connected,
            is_leaving: false,
        })
    }

    /// Returns the boot number that an owner's daemon attributes to the record.
    fn owner_boot(&self, state: &PieceState, owner: OwnerMark) -> u64 {
        if self.is_removed(Mutation::BootNumber) { state.boots[owner.daemon] } else { owner.boot }
    }

    fn daemon_steps(&self, state: &PieceState, daemon: usize) -> Vec<OwnershipStep> {
        let mut steps = Vec::new();
        let can_send = state.writes.len() < MAX_WRITES;
        let seen = state.seen[daemon];
        if can_send
            && seen.epoch < MAX_EPOCH
            && self.piece_step(state, daemon, daemon) == PieceStep::Take
        {
            steps.push(OwnershipStep::Take(daemon));
        }
        if can_send && self.piece_step(state, daemon, 1 - daemon) == PieceStep::Release {
            steps.push(OwnershipStep::Release(daemon));
        }
        if seen != state.record {
            steps.push(OwnershipStep::See(daemon));
        }
        if state.boots[daemon] < MAX_BOOT {
            steps.push(OwnershipStep::Restart(daemon));
        }
        steps
    }

    fn record_claim(&self, state: &mut PieceState, daemon: usize) {
        let seen = state.seen[daemon];
        let me = Self::owner_mark(state, daemon);
        let is_owner = seen.owner.is_some_and(|owner| {
            owner.daemon == daemon && self.owner_boot(state, owner) == me.boot
        });
        if is_owner && !state.claims.contains(&(seen.epoch, me)) {
            state.claims.push((seen.epoch, me));
            state.claims.sort_unstable();
        }
    }

    fn apply_write(&self, state: &mut PieceState, write: RecordState) {
        if write.revision == state.record.revision || self.is_removed(Mutation::RecordSwap) {
            let revision = state.record.revision + 1;
            state.record = RecordState { revision, ..write };
        }
    }

    fn apply(&self, state: &mut PieceState, step: OwnershipStep) {
        match step {
            OwnershipStep::Take(daemon) => {
                let seen = state.seen[daemon];
                let increment =
                    u64::from(!self.is_removed(Mutation::EpochGrows) || seen.epoch == 0);
                let owner = Some(Self::owner_mark(state, daemon));
                push_write(state, RecordState { owner, epoch: seen.epoch + increment, ..seen });
            }
            OwnershipStep::Release(daemon) => {
                let seen = state.seen[daemon];
                push_write(state, RecordState { owner: None, ..seen });
            }
            OwnershipStep::Land(write) => {
                remove_write(state, write);
                self.apply_write(state, write);
            }
            OwnershipStep::Lose(write) => remove_write(state, write),
            OwnershipStep::See(daemon) => {
                state.seen[daemon] = state.record;
                self.record_claim(state, daemon);
            }
            OwnershipStep::Restart(daemon) => {
                state.boots[daemon] += 1;
                state.seen[daemon] = RecordState::default();
            }
        }
    }
}

fn push_write(state: &mut PieceState, write: RecordState) {
    state.writes.push(write);
    state.writes.sort_unstable();
}

fn remove_write(state: &mut PieceState, write: RecordState) {
    if let Some(index) = state.writes.iter().position(|other| *other == write) {
        state.writes.remove(index);
    }
}

impl SpecMachine for OwnershipMachine {
    type State = PieceState;
    type Step = OwnershipStep;

    fn new(removed: &[Mutation]) -> Self {
        let name = |text: &str| MemberName::new(text).expect("a constant name is well formed");
        Self { removed: removed.to_vec(), names: [name("entry-0"), name("entry-1")] }
    }

    fn bounds(&self) -> &'static str {
        "2 daemons with 2 processes each, 1 piece, epochs up to 3, 2 writes on the way, late or lost"
    }

    fn initial(&self) -> PieceState {
        PieceState {
            record: RecordState::default(),
            boots: [1; DAEMONS],
            seen: [RecordState::default(); DAEMONS],
            writes: Vec::new(),
            claims: Vec::new(),
        }
    }

    fn successors(&self, state: &PieceState) -> Vec<(OwnershipStep, PieceState)> {
        let daemons = (0..DAEMONS).flat_map(|daemon| self.daemon_steps(state, daemon));
        let mut writes = state.writes.clone();
        writes.dedup();
        let writes = writes
            .into_iter()
            .flat_map(|write| [OwnershipStep::Land(write), OwnershipStep::Lose(write)]);
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        daemons.chain(writes).map(successor).collect()
    }

    fn violation(&self, state: &PieceState) -> Option<&'static str> {
        let has_two_owners = state.claims.windows(2).any(|pair| pair[0].0 == pair[1].0);
        has_two_owners.then_some("two processes took themselves for the owner in one epoch")
    }
}
