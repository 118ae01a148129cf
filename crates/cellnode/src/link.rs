//! A daemon's connection to the leader.

use {
    crate::{
        AdviserGateway,
        frame::{
            AdviceFrame, AskFrame, EntryBody, EntryFrame, HelloFrame, LeaderBody, LeaderFrame,
            ReportFrame, decode, encode, frame_codec,
        },
        hub::{SessionFrame, SessionHub},
        rows::{KnownLeader, LeaderRow},
    },
    damaskrack_cell::{AdviceCallKey, AdviceRequest},
    futures_util::{SinkExt, StreamExt},
    rustc_hash::FxHashMap,
    slog::{Logger, info},
    slotmap::KeyData,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot, watch},
        time::{Instant, interval, sleep, timeout},
    },
    tokio_util::codec::Framed,
};

/// Longest time to connect, in milliseconds.
const CONNECT_LIMIT_MS: u64 = 500;
/// Time between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// Longest silence of the leader, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 1_500;
/// Wait before the next try to connect, in milliseconds.
const RETRY_MS: u64 = 150;
/// Frames that wait to be sent.
const OUTGOING_QUEUE: usize = 4_096;

#[derive(Debug, Default)]
struct LinkState {
    outgoing: Option<mpsc::Sender<EntryFrame>>,
    calls: FxHashMap<u64, oneshot::Sender<LeaderBody>>,
    report: ReportFrame,
    /// Where to tell that the leader of a term has resigned.
    resigned: Option<mpsc::Sender<u64>>,
}

/// The connection to the leader, whoever it is.
pub(crate) struct LeaderLink {
    hello: HelloFrame,
    state: Mutex<LinkState>,
    last_call: AtomicU64,
    adviser: Arc<dyn AdviserGateway>,
    hub: Arc<SessionHub>,
    logger: Logger,
}

