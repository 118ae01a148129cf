//! Decides when a daemon takes over or releases a unit of ownership.

use {
    crate::{MemberStanding, OwnerRecord},
    damaskrack_model::MemberName,
};

/// State on which a daemon decides about one unit of ownership.
#[derive(Debug, Clone, Copy)]
pub struct PieceView<'a> {
    /// Name of this daemon.
    pub me: &'a MemberName,
    /// Boot number of this process.
    pub boot: u64,
    /// The ownership record, if there is one.
    pub record: Option<&'a OwnerRecord>,
    /// Owner that rendezvous hashing suggests among the members that may take over.
    pub suggested: Option<&'a MemberName>,
    /// Whether the recorded owner is gone: there is no member record with its boot number, and no
    /// message from it has arrived for the duration of a member lease.
    pub is_owner_gone: bool,
    /// Whether the suggested owner answers heartbeats.
    pub is_suggested_heard: bool,
    /// What this daemon's connections allow it to do.
    pub standing: MemberStanding,
    /// Whether this daemon is shutting down.
    pub is_leaving: bool,
}

/// What to do about a unit of ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceStep {
    /// Leave the ownership as it is.
    Keep,
    /// Write a record with the next epoch that names this daemon.
    Take,
    /// Prepare the release and write a record with the same epoch that names no owner.
    Release,
}

/// Decides what to do about a unit of ownership.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::{MemberStanding, PieceStep, PieceView, next_piece_step};
///
/// let me = "entry-1".parse()?;
/// let view = PieceView {
///     me: &me,
///     boot: 7,
///     record: None,
///     suggested: Some(&me),
///     is_owner_gone: true,
///     is_suggested_heard: true,
///     standing: MemberStanding::Connected,
///     is_leaving: false,
/// };
/// assert_eq!(next_piece_step(view), PieceStep::Take);
/// let minority = PieceView { standing: MemberStanding::Minority, ..view };
/// assert_eq!(next_piece_step(minority), PieceStep::Keep);
/// # Ok::<(), damaskrack_model::NameError>(())
/// ```
#[must_use]
pub fn next_piece_step(view: PieceView<'_>) -> PieceStep {
    if is_mine(view) {
        return next_step_of_owner(view);
    }
    let is_free = view.record.is_none_or(|record| record.owner.is_none() || view.is_owner_gone);
    let is_suggested = view.suggested == Some(view.me);
    if is_free && is_suggested && !view.is_leaving && view.standing == MemberStanding::Connected {
        PieceStep::Take
    } else {
        PieceStep::Keep
    }
}

fn is_mine(view: PieceView<'_>) -> bool {
    view.record
        .is_some_and(|record| record.owner.as_ref() == Some(view.me) && record.boot == view.boot)
}

fn next_step_of_owner(view: PieceView<'_>) -> PieceStep {
    let has_successor =
        view.suggested.is_some_and(|suggested| suggested != view.me) && view.is_suggested_heard;
    let is_last = view.is_leaving && view.suggested.is_none();
    if (has_successor || is_last) && view.standing == MemberStanding::Connected {
        PieceStep::Release
    } else {
        PieceStep::Keep
    }
}
