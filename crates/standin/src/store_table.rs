//! State machine of the store, independent of the HTTP server and the system clock.
//!
//! Methods take the current time, so the same table serves the HTTP stand-in and a simulated
//! clock. Leases do not expire during an outage and restart with their full duration after it,
//! because a client that could not reach the store had no way to renew its lease.

use {
    crate::{RateLimit, StoreStats},
    damaskrack_outside::{StoreCall, StoreEntry, StoreError, StoreEvent, StoreReply},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        ops::Bound,
    },
};

/// Prefixes of the keys whose writes are kept in the history that tests check.
const OBSERVED_PREFIXES: [&str; 2] = ["owner/", "manifest/head"];

/// Limits of a [`StoreTable`].
#[derive(Debug, Clone)]
pub struct StorePlan {
    /// Writes served per second.
    pub writes_per_s: u32,
    /// Reads and watches served per second.
    pub reads_per_s: u32,
    /// Maximum length of a value, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of events kept for watches.
    pub max_events: usize,
    /// Maximum total size of the values in these events, in bytes.
    pub max_event_bytes: usize,
    /// Maximum number of writes kept in the history.
    pub max_history: usize,
}

impl Default for StorePlan {
    fn default() -> Self {
        Self {
            writes_per_s: 300,
            reads_per_s: 2_000,
            max_value_bytes: 1_000_000,
            max_events: 20_000,
            max_event_bytes: 64 << 20,
            max_history: 100_000,
        }
    }
}

/// A write of an ownership record or of the manifest's head, kept in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteRecord {
    /// When the write took effect, in milliseconds of the common clock.
    pub at_ms: u64,
    /// Key that was written.
    pub key: String,
    /// Value that was written, or `None` for a deletion.
    pub value: Option<String>,
    /// Revision of the store that the write created.
    pub revision: u64,
}

#[derive(Debug)]
struct StoredValue {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug)]
struct LeaseEntry {
    ttl_ms: u64,
    expires_ms: u64,
}

/// Keys, leases and the recent events that watches can still read.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_outside::{StoreCall, StoreReply},
///     damaskrack_standin::{StorePlan, StoreTable},
/// };
///
/// let mut table = StoreTable::new(StorePlan::default());
/// let put = StoreCall::Put { key: "a".into(), expected: 0, value: "1".into(), lease: 0 };
/// assert_eq!(table.handle(&put, 0), StoreReply::Written { revision: 1 });
/// assert!(matches!(table.handle(&put, 0), StoreReply::Conflict { current: Some(_) }));
/// ```
#[derive(Debug)]
pub struct StoreTable {
    plan: StorePlan,
    values: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, LeaseEntry>,
    next_lease: u64,
    revision: u64,
    compacted: u64,
    events: VecDeque<StoreEvent>,
    event_bytes: usize,
    history: VecDeque<WriteRecord>,
    write_limit: RateLimit,
    read_limit: RateLimit,
    stats: StoreStats,
    is_out: bool,
}

impl StoreTable {
    /// Creates an empty store.
    #[must_use]
    pub fn new(plan: StorePlan) -> Self {
        Self {
            values: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            revision: 0,
            compacted: 0,
            events: VecDeque::new(),
            event_bytes: 0,
            history: VecDeque::new(),
            write_limit: RateLimit::new(plan.writes_per_s),
            read_limit: RateLimit::new(plan.reads_per_s),
            stats: StoreStats::default(),
            is_out: false,
            plan,
        }
    }

    /// Counts a call and executes it, unless the store has an outage, the rate limit is exceeded
    /// or the value is too long. A watch returns immediately; see [`StoreTable::poll_watch`].
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the call is refused; it then had no effect.
    pub fn serve(&mut self, call: &StoreCall, now_ms: u64) -> Result<StoreReply, StoreError> {
        self.advance(now_ms);
        self.stats.count(call);
        if self.is_admitted(call, now_ms) {
            return Ok(self.handle(call, now_ms));
        }
        self.stats.refused += 1;
        Err(StoreError::Unavailable)
    }

    fn is_admitted(&mut self, call: &StoreCall, now_ms: u64) -> bool {
        if self.is_out {
            return false;
        }
        if let StoreCall::Put { value, .. } = call
            && value.len() > self.plan.max_value_bytes
        {
            return false;
        }
        match is_write(call) {
            true => self.write_limit.take(now_ms),
            false => self.read_limit.take(now_ms),
        }
    }