impl LeaderLink {
    pub(crate) fn new(
        hello: HelloFrame,
        adviser: Arc<dyn AdviserGateway>,
        hub: Arc<SessionHub>,
        logger: Logger,
    ) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self { hello, state, last_call: AtomicU64::new(0), adviser, hub, logger })
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether a leader is connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.lock().outgoing.is_some()
    }

    /// How the leader stands, as it said last.
    pub(crate) fn report(&self) -> ReportFrame {
        self.lock().report
    }

    /// Returns where terms come out whose leaders have asked this daemon to take over.
    pub(crate) fn resignations(&self) -> mpsc::Receiver<u64> {
        let (sender, receiver) = mpsc::channel(1);
        self.lock().resigned = Some(sender);
        receiver
    }

    /// Tells the leader something; it may be lost.
    pub(crate) fn tell(&self, body: EntryBody) {
        self.send(0, body);
    }

    fn send(&self, call: u64, body: EntryBody) -> bool {
        let frame = EntryFrame { call, body: Some(body) };
        let state = self.lock();
        state.outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(frame).is_ok())
    }

    /// Asks the leader; `None` if it does not answer within `limit_ms` milliseconds.
    pub(crate) async fn ask(&self, body: EntryBody, limit_ms: u64) -> Option<LeaderBody> {
        let call = self.last_call.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        self.lock().calls.insert(call, sender);
        let answer = match self.send(call, body) {
            true => timeout(Duration::from_millis(limit_ms), receiver).await.ok()?.ok(),
            false => None,
        };
        self.lock().calls.remove(&call);
        answer
    }

    /// Keeps the connection to whoever leads, until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>, mut leader: watch::Receiver<Option<KnownLeader>>) {
        loop {
            let row = leader.borrow_and_update().clone().map(|known| known.row);
            let session = async {
                match &row {
                    Some(row) if row.id == self.hello.daemon => self.run_local().await,
                    Some(row) => self.run_remote(row).await,
                    None => std::future::pending().await,
                }
                sleep(Duration::from_millis(RETRY_MS)).await;
            };
            tokio::select! {
                () = session => {}
                _ = leader.changed() => {}
            }
            self.disconnect();
        }
    }

    fn connect(&self) -> mpsc::Receiver<EntryFrame> {
        let (sender, receiver) = mpsc::channel(OUTGOING_QUEUE);
        let hello = EntryFrame { call: 0, body: Some(EntryBody::Hello(self.hello)) };
        // The queue is empty, so the first frame finds room.
        let _ = sender.try_send(hello);
        self.lock().outgoing = Some(sender);
        receiver
    }

    fn disconnect(&self) {
        let mut state = self.lock();
        state.outgoing = None;
        state.calls.clear();
    }

    /// This daemon leads itself.
    async fn run_local(self: &Arc<Self>) {
        let Some((session, inbox, mut incoming)) = self.hub.join() else { return };
        let mut outgoing = self.connect();
        self.hub.name_session(session, self.hello);
        loop {
            tokio::select! {
                frame = outgoing.recv() => {
                    let Some(frame) = frame else { break };
                    if inbox.send(SessionFrame { session, frame }).await.is_err() { break }
                }
                frame = incoming.recv() => {
                    let Some(frame) = frame else { break };
                    self.take(frame);
                }
            }
        }
        self.hub.leave(session);
    }

    async fn run_remote(self: &Arc<Self>, row: &LeaderRow) {
        let limit = Duration::from_millis(CONNECT_LIMIT_MS);
        let Ok(Ok(socket)) = timeout(limit, TcpStream::connect(&row.address)).await else { return };
        let _ = socket.set_nodelay(true);
        info!(self.logger, "leader_connected"; "address" => &row.address, "term" => row.term);
        let mut framed = Framed::new(socket, frame_codec());
        let mut outgoing = self.connect();
        let mut heartbeat = interval(Duration::from_millis(HEARTBEAT_MS));
        let silence = Duration::from_millis(SILENCE_LIMIT_MS);
        let mut heard = Instant::now();
        loop {
            let bytes = tokio::select! {
                frame = framed.next() => {
                    let Some(Ok(bytes)) = frame else { break };
                    let Some(frame) = decode(bytes) else { break };
                    heard = Instant::now();
                    self.take(frame);
                    continue;
                }
                frame = outgoing.recv() => {
                    let Some(frame) = frame else { break };
                    encode(&frame)
                }
                _ = heartbeat.tick() => {
                    if heard.elapsed() > silence { break }
                    let hello = EntryBody::Hello(self.hello);
                    encode(&EntryFrame { call: 0, body: Some(hello) })
                }
            };
            let Ok(Ok(())) = timeout(silence, framed.send(bytes)).await else { break };
        }
        info!(self.logger, "leader_disconnected"; "address" => &row.address, "term" => row.term);
    }

    fn take(self: &Arc<Self>, frame: LeaderFrame) {
        match frame.body {
            Some(LeaderBody::Report(report)) => self.lock().report = report,
            Some(LeaderBody::Resign(term)) => {
                let state = self.lock();
                // One that is not taken yet stands for all.
                let _ = state.resigned.as_ref().map(|resigned| resigned.try_send(term));
            }
            Some(LeaderBody::Ask(ask)) => {
                let link = self.clone();
                tokio::spawn(async move { link.ask_adviser(ask).await });
            }
            Some(body) => {
                let waiting = self.lock().calls.remove(&frame.call);
                // A caller that has given up no longer waits.
                let _ = waiting.map(|waiting| waiting.send(body));
            }
            None => {}
        }
    }

    async fn ask_adviser(&self, ask: AskFrame) {
        let order = AdviceRequest {
            call: AdviceCallKey::from(KeyData::from_ffi(ask.ask)),
            daemon: self.hello.daemon,
            phase: ask.phase,
            workers: ask.workers,
            expected_ms: ask.expected_ms,
        };
        let allowed = self.adviser.request_advice(&order).await;
        let is_answered = allowed.is_some();
        let (workers, tickets) =
            allowed.into_iter().flatten().map(|held| (held.worker, held.ticket)).unzip();
        let answer = AdviceFrame { ask: ask.ask, is_answered, workers, tickets };
        self.tell(EntryBody::Advice(answer));
    }
}
