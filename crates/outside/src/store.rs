//! The platform's key-value service.

use serde::{Deserialize, Serialize};

/// A call to the store.
///
/// Every key has a revision that grows with each write to the store; 0 stands for a key that does
/// not exist. A key that hangs on a lease is deleted when the lease lapses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum StoreCall {
    /// Reads one key. Answered by [`StoreReply::Entries`] with none or one.
    Get {
        /// The key.
        key: String,
    },
    /// Reads every key with a prefix, in order. Answered by [`StoreReply::Entries`].
    List {
        /// The prefix.
        prefix: String,
    },
    /// Writes a key if its revision is `expected`. Answered by [`StoreReply::Written`] or
    /// [`StoreReply::Conflict`].
    Put {
        /// The key.
        key: String,
        /// Revision that the key must have; 0 if it must not exist.
        expected: u64,
        /// New value, at most one megabyte.
        value: String,
        /// Lease that the key hangs on; 0 for none.
        lease: u64,
    },
    /// Deletes a key if its revision is `expected`. Answered by [`StoreReply::Written`] or
    /// [`StoreReply::Conflict`].
    Delete {
        /// The key.
        key: String,
        /// Revision that the key must have.
        expected: u64,
    },
    /// Deletes every key from `from` up to, not including, `to`. Answered by
    /// [`StoreReply::Written`].
    DeleteRange {
        /// First key.
        from: String,
        /// First key that stays.
        to: String,
    },
    /// Makes a lease. Answered by [`StoreReply::Lease`].
    LeaseGrant {
        /// Time until it lapses unless it is kept, in milliseconds.
        ttl_ms: u64,
    },
    /// Keeps a lease for its full time again. Answered by [`StoreReply::Lease`] or
    /// [`StoreReply::LeaseGone`].
    LeaseKeep {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease and deletes its keys. Answered by [`StoreReply::LeaseGone`].
    LeaseRevoke {
        /// The lease.
        lease: u64,
    },
    /// Waits for changes after revision `since` of keys with any of the prefixes. Answered by
    /// [`StoreReply::Events`], empty when `wait_ms` has passed, or by [`StoreReply::Compacted`].
    Watch {
        /// The prefixes.
        prefixes: Vec<String>,
        /// Last revision already known.
        since: u64,
        /// Longest time to wait, in milliseconds.
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

/// An answer of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum StoreReply {
    /// What was read, and the store's revision at that time.
    Entries {
        /// The entries.
        entries: Vec<StoreEntry>,
        /// Revision of the whole store when they were read.
        revision: u64,
    },
    /// The write took effect at this revision.
    Written {
        /// Revision of the write.
        revision: u64,
    },
    /// The write took no effect because the key has another revision.
    Conflict {
        /// The key as it is, or `None` if it does not exist.
        current: Option<StoreEntry>,
    },
    /// The lease exists.
    Lease {
        /// Its id, never 0.
        lease: u64,
    },
    /// The lease does not exist (any more).
    LeaseGone,
    /// Changes, and the revision up to which they are complete.
    Events {
        /// The changes in order.
        events: Vec<StoreEvent>,
        /// Revision up to which the list is complete.
        revision: u64,
    },
    /// Changes since that revision are no longer kept; list again.
    Compacted,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The call was not sent or the store refused to serve it; it took no effect.
    Unavailable,
    /// The answer is lost; the call may have taken effect.
    Lost,
}

/// A client of the store.
#[async_trait::async_trait]
pub trait PlatformStore: Send + Sync {
    /// Carries out a call, within `timeout_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have taken effect when there is no answer.
    async fn call(&self, call: &StoreCall, timeout_ms: u64) -> Result<StoreReply, StoreError>;
}
