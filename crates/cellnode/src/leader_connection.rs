//! A daemon's connection to the current leader.

use {
    crate::{
        AdviserGateway, CellStore, OutsideLinks, WorkerGateway,
        call_table::CallTable,
        forward_session::ForwardSession,
        frame::{
            AdviceRequestFrame, AdviceResponseFrame, EntryBody, EntryFrame, HelloFrame, LeaderBody,
            LeaderFrame, LeaderStatusFrame, decode, encode, frame_codec,
        },
        payload_store::PayloadStore,
        rows::{KnownLeader, LeaderRow},
        session_registry::{SessionFrame, SessionRegistry},
    },
    damaskrack_cell::{AdviceCallKey, AdviceRequest, JobCaller},
    futures_util::{SinkExt, StreamExt},
    slog::{Logger, info},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, watch},
        time::{Instant, interval, sleep, timeout},
    },
    tokio_util::codec::Framed,
};

/// Timeout for connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Interval between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// Time without a frame from the leader after which the connection is closed, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 1_500;
/// Delay before reconnecting, in milliseconds.
const RETRY_MS: u64 = 150;
/// Capacity of the queue of outgoing frames.
const OUTGOING_QUEUE: usize = 4_096;

#[derive(Debug, Default)]
struct ConnectionState {
    outgoing: Option<mpsc::Sender<EntryFrame>>,
    status: LeaderStatusFrame,
    /// The leader has sent its status on this connection, so it has read the state.
    is_leader_serving: bool,
    /// Queue of the terms whose leaders ask this daemon to take over.
    transfer_requests: Option<mpsc::Sender<u64>>,
}

/// The connection to the leader, which follows each change of leader.
pub(crate) struct LeaderConnection {
    hello: HelloFrame,
    state: Mutex<ConnectionState>,
    calls: CallTable,
    is_leaving: AtomicBool,
    adviser: Arc<dyn AdviserGateway>,
    workers: Arc<dyn WorkerGateway>,
    store: Arc<dyn CellStore>,
    payloads: Arc<PayloadStore>,
    registry: Arc<SessionRegistry>,
    logger: Logger,
}

impl std::fmt::Debug for LeaderConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LeaderConnection")
    }
}

impl LeaderConnection {
    pub(crate) fn new(
        hello: HelloFrame,
        external: &OutsideLinks,
        registry: Arc<SessionRegistry>,
        is_link_narrow: bool,
        logger: Logger,
    ) -> Arc<Self> {
        // Until a leader has sent its status, it is taken for a host like this one.
        let status = LeaderStatusFrame { is_link_narrow, ..LeaderStatusFrame::default() };
        Arc::new(Self {
            hello,
            state: Mutex::new(ConnectionState { status, ..ConnectionState::default() }),
            calls: CallTable::default(),
            is_leaving: AtomicBool::new(false),
            adviser: external.adviser.clone(),
            workers: external.workers.clone(),
            store: external.store.clone(),
            payloads: PayloadStore::new(external.store.clone(), logger.clone()),
            registry,
            logger,
        })
    }

