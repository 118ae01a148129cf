//! The leader's side of the connections with all daemons.

use {
    crate::{
        LinkMeter, LinkPurpose,
        frame::{EntryBody, EntryFrame, HelloFrame, LeaderBody, LeaderFrame, decode, encode},
        peer_gate::{PeerEvent, PeerGate, PeerPermit, ReservingCodec},
    },
    bytes::{Bytes, BytesMut},
    futures_util::{SinkExt, StreamExt},
    slog::{Logger, info},
    std::{
        io::{self, ErrorKind},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        time::{Instant, sleep, timeout, timeout_at},
    },
    tokio_util::codec::Framed,
};

/// Time without a frame after which a session ends, in milliseconds; heartbeats are far more
/// frequent.
const SILENCE_TIMEOUT_MS: u64 = 3_000;
/// Time within which a frame must be complete, or frames must be taken, in milliseconds. The largest frame
/// takes 8 s on a link of 2 Mbit/s.
const FRAME_TIMEOUT_MS: u64 = 15_000;
/// Maximum length of the name of a daemon's zone, in bytes. It is kept for as long as the session.
const MAX_ZONE_BYTES: usize = 256;
/// Delay after a failed accept, such as for lack of file descriptors, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// Interval of log lines about failed accepts, in seconds.
const ACCEPT_LOG_INTERVAL_S: u64 = 10;
/// Capacity of the outgoing queue of a session; a session whose queue is full ends.
const SESSION_QUEUE: usize = 4_096;
/// Capacity of the queue of frames received for the leader.
const INBOX_QUEUE: usize = 8_192;

/// A frame and the session on which it was received.
#[derive(Debug)]
pub(crate) struct SessionFrame {
    pub(crate) session: u64,
    pub(crate) frame: EntryFrame,
}

#[derive(Debug)]
struct SessionEntry {
    session: u64,
    hello: HelloFrame,
    sender: mpsc::Sender<LeaderFrame>,
}

#[derive(Debug, Default)]
struct RegistryState {
    sessions: Vec<SessionEntry>,
    last_session: u64,
    /// Queue of received frames; `None` while this daemon does not lead.
    inbox: Option<mpsc::Sender<SessionFrame>>,
    /// Term in which this daemon leads.
    leading_term: Option<u64>,
}

/// The sessions of other daemons, and of this one, with this daemon as the leader.
#[derive(Debug, Default)]
pub(crate) struct SessionRegistry {
    state: Mutex<RegistryState>,
    /// Highest term that a later leader has told this daemon to end.
    ended_term: watch::Sender<u64>,
    meter: Arc<LinkMeter>,
    gate: Arc<PeerGate>,
}

impl SessionRegistry {
    pub(crate) fn new(meter: Arc<LinkMeter>) -> Self {
        Self { meter, ..Self::default() }
    }

