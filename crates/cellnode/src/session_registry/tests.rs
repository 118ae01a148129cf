//! Tests of the sessions with daemons.

use {super::SessionRegistry, crate::frame::HelloFrame};

/// Guards against a daemon that loses its new session to a heartbeat which comes late through its former one.
#[test]
fn a_late_heartbeat_of_a_former_session_does_not_end_the_present_one() {
    let registry = SessionRegistry::default();
    let _inbox = registry.start_leading(1).expect("a term");
    let hello = HelloFrame { daemon: 7, ..HelloFrame::default() };
    let (former, ..) = registry.add_session().expect("a session");
    registry.identify_session(former, hello.clone());
    let (present, ..) = registry.add_session().expect("a session");
    registry.identify_session(present, hello.clone());
    registry.identify_session(former, hello);
    assert_eq!(registry.session_of(7), Some(present));
}

/// Guards against a leader that begins after its successor was told that it had ended: the response to the
/// write that elected it came late.
#[test]
fn a_term_that_a_later_leader_has_ended_does_not_begin() {
    let registry = SessionRegistry::default();
    assert!(registry.end_terms(3), "this daemon leads nothing");
    assert!(registry.start_leading(2).is_none());
    assert!(registry.start_leading(3).is_none());
    assert!(registry.start_leading(4).is_some());
}

#[tokio::test]
async fn a_leader_that_is_told_to_end_counts_as_ended_only_once_it_has_stopped() {
    let registry = SessionRegistry::default();
    let _inbox = registry.start_leading(3).expect("a term");
    assert!(registry.end_terms(2), "an earlier term has ended");
    assert!(!registry.end_terms(3));
    registry.wait_until_ended(3).await;
    assert!(!registry.end_terms(3), "it is about to stop");
    registry.stop_leading();
    assert!(registry.end_terms(3));
}
