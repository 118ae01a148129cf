//! What happens to clients outside the limits, counted each and logged within bounds.

use {
    slog::{Logger, warn},
    std::{
        collections::BTreeMap,
        fmt::{self, Debug, Formatter},
        net::IpAddr,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Interval of log lines about one kind of event, in seconds. A crowd causes thousands of events a second.
const LOG_INTERVAL_S: u64 = 10;

/// A refusal, or the end of a connection or body by the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientEvent {
    /// A new connection was closed because all are taken and none could be closed for it.
    ConnectionRefused,
    /// A connection was closed for a new one.
    ConnectionCut,
    /// A body was refused because its budget, its class's slots or its peer's share is used up.
    BodyRefused,
    /// A body was cut for another one.
    BodyCut,
    /// A body is larger than the limit.
    BodyTooLarge,
    /// A body did not arrive in time.
    BodyLate,
    /// The headers of a request are larger than the limit.
    HeadersTooLarge,
    /// The headers of a request did not arrive in time.
    HeadersLate,
    /// A client did not read its response.
    ResponseUnread,
}

impl ClientEvent {
    /// Returns the name of the event's counter, which is also its name in the log.
    ///
    /// ```
    /// use damaskrack_listen::ClientEvent;
    ///
    /// assert_eq!(ClientEvent::BodyCut.name(), "client.body_cut");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "client.connection_refused",
            Self::ConnectionCut => "client.connection_cut",
            Self::BodyRefused => "client.body_refused",
            Self::BodyCut => "client.body_cut",
            Self::BodyTooLarge => "client.body_too_large",
            Self::BodyLate => "client.body_late",
            Self::HeadersTooLarge => "client.headers_too_large",
            Self::HeadersLate => "client.headers_late",
            Self::ResponseUnread => "client.response_unread",
        }
    }
}

/// Number of events since the last line, and when that was.
#[derive(Debug, Default)]
struct EventLine {
    unlogged: u64,
    logged: Option<Instant>,
}

/// Counts events, and logs each kind at most once in an interval, with the number since the last line.
pub struct ClientEvents {
    listener: &'static str,
    logger: Logger,
    count: Box<dyn Fn(&'static str) + Send + Sync>,
    lines: Mutex<BTreeMap<ClientEvent, EventLine>>,
}

impl Debug for ClientEvents {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientEvents").field("lines", &self.lines).finish_non_exhaustive()
    }
}

impl ClientEvents {
    /// Creates a recorder for the named listener. `count` is called with the name of each event.
    #[must_use]
    pub fn new(
        listener: &'static str,
        logger: Logger,
        count: impl Fn(&'static str) + Send + Sync + 'static,
    ) -> Self {
        Self { listener, logger, count: Box::new(count), lines: Mutex::default() }
    }

    /// Records an event of a client.
    pub fn record(&self, event: ClientEvent, peer: IpAddr) {
        (self.count)(event.name());
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let line = lines.entry(event).or_default();
        line.unlogged += 1;
        let interval = Duration::from_secs(LOG_INTERVAL_S);
        if line.logged.is_some_and(|logged| logged.elapsed() < interval) {
            return;
        }
        line.logged = Some(Instant::now());
        let events = std::mem::take(&mut line.unlogged);
        warn!(self.logger, "client_limit"; "event" => event.name(), "listener" => self.listener,
            "peer" => %peer, "events" => events);
    }
}
