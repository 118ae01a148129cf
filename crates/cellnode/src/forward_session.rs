//! A daemon's side of forwarding: it sends the leader's requests to workers and to the store and returns
//! what comes of them.
//!
//! A start is authorized by the leader at the time of its frame. A daemon that stood still, or whose
//! connection was slow, must not act on an authorization that may have been withdrawn meanwhile, so it
//! checks the age of the frame just before it calls the worker. The others are safe at any time: a stop
//! only ends what the leader has given up, a renewal names an absolute deadline, and a transaction has
//! no effect unless it is the leader's next one.

use {
    crate::{
        CellStore, StoreError, WorkerGateway, boot_ms,
        forward_frame::{
            EndedFrame, ForwardCall, ForwardFrame, ForwardResult, ForwardedFrame, ForwardedRenewal,
            ForwardedStart, RenewCode, RenewResult, StartCode, StartResult,
        },
        frame::{EntryBody, EntryFrame},
        frame_age::FrameAge,
        payload_cache::{PayloadCache, job_of_task},
        payload_store::PayloadStore,
        running_list::RunningList,
    },
    damaskrack_cell::RenewOutcome,
    rustc_hash::FxHashMap,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::mpsc,
};

/// Delay of a frame on its way from which a start is not sent any more, in milliseconds.
const MAX_START_DELAY_MS: u64 = 300;

#[derive(Debug, Default)]
struct SessionState {
    payloads: PayloadCache,
    /// The lists of running attempts that the leader knows, by worker.
    lists: FxHashMap<String, RunningList>,
}

/// The requests that a leader's session forwards through this daemon.
pub(crate) struct ForwardSession {
    workers: Arc<dyn WorkerGateway>,
    store: Arc<dyn CellStore>,
    payloads: Arc<PayloadStore>,
    outgoing: mpsc::Sender<EntryFrame>,
    age: FrameAge,
    state: Mutex<SessionState>,
}

impl ForwardSession {
    pub(crate) fn new(
        (workers, store): (Arc<dyn WorkerGateway>, Arc<dyn CellStore>),
        payloads: Arc<PayloadStore>,
        outgoing: mpsc::Sender<EntryFrame>,
    ) -> Arc<Self> {
        let (age, state) = (FrameAge::default(), Mutex::default());
        Arc::new(Self { workers, store, payloads, outgoing, age, state })
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records when the leader sent a frame, by its own clock.
    pub(crate) fn record_frame(&self, sent_ms: u64) {
        self.age.delay_ms(sent_ms, boot_ms());
    }

    /// Sends a request to its worker, and the outcome to the leader.
    pub(crate) fn forward(self: &Arc<Self>, frame: ForwardFrame) {
        self.record_frame(frame.sent_ms);
        // Payloads are recorded in the order in which the leader sent them.
        let payload = match &frame.call {
            Some(ForwardCall::Start(start)) => self.payload_of(start),
            _ => None,
        };
        let session = self.clone();
        tokio::spawn(async move { session.call(frame, payload).await });
    }

    fn payload_of(&self, start: &ForwardedStart) -> Option<Arc<str>> {
        let job = job_of_task(&start.task);
        let mut state = self.lock();
        if let Some(payload) = &start.payload {
            state.payloads.insert(job, payload.as_str().into());
        }
        state.payloads.get(job).cloned()
    }

    async fn call(&self, frame: ForwardFrame, payload: Option<Arc<str>>) {
        let ForwardFrame { request, sent_ms, token, address, worker_id, call } = frame;
        match call {
            Some(ForwardCall::Start(start)) => {
                let payload = match payload {
                    None if start.is_payload_stored => {
                        self.payloads.get(job_of_task(&start.task)).await
                    }
                    payload => payload,
                };
                let is_late = self.age.delay_ms(sent_ms, boot_ms()) > MAX_START_DELAY_MS;
                let result = match payload {
                    Some(payload) if !is_late => {
                        let start = start.request(&address, &worker_id, payload);
                        StartResult::from(self.workers.start(&start, token).await)
                    }
                    _ => StartResult { code: StartCode::Unsent as i32, clock_ms: None },
                };
                self.reply(request, ForwardResult::Started(result));
            }
            Some(ForwardCall::Stop(stop)) => {
                let stop = stop.request(&address, &worker_id);
                let is_acknowledged = self.workers.stop(&stop, token).await;
                self.reply(request, ForwardResult::Stopped(is_acknowledged));
            }
            Some(ForwardCall::Renew(renewal)) => {
                self.renew(request, token, (&address, worker_id), renewal).await;
            }
            Some(ForwardCall::Write(write)) => {
                let outcome = match write.decode_transaction() {
                    Some(transaction) => self.store.commit_transaction(&transaction).await,
                    None => Err(StoreError::Refused),
                };
                self.reply(request, ForwardResult::Written(outcome.into()));
            }
            None => {}
        }
    }

    async fn renew(
        &self,
        request: u64,
        token: u64,
        (address, worker_id): (&str, String),
        renewal: ForwardedRenewal,
    ) {
        let renewal = renewal.request(address, &worker_id);
        let outcome = self.workers.renew(&renewal, token).await;
        let mut result =
            RenewResult { code: RenewCode::from(&outcome) as i32, ..RenewResult::default() };
        // A change that is not sent must not be recorded, or the two lists would differ from then on.
        let Ok(permit) = self.outgoing.try_reserve() else { return };
        // Locked until the reply is queued, because the leader applies the changes in that order.
        let mut state = self.lock();
        if let RenewOutcome::Answered(response) = outcome {
            let list = state.lists.entry(worker_id.clone()).or_default();
            result.incarnation = response.incarnation;
            result.clock_ms = response.clock_ms;
            result.ended = response.ended.iter().map(EndedFrame::from).collect();
            result.running = Some(list.diff(&response.running));
            result.is_partial = response.is_partial;
            result.unreadable_end = response.unreadable_end;
            result.worker_id = worker_id;
        }
        permit.send(reply_frame(request, ForwardResult::Renewed(result)));
    }

    fn reply(&self, request: u64, result: ForwardResult) {
        // If the queue is full, the leader's call times out.
        let _ = self.outgoing.try_send(reply_frame(request, result));
    }
}

fn reply_frame(request: u64, result: ForwardResult) -> EntryFrame {
    let frame = ForwardedFrame { request, result: Some(result) };
    EntryFrame { body: Some(EntryBody::Forwarded(frame)), ..EntryFrame::default() }
}

#[cfg(test)]
mod tests;
