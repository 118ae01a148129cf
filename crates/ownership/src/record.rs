//! Records that the ownership protocol keeps in the store.

use {
    damaskrack_model::{Epoch, MemberName, ZoneName},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Error for a value in the store that is not a record of the expected form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordError(String);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed record in the store: {}", self.0)
    }
}

impl std::error::Error for RecordError {}

/// Record of the owner of a unit of ownership. It is changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner; `None` after a graceful release.
    pub owner: Option<MemberName>,
    /// Boot number of the owner's process; after a restart, the process is no longer the owner.
    pub boot: u64,
    /// Increases with every change of owner.
    pub epoch: Epoch,
    /// Random number of the write, by which a writer whose response was lost recognizes its own
    /// write.
    pub write: u64,
}

impl OwnerRecord {
    /// Encodes the record for the store.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn from_json(text: &str) -> Result<Self, RecordError> {
        serde_json::from_str(text).map_err(|error| RecordError(error.to_string()))
    }
}

/// Record of a live daemon, bound to the daemon's store lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the daemon.
    pub member: MemberName,
    /// Random number that the daemon's process chose when it started.
    pub boot: u64,
    /// Address at which it listens for peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is shutting down and must take over nothing more.
    pub is_leaving: bool,
}

impl MemberRecord {
    /// Prefix of the store keys of member records.
    pub const KEY_PREFIX: &'static str = "member/";

    /// Returns the store key of a member's record.
    #[must_use]
    pub fn store_key(member: &MemberName) -> String {
        format!("{}{member}", Self::KEY_PREFIX)
    }

    /// Encodes the record for the store.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn from_json(text: &str) -> Result<Self, RecordError> {
        serde_json::from_str(text).map_err(|error| RecordError(error.to_string()))
    }
}
