//! Carries out the decisions of the connection and body tables for one listener.

use {
    crate::{
        BodyId, BodyLimits, BodyRequest, BodyTable, BodyVerdict, ClientEvent, ClientEvents,
        ConnectionId, ConnectionLimits, ConnectionPhase, ConnectionTable, ConnectionVerdict,
    },
    std::{
        collections::BTreeMap,
        net::IpAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout},
    tokio_util::sync::CancellationToken,
};

/// Interval at which a waiting body asks again, in milliseconds: bodies may be cut once they have stalled,
/// and a stall raises no notification.
const RETRY_MS: u64 = 100;

#[derive(Debug)]
struct GateState {
    connections: ConnectionTable,
    bodies: BodyTable,
    connection_cuts: BTreeMap<ConnectionId, CutSignal>,
    body_cuts: BTreeMap<BodyId, CutSignal>,
}

/// Tells a connection or body that it has been chosen to be closed.
#[derive(Debug, Clone)]
struct CutSignal {
    peer: IpAddr,
    token: CancellationToken,
}

impl CutSignal {
    fn new(peer: IpAddr) -> Self {
        Self { peer, token: CancellationToken::new() }
    }
}

/// Admits the connections and bodies of a listener.
#[derive(Debug)]
pub struct ClientGate {
    state: Mutex<GateState>,
    /// Notified when reserved bytes or slots of bodies have been freed.
    released: Notify,
    events: ClientEvents,
    started: Instant,
}

/// A body was refused because there was no space for it. It was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyRefused;

impl ClientGate {
    /// Creates a gate without connections.
    #[must_use]
    pub fn new(
        connections: ConnectionLimits,
        bodies: BodyLimits,
        events: ClientEvents,
    ) -> Arc<Self> {
        let state = GateState {
            connections: ConnectionTable::new(connections),
            bodies: BodyTable::new(bodies),
            connection_cuts: BTreeMap::new(),
            body_cuts: BTreeMap::new(),
        };
        let (released, started) = (Notify::new(), Instant::now());
        Arc::new(Self { state: Mutex::new(state), released, events, started })
    }

    /// Admits a connection, or returns `None`. A connection that is closed for it learns so by its
    /// [`ConnectionGuard::cut`].
    ///
    /// ```
    /// use damaskrack_listen::{ClientEvents, ClientGate, ClientLimits, ConnectionLimits, HostResources};
    ///
    /// let bodies = ClientLimits::for_host(HostResources::default())?.bodies;
    /// let logger = slog::Logger::root(slog::Discard, slog::o!());
    /// let events = ClientEvents::new("callers", logger, |_| {});
    /// let gate = ClientGate::new(ConnectionLimits::of(1), bodies, events);
    /// let peer = [127, 0, 0, 1].into();
    /// let first = gate.admit(peer);
    /// assert!(first.is_some() && gate.admit(peer).is_none());
    /// drop(first);
    /// assert!(gate.admit(peer).is_some());
    /// # Ok::<(), damaskrack_listen::LimitFault>(())
    /// ```
    pub fn admit(self: &Arc<Self>, peer: IpAddr) -> Option<ConnectionGuard> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let id = match state.connections.admit(peer, now_ms) {
            ConnectionVerdict::Admit(id) => id,
            ConnectionVerdict::Replace { admitted, cut } => {
                if let Some(signal) = state.connection_cuts.get(&cut) {
                    signal.token.cancel();
                    self.events.record(ClientEvent::ConnectionCut, signal.peer);
                }
                admitted
            }
            ConnectionVerdict::Refuse => {
                self.events.record(ClientEvent::ConnectionRefused, peer);
                return None;
            }
        };
        let signal = CutSignal::new(peer);
        let cut = signal.token.clone();
        state.connection_cuts.insert(id, signal);
        let handle = ConnectionHandle { gate: self.clone(), id, peer };
        Some(ConnectionGuard { handle, cut })
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Asks once for a body; `None` if it has to wait.
    fn request_body(
        self: &Arc<Self>,
        request: BodyRequest,
    ) -> Option<Result<BodyGuard, BodyRefused>> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        match state.bodies.request(request, now_ms) {
            BodyVerdict::Admit(id) => {
                let signal = CutSignal::new(request.peer);
                let cut = signal.token.clone();
                state.body_cuts.insert(id, signal);
                Some(Ok(BodyGuard { gate: self.clone(), id, cut }))
            }
            BodyVerdict::Wait { cut } => {
                if let Some(signal) = cut.and_then(|id| state.body_cuts.get(&id)) {
                    signal.token.cancel();
                    self.events.record(ClientEvent::BodyCut, signal.peer);
                }
                None
            }
            BodyVerdict::Refuse => Some(Err(BodyRefused)),
        }
    }
}