    /// Executes a call regardless of counters, limits and outages. A watch returns immediately,
    /// with an empty list if there are no events yet.
    pub fn handle(&mut self, call: &StoreCall, now_ms: u64) -> StoreReply {
        self.advance(now_ms);
        match call {
            StoreCall::Get { key } => self.get(key),
            StoreCall::List { prefix } => self.list(prefix),
            StoreCall::Put { key, expected, value, lease } => {
                self.put(key, *expected, value, *lease, now_ms)
            }
            StoreCall::Delete { key, expected } => self.delete(key, *expected, now_ms),
            StoreCall::DeleteRange { from, to } => self.delete_range(from, to, now_ms),
            StoreCall::LeaseGrant { ttl_ms } => self.grant(*ttl_ms, now_ms),
            StoreCall::LeaseKeep { lease } => self.renew(*lease, now_ms),
            StoreCall::LeaseRevoke { lease } => {
                self.end_lease(*lease, now_ms);
                StoreReply::LeaseGone
            }
            StoreCall::Watch { prefixes, since, .. } => self
                .poll_watch(prefixes, *since)
                .unwrap_or(StoreReply::Events { events: Vec::new(), revision: self.revision }),
        }
    }

    /// Returns the current response to a watch, or `None` if the watch has to wait.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_standin::{StorePlan, StoreTable};
    ///
    /// let table = StoreTable::new(StorePlan::default());
    /// assert_eq!(table.poll_watch(&["owner/".to_owned()], 0), None);
    /// ```
    #[must_use]
    pub fn poll_watch(&self, prefixes: &[String], since: u64) -> Option<StoreReply> {
        if since < self.compacted || since > self.revision {
            return Some(StoreReply::Compacted);
        }
        let first = self.events.partition_point(|event| event.revision <= since);
        let is_watched =
            |event: &&StoreEvent| prefixes.iter().any(|prefix| event.key.starts_with(prefix));
        let events: Vec<_> = self.events.range(first..).filter(is_watched).cloned().collect();
        (!events.is_empty()).then_some(StoreReply::Events { events, revision: self.revision })
    }

    /// Ends the leases that have expired and deletes their keys.
    pub fn advance(&mut self, now_ms: u64) {
        if self.is_out {
            return;
        }
        let expired_id = |(id, row): (&u64, &LeaseEntry)| (row.expires_ms <= now_ms).then_some(*id);
        let expired: Vec<u64> = self.leases.iter().filter_map(expired_id).collect();
        for lease in expired {
            self.stats.lapsed_leases += 1;
            self.end_lease(lease, now_ms);
        }
    }

    /// Returns when the next lease expires if it is not renewed.
    #[must_use]
    pub fn next_event_ms(&self) -> Option<u64> {
        if self.is_out {
            return None;
        }
        self.leases.values().map(|row| row.expires_ms).min()
    }

    /// Starts or ends an outage.
    pub fn set_outage(&mut self, is_out: bool, now_ms: u64) {
        self.advance(now_ms);
        if self.is_out && !is_out {
            for row in self.leases.values_mut() {
                row.expires_ms = now_ms.saturating_add(row.ttl_ms);
            }
        }
        self.is_out = is_out;
    }

