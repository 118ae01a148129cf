//! The leader's calls to workers and its transactions, by itself or through other daemons.

use {
    crate::{
        CellStore, OutsideLinks, StoreError, StoreTransaction, TransactionOutcome, WorkerGateway,
        boot_ms,
        forward_choice::{assign_daemons, choose_by_rendezvous, needs_forwarding},
        forward_frame::{
            ForwardCall, ForwardFrame, ForwardResult, ForwardedFrame, ForwardedRenewal,
            ForwardedStart, ForwardedStop, RenewCode, RenewResult,
        },
        frame::{HelloFrame, LeaderBody},
        payload_cache::{PayloadCache, job_of_task},
        payload_store::PayloadStore,
        running_list::RunningList,
        session_registry::SessionRegistry,
        write_frame::ForwardedWrite,
    },
    async_trait::async_trait,
    damaskrack_cell::{
        EndedAttempt, RenewOutcome, RenewRequest, RenewResponse, StartOutcome, StartRefusal,
        StartRequest, StartResponse, StopRequest, WorkerReport,
    },
    rustc_hash::{FxHashMap, FxHashSet},
    slog::{Logger, info},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Timeout of a start or stop that a daemon forwards, in milliseconds. It exceeds the daemon's own
/// timeout by what two frames take on a slow link.
const CALL_TIMEOUT_MS: u64 = 750;
/// Time added to the wait of a renewal to get the timeout of its forwarding, in milliseconds.
const RENEW_MARGIN_MS: u64 = 900;
/// Timeout of a transaction that a daemon commits, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 1_000;
/// Time for which a daemon that did not respond forwards nothing, in milliseconds.
const AVOID_MS: u64 = 5_000;

/// What came of a forwarded call.
#[derive(Debug)]
enum CallOutcome {
    Start(StartResponse),
    Stop(bool),
    Renew(RenewOutcome),
    Write(Result<TransactionOutcome, StoreError>),
}

/// A call that was sent to a daemon.
#[derive(Debug)]
struct SentCall {
    /// Number of the request.
    request: u64,
    daemon: u64,
    receiver: oneshot::Receiver<CallOutcome>,
}

/// A call that waits for its response.
#[derive(Debug)]
struct WaitingCall {
    session: u64,
    sender: oneshot::Sender<CallOutcome>,
}

/// What the leader and a daemon both know in a session.
#[derive(Debug, Default)]
struct ForwardPeer {
    session: u64,
    payloads: PayloadCache<()>,
    lists: FxHashMap<String, RunningList>,
}

#[derive(Debug, Default)]
struct RouterState {
    workers: Vec<WorkerReport>,
    daemons: Vec<HelloFrame>,
    /// Daemons that did not respond, with the times until which they are avoided.
    avoided: FxHashMap<u64, u64>,
    /// Daemons whose transactions failed, with the times until which they commit none.
    avoided_writers: FxHashMap<u64, u64>,
    /// Daemon that calls a worker, by the worker's id.
    assigned: FxHashMap<String, u64>,
    peers: FxHashMap<u64, ForwardPeer>,
    waiting: FxHashMap<u64, WaitingCall>,
    last_request: u64,
}

/// Calls workers for the leader.
pub(crate) struct ForwardRouter {
    direct: Arc<dyn WorkerGateway>,
    store: Arc<dyn CellStore>,
    payloads: Arc<PayloadStore>,
    registry: Arc<SessionRegistry>,
    /// The leader's own daemon.
    own_id: u64,
    link_bytes_per_s: u64,
    state: Mutex<RouterState>,
    logger: Logger,
}

impl ForwardRouter {
    pub(crate) fn new(
        external: &OutsideLinks,
        registry: Arc<SessionRegistry>,
        own_id: u64,
        link_bytes_per_s: u64,
        logger: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            direct: external.workers.clone(),
            store: external.store.clone(),
            payloads: PayloadStore::new(external.store.clone(), logger.clone()),
            registry,
            own_id,
            link_bytes_per_s,
            state: Mutex::default(),
            logger,
        })
    }

    fn lock(&self) -> MutexGuard<'_, RouterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the leader's link is narrow for its workers.
    pub(crate) fn is_link_narrow(&self) -> bool {
        needs_forwarding(self.link_bytes_per_s, self.lock().workers.len())
    }

    /// Sets the workers.
    pub(crate) fn update_workers(&self, workers: Vec<WorkerReport>) {
        let mut state = self.lock();
        state.workers = workers;
        self.assign(&mut state);
    }

    /// Sets the connected daemons. Calls through others have failed.
    pub(crate) fn update_daemons(&self, daemons: &[HelloFrame]) {
        let now_ms = boot_ms();
        let mut state = self.lock();
        let avoided = state.avoided.len();
        state.avoided.retain(|_, until_ms| *until_ms > now_ms);
        if state.avoided.len() == avoided && state.daemons == daemons {
            return;
        }
        state.daemons = daemons.to_vec();
        state.peers.retain(|daemon, _| daemons.iter().any(|hello| hello.daemon == *daemon));
        let RouterState { peers, waiting, .. } = &mut *state;
        waiting.retain(|_, call| peers.values().any(|peer| peer.session == call.session));
        self.assign(&mut state);
    }

    fn assign(&self, state: &mut RouterState) {
        let was_forwarding = !state.assigned.is_empty();
        state.assigned = match needs_forwarding(self.link_bytes_per_s, state.workers.len()) {
            true => {
                let others = state.daemons.iter().filter(|hello| hello.daemon != self.own_id);
                let others: Vec<HelloFrame> = others.cloned().collect();
                let avoided: FxHashSet<u64> = state.avoided.keys().copied().collect();
                assign_daemons(state.workers.iter(), &others, &avoided)
            }
            false => FxHashMap::default(),
        };
        if was_forwarding == state.assigned.is_empty() {
            info!(self.logger, "forwarding"; "workers" => state.assigned.len(),
                "of" => state.workers.len());
        }
    }

    /// Sends a call to the daemon that calls the worker; `None` if there is none.
    fn send(
        &self,
        (address, worker_id): (&str, &str),
        token: u64,
        build: impl FnOnce(&mut ForwardPeer) -> ForwardCall,
    ) -> Option<SentCall> {
        let mut state = self.lock();
        let daemon = *state.assigned.get(worker_id)?;
        self.send_to(&mut state, daemon, (address, worker_id), token, build)
    }

    fn send_to(
        &self,
        state: &mut RouterState,
        daemon: u64,
        (address, worker_id): (&str, &str),
        token: u64,
        build: impl FnOnce(&mut ForwardPeer) -> ForwardCall,
    ) -> Option<SentCall> {
        let session = self.registry.session_of(daemon)?;
        state.last_request += 1;
        let request = state.last_request;
        let peer = state.peers.entry(daemon).or_default();
        if peer.session != session {
            *peer = ForwardPeer { session, ..ForwardPeer::default() };
        }
        let frame = ForwardFrame {
            request,
            sent_ms: boot_ms(),
            token,
            address: address.to_owned(),
            worker_id: worker_id.to_owned(),
            call: Some(build(peer)),
        };
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(request, WaitingCall { session, sender });
        // A session whose queue is full has ended, and the call fails with it.
        self.registry.send(session, 0, &LeaderBody::Forward(frame));
        Some(SentCall { request, daemon, receiver })
    }

    /// Waits for the outcome of a call; `None` if the daemon does not respond in time.
    async fn wait(
        &self,
        SentCall { request, daemon, receiver }: SentCall,
        timeout_ms: u64,
    ) -> Option<CallOutcome> {
        let outcome = timeout(Duration::from_millis(timeout_ms), receiver).await;
        if let Ok(Ok(outcome)) = outcome {
            return Some(outcome);
        }
        let mut state = self.lock();
        state.waiting.remove(&request);
        if state.avoided.insert(daemon, boot_ms() + AVOID_MS).is_none() {
            info!(self.logger, "forwarder_silent"; "daemon" => daemon, "timeout_ms" => timeout_ms);
            self.assign(&mut state);
        }
        None
    }

    /// Commits a transaction of a lane. A daemon whose store calls fail commits no more for a while.
    ///
    /// # Errors
    ///
    /// Returns why the transaction may not have taken effect.
    pub(crate) async fn commit(
        &self,
        lane: usize,
        transaction: &StoreTransaction,
    ) -> Result<TransactionOutcome, StoreError> {
        let Some(call) = self.send_write(lane, transaction) else {
            return self.store.commit_transaction(transaction).await;
        };
        let daemon = call.daemon;
        let outcome = match self.wait(call, WRITE_TIMEOUT_MS).await {
            Some(CallOutcome::Write(outcome)) => outcome,
            _ => Err(StoreError::Unknown),
        };
        if outcome.as_ref().is_err_and(|error| *error != StoreError::Invalid) {
            self.lock().avoided_writers.insert(daemon, boot_ms() + AVOID_MS);
        }
        outcome
    }

    fn send_write(&self, lane: usize, transaction: &StoreTransaction) -> Option<SentCall> {
        let mut state = self.lock();
        let now_ms = boot_ms();
        state.avoided_writers.retain(|_, until_ms| *until_ms > now_ms);
        let daemon = state.writer_of(lane, self.own_id)?;
        let write = ForwardedWrite::encode(transaction)?;
        self.send_to(&mut state, daemon, ("", ""), 0, |_| ForwardCall::Write(write))
    }

    async fn start_directly(&self, request: &StartRequest, token: u64) -> StartResponse {
        if request.payload.is_some() {
            return self.direct.start(request, token).await;
        }
        match self.payloads.get(job_of_task(&request.task)).await {
            None => StartOutcome::Refused(StartRefusal::Unsent).into(),
            payload => {
                let request = StartRequest { payload, ..request.clone() };
                self.direct.start(&request, token).await
            }
        }
    }

    /// Handles a daemon's response.
    pub(crate) fn receive(&self, session: u64, frame: ForwardedFrame) {
        let mut state = self.lock();
        let outcome = match frame.result {
            Some(ForwardResult::Started(result)) => CallOutcome::Start(StartResponse::from(result)),
            Some(ForwardResult::Stopped(is_acknowledged)) => CallOutcome::Stop(is_acknowledged),
            Some(ForwardResult::Written(result)) => CallOutcome::Write(result.into()),
            Some(ForwardResult::Renewed(result)) => {
                let Some(peer) = state.peers.values_mut().find(|peer| peer.session == session)
                else {
                    return;
                };
                CallOutcome::Renew(peer.renew_outcome(result))
            }
            None => return,
        };
        if let Some(call) = state.waiting.remove(&frame.request) {
            // Fails if the call has timed out.
            let _ = call.sender.send(outcome);
        }
    }
}

