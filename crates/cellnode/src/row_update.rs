//! Changes of the rows of the leadership.

/// A change of a row that identifies leaders, which the writer of the first lane makes.
#[derive(Debug)]
pub(crate) enum RowUpdate {
    /// The leader's row is to be attached to a new lease.
    Lease(u64),
    /// Every former leader has ended.
    TermsEnded,
}
