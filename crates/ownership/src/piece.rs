//! Names of the units of ownership, called pieces.

use {
    damaskrack_model::{RackName, TeamName},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Name of a unit of ownership, which at most one daemon manages at a time.
///
/// # Examples
///
/// ```
/// use damaskrack_ownership::PieceName;
///
/// let piece: PieceName = "rack/r1".parse()?;
/// assert_eq!(piece.store_key(), "owner/rack/r1");
/// assert_eq!(PieceName::from_store_key("owner/rack/r1"), Some(piece));
/// # Ok::<(), damaskrack_ownership::ParsePieceError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum PieceName {
    /// All queues of a team. Their single owner can therefore enforce the team's upper limit.
    Team(TeamName),
    /// A rack of workers. Its single owner alone decides what they run.
    Rack(RackName),
}

/// Prefix of the store keys that hold ownership records.
const KEY_PREFIX: &str = "owner/";

/// Error for a text that is not the name of a unit of ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsePieceError;

impl fmt::Display for ParsePieceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a piece; expected team/NAME or rack/NAME")
    }
}

impl std::error::Error for ParsePieceError {}

impl PieceName {
    /// Prefix of the store keys of ownership records.
    pub const KEY_PREFIX: &'static str = KEY_PREFIX;

    /// Returns the store key of the ownership record.
    #[must_use]
    pub fn store_key(&self) -> String {
        format!("{KEY_PREFIX}{self}")
    }

    /// Returns the unit of ownership that a store key belongs to.
    #[must_use]
    pub fn from_store_key(key: &str) -> Option<Self> {
        key.strip_prefix(KEY_PREFIX)?.parse().ok()
    }
}

impl fmt::Display for PieceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(team) => write!(f, "team/{team}"),
            Self::Rack(rack) => write!(f, "rack/{rack}"),
        }
    }
}

impl FromStr for PieceName {
    type Err = ParsePieceError;

    fn from_str(text: &str) -> Result<Self, ParsePieceError> {
        match text.split_once('/') {
            Some(("team", name)) => TeamName::new(name).map(Self::Team),
            Some(("rack", name)) => RackName::new(name).map(Self::Rack),
            _ => return Err(ParsePieceError),
        }
        .map_err(|_| ParsePieceError)
    }
}

impl TryFrom<String> for PieceName {
    type Error = ParsePieceError;

    fn try_from(text: String) -> Result<Self, ParsePieceError> {
        text.parse()
    }
}

impl From<PieceName> for String {
    fn from(piece: PieceName) -> Self {
        piece.to_string()
    }
}
