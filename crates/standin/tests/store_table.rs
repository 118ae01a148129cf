//! Tests of the store's state machine, with the time set by the test.

use {
    damaskrack_outside::{StoreCall, StoreError, StoreEvent, StoreReply},
    damaskrack_standin::{StorePlan, StoreTable},
    quickcheck::{Gen, QuickCheck},
    std::collections::BTreeMap,
};

/// Seed of the generated cases, fixed so that runs are reproducible.
const SEED: u64 = 20_261_204;

fn table() -> StoreTable {
    StoreTable::new(StorePlan::default())
}

fn put(key: &str, expected: u64, value: &str, lease: u64) -> StoreCall {
    StoreCall::Put { key: key.to_owned(), expected, value: value.to_owned(), lease }
}

fn value(table: &StoreTable, key: &str) -> Option<String> {
    table.entry(key).map(|entry| entry.value)
}

fn grant(table: &mut StoreTable, ttl_ms: u64, now_ms: u64) -> u64 {
    match table.handle(&StoreCall::LeaseGrant { ttl_ms }, now_ms) {
        StoreReply::Lease { lease } => lease,
        reply => panic!("unexpected response to a grant: {reply:?}"),
    }
}

#[test]
fn one_of_two_racing_writers_wins() {
    let mut table = table();
    assert_eq!(table.handle(&put("a", 0, "x", 0), 0), StoreReply::Written { revision: 1 });
    let first = table.handle(&put("a", 1, "first", 0), 0);
    let second = table.handle(&put("a", 1, "second", 0), 0);
    assert_eq!(first, StoreReply::Written { revision: 2 });
    let StoreReply::Conflict { current: Some(current) } = second else {
        panic!("unexpected response to the second writer: {second:?}");
    };
    assert_eq!((current.value.as_str(), current.revision), ("first", 2));
}

#[test]
fn a_deletion_needs_the_current_revision() {
    let mut table = table();
    table.handle(&put("a", 0, "x", 0), 0);
    let delete = |expected| StoreCall::Delete { key: "a".to_owned(), expected };
    assert!(matches!(table.handle(&delete(7), 0), StoreReply::Conflict { .. }));
    assert_eq!(table.handle(&delete(1), 0), StoreReply::Written { revision: 2 });
    assert!(matches!(table.handle(&delete(0), 0), StoreReply::Conflict { current: None }));
}

#[test]
fn a_lapsed_lease_takes_its_keys() {
    let mut table = table();
    let lease = grant(&mut table, 100, 0);
    table.handle(&put("member/a", 0, "x", lease), 0);
    table.handle(&StoreCall::LeaseKeep { lease }, 80);
    assert_eq!(table.next_event_ms(), Some(180));
    table.advance(179);
    assert!(value(&table, "member/a").is_some());
    table.advance(180);
    assert_eq!(value(&table, "member/a"), None);
    assert_eq!(table.handle(&StoreCall::LeaseKeep { lease }, 181), StoreReply::LeaseGone);
    assert_eq!(table.handle(&put("b", 0, "x", lease), 181), StoreReply::LeaseGone);
}

#[test]
fn a_lease_stands_still_during_an_outage() {
    let mut table = table();
    let lease = grant(&mut table, 100, 0);
    table.handle(&put("member/a", 0, "x", lease), 0);
    table.set_outage(true, 50);
    assert_eq!(table.serve(&put("b", 0, "x", 0), 60), Err(StoreError::Unavailable));
    table.advance(10_000);
    assert!(value(&table, "member/a").is_some());
    table.set_outage(false, 10_000);
    table.advance(10_099);
    assert!(value(&table, "member/a").is_some(), "the lease restarts with its full duration");
    table.advance(10_100);
    assert_eq!(value(&table, "member/a"), None);
}

#[test]
fn an_ended_lease_leaves_keys_of_others() {
    let mut table = table();
    let (first, second) = (grant(&mut table, 100, 0), grant(&mut table, 100, 0));
    table.handle(&put("a", 0, "x", first), 0);
    table.handle(&put("b", 0, "x", second), 0);
    table.handle(&put("c", 0, "x", first), 0);
    table.handle(&put("c", 3, "moved", 0), 0);
    table.handle(&StoreCall::LeaseRevoke { lease: first }, 0);
    let values = ["a", "b", "c"].map(|key| value(&table, key));
    assert_eq!(values, [None, Some("x".to_owned()), Some("moved".to_owned())]);
}

#[test]
fn a_range_is_deleted_up_to_its_end() {
    let mut table = table();
    for key in ["j/1", "j/2", "j/3"] {
        table.handle(&put(key, 0, "x", 0), 0);
    }
    let call = StoreCall::DeleteRange { from: "j/1".to_owned(), to: "j/3".to_owned() };
    assert_eq!(table.handle(&call, 0), StoreReply::Written { revision: 4 });
    let keys = ["j/1", "j/2", "j/3"].map(|key| value(&table, key).is_some());
    assert_eq!(keys, [false, false, true]);
    let empty = StoreCall::DeleteRange { from: "z".to_owned(), to: "a".to_owned() };
    assert_eq!(table.handle(&empty, 0), StoreReply::Written { revision: 4 });
}