/// An admitted connection, which is counted until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    handle: ConnectionHandle,
    cut: CancellationToken,
}

impl ConnectionGuard {
    /// Returns a handle for the connection's requests.
    #[must_use]
    pub fn handle(&self) -> ConnectionHandle {
        self.handle.clone()
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn cut(&self) {
        self.cut.cancelled().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.handle.gate.lock();
        state.connections.remove(self.handle.id);
        state.connection_cuts.remove(&self.handle.id);
    }
}

/// What the requests of a connection tell its gate.
#[derive(Debug, Clone)]
pub struct ConnectionHandle {
    gate: Arc<ClientGate>,
    id: ConnectionId,
    peer: IpAddr,
}

impl ConnectionHandle {
    /// Records what the connection does from now on.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        let now_ms = self.gate.now_ms();
        self.gate.lock().connections.set_phase(self.id, phase, now_ms);
    }

    /// Records an event of the connection.
    pub fn record(&self, event: ClientEvent) {
        self.gate.events.record(event, self.peer);
    }

    /// Returns the largest body that the budgets allow, in bytes.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        self.gate.lock().bodies.limits().large.peer_bytes
    }

    /// Returns the largest body that counts as small, in bytes.
    #[must_use]
    pub fn small_body_bytes(&self) -> usize {
        self.gate.lock().bodies.limits().small_bytes
    }

    /// Waits until a body of up to `bytes` bytes may be received.
    ///
    /// # Errors
    ///
    /// Fails if there has been no space for it for a while.
    pub async fn admit_body(&self, bytes: usize) -> Result<BodyGuard, BodyRefused> {
        let started = Instant::now();
        loop {
            let waited_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            let request = BodyRequest { peer: self.peer, bytes, waited_ms };
            match self.gate.request_body(request) {
                Some(Ok(guard)) => return Ok(guard),
                Some(Err(refused)) => {
                    self.record(ClientEvent::BodyRefused);
                    return Err(refused);
                }
                None => {}
            }
            let retry = Duration::from_millis(RETRY_MS);
            let _ = timeout(retry, self.gate.released.notified()).await;
        }
    }
}

/// An admitted body, whose bytes are reserved until it is dropped.
#[derive(Debug)]
pub struct BodyGuard {
    gate: Arc<ClientGate>,
    id: BodyId,
    cut: CancellationToken,
}

impl BodyGuard {
    /// Records that bytes of the body have arrived.
    pub fn record_progress(&self) {
        let now_ms = self.gate.now_ms();
        self.gate.lock().bodies.record_progress(self.id, now_ms);
    }

    /// Records that the body is complete with so many bytes. Returns whether it may be worked on; otherwise
    /// it has been chosen to be cut.
    #[must_use]
    pub fn complete(&self, bytes: usize) -> bool {
        let is_accepted = self.gate.lock().bodies.complete(self.id, bytes);
        self.gate.released.notify_one();
        is_accepted
    }

    /// Waits until the body is to be cut for another one.
    pub async fn cut(&self) {
        self.cut.cancelled().await;
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.bodies.remove(self.id);
        state.body_cuts.remove(&self.id);
        drop(state);
        self.gate.released.notify_one();
    }
}
