//! Tests of the contact with the store.

use super::StoreContact;

/// Time within which workers report a change, in milliseconds.
const REPORT_DELAY_MS: u64 = 2_000;
/// Interval between two calls to the store, in milliseconds.
const CALL_INTERVAL_MS: u64 = 500;

/// Records a response every [`CALL_INTERVAL_MS`].
fn respond(contact: &StoreContact, from_ms: u64, to_ms: u64) {
    let calls = (from_ms..to_ms).step_by(usize::try_from(CALL_INTERVAL_MS).unwrap_or(1));
    calls.for_each(|sent_ms| contact.record_response_at(sent_ms + 5));
}

/// The store was down for four seconds, in which workers could report nothing.
#[test]
fn entries_are_not_valid_before_workers_can_report_after_an_outage() {
    let contact = StoreContact::starting_at(10_000, REPORT_DELAY_MS);
    respond(&contact, 10_000, 20_000);
    respond(&contact, 24_000, 30_000);
    assert!(!contact.record_entries_at(25_500, 25_500));
    assert!(contact.record_entries_at(26_500, 26_500));
}

/// A daemon is elected as soon as the store is back, and reads the entries before any other response.
#[test]
fn entries_that_are_read_first_after_an_outage_are_not_valid() {
    let contact = StoreContact::starting_at(10_000, REPORT_DELAY_MS);
    respond(&contact, 10_000, 20_000);
    assert!(!contact.record_entries_at(24_000, 24_000));
}

/// The store was down when the daemon started.
#[test]
fn entries_are_not_valid_before_workers_can_report_after_an_outage_at_the_start() {
    let contact = StoreContact::starting_at(10_000, REPORT_DELAY_MS);
    respond(&contact, 13_000, 17_000);
    assert!(!contact.record_entries_at(14_500, 14_500));
    assert!(contact.record_entries_at(15_500, 15_500));
}

#[test]
fn entries_are_valid_at_once_if_the_store_responds_to_a_daemon_that_starts() {
    let contact = StoreContact::starting_at(10_000, REPORT_DELAY_MS);
    respond(&contact, 10_000, 11_000);
    assert!(contact.record_entries_at(10_500, 10_500));
}

#[test]
fn a_response_that_is_missing_is_no_outage() {
    let contact = StoreContact::starting_at(10_000, REPORT_DELAY_MS);
    respond(&contact, 10_000, 20_000);
    respond(&contact, 21_300, 22_000);
    assert!(contact.record_entries_at(21_300, 21_300));
}

/// Duration of a watch that ends without changes, in milliseconds.
const WATCH_MS: u64 = 1_330;

/// Records the responses to watches of a daemon that does nothing else, and returns the time of the last one.
fn follow(contact: &StoreContact, from_ms: u64, watches: u64) -> u64 {
    (1..=watches).for_each(|watch| contact.record_response_at(from_ms + watch * WATCH_MS));
    from_ms + watches * WATCH_MS
}

/// Guards against a new leader that starts nothing for two seconds, because it was elected while a watch of
/// its own waited.
#[test]
fn a_watch_that_waits_is_no_outage() {
    let contact = StoreContact::starting_at(10_000, REPORT_DELAY_MS);
    let responded_ms = follow(&contact, 10_000, 10);
    assert!(contact.record_entries_at(responded_ms + WATCH_MS - 100, responded_ms + WATCH_MS));
}

/// The store stopped while a watch waited, and responded to it later.
#[test]
fn an_outage_that_a_watch_survives_is_noticed() {
    let contact = StoreContact::starting_at(10_000, REPORT_DELAY_MS);
    let responded_ms = follow(&contact, 10_000, 10);
    contact.record_response_at(responded_ms + 3 * WATCH_MS);
    let read_ms = responded_ms + 3 * WATCH_MS + 50;
    assert!(!contact.record_entries_at(read_ms, read_ms + 5));
}