#[test]
fn a_watch_sees_only_its_prefixes_after_its_revision() {
    let mut table = table();
    table.handle(&put("owner/a", 0, "1", 0), 0);
    table.handle(&put("other", 0, "2", 0), 0);
    table.handle(&put("member/b", 0, "3", 0), 0);
    let prefixes = ["owner/".to_owned(), "member/".to_owned()];
    let event = |key: &str, value: &str, revision| StoreEvent {
        key: key.to_owned(),
        value: Some(value.to_owned()),
        revision,
    };
    let both = vec![event("owner/a", "1", 1), event("member/b", "3", 3)];
    assert_eq!(
        table.poll_watch(&prefixes, 0),
        Some(StoreReply::Events { events: both, revision: 3 })
    );
    let later = vec![event("member/b", "3", 3)];
    assert_eq!(
        table.poll_watch(&prefixes, 1),
        Some(StoreReply::Events { events: later, revision: 3 })
    );
    assert_eq!(table.poll_watch(&prefixes, 3), None);
}

#[test]
fn a_watch_without_news_names_the_current_revision() {
    let mut table = table();
    table.handle(&put("other", 0, "2", 0), 0);
    let watch = StoreCall::Watch { prefixes: vec!["owner/".to_owned()], since: 0, wait_ms: 0 };
    assert_eq!(table.handle(&watch, 0), StoreReply::Events { events: Vec::new(), revision: 1 });
}

#[test]
fn a_watch_behind_the_kept_events_is_compacted() {
    let mut table = StoreTable::new(StorePlan { max_events: 2, ..StorePlan::default() });
    for key in ["a", "b", "c", "d"] {
        table.handle(&put(key, 0, "x", 0), 0);
    }
    let prefixes = [String::new()];
    assert_eq!(table.poll_watch(&prefixes, 1), Some(StoreReply::Compacted));
    assert!(matches!(table.poll_watch(&prefixes, 2), Some(StoreReply::Events { .. })));
    assert_eq!(table.poll_watch(&prefixes, 99), Some(StoreReply::Compacted));
}

#[test]
fn rates_and_lengths_are_bounded_and_counted() {
    let plan =
        StorePlan { writes_per_s: 2, reads_per_s: 1, max_value_bytes: 4, ..StorePlan::default() };
    let mut table = StoreTable::new(plan);
    assert_eq!(table.serve(&put("a", 0, "12345", 0), 0), Err(StoreError::Unavailable));
    assert!(table.serve(&put("a", 0, "1234", 0), 0).is_ok());
    assert!(table.serve(&put("b", 0, "1", 0), 0).is_ok());
    assert_eq!(table.serve(&put("c", 0, "1", 0), 0), Err(StoreError::Unavailable));
    let get = StoreCall::Get { key: "a".to_owned() };
    assert!(table.serve(&get, 0).is_ok());
    assert_eq!(table.serve(&get, 0), Err(StoreError::Unavailable));
    assert!(table.serve(&get, 1_000).is_ok());
    let stats = table.stats();
    assert_eq!((stats.put, stats.get, stats.refused), (4, 3, 3));
}

#[test]
fn observers_see_every_ownership_write_and_deletion() {
    let mut table = table();
    table.handle(&put("owner/rack/r1", 0, "1", 0), 5);
    table.handle(&put("journal/x", 0, "1", 0), 6);
    table.handle(&StoreCall::Delete { key: "owner/rack/r1".to_owned(), expected: 1 }, 7);
    let seen: Vec<_> =
        table.history().map(|record| (record.at_ms, record.value.is_some())).collect();
    assert_eq!(seen, [(5, true), (7, false)]);
}

#[test]
fn events_rebuild_the_store_in_every_order() {
    let mut checker = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(60, SEED));
    checker.quickcheck(events_rebuild_the_store as fn(Vec<(u8, u8, bool)>, u8) -> bool);
}

/// Checks that replaying a watch from any point reproduces the store's contents.
#[allow(clippy::needless_pass_by_value)] // quickcheck passes arguments by value.
fn events_rebuild_the_store(writes: Vec<(u8, u8, bool)>, from: u8) -> bool {
    let mut table = table();
    let mut copy = BTreeMap::new();
    let mut since = 0;
    for (index, (key, text, is_delete)) in writes.iter().enumerate() {
        if index == from as usize {
            since = follow(&table, &mut copy, since);
        }
        let key = format!("k{}", key % 8);
        let expected = table.entry(&key).map_or(0, |entry| entry.revision);
        let call = match is_delete {
            true => StoreCall::Delete { key, expected },
            false => put(&key, expected, &text.to_string(), 0),
        };
        table.handle(&call, 0);
    }
    follow(&table, &mut copy, since);
    copy.iter().all(|(key, text)| value(&table, key).as_ref() == Some(text))
        && (0..8).all(|key| {
            let key = format!("k{key}");
            value(&table, &key).as_ref() == copy.get(&key)
        })
}

fn follow(table: &StoreTable, copy: &mut BTreeMap<String, String>, since: u64) -> u64 {
    let Some(StoreReply::Events { events, revision }) = table.poll_watch(&["k".to_owned()], since)
    else {
        return since;
    };
    for event in events {
        match event.value {
            Some(text) => copy.insert(event.key, text),
            None => copy.remove(&event.key),
        };
    }
    revision
}
