//! The platform's key-value store.

use serde::{Deserialize, Serialize};

/// A call to the store.
///
/// Every key has the revision of its last write, which grows with each write to the store; 0 stands
/// for a key that does not exist. A key attached to a lease is deleted when the lease expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum StoreCall {
    /// Reads one key. The reply is [`StoreReply::Entries`] with at most one entry.
    Get {
        /// The key.
        key: String,
    },
    /// Reads every key with a prefix, in order. The reply is [`StoreReply::Entries`].
    List {
        /// The prefix.
        prefix: String,
    },
    /// Writes a key if its revision is `expected`. The reply is [`StoreReply::Written`] or
    /// [`StoreReply::Conflict`].
    Put {
        /// The key.
        key: String,
        /// Revision that the key must have; 0 if it must not exist.
        expected: u64,
        /// New value, at most one megabyte.
        value: String,
        /// Lease that the key is attached to; 0 for none.
        lease: u64,
    },
    /// Deletes a key if its revision is `expected`. The reply is [`StoreReply::Written`] or
    /// [`StoreReply::Conflict`].
    Delete {
        /// The key.
        key: String,
        /// Revision that the key must have.
        expected: u64,
    },
    /// Deletes every key from `from` up to, not including, `to`. The reply is
    /// [`StoreReply::Written`].
    DeleteRange {
        /// First key.
        from: String,
        /// First key that is not deleted.
        to: String,
    },
    /// Creates a lease. The reply is [`StoreReply::Lease`].
    LeaseGrant {
        /// Time until the lease expires unless it is renewed, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease for its full time to live. The reply is [`StoreReply::Lease`] or
    /// [`StoreReply::LeaseGone`].
    LeaseKeep {
        /// The lease.
        lease: u64,
    },
    /// Revokes a lease and deletes the keys attached to it. The reply is [`StoreReply::LeaseGone`].
    LeaseRevoke {
        /// The lease.
        lease: u64,
    },
    /// Waits for changes after revision `since` of keys with any of the prefixes. The reply is
    /// [`StoreReply::Events`], empty after `wait_ms`, or [`StoreReply::Compacted`].
    Watch {
        /// The prefixes.
        prefixes: Vec<String>,
        /// Last revision already known.
        since: u64,
        /// Longest time to wait for changes, in milliseconds.
        wait_ms: u64,
    },
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Store revision of its last write.
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEvent {
    /// The key.
    pub key: String,
    /// Its new value, or `None` if it was deleted.
    pub value: Option<String>,
    /// Store revision of the change.
    pub revision: u64,
}

/// A reply of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum StoreReply {
    /// The entries read.
    Entries {
        /// The entries.
        entries: Vec<StoreEntry>,
        /// Revision of the whole store when they were read.
        revision: u64,
    },
    /// The write took effect.
    Written {
        /// Revision of the write.
        revision: u64,
    },
    /// The write took no effect because the key has another revision.
    Conflict {
        /// Current entry of the key, or `None` if it does not exist.
        current: Option<StoreEntry>,
    },
    /// The lease exists.
    Lease {
        /// Its id, never 0.
        lease: u64,
    },
    /// The lease does not exist or no longer exists.
    LeaseGone,
    /// Changes since the requested revision.
    Events {
        /// The changes, in order of their revisions.
        events: Vec<StoreEvent>,
        /// Revision up to which the list is complete.
        revision: u64,
    },
    /// The changes since that revision have been compacted; list the keys again.
    Compacted,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The call was not sent, or the store refused it. It had no effect.
    Unavailable,
    /// The reply is lost. The call may have taken effect.
    Lost,
}

/// A client of the store.
#[async_trait::async_trait]
pub trait PlatformStore: Send + Sync {
    /// Executes a call. Fails after `timeout_ms` milliseconds beyond the waiting time of a watch.
    ///
    /// # Errors
    ///
    /// Returns whether a call without a reply may have taken effect.
    async fn call(&self, call: &StoreCall, timeout_ms: u64) -> Result<StoreReply, StoreError>;
}
