//! The leader's side of the connections to all daemons.

use {
    crate::frame::{
        EntryBody, EntryFrame, HelloFrame, LeaderBody, LeaderFrame, decode, encode, frame_codec,
    },
    bytes::{Bytes, BytesMut},
    futures_util::{SinkExt, StreamExt},
    slog::{Logger, info},
    std::{sync::Mutex, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::timeout,
    },
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Longest silence of a daemon, in milliseconds; its heartbeat is far more frequent.
const SILENCE_LIMIT_MS: u64 = 3_000;
/// Frames that wait to be sent to a daemon; one that reads too slowly is cut off.
const SESSION_QUEUE: usize = 4_096;
/// Frames that wait for the leader.
const INBOX_QUEUE: usize = 8_192;

/// A frame with the session that it came on.
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
struct HubState {
    sessions: Vec<SessionEntry>,
    last_session: u64,
    /// Where frames go; `None` while this daemon does not lead.
    inbox: Option<mpsc::Sender<SessionFrame>>,
}

/// All sessions of this daemon as a leader.
#[derive(Debug, Default)]
pub(crate) struct SessionHub {
    state: Mutex<HubState>,
}

impl SessionHub {
    fn lock(&self) -> std::sync::MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Begins to lead: frames of all sessions come out of the receiver from now on.
    pub(crate) fn open(&self) -> mpsc::Receiver<SessionFrame> {
        let (sender, receiver) = mpsc::channel(INBOX_QUEUE);
        let mut state = self.lock();
        state.sessions.clear();
        state.inbox = Some(sender);
        receiver
    }

    /// Ceases to lead; every session ends.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.inbox = None;
        state.sessions.clear();
    }

    /// Adds a session; `None` while this daemon does not lead.
    pub(crate) fn join(
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

    /// Notes which daemon a session belongs to; an older session of it ends.
    pub(crate) fn name_session(&self, session: u64, hello: HelloFrame) {
        let mut state = self.lock();
        let is_other = |entry: &SessionEntry| entry.hello.daemon != hello.daemon;
        state.sessions.retain(|entry| entry.session == session || is_other(entry));
        if let Some(entry) = state.sessions.iter_mut().find(|entry| entry.session == session) {
            entry.hello = hello;
        }
    }

    pub(crate) fn leave(&self, session: u64) {
        self.lock().sessions.retain(|entry| entry.session != session);
    }

    /// The daemons that are connected.
    pub(crate) fn daemons(&self) -> Vec<HelloFrame> {
        let state = self.lock();
        state.sessions.iter().map(|entry| entry.hello).filter(|hello| hello.daemon != 0).collect()
    }

    /// Sends a frame on a session, if it still exists.
    pub(crate) fn send(&self, session: u64, call: u64, body: &LeaderBody) {
        self.send_where(|entry| entry.session == session, call, body);
    }

    /// Sends a frame to a daemon, if it is connected.
    pub(crate) fn send_to_daemon(&self, daemon: u64, body: &LeaderBody) {
        self.send_where(|entry| entry.hello.daemon == daemon, 0, body);
    }

    /// Sends a frame to every daemon.
    pub(crate) fn broadcast(&self, body: &LeaderBody) {
        self.send_where(|_| true, 0, body);
    }

    fn send_where(&self, wanted: impl Fn(&SessionEntry) -> bool, call: u64, body: &LeaderBody) {
        let mut state = self.lock();
        // A session whose queue is full belongs to a daemon that no longer reads.
        state.sessions.retain(|entry| {
            !wanted(entry)
                || entry.sender.try_send(LeaderFrame { call, body: Some(body.clone()) }).is_ok()
        });
    }
}

/// Accepts connections of daemons until the task is dropped.
pub(crate) async fn serve_hub(
    hub: &std::sync::Arc<SessionHub>,
    listener: TcpListener,
    logger: &Logger,
) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let hub = hub.clone();
                tokio::spawn(async move { serve_session(&hub, socket).await });
            }
            Err(error) => {
                info!(logger, "accept_failed"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_session(hub: &SessionHub, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let Some((session, inbox, mut outgoing)) = hub.join() else { return };
    let mut framed = Framed::new(socket, frame_codec());
    loop {
        let limit = Duration::from_millis(SILENCE_LIMIT_MS);
        tokio::select! {
            frame = timeout(limit, framed.next()) => {
                let Ok(Some(Ok(bytes))) = frame else { break };
                if !take_frame(hub, &inbox, session, bytes).await { break }
            }
            frame = outgoing.recv() => {
                let Some(frame) = frame else { break };
                if !write_frames(&mut framed, frame, &mut outgoing).await { break }
            }
        }
    }
    hub.leave(session);
}

/// Writes a frame and those that wait behind it; `false` if the connection is broken.
async fn write_frames(
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
    first: LeaderFrame,
    outgoing: &mut mpsc::Receiver<LeaderFrame>,
) -> bool {
    let mut next = Some(first);
    while let Some(frame) = next {
        if framed.feed(encode(&frame)).await.is_err() {
            return false;
        }
        next = outgoing.try_recv().ok();
    }
    SinkExt::<Bytes>::flush(framed).await.is_ok()
}

async fn take_frame(
    hub: &SessionHub,
    inbox: &mpsc::Sender<SessionFrame>,
    session: u64,
    bytes: BytesMut,
) -> bool {
    let Some(frame) = decode::<EntryFrame>(bytes) else { return false };
    if let Some(EntryBody::Hello(hello)) = frame.body {
        hub.name_session(session, hello);
    }
    inbox.send(SessionFrame { session, frame }).await.is_ok()
}
