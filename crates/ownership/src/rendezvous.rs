//! Rendezvous hashing, which suggests an owner without shared state.
//!
//! Each unit of ownership is assigned to the member with the highest hash score for it. When a
//! member fails, only its own units move, and they spread over all other members. The suggestion
//! is not binding: only the compare-and-swap on the ownership record makes a member the owner.

use {
    crate::PieceName,
    damaskrack_model::MemberName,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Suggests the owner of a unit of ownership among the members; returns `None` if there are none.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::{PieceName, suggest_owner};
///
/// let piece: PieceName = "rack/r1".parse()?;
/// let (a, b) = ("entry-1".parse()?, "entry-2".parse()?);
/// assert_eq!(suggest_owner(&piece, [&a, &b]), suggest_owner(&piece, [&b, &a]));
/// assert_eq!(suggest_owner(&piece, []), None);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn suggest_owner<'a>(
    piece: &PieceName,
    members: impl IntoIterator<Item = &'a MemberName>,
) -> Option<&'a MemberName> {
    members.into_iter().max_by_key(|member| (score(piece, member), *member))
}

fn score(piece: &PieceName, member: &MemberName) -> u64 {
    let mut hasher = DefaultHasher::new();
    piece.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}
