//! Tests of a new leader that asks former ones whether they have ended.

use {
    super::TermCloser,
    crate::{
        LinkMeter,
        leader_event::LeaderEvent,
        open_terms::OpenTermsRow,
        row_update::RowUpdate,
        rows::LeaderRow,
        session_registry::{SessionRegistry, serve_sessions},
    },
    damaskrack_cell::CellInput,
    slog::{Discard, Logger, o},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::mpsc,
        time::{Instant, sleep, timeout},
    },
};

/// Isolation time of the former leaders.
const ISOLATION: Duration = Duration::from_millis(1_500);
/// Time within which daemons that run respond.
const SOON: Duration = Duration::from_millis(750);

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

/// Starts a daemon's side of the sessions.
async fn start_daemon() -> (Arc<SessionRegistry>, SocketAddr) {
    let registry = Arc::new(SessionRegistry::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve_sessions(registry.clone(), listener, logger()));
    (registry, address)
}

fn leader(term: u64, address: SocketAddr) -> LeaderRow {
    LeaderRow { id: term, address: address.to_string(), term }
}

/// What a leader with former ones hears.
struct TestLeader {
    events: mpsc::Receiver<LeaderEvent>,
    row_updates: mpsc::Receiver<RowUpdate>,
    started: Instant,
}

impl TestLeader {
    fn start(former: Vec<LeaderRow>, is_incomplete: bool) -> Self {
        let own = LeaderRow { id: 9, address: "own".to_owned(), term: 9 };
        let leaders = former.into_iter().chain([own]).collect();
        let ((events, event_inbox), (row_updates, row_update_inbox)) =
            (mpsc::channel(1), mpsc::channel(1));
        let closer = TermCloser {
            open_terms: OpenTermsRow { leaders, is_incomplete },
            isolation: ISOLATION,
            events,
            row_updates,
            meter: Arc::new(LinkMeter::default()),
            logger: logger(),
        };
        tokio::spawn(closer.run());
        Self { events: event_inbox, row_updates: row_update_inbox, started: Instant::now() }
    }

    /// Waits until all former leaders have ended as far as this one knows. Returns whether the core is told,
    /// and how long it took.
    async fn wait(&mut self) -> (bool, Duration) {
        let limit = ISOLATION + SOON;
        let update = timeout(limit, self.row_updates.recv()).await.expect("the isolation is over");
        assert!(matches!(update, Some(RowUpdate::TermsEnded)));
        let is_told = match self.events.try_recv() {
            Ok(LeaderEvent::Input(input)) => matches!(*input, CellInput::FormerLeadersEnded),
            _ => false,
        };
        (is_told, self.started.elapsed())
    }
}

#[tokio::test]
async fn a_process_that_leads_nothing_ends_the_terms_of_its_address() {
    let (registry, address) = start_daemon().await;
    let (is_told, took) = TestLeader::start(vec![leader(3, address)], false).wait().await;
    assert!(is_told && took < SOON, "{took:?}");
    assert!(registry.start_leading(3).is_none(), "it is told to begin none of them");
}

#[tokio::test]
async fn a_former_leader_is_stopped_and_then_counts_as_ended() {
    let (registry, address) = start_daemon().await;
    let _inbox = registry.start_leading(3).expect("a term");
    let mut successor = TestLeader::start(vec![leader(3, address)], false);
    registry.wait_until_ended(3).await;
    sleep(Duration::from_millis(300)).await;
    assert!(successor.events.try_recv().is_err(), "it has not stopped yet");
    registry.stop_leading();
    let (is_told, took) = successor.wait().await;
    assert!(is_told && took < SOON, "{took:?}");
}

/// Guards against a leader that asks only the last one: an earlier one may act too.
#[tokio::test]
async fn all_former_leaders_must_have_ended() {
    let (_registry, address) = start_daemon().await;
    let (isolated, isolated_address) = start_daemon().await;
    let _inbox = isolated.start_leading(2).expect("a term");
    let former = vec![leader(2, isolated_address), leader(3, address)];
    let (is_told, took) = TestLeader::start(former, false).wait().await;
    assert!(!is_told && took >= ISOLATION, "{took:?}");
}

/// A connection may be refused or reset by the network.
#[tokio::test]
async fn a_refused_connection_proves_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (is_told, took) = TestLeader::start(vec![leader(3, address)], false).wait().await;
    assert!(!is_told && took >= ISOLATION, "{took:?}");
}

/// So does a process that stands still, to which the host still connects, and one of a version that does not
/// know the question and closes the connection.
#[tokio::test]
async fn a_connection_without_a_response_proves_nothing() {
    let standing = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let closing = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addresses = [&standing, &closing].map(|each| each.local_addr().expect("an address"));
    tokio::spawn(async move { while closing.accept().await.is_ok() {} });
    for address in addresses {
        let (is_told, took) = TestLeader::start(vec![leader(3, address)], false).wait().await;
        assert!(!is_told && took >= ISOLATION, "{took:?}");
    }
}

#[tokio::test]
async fn a_leader_that_is_not_in_the_row_may_still_act() {
    let (_registry, address) = start_daemon().await;
    let (is_told, took) = TestLeader::start(vec![leader(3, address)], true).wait().await;
    assert!(!is_told && took >= ISOLATION, "{took:?}");
}
