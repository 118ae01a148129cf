//! Takes, holds and gives up pieces by compare-and-swap on their ownership records.
//!
//! Ownership begins and ends when the record shows up in the followed store records. The answer
//! to a write is not looked at, so a write whose answer was lost is no different from any other.

use {
    crate::{LogLevel, NodeConfig, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, MemberName},
    damaskrack_outside::StoreCall,
    damaskrack_ownership::{
        OwnerRecord, PieceName, PieceStep, PieceView, TokenBucket, next_piece_step, suggest_owner,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Pieces of lost owners that this daemon takes a second.
const TAKEOVERS_PER_S: u32 = 100;
/// Time after which a write that has not shown up is tried again, in milliseconds.
const WRITE_RETRY_MS: u64 = 1_500;
/// Interval at which all pieces are considered, in milliseconds.
const REVIEW_MS: u64 = 200;
/// Time that pieces which nobody owned yet are left to one who is suggested, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// A write on the way.
#[derive(Debug, Clone, Copy)]
struct PieceWrite {
    call: u64,
    sent_at: ClockTime,
}

/// What changed about a piece that this daemon owns or wants to give up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PieceChange {
    /// This daemon owns it now.
    Taken(PieceName),
    /// This daemon no longer owns it.
    Lost(PieceName),
    /// It must be prepared for release.
    Freeze(PieceName),
    /// Its release is off.
    Thaw(PieceName),
}

/// The pieces of this daemon.
#[derive(Debug)]
pub(crate) struct PieceRole {
    owned: BTreeSet<PieceName>,
    releasing: BTreeSet<PieceName>,
    writes: BTreeMap<PieceName, PieceWrite>,
    takeovers: TokenBucket,
    moves: TokenBucket,
    review_at: ClockTime,
    first_review: Option<ClockTime>,
}

impl PieceRole {
    pub(crate) fn new(config: &NodeConfig) -> Self {
        Self {
            owned: BTreeSet::new(),
            releasing: BTreeSet::new(),
            writes: BTreeMap::new(),
            takeovers: TokenBucket::new(TAKEOVERS_PER_S, TAKEOVERS_PER_S),
            moves: TokenBucket::new(config.moves_per_s, config.moves_per_s),
            review_at: ClockTime::default(),
            first_review: None,
        }
    }

    /// Returns the pieces that this daemon owns.
    pub(crate) fn owned(&self) -> &BTreeSet<PieceName> {
        &self.owned
    }

    /// Takes note of a changed ownership record.
    pub(crate) fn on_record(
        &mut self,
        piece: &PieceName,
        view: &ClusterView,
        config: &NodeConfig,
    ) -> Option<PieceChange> {
        self.writes.remove(piece);
        let is_mine = view.is_mine(piece, config.boot);
        if is_mine && self.owned.insert(piece.clone()) {
            return Some(PieceChange::Taken(piece.clone()));
        }
        if !is_mine && self.owned.remove(piece) {
            self.releasing.remove(piece);
            return Some(PieceChange::Lost(piece.clone()));
        }
        None
    }

    /// Tells whether a store call belongs to this role. Only the record itself counts.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        self.writes.values().any(|write| write.call == call)
    }

    /// Considers all pieces when that is due. `is_idle` tells that no caller waits here.
    pub(crate) fn review(
        &mut self,
        view: &ClusterView,
        config: &NodeConfig,
        is_idle: bool,
        can_release: impl Fn(&PieceName) -> bool,
        out: &mut ActionBuffer,
    ) -> Vec<PieceChange> {
        if view.now < self.review_at {
            return Vec::new();
        }
        self.review_at = view.now.plus(REVIEW_MS);
        let first = *self.first_review.get_or_insert(view.now);
        if view.now.since(first) < SETTLE_MS {
            return Vec::new();
        }
        let now = view.now;
        self.writes.retain(|_, write| now.since(write.sent_at) < WRITE_RETRY_MS);
        let takers: Vec<&MemberName> = view.takers().collect();
        if takers.is_empty() && !is_idle {
            // Nobody can go on with the work, so what is under way here is finished first.
            return Vec::new();
        }
        let mut changes = Vec::new();
        for piece in view.pieces() {
            let suggested = suggest_owner(&piece, takers.iter().copied());
            let step = next_piece_step(piece_view(&piece, suggested, view, config));
            changes.extend(self.carry_out(step, piece, view, config, &can_release, out));
        }
        changes
    }

    fn carry_out(
        &mut self,
        step: PieceStep,
        piece: PieceName,
        view: &ClusterView,
        config: &NodeConfig,
        can_release: &impl Fn(&PieceName) -> bool,
        out: &mut ActionBuffer,
    ) -> Option<PieceChange> {
        match step {
            PieceStep::Keep => self.releasing.remove(&piece).then_some(PieceChange::Thaw(piece)),
            PieceStep::Take => {
                let is_idle = !self.writes.contains_key(&piece) && !self.owned.contains(&piece);
                if is_idle && self.takeovers.try_take(view.now) {
                    self.write_take(piece, view, config, out);
                }
                None
            }
            PieceStep::Release if self.releasing.contains(&piece) => {
                if can_release(&piece) && !self.writes.contains_key(&piece) {
                    self.write_release(piece, view, config, out);
                }
                None
            }
            PieceStep::Release => {
                let may_move = view.is_leaving || self.moves.try_take(view.now);
                (may_move && self.releasing.insert(piece.clone()))
                    .then_some(PieceChange::Freeze(piece))
            }
        }
    }

    fn write_take(
        &mut self,
        piece: PieceName,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        let record = OwnerRecord {
            owner: Some(config.member.clone()),
            boot: config.boot,
            epoch: view.epoch(&piece).next(),
            write: out.draw(),
        };
        out.log(LogLevel::Info, "piece_taking", &[("piece", &piece), ("epoch", &record.epoch.0)]);
        self.write(piece, &record, view, config, out);
    }

    fn write_release(
        &mut self,
        piece: PieceName,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        let record =
            OwnerRecord { owner: None, boot: 0, epoch: view.epoch(&piece), write: out.draw() };
        out.log(
            LogLevel::Info,
            "piece_releasing",
            &[("piece", &piece), ("epoch", &record.epoch.0)],
        );
        self.write(piece, &record, view, config, out);
    }

    fn write(
        &mut self,
        piece: PieceName,
        record: &OwnerRecord,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        let request = StoreCall::Put {
            key: piece.store_key(),
            expected: view.owners.get(&piece).map_or(0, |row| row.revision),
            value: record.to_json(),
            lease: 0,
        };
        let call = out.store(request, config.store_timeout_ms);
        self.writes.insert(piece, PieceWrite { call, sent_at: view.now });
    }
}

fn piece_view<'a>(
    piece: &PieceName,
    suggested: Option<&'a MemberName>,
    view: &'a ClusterView,
    config: &NodeConfig,
) -> PieceView<'a> {
    let record = view.owners.get(piece).map(|row| &row.record);
    let is_fresh = |member: &MemberName| {
        let row = view.members.get(member);
        *member == view.me || row.is_some_and(|row| row.is_heard(view.now, config.isolation_ms))
    };
    PieceView {
        me: &view.me,
        boot: config.boot,
        record,
        suggested,
        is_owner_gone: record.is_some_and(|record| view.is_owner_gone(record, config)),
        is_suggested_heard: suggested.is_some_and(is_fresh),
        standing: view.standing,
        is_leaving: view.is_leaving,
    }
}
