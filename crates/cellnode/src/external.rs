//! Traits for the external systems, which an adapter implements.

use {
    async_trait::async_trait,
    damaskrack_cell::{
        AdviceRequest, CellConfig, RenewOutcome, RenewRequest, StartRequest, StartResponse,
        StopRequest, WorkerReport, WorkerTicket,
    },
    std::collections::BTreeMap,
};

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value; empty if there is none to read.
    pub value: Vec<u8>,
    /// Revision of the last change; 0 if the item does not exist.
    pub revision: u64,
    /// Whether the item was deleted at that revision, or its value cannot be read. An unreadable item is
    /// part of its page all the same, because the next page may begin after it.
    pub is_deleted: bool,
}

/// A page of items.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// Items, sorted by key.
    pub items: Vec<StoreItem>,
    /// Whether there are more items after the last one.
    pub has_more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not execute the call.
    Refused,
    /// The store did not execute the call because it is not valid, and would not execute it later either.
    Invalid,
    /// There is no usable response; the call may have been executed or may still be executed.
    Unknown,
    /// The requested history has been compacted.
    Compacted,
    /// The response is larger than the client reads; the call has been executed.
    TooLarge,
}

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePut {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease that the item is attached to; 0 for none.
    pub lease: u64,
}

/// A transaction that is applied atomically, and only if every key has its expected revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Keys with their expected revisions; 0 for a key that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Values to write.
    pub puts: Vec<StorePut>,
    /// Keys to delete.
    pub removals: Vec<String>,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It was applied at this revision.
    Done(u64),
    /// A key had another revision. Holds the current items of the expected keys.
    Conflict(Vec<StoreItem>),
    /// The lease of a written item does not exist.
    LeaseNotFound,
}

/// The platform's store.
#[async_trait]
pub trait CellStore: Send + Sync {
    /// Reads a page of the items with a prefix whose keys come after `after`, within `timeout_ms`
    /// milliseconds.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    async fn range(
        &self,
        prefix: &str,
        after: &str,
        timeout_ms: u64,
    ) -> Result<StorePage, StoreError>;

    /// Reads one item.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    async fn get(&self, key: &str) -> Result<Option<StoreItem>, StoreError>;

    /// Waits up to `wait_ms` milliseconds for changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<StorePage, StoreError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    async fn commit_transaction(
        &self,
        transaction: &StoreTransaction,
    ) -> Result<TransactionOutcome, StoreError>;

    /// Creates a lease with a time to live of `ttl_ms` milliseconds and returns its id.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StoreError>;

    /// Renews a lease; `false` if it has expired.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError>;

    /// Revokes a lease and deletes the items attached to it.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError>;
}

/// Calls to the workers. Every call carries the leader's fencing token.
#[async_trait]
pub trait WorkerGateway: Send + Sync {
    /// Starts an attempt.
    async fn start(&self, request: &StartRequest, token: u64) -> StartResponse;

    /// Stops an attempt. Returns whether the worker acknowledged it.
    async fn stop(&self, request: &StopRequest, token: u64) -> bool;

    /// Renews the worker's leases and returns its running and ended attempts.
    async fn renew(&self, request: &RenewRequest, token: u64) -> RenewOutcome;
}

/// Calls to the adviser.
#[async_trait]
pub trait AdviserGateway: Send + Sync {
    /// Requests the workers that may run a step; `None` if there is no response.
    async fn request_advice(&self, request: &AdviceRequest) -> Option<Vec<WorkerTicket>>;
}

/// Decodes the documents that operators and workers write into the store.
pub trait PlatformCodec: Send + Sync {
    /// Returns the prefix of the operators' keys.
    fn config_prefix(&self) -> &str;

    /// Decodes the configuration from all items under that prefix; `None` if there is none yet or
    /// it is invalid.
    fn read_config(&self, items: &BTreeMap<String, Vec<u8>>) -> Option<CellConfig>;

    /// Returns the prefix of the workers' keys.
    fn worker_prefix(&self) -> &str;

    /// Decodes a worker's entry; `None` if it describes no usable worker.
    fn read_worker(&self, key: &str, value: &[u8]) -> Option<WorkerReport>;
}
