//! The manifest as operators write it.

use {
    damaskrack_model::{KeyName, PriorityClass, QueueName, Resources, TeamName, ZoneName},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Everything that operators decide.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ManifestDocument {
    /// Customers that share the cell.
    #[serde(default)]
    pub teams: Vec<TeamEntry>,
    /// Keys that teams show.
    #[serde(default)]
    pub keys: Vec<KeyEntry>,
    /// Availability zones and whether they are in service.
    #[serde(default)]
    pub zones: Vec<ZoneEntry>,
    /// Queues that work is handed to.
    #[serde(default)]
    pub queues: Vec<QueueEntry>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// The team.
    pub name: TeamName,
    /// Weight of its share of the cell when the cell is full, at least 1.
    #[schemars(range(min = 1))]
    pub share: u32,
    /// What it may have running across the fleet.
    pub limit: TeamLimit,
}

/// An upper limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamLimit {
    /// Most tasks that may run at once.
    #[schemars(range(min = 1))]
    pub tasks: u32,
    /// Most resources that running tasks may take.
    pub resources: Resources,
}

/// A key, without its secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Public part of the key.
    pub name: KeyName,
    /// Team that the key stands for.
    pub team: TeamName,
    /// Salt of the hash, in hexadecimal, 16 to 64 bytes.
    #[schemars(regex(pattern = "^([0-9a-fA-F]{2}){16,64}$"))]
    pub salt: String,
    /// SHA-256 of the salt's bytes followed by the secret, in hexadecimal.
    #[schemars(regex(pattern = "^([0-9a-fA-F]{2}){32}$"))]
    pub hash: String,
    /// First moment of validity, in Unix milliseconds; absent if it has no start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_before_unix_ms: Option<u64>,
    /// First moment after validity, in Unix milliseconds; absent if it has no end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_after_unix_ms: Option<u64>,
}

/// Whether an availability zone takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// It takes work.
    In,
    /// It takes no work, and what runs there is moved.
    Out,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZoneEntry {
    /// The zone.
    pub name: ZoneName,
    /// Whether it is in service.
    pub state: ZoneState,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct QueueEntry {
    /// The queue.
    pub name: QueueName,
    /// Team that its work is counted against.
    pub team: TeamName,
    /// Whether it takes work without a key.
    #[serde(default)]
    pub open: bool,
    /// Highest class that work in it may ask for.
    #[serde(default)]
    pub highest_priority: PriorityClass,
}
