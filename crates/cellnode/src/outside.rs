//! The outside systems, as traits that an adapter implements.

use {
    async_trait::async_trait,
    damaskrack_cell::{
        AdviceRequest, CellConfig, RenewOutcome, RenewRequest, StartOutcome, StartRequest,
        StopRequest, WorkerReport, WorkerTicket,
    },
    std::collections::BTreeMap,
};

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value; empty if the item was deleted.
    pub value: Vec<u8>,
    /// Revision of the last change; 0 if there is no such item.
    pub revision: u64,
    /// The item was deleted at that revision.
    pub is_deleted: bool,
}

/// A page of items.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// Items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// There are more after the last one.
    pub has_more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// Why the store gave no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// It did nothing.
    Refused,
    /// There is no answer; the call may have been, or may yet be, carried out.
    Unknown,
    /// The history asked for is no longer kept.
    Compacted,
}

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePut {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease that the item hangs on; 0 for none.
    pub lease: u64,
}

/// A change that takes effect whole, and only if every expected revision holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Keys with the revision that each must have; 0 for a key that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Values to write.
    pub puts: Vec<StorePut>,
    /// Keys to delete.
    pub removals: Vec<String>,
}

/// How a change went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// A key had another revision; these are the expected ones as they are.
    Conflict(Vec<StoreItem>),
    /// The lease of a put does not exist.
    LeaseNotFound,
}

/// The platform's store.
#[async_trait]
pub trait CellStore: Send + Sync {
    /// Reads a page of the items with a prefix, after a key, within `limit_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns why there is no page.
    async fn range(
        &self,
        prefix: &str,
        after: &str,
        limit_ms: u64,
    ) -> Result<StorePage, StoreError>;

    /// Reads one item.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    async fn get(&self, key: &str) -> Result<Option<StoreItem>, StoreError>;

    /// Waits for changes after a revision, for `wait_ms` milliseconds at most.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<StorePage, StoreError>;

    /// Carries out a change.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    async fn commit_transaction(
        &self,
        change: &StoreTransaction,
    ) -> Result<TransactionOutcome, StoreError>;

    /// Makes a lease of `ttl_ms` milliseconds and returns its id.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StoreError>;

    /// Renews a lease; `false` if it has ended.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError>;

    /// Ends a lease, with the items that hang on it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError>;
}

/// The workers. Every call carries the leader's fencing token.
#[async_trait]
pub trait WorkerGateway: Send + Sync {
    /// Orders a start; returns how it went and the worker's clock if it answered.
    async fn start(&self, order: &StartRequest, token: u64) -> (StartOutcome, Option<u64>);

    /// Orders a stop; returns whether the worker took note of it.
    async fn stop(&self, order: &StopRequest, token: u64) -> bool;

    /// Renews leases and learns what runs and what has ended.
    async fn renew(&self, order: &RenewRequest, token: u64) -> RenewOutcome;
}

/// The adviser.
#[async_trait]
pub trait AdviserGateway: Send + Sync {
    /// Asks which workers may run a step; `None` if there is no answer.
    async fn request_advice(&self, order: &AdviceRequest) -> Option<Vec<WorkerTicket>>;
}

/// Reads what operators and workers write into the store.
pub trait PlatformCodec: Send + Sync {
    /// Prefix of the operators' keys.
    fn config_prefix(&self) -> &str;

    /// Reads the configuration from all items under that prefix; `None` if there is none yet or it
    /// cannot be read.
    fn read_config(&self, items: &BTreeMap<String, Vec<u8>>) -> Option<CellConfig>;

    /// Prefix of the workers' keys.
    fn worker_prefix(&self) -> &str;

    /// Reads a worker's entry; `None` if it names no worker to use.
    fn read_worker(&self, key: &str, value: &[u8]) -> Option<WorkerReport>;
}