impl RouterState {
    /// Returns the daemon that commits the transactions of a lane; `None` if the leader does.
    fn writer_of(&self, lane: usize, own_id: u64) -> Option<u64> {
        // Workers are assigned to daemons only if the leader's link is narrow.
        if self.assigned.is_empty() {
            return None;
        }
        let is_usable = |hello: &&HelloFrame| {
            hello.daemon != own_id
                && !hello.is_leaving
                && !self.avoided.contains_key(&hello.daemon)
                && !self.avoided_writers.contains_key(&hello.daemon)
        };
        choose_by_rendezvous(self.daemons.iter().filter(is_usable).map(|hello| hello.daemon), lane)
    }
}

impl ForwardPeer {
    fn renew_outcome(&mut self, result: RenewResult) -> RenewOutcome {
        match result.code() {
            RenewCode::Answered => {
                let list = self.lists.entry(result.worker_id).or_default();
                RenewOutcome::Answered(RenewResponse {
                    incarnation: result.incarnation,
                    clock_ms: result.clock_ms,
                    running: list.apply(result.running.unwrap_or_default()),
                    ended: result.ended.into_iter().map(EndedAttempt::from).collect(),
                    is_partial: result.is_partial,
                    unreadable_end: result.unreadable_end,
                })
            }
            RenewCode::Fenced => RenewOutcome::Fenced,
            RenewCode::Incarnation => RenewOutcome::Incarnation,
            RenewCode::Unknown => RenewOutcome::Unknown,
        }
    }

