//! Tests of the sessions with daemons.

use {super::SessionRegistry, crate::frame::HelloFrame};

/// Guards against a daemon that loses its new session to a heartbeat which comes late through its former one.
#[test]
fn a_late_heartbeat_of_a_former_session_does_not_end_the_present_one() {
    let registry = SessionRegistry::default();
    let _inbox = registry.start_leading();
    let hello = HelloFrame { daemon: 7, ..HelloFrame::default() };
    let (former, ..) = registry.add_session().expect("a session");
    registry.identify_session(former, hello.clone());
    let (present, ..) = registry.add_session().expect("a session");
    registry.identify_session(present, hello.clone());
    registry.identify_session(former, hello);
    assert_eq!(registry.session_of(7), Some(present));
}