    /// Sets the gate that admits connections and large frames.
    pub(crate) fn with_gate(self, gate: Arc<PeerGate>) -> Self {
        Self { gate, ..self }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Starts to accept sessions and returns the receiver of their frames; `None` if a later leader has told
    /// this daemon to end the term, which was elected by a write with a late response.
    pub(crate) fn start_leading(&self, term: u64) -> Option<mpsc::Receiver<SessionFrame>> {
        let (sender, receiver) = mpsc::channel(INBOX_QUEUE);
        let mut state = self.lock();
        if *self.ended_term.borrow() >= term {
            return None;
        }
        state.sessions.clear();
        state.inbox = Some(sender);
        state.leading_term = Some(term);
        Some(receiver)
    }

    /// Ends all terms up to this one. Returns whether this daemon leads none of them; if not, its leader is
    /// about to stop. None of them begins here any more.
    pub(crate) fn end_terms(&self, term: u64) -> bool {
        let state = self.lock();
        self.ended_term.send_if_modified(|ended| {
            let is_later = term > *ended;
            *ended = term.max(*ended);
            is_later
        });
        state.leading_term.is_none_or(|own| own > term)
    }

    /// Waits until a later leader has told this daemon to end a term.
    pub(crate) async fn wait_until_ended(&self, term: u64) {
        let mut ended_term = self.ended_term.subscribe();
        // The channel closes only with the registry.
        let _ = ended_term.wait_for(|ended| *ended >= term).await;
    }

    /// Ends every session and accepts no more.
    pub(crate) fn stop_leading(&self) {
        let mut state = self.lock();
        state.inbox = None;
        state.leading_term = None;
        state.sessions.clear();
    }

    /// Adds a session; `None` while this daemon does not lead.
    pub(crate) fn add_session(
        &self,
    ) -> Option<(u64, mpsc::Sender<SessionFrame>, mpsc::Receiver<LeaderFrame>)> {
        let mut state = self.lock();
        let inbox = state.inbox.clone()?;
        state.last_session += 1;
        let session = state.last_session;
        let (sender, receiver) = mpsc::channel(SESSION_QUEUE);
        state.sessions.push(SessionEntry { session, hello: HelloFrame::default(), sender });
        Some((session, inbox, receiver))
    }

    /// Records which daemon a session belongs to and ends any older session of that daemon, whose
    /// frames may still come.
    pub(crate) fn identify_session(&self, session: u64, hello: HelloFrame) {
        let mut state = self.lock();
        let is_other = |entry: &SessionEntry| entry.hello.daemon != hello.daemon;
        state.sessions.retain(|entry| entry.session >= session || is_other(entry));
        if let Some(entry) = state.sessions.iter_mut().find(|entry| entry.session == session) {
            entry.hello = hello;
        }
    }

    pub(crate) fn remove_session(&self, session: u64) {
        self.lock().sessions.retain(|entry| entry.session != session);
    }

    /// Returns the connected daemons.
    pub(crate) fn daemons(&self) -> Vec<HelloFrame> {
        let state = self.lock();
        state
            .sessions
            .iter()
            .map(|entry| entry.hello.clone())
            .filter(|hello| hello.daemon != 0)
            .collect()
    }

    /// Returns the session of a daemon.
    pub(crate) fn session_of(&self, daemon: u64) -> Option<u64> {
        let state = self.lock();
        let entry = state.sessions.iter().find(|entry| entry.hello.daemon == daemon)?;
        Some(entry.session)
    }

    /// Sends a frame on a session if it still exists.
    pub(crate) fn send(&self, session: u64, call: u64, body: &LeaderBody) {
        self.send_where(|entry| entry.session == session, call, body);
    }

    /// Sends a frame to a daemon if it is connected.
    pub(crate) fn send_to_daemon(&self, daemon: u64, body: &LeaderBody) {
        self.send_where(|entry| entry.hello.daemon == daemon, 0, body);
    }

    /// Sends a frame to every daemon.
    pub(crate) fn broadcast(&self, body: &LeaderBody) {
        self.send_where(|_| true, 0, body);
    }

    fn send_where(
        &self,
        is_recipient: impl Fn(&SessionEntry) -> bool,
        call: u64,
        body: &LeaderBody,
    ) {
        let mut state = self.lock();
        // A session whose queue is full belongs to a daemon that reads too slowly, and ends.
        state.sessions.retain(|entry| {
            !is_recipient(entry)
                || entry.sender.try_send(LeaderFrame { call, body: Some(body.clone()) }).is_ok()
        });
    }
}

/// Accepts connections from daemons until the task is dropped.
pub(crate) async fn serve_sessions(
    registry: Arc<SessionRegistry>,
    listener: TcpListener,
    logger: Logger,
) {
    let mut logged: Option<Instant> = None;
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let Some(permit) = registry.gate.admit(&logger) else { continue };
                let (registry, logger) = (registry.clone(), logger.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve_session(&registry, socket, &permit, &logger) => {}
                        () = permit.cut() => {}
                    }
                });
            }
            Err(error) => {
                let interval = Duration::from_secs(ACCEPT_LOG_INTERVAL_S);
                if logged.is_none_or(|logged| logged.elapsed() >= interval) {
                    logged = Some(Instant::now());
                    info!(logger, "accept_failed"; "error" => %error);
                }
                sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// A connection with another daemon.
type PeerStream = Framed<TcpStream, ReservingCodec>;

async fn serve_session(
    registry: &SessionRegistry,
    socket: TcpStream,
    permit: &PeerPermit,
    logger: &Logger,
) {
    let _ = socket.set_nodelay(true);
    let silence_timeout = Duration::from_millis(SILENCE_TIMEOUT_MS);
    let mut framed = Framed::new(socket, permit.codec());
    let first = match timeout(silence_timeout, framed.next()).await {
        Ok(Some(Ok(first))) => first,
        Ok(Some(Err(error))) => return record_failure(registry, &error, logger),
        Ok(None) => return,
        Err(_) => return registry.gate.record(PeerEvent::Silent, logger),
    };
    if let Some(term) = terms_to_end(&first) {
        let body = LeaderBody::TermsEnded(registry.end_terms(term));
        let frame = LeaderFrame { call: 0, body: Some(body) };
        registry.meter.record_received(LinkPurpose::PeerOther, first.len());
        send_last(registry, framed, &frame).await;
        return;
    }
    let Some((session, inbox, mut outgoing)) = registry.add_session() else { return };
    let mut is_open = handle_frame(registry, &inbox, session, first).await;
    if is_open {
        permit.identify();
    }
    let frame_timeout = Duration::from_millis(FRAME_TIMEOUT_MS);
    let mut frame_due = Instant::now() + frame_timeout;
    while is_open {
        tokio::select! {
            // Silence is counted anew after each frame that is sent, but a frame must end in time.
            frame = timeout_at(frame_due.min(Instant::now() + silence_timeout), framed.next()) => {
                is_open = match frame {
                    Ok(Some(Ok(bytes))) => handle_frame(registry, &inbox, session, bytes).await,
                    Ok(Some(Err(error))) => {
                        record_failure(registry, &error, logger);
                        false
                    }
                    Ok(None) => false,
                    Err(_) => {
                        registry.gate.record(PeerEvent::Silent, logger);
                        false
                    }
                };
                frame_due = Instant::now() + frame_timeout;
            }
            frame = outgoing.recv() => {
                let Some(frame) = frame else { break };
                let write = write_frames(registry, &mut framed, frame, &mut outgoing);
                is_open = timeout(frame_timeout, write).await.unwrap_or_else(|_| {
                    registry.gate.record(PeerEvent::FrameUnread, logger);
                    false
                });
            }
        }
    }
    registry.remove_session(session);
}

/// Counts a frame that was refused; other failures are those of the network.
fn record_failure(registry: &SessionRegistry, error: &io::Error, logger: &Logger) {
    if matches!(error.kind(), ErrorKind::QuotaExceeded | ErrorKind::InvalidData) {
        registry.gate.record(PeerEvent::FrameRefused, logger);
    }
}

/// Returns the term up to which the first frame of a connection ends all, if that is what it asks for.
fn terms_to_end(frame: &BytesMut) -> Option<u64> {
    match decode::<EntryFrame>(frame.clone())?.body {
        Some(EntryBody::EndTerms(term)) => Some(term),
        _ => None,
    }
}

/// Writes the only frame of a connection. If that fails, the other daemon asks again.
async fn send_last(registry: &SessionRegistry, mut framed: PeerStream, frame: &LeaderFrame) {
    let bytes = encode(frame);
    registry.meter.record_sent(frame.purpose(), bytes.len());
    let _ = timeout(Duration::from_millis(FRAME_TIMEOUT_MS), framed.send(bytes)).await;
}

/// Writes a frame and all queued ones, then flushes; `false` if the connection failed.
async fn write_frames(
    registry: &SessionRegistry,
    framed: &mut PeerStream,
    first: LeaderFrame,
    outgoing: &mut mpsc::Receiver<LeaderFrame>,
) -> bool {
    let mut next = Some(first);
    while let Some(frame) = next {
        let bytes = encode(&frame);
        registry.meter.record_sent(frame.purpose(), bytes.len());
        if framed.feed(bytes).await.is_err() {
            return false;
        }
        next = outgoing.try_recv().ok();
    }
    SinkExt::<Bytes>::flush(framed).await.is_ok()
}

async fn handle_frame(
    registry: &SessionRegistry,
    inbox: &mpsc::Sender<SessionFrame>,
    session: u64,
    bytes: BytesMut,
) -> bool {
    let length = bytes.len();
    let Some(frame) = decode::<EntryFrame>(bytes) else { return false };
    registry.meter.record_received(frame.purpose(), length);
    if let Some(EntryBody::Hello(hello)) = &frame.body {
        if hello.zone.len() > MAX_ZONE_BYTES {
            return false;
        }
        registry.identify_session(session, hello.clone());
    }
    inbox.send(SessionFrame { session, frame }).await.is_ok()
}

#[cfg(test)]
mod tests;
