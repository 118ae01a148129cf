//! The agreed list of members that count when a daemon judges whether it hears enough of them.
//!
//! Two sides of a partition must count the same members, or each may take itself for the larger
//! one. So the list is one value in the store, changed by compare-and-swap. A member adds itself
//! only when more than half of the present list know that it reaches the store; a side that is
//! going on without the store hears one of those and learns of it. Removal makes the list
//! shorter for the side that sees it, which is the side with the store.

use {
    damaskrack_model::MemberName,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The members that count.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::MemberRoster;
///
/// let mut roster = MemberRoster::default();
/// assert!(roster.may_add(0), "the first member joins an empty roster");
/// roster.members.insert("entry-1".parse()?);
/// assert!(!roster.may_add(0));
/// assert!(roster.may_add(1));
/// # Ok::<(), damaskrack_model::NameError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRoster {
    /// The members.
    pub members: BTreeSet<MemberName>,
}

impl MemberRoster {
    /// Store key of the roster.
    pub const STORE_KEY: &'static str = "roster";

    /// Tells whether a member may add itself when `informed` of the present members know that it
    /// reaches the store.
    #[must_use]
    pub fn may_add(&self, informed: usize) -> bool {
        self.members.is_empty() || informed * 2 > self.members.len()
    }

    /// Encodes the roster for the store.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a roster from the store; `None` if the text is not one.
    #[must_use]
    pub fn from_json(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