    fn start_call(&mut self, request: &StartRequest) -> ForwardCall {
        let payload = request.payload.as_ref().and_then(|payload| {
            let job = job_of_task(&request.task);
            let is_known = self.payloads.get(job).is_some();
            if !is_known {
                self.payloads.insert(job, ());
            }
            (!is_known).then(|| payload.to_string())
        });
        ForwardCall::Start(ForwardedStart {
            task: request.task.clone(),
            number: request.number,
            deadline_ms: request.deadline_ms,
            checkpoint: request.checkpoint.clone(),
            ticket: request.ticket.clone(),
            payload,
            is_payload_stored: request.payload.is_none(),
            incarnation: request.incarnation,
        })
    }
}

#[async_trait]
impl WorkerGateway for ForwardRouter {
    async fn start(&self, request: &StartRequest, token: u64) -> StartResponse {
        let target = (&*request.address, &*request.worker_id);
        let Some(call) = self.send(target, token, |peer| peer.start_call(request)) else {
            return self.start_directly(request, token).await;
        };
        match self.wait(call, CALL_TIMEOUT_MS).await {
            Some(CallOutcome::Start(response)) => response,
            _ => StartOutcome::Unknown.into(),
        }
    }

    async fn stop(&self, request: &StopRequest, token: u64) -> bool {
        let target = (&*request.address, &*request.worker_id);
        let stop = ForwardedStop {
            task: request.task.clone(),
            number: request.number,
            incarnation: request.incarnation,
        };
        let Some(call) = self.send(target, token, |_| ForwardCall::Stop(stop)) else {
            return self.direct.stop(request, token).await;
        };
        matches!(self.wait(call, CALL_TIMEOUT_MS).await, Some(CallOutcome::Stop(true)))
    }

    async fn renew(&self, request: &RenewRequest, token: u64) -> RenewOutcome {
        let target = (&*request.address, &*request.worker_id);
        let renewal = ForwardedRenewal {
            deadline_ms: request.deadline_ms,
            last_durable_end: request.last_durable_end,
            wait_ms: request.wait_ms,
            incarnation: request.incarnation,
        };
        let Some(call) = self.send(target, token, |_| ForwardCall::Renew(renewal)) else {
            return self.direct.renew(request, token).await;
        };
        match self.wait(call, request.wait_ms + RENEW_MARGIN_MS).await {
            Some(CallOutcome::Renew(outcome)) => outcome,
            _ => RenewOutcome::Unknown,
        }
    }
}