    /// Tells the leader that this daemon is shutting down.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.notify(EntryBody::Hello(self.hello()));
    }

    fn hello(&self) -> HelloFrame {
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        HelloFrame { is_leaving, ..self.hello.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a leader is connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.lock().outgoing.is_some()
    }

    /// Returns whether a leader is connected that has read the state and responds to requests.
    pub(crate) fn is_leader_serving(&self) -> bool {
        self.lock().is_leader_serving
    }

    /// Returns the last status that a leader sent.
    pub(crate) fn leader_status(&self) -> LeaderStatusFrame {
        self.lock().status
    }

    /// Returns a receiver of the terms whose leaders ask this daemon to take over.
    pub(crate) fn transfer_requests(&self) -> mpsc::Receiver<u64> {
        let (sender, receiver) = mpsc::channel(1);
        self.lock().transfer_requests = Some(sender);
        receiver
    }

    /// Sends a message to whoever leads, without waiting for a response; it may be lost. A response to a
    /// request of a leader must have its `RequestNumber`.
    pub(crate) fn notify(&self, body: EntryBody) {
        self.send(0, body, None);
    }

    fn send(&self, call: u64, body: EntryBody, caller: Option<JobCaller>) -> bool {
        let frame = EntryFrame { call, body: Some(body), caller };
        let state = self.lock();
        state.outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(frame).is_ok())
    }

    /// Sends a request to the leader; `None` if no response arrives within `timeout_ms`
    /// milliseconds.
    pub(crate) async fn request(&self, body: EntryBody, timeout_ms: u64) -> Option<LeaderBody> {
        self.request_for(None, body, timeout_ms).await
    }

    /// Sends a caller's request about a job to the leader; `None` if no response arrives within `timeout_ms`
    /// milliseconds.
    pub(crate) async fn request_for(
        &self,
        caller: Option<JobCaller>,
        body: EntryBody,
        timeout_ms: u64,
    ) -> Option<LeaderBody> {
        let call = self.calls.add();
        match self.send(call.number(), body, caller) {
            true => call.wait(timeout_ms).await,
            false => None,
        }
    }

    /// Connects to the current leader, and to each later one, until the task is dropped.
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
        let hello = hello_frame(self.hello());
        // Cannot fail: the queue is empty.
        let _ = sender.try_send(hello);
        self.lock().outgoing = Some(sender);
        receiver
    }

    fn disconnect(&self) {
        let mut state = self.lock();
        state.outgoing = None;
        state.is_leader_serving = false;
        self.calls.clear();
    }

    /// Exchanges frames in memory while this daemon leads.
    async fn run_local(self: &Arc<Self>) {
        let Some((session, inbox, mut incoming)) = self.registry.add_session() else { return };
        let mut outgoing = self.connect();
        self.registry.identify_session(session, self.hello());
        loop {
            tokio::select! {
                frame = outgoing.recv() => {
                    let Some(frame) = frame else { break };
                    if inbox.send(SessionFrame { session, frame }).await.is_err() { break }
                }
                frame = incoming.recv() => {
                    let Some(frame) = frame else { break };
                    // A leader forwards nothing through its own daemon.
                    self.handle_frame(frame, None);
                }
            }
        }
        self.registry.remove_session(session);
    }

    async fn run_remote(self: &Arc<Self>, row: &LeaderRow) {
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let Ok(Ok(socket)) = timeout(connect_timeout, TcpStream::connect(&row.address)).await
        else {
            return;
        };
        let _ = socket.set_nodelay(true);
        info!(self.logger, "leader_connected"; "address" => &row.address, "term" => row.term);
        let mut framed = Framed::new(socket, frame_codec());
        let mut outgoing = self.connect();
        let forwarding = self.lock().outgoing.clone().map(|outgoing| {
            ForwardSession::new(
                (self.workers.clone(), self.store.clone()),
                self.payloads.clone(),
                outgoing,
            )
        });
        let mut heartbeat = interval(Duration::from_millis(HEARTBEAT_MS));
        let silence_timeout = Duration::from_millis(SILENCE_TIMEOUT_MS);
        let mut last_frame_at = Instant::now();
        loop {
            let bytes = tokio::select! {
                frame = framed.next() => {
                    let Some(Ok(bytes)) = frame else { break };
                    let Some(frame) = decode(bytes) else { break };
                    last_frame_at = Instant::now();
                    self.handle_frame(frame, forwarding.as_ref());
                    continue;
                }
                frame = outgoing.recv() => {
                    let Some(frame) = frame else { break };
                    encode(&frame)
                }
                _ = heartbeat.tick() => {
                    if last_frame_at.elapsed() > silence_timeout { break }
                    encode(&hello_frame(self.hello()))
                }
            };
            let Ok(Ok(())) = timeout(silence_timeout, framed.send(bytes)).await else { break };
        }
        info!(self.logger, "leader_disconnected"; "address" => &row.address, "term" => row.term);
    }

    fn handle_frame(
        self: &Arc<Self>,
        frame: LeaderFrame,
        forwarding: Option<&Arc<ForwardSession>>,
    ) {
        match frame.body {
            Some(LeaderBody::Status(status)) => {
                if let Some(forwarding) = forwarding {
                    forwarding.record_frame(status.sent_ms);
                }
                let mut state = self.lock();
                state.status = status;
                state.is_leader_serving = true;
            }
            Some(LeaderBody::Forward(request)) => {
                if let Some(forwarding) = forwarding {
                    forwarding.forward(request);
                }
            }
            Some(LeaderBody::TransferLeadership(term)) => {
                let state = self.lock();
                // If a request is queued already, this one adds nothing.
                let _ = state
                    .transfer_requests
                    .as_ref()
                    .map(|transfer_requests| transfer_requests.try_send(term));
            }
            Some(LeaderBody::RequestAdvice(request)) => {
                let connection = self.clone();
                tokio::spawn(async move { connection.forward_to_adviser(request).await });
            }
            Some(body) => self.calls.respond(frame.call, body),
            None => {}
        }
    }

    async fn forward_to_adviser(&self, frame: AdviceRequestFrame) {
        let request = AdviceRequest {
            // Only the leader knows the call by its key.
            call: AdviceCallKey::default(),
            daemon: self.hello.daemon,
            phase: frame.phase,
            workers: frame.workers,
            expected_ms: frame.expected_ms,
        };
        let allowed = self.adviser.request_advice(&request).await;
        let is_answered = allowed.is_some();
        let (workers, tickets) =
            allowed.into_iter().flatten().map(|allowed| (allowed.worker, allowed.ticket)).unzip();
        let response =
            AdviceResponseFrame { request: frame.request, is_answered, workers, tickets };
        self.notify(EntryBody::AdviceResponse(response));
    }
}

fn hello_frame(hello: HelloFrame) -> EntryFrame {
    EntryFrame { body: Some(EntryBody::Hello(hello)), ..EntryFrame::default() }
}
