//! Takes and releases pieces by compare-and-swap on their ownership records. A piece is a unit of
//! ownership: a team's queues or a rack.
//!
//! Ownership begins and ends when the changed record appears among the records followed in the
//! store. The response to a write is ignored, so a lost response needs no special handling.

use {
    crate::{LogLevel, NodeConfig, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, MemberName},
    damaskrack_outside::StoreCall,
    damaskrack_ownership::{
        OwnerRecord, PieceName, PieceStep, PieceView, TokenBucket, next_piece_step, suggest_owner,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum number of pieces without an owner that this daemon takes per second.
const TAKEOVERS_PER_S: u32 = 100;
/// Time after which a write that has not appeared in the store is retried, in milliseconds.
const WRITE_RETRY_MS: u64 = 1_500;
/// Interval at which all pieces are reviewed, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 200;
/// Delay after the first call of `review` before this daemon changes ownership, so that unowned
/// pieces are left to their suggested owners, in milliseconds.
const FIRST_REVIEW_DELAY_MS: u64 = 1_000;

/// Write of an ownership record whose effect has not been seen yet.
#[derive(Debug, Clone, Copy)]
struct PieceWrite {
    call: u64,
    sent_at: ClockTime,
}

/// Change of a piece that this daemon owns or wants to release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PieceChange {
    /// This daemon now owns the piece.
    Taken(PieceName),
    /// This daemon no longer owns the piece.
    Lost(PieceName),
    /// The piece must be prepared for release.
    Freeze(PieceName),
    /// The release of the piece is cancelled.
    Thaw(PieceName),
}

/// Ownership of pieces by this daemon.
#[derive(Debug)]
pub(crate) struct PieceRole {
    owned: BTreeSet<PieceName>,
    releasing: BTreeSet<PieceName>,
    writes: BTreeMap<PieceName, PieceWrite>,
    takeover_budget: TokenBucket,
    move_budget: TokenBucket,
    review_at: ClockTime,
    first_review: Option<ClockTime>,
}

impl PieceRole {
    pub(crate) fn new(config: &NodeConfig) -> Self {
        Self {
            owned: BTreeSet::new(),
            releasing: BTreeSet::new(),
            writes: BTreeMap::new(),
            takeover_budget: TokenBucket::new(TAKEOVERS_PER_S, TAKEOVERS_PER_S),
            move_budget: TokenBucket::new(config.moves_per_s, config.moves_per_s),
            review_at: ClockTime::default(),
            first_review: None,
        }
    }

    /// Returns the pieces that this daemon owns.
    pub(crate) fn owned(&self) -> &BTreeSet<PieceName> {
        &self.owned
    }

    /// Handles a changed ownership record.
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

    /// Returns whether a store call is a write of an ownership record.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        self.writes.values().any(|write| write.call == call)
    }

    /// Reviews all pieces if that is due. `is_idle` states whether no caller waits at this daemon's
    /// entry.
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
        self.review_at = view.now.plus(REVIEW_INTERVAL_MS);
        let first = *self.first_review.get_or_insert(view.now);
        if view.now.since(first) < FIRST_REVIEW_DELAY_MS {
            return Vec::new();
        }
        let now = view.now;
        self.writes.retain(|_, write| now.since(write.sent_at) < WRITE_RETRY_MS);
        let eligible_owners: Vec<&MemberName> = view.eligible_owners().collect();
        if eligible_owners.is_empty() && !is_idle {
            // No other daemon can take over the work, so the entry's calls are finished first.
            return Vec::new();
        }
        let mut changes = Vec::new();
        for piece in view.pieces() {
            let suggested = suggest_owner(&piece, eligible_owners.iter().copied());
            let step = next_piece_step(piece_view(&piece, suggested, view, config));
            changes.extend(self.apply_step(step, piece, view, config, &can_release, out));
        }
        changes
    }

    fn apply_step(
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
                if is_idle && self.takeover_budget.try_take(view.now) {
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
                let is_allowed = view.is_leaving || self.move_budget.try_take(view.now);
                (is_allowed && self.releasing.insert(piece.clone()))
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
            expected: view.owners.get(&piece).map_or(0, |entry| entry.revision),
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
    let record = view.owners.get(piece).map(|entry| &entry.record);
    let is_heard = |member: &MemberName| {
        let entry = view.members.get(member);
        *member == view.me
            || entry.is_some_and(|entry| entry.is_heard(view.now, config.isolation_ms))
    };
    PieceView {
        me: &view.me,
        boot: config.boot,
        record,
        suggested,
        is_owner_gone: record.is_some_and(|record| view.is_owner_gone(record, config)),
        is_suggested_heard: suggested.is_some_and(is_heard),
        standing: view.standing,
        is_leaving: view.is_leaving,
    }
}
