//! Follows the store's member, owner and manifest-head records.
//!
//! It lists each prefix once and then keeps one waiting watch on all of them, so a quiet daemon
//! costs the store two calls per second, whatever the number of pieces. Ownership takes effect only
//! when the changed record appears here, never on the response to a write. A lost response
//! therefore needs no special handling, and records are seen in the order in which the store
//! applied them.

use {
    crate::buffer::ActionBuffer,
    damaskrack_manifest::HEAD_KEY,
    damaskrack_model::ClockTime,
    damaskrack_outside::{StoreCall, StoreError, StoreEvent, StoreReply},
    damaskrack_ownership::{MemberRecord, MemberRoster, PieceName},
    std::collections::BTreeMap,
};

/// Maximum waiting time of a watch, in milliseconds. It limits the age of the latest store read.
const WATCH_WAIT_MS: u64 = 500;
/// Delay before a failed call is retried, in milliseconds.
const RETRY_MS: u64 = 200;

#[derive(Debug)]
enum FollowerPhase {
    Idle { retry_at: ClockTime },
    Listing { calls: Vec<u64>, sent_at: ClockTime, revision: Option<u64> },
    Watching { call: u64, sent_at: ClockTime },
}

/// A change of a followed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FollowedChange {
    /// The key.
    pub(crate) key: String,
    /// Its value; `None` if it was deleted.
    pub(crate) value: Option<String>,
    /// Revision of the change.
    pub(crate) revision: u64,
}

/// Reports changes of the records that every daemon needs, and tracks how current they are.
#[derive(Debug)]
pub(crate) struct StoreFollower {
    phase: FollowerPhase,
    revisions: BTreeMap<String, u64>,
    seen_revision: u64,
    is_listed: bool,
    read_at: Option<ClockTime>,
}

fn prefixes() -> [&'static str; 4] {
    [MemberRecord::KEY_PREFIX, PieceName::KEY_PREFIX, HEAD_KEY, MemberRoster::STORE_KEY]
}

impl StoreFollower {
    pub(crate) fn new() -> Self {
        Self {
            phase: FollowerPhase::Idle { retry_at: ClockTime::default() },
            revisions: BTreeMap::new(),
            seen_revision: 0,
            is_listed: false,
            read_at: None,
        }
    }

    /// Returns when the call of the latest store read was sent.
    pub(crate) fn read_at(&self) -> Option<ClockTime> {
        self.read_at
    }

    /// Returns the store revision up to which the records are complete.
    pub(crate) fn seen_revision(&self) -> u64 {
        self.seen_revision
    }

    /// Returns whether the records have been listed since the start or the last compaction.
    pub(crate) fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Starts the next call if none is in flight.
    pub(crate) fn tick(&mut self, now: ClockTime, timeout_ms: u64, out: &mut ActionBuffer) {
        let FollowerPhase::Idle { retry_at } = self.phase else { return };
        if now < retry_at {
            return;
        }
        self.phase = if self.is_listed {
            let prefixes = prefixes().map(str::to_owned).to_vec();
            let since = self.seen_revision;
            let request = StoreCall::Watch { prefixes, since, wait_ms: WATCH_WAIT_MS };
            FollowerPhase::Watching { call: out.store(request, timeout_ms), sent_at: now }
        } else {
            let calls = prefixes()
                .map(|prefix| out.store(StoreCall::List { prefix: prefix.to_owned() }, timeout_ms));
            FollowerPhase::Listing { calls: calls.to_vec(), sent_at: now, revision: None }
        };
    }

    /// Returns whether a store call belongs to this follower.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        match &self.phase {
            FollowerPhase::Idle { .. } => false,
            FollowerPhase::Listing { calls, .. } => calls.contains(&call),
            FollowerPhase::Watching { call: mine, .. } => *mine == call,
        }
    }

    /// Handles the result of a call and returns the changes that it contains, in order.
    pub(crate) fn on_store(
        &mut self,
        now: ClockTime,
        call: u64,
        result: Result<StoreReply, StoreError>,
    ) -> Vec<FollowedChange> {
        match result {
            Ok(StoreReply::Entries { entries, revision }) => {
                let prefix = self.take_list_call(call, revision);
                let entries = entries.into_iter().map(|entry| FollowedChange {
                    key: entry.key,
                    value: Some(entry.value),
                    revision: entry.revision,
                });
                self.apply_list(prefix, entries.collect(), revision)
            }
            Ok(StoreReply::Events { events, revision }) => self.apply_events(now, events, revision),
            Ok(StoreReply::Compacted) => {
                self.is_listed = false;
                self.phase = FollowerPhase::Idle { retry_at: now };
                Vec::new()
            }
            _ => {
                self.phase = FollowerPhase::Idle { retry_at: now.plus(RETRY_MS) };
                Vec::new()
            }
        }
    }

    /// Marks a list call as complete; returns its prefix.
    fn take_list_call(&mut self, call: u64, found: u64) -> Option<&'static str> {
        let FollowerPhase::Listing { calls, sent_at, revision } = &mut self.phase else {
            return None;
        };
        let index = calls.iter().position(|&mine| mine == call)?;
        calls[index] = 0;
        let lowest = revision.map_or(found, |known| known.min(found));
        *revision = Some(lowest);
        if calls.iter().all(|&mine| mine == 0) {
            self.read_at = self.read_at.max(Some(*sent_at));
            self.seen_revision = lowest;
            self.is_listed = true;
            self.phase = FollowerPhase::Idle { retry_at: ClockTime::default() };
        }
        prefixes().get(index).copied()
    }

    fn apply_list(
        &mut self,
        prefix: Option<&str>,
        entries: Vec<FollowedChange>,
        revision: u64,
    ) -> Vec<FollowedChange> {
        let Some(prefix) = prefix else { return Vec::new() };
        let gone = self.revisions.keys().filter(|key| {
            key.starts_with(prefix) && !entries.iter().any(|entry| entry.key == **key)
        });
        let gone: Vec<_> =
            gone.map(|key| FollowedChange { key: key.clone(), value: None, revision }).collect();
        gone.into_iter().chain(entries).filter(|change| self.record_revision(change)).collect()
    }

    fn apply_events(
        &mut self,
        now: ClockTime,
        events: Vec<StoreEvent>,
        revision: u64,
    ) -> Vec<FollowedChange> {
        if let FollowerPhase::Watching { sent_at, .. } = self.phase {
            self.read_at = self.read_at.max(Some(sent_at));
        }
        self.seen_revision = self.seen_revision.max(revision);
        self.phase = FollowerPhase::Idle { retry_at: now };
        let changes = events.into_iter().map(|event| FollowedChange {
            key: event.key,
            value: event.value,
            revision: event.revision,
        });
        changes.filter(|change| self.record_revision(change)).collect()
    }

    /// Records the revision of a change. Returns whether the change is later than the known
    /// revision of its key.
    fn record_revision(&mut self, change: &FollowedChange) -> bool {
        let known = self.revisions.get(&change.key).copied().unwrap_or(0);
        if change.revision < known || (change.revision == known && change.value.is_some()) {
            return false;
        }
        if change.value.is_some() {
            self.revisions.insert(change.key.clone(), change.revision);
        } else {
            self.revisions.remove(&change.key);
        }
        true
    }
}
