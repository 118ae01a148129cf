//! The leaders that may still act although another one has been elected.

use crate::rows::LeaderRow;

/// The leaders that may still act: the one that was elected last, and all before it since the last time at
/// which every former one was known to have ended. A version that does not know the row leaves it as it is,
/// so the row is complete only if the last leader is in it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OpenTermsRow {
    /// The leaders in the order of their terms.
    #[prost(message, repeated, tag = "1")]
    pub(crate) leaders: Vec<LeaderRow>,
    /// Leaders that are not in the row may still act too.
    #[prost(bool, tag = "2")]
    pub(crate) is_incomplete: bool,
}

impl OpenTermsRow {
    /// Creates the row of a leader that knows that every former one has ended.
    pub(crate) fn of_one(leader: LeaderRow) -> Self {
        Self { leaders: vec![leader], is_incomplete: false }
    }

    /// Returns the row of a leader that is elected after `last_term`, which is `None` for the first leader
    /// of the cell.
    pub(crate) fn next(stored: Option<Self>, last_term: Option<u64>, leader: LeaderRow) -> Self {
        let is_of_last = |row: &Self| row.leaders.last().map(|last| last.term) == last_term;
        let mut row = match (last_term, stored.filter(is_of_last)) {
            (None, _) => Self::default(),
            (Some(_), Some(row)) => row,
            (Some(_), None) => Self { leaders: Vec::new(), is_incomplete: true },
        };
        // Only one process at a time listens on an address, and a process leads one term at a time.
        row.leaders.retain(|former| former.address != leader.address);
        row.leaders.push(leader);
        row
    }

    /// Returns the leaders before the last one.
    pub(crate) fn former(&self) -> &[LeaderRow] {
        self.leaders.split_last().map_or(&[], |(_, former)| former)
    }
}

#[cfg(test)]
mod tests;
