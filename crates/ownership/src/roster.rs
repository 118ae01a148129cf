//! The agreed list of members that count when a daemon judges whether it hears enough of them.
//!
//! Two sides of a partition must count the same members, or each may take itself for the larger
//! one. So the list is one value in the store, changed by compare-and-swap. A change needs more
//! than half of the present list to know that the changing member reaches the store; a side that
//! is going on without the store hears one of those and learns of it. Until half of the former
//! list have been told of later news, both lists must agree to whatever one list agrees to.

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
    /// The members before the last change, until it is settled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub former: Option<BTreeSet<MemberName>>,
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

    /// Returns the roster after a change; the former list counts as well until it is settled.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_ownership::MemberRoster;
    ///
    /// let roster = MemberRoster::default().with_members(["entry-1".parse()?].into());
    /// assert_eq!(roster.former, None, "an empty list settles at once");
    /// let roster = roster.with_members(["entry-1".parse()?, "entry-2".parse()?].into());
    /// assert_eq!(roster.former.map(|former| former.len()), Some(1));
    /// # Ok::<(), damaskrack_model::NameError>(())
    /// ```
    #[must_use]
    pub fn with_members(&self, members: BTreeSet<MemberName>) -> Self {
        let former = (!self.members.is_empty()).then(|| self.members.clone());
        Self { members, former }
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
