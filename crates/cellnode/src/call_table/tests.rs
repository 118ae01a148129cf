//! Tests of the table of requests in flight.

use {super::CallTable, crate::frame::LeaderBody};

/// Guards against entries that stay behind and grow the table for as long as the leader stays.
#[tokio::test]
async fn a_request_that_times_out_leaves_no_entry() {
    let table = CallTable::default();
    assert_eq!(table.add().wait(1).await, None);
    assert!(table.lock().waiting.is_empty());
}

/// The same for a request whose caller has gone away.
#[tokio::test]
async fn a_request_that_is_given_up_leaves_no_entry() {
    let table = CallTable::default();
    drop(table.add());
    assert!(table.lock().waiting.is_empty());
}

#[tokio::test]
async fn a_response_reaches_the_request_with_its_number_only() {
    let table = CallTable::default();
    let (first, second) = (table.add(), table.add());
    table.respond(second.number(), LeaderBody::Pending(7));
    assert_eq!(second.wait(10).await, Some(LeaderBody::Pending(7)));
    assert_eq!(first.wait(1).await, None);
}

#[tokio::test]
async fn a_request_ends_with_its_connection() {
    let table = CallTable::default();
    let call = table.add();
    table.clear();
    assert_eq!(call.wait(60_000).await, None);
}