    /// Returns whether the store has an outage.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.is_out
    }

    /// Returns the store's current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts a response that was dropped after its call took effect.
    pub fn count_lost_answer(&mut self) {
        self.stats.lost_answers += 1;
    }

    /// Returns the call counters.
    #[must_use]
    pub fn stats(&self) -> &StoreStats {
        &self.stats
    }

    /// Returns the writes of ownership records and of the manifest's head, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &WriteRecord> {
        self.history.iter()
    }

    /// Returns a key's entry without counting a call, for tests and observers.
    #[must_use]
    pub fn entry(&self, key: &str) -> Option<StoreEntry> {
        self.values.get(key).map(|stored| to_entry(key, stored))
    }

    fn get(&self, key: &str) -> StoreReply {
        StoreReply::Entries {
            entries: self.entry(key).into_iter().collect(),
            revision: self.revision,
        }
    }

    fn list(&self, prefix: &str) -> StoreReply {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        let entries = self
            .values
            .range::<str, _>(from)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| to_entry(key, stored))
            .collect();
        StoreReply::Entries { entries, revision: self.revision }
    }

    fn put(
        &mut self,
        key: &str,
        expected: u64,
        value: &str,
        lease: u64,
        now_ms: u64,
    ) -> StoreReply {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return StoreReply::LeaseGone;
        }
        if !self.has_revision(key, expected) {
            return StoreReply::Conflict { current: self.entry(key) };
        }
        self.revision += 1;
        let revision = self.revision;
        self.values
            .insert(key.to_owned(), StoredValue { value: value.to_owned(), revision, lease });
        self.record_change(key, Some(value), now_ms);
        StoreReply::Written { revision }
    }

    fn delete(&mut self, key: &str, expected: u64, now_ms: u64) -> StoreReply {
        if !self.has_revision(key, expected) || expected == 0 {
            return StoreReply::Conflict { current: self.entry(key) };
        }
        self.delete_keys(vec![key.to_owned()], now_ms);
        StoreReply::Written { revision: self.revision }
    }

    fn delete_range(&mut self, from: &str, to: &str, now_ms: u64) -> StoreReply {
        if from < to {
            let range = (Bound::Included(from), Bound::Excluded(to));
            let keys = self.values.range::<str, _>(range).map(|(key, _)| key.clone()).collect();
            self.delete_keys(keys, now_ms);
        }
        StoreReply::Written { revision: self.revision }
    }

    fn has_revision(&self, key: &str, expected: u64) -> bool {
        self.values.get(key).map_or(0, |stored| stored.revision) == expected
    }

    /// Deletes existing keys, all in a single revision.
    fn delete_keys(&mut self, keys: Vec<String>, now_ms: u64) {
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.values.remove(&key);
            self.record_change(&key, None, now_ms);
        }
    }

    fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> StoreReply {
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, LeaseEntry { ttl_ms, expires_ms: now_ms.saturating_add(ttl_ms) });
        StoreReply::Lease { lease }
    }

    fn renew(&mut self, lease: u64, now_ms: u64) -> StoreReply {
        match self.leases.get_mut(&lease) {
            Some(row) => {
                row.expires_ms = now_ms.saturating_add(row.ttl_ms);
                StoreReply::Lease { lease }
            }
            None => StoreReply::LeaseGone,
        }
    }

    fn end_lease(&mut self, lease: u64, now_ms: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let is_attached = |stored: &StoredValue| stored.lease == lease;
        let keys = self.values.iter().filter(|(_, stored)| is_attached(stored));
        let keys = keys.map(|(key, _)| key.clone()).collect();
        self.delete_keys(keys, now_ms);
    }

    fn record_change(&mut self, key: &str, value: Option<&str>, now_ms: u64) {
        let (value, revision) = (value.map(str::to_owned), self.revision);
        if OBSERVED_PREFIXES.iter().any(|prefix| key.starts_with(prefix)) {
            let value = value.clone();
            self.history.push_back(WriteRecord {
                at_ms: now_ms,
                key: key.to_owned(),
                value,
                revision,
            });
        }
        self.event_bytes += value.as_ref().map_or(0, String::len);
        self.events.push_back(StoreEvent { key: key.to_owned(), value, revision });
        self.trim_history();
    }

    fn trim_history(&mut self) {
        while self.history.len() > self.plan.max_history {
            self.history.pop_front();
        }
        while self.events.len() > self.plan.max_events
            || self.event_bytes > self.plan.max_event_bytes
        {
            let Some(event) = self.events.pop_front() else { break };
            self.event_bytes -= event.value.as_ref().map_or(0, String::len);
            self.compacted = event.revision;
        }
    }
}

fn to_entry(key: &str, stored: &StoredValue) -> StoreEntry {
    StoreEntry { key: key.to_owned(), value: stored.value.clone(), revision: stored.revision }
}

fn is_write(call: &StoreCall) -> bool {
    match call {
        StoreCall::Get { .. } | StoreCall::List { .. } | StoreCall::Watch { .. } => false,
        StoreCall::Put { .. }
        | StoreCall::Delete { .. }
        | StoreCall::DeleteRange { .. }
        | StoreCall::LeaseGrant { .. }
        | StoreCall::LeaseKeep { .. }
        | StoreCall::LeaseRevoke { .. } => true,
    }
}
