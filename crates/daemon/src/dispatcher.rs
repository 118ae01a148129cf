//! Passes requests from the HTTP handlers to the driver.

use {
    crate::{
        calls::{CallResponse, CallTable},
        control::ControlRequest,
        inbox::InboxSender,
        metrics::MetricRegistry,
    },
    damaskrack_model::{AnswerReason, ClockTime, OutcomeKind, WorkAnswer},
    damaskrack_node::{CallerRequest, NodeInput, OperatorRequest},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc::error::TrySendError, oneshot},
        time::timeout,
    },
};

/// Time without a tick after which the health check fails, in milliseconds.
const LIVENESS_TIMEOUT_MS: u64 = 5_000;
/// Timeout of a state dump, in milliseconds.
const DUMP_TIMEOUT_MS: u64 = 2_000;
/// Timeout for queueing an operator's request, in milliseconds.
const OPERATOR_QUEUE_TIMEOUT_MS: u64 = 1_000;

/// Passes requests to the driver and the responses back to the HTTP handlers.
#[derive(Debug)]
pub(crate) struct CallDispatcher {
    inbox: InboxSender,
    calls: Mutex<CallTable>,
    metrics: Arc<MetricRegistry>,
    is_ready: AtomicBool,
    is_shutting_down: AtomicBool,
    is_closed: AtomicBool,
    last_tick_ms: AtomicU64,
}

impl CallDispatcher {
    /// Creates a dispatcher for up to `capacity` waiting requests. The start counts as a tick, so that
    /// the health check succeeds before the first one.
    pub(crate) fn new(
        inbox: InboxSender,
        metrics: Arc<MetricRegistry>,
        capacity: usize,
        started: ClockTime,
    ) -> Self {
        Self {
            inbox,
            calls: Mutex::new(CallTable::new(capacity)),
            metrics,
            is_ready: AtomicBool::new(false),
            is_shutting_down: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            last_tick_ms: AtomicU64::new(started.0),
        }
    }

    /// Sends a caller's request to the core and waits for the response.
    pub(crate) async fn dispatch_caller(&self, request: CallerRequest) -> WorkAnswer {
        if self.is_closed.load(Ordering::Acquire) {
            return shutting_down();
        }
        let Some((number, receiver)) = self.lock_calls().open() else {
            self.metrics.count("caller.shed", 1);
            return overloaded("too many requests wait for an answer");
        };
        let guard = CallGuard { dispatcher: self, number };
        let input = NodeInput::Caller { call: number, request };
        if let Err(error) = self.inbox.callers.try_send(input) {
            guard.discard();
            self.metrics.count("caller.shed", 1);
            return match error {
                TrySendError::Full(_) => overloaded("too many requests wait to be looked at"),
                TrySendError::Closed(_) => shutting_down(),
            };
        }
        match receiver.await {
            Ok(response) => response.answer,
            Err(_) => stopped(),
        }
    }

    /// Sends an operator's request to the core and waits for the response.
    pub(crate) async fn dispatch_operator(&self, request: OperatorRequest) -> CallResponse {
        let Some((number, receiver)) = self.lock_calls().open() else {
            let answer = overloaded("too many requests wait for an answer");
            return CallResponse { version: 0, answer };
        };
        let guard = CallGuard { dispatcher: self, number };
        let input = NodeInput::Operator { call: number, request };
        let send = self.inbox.system.send(input);
        match timeout(Duration::from_millis(OPERATOR_QUEUE_TIMEOUT_MS), send).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => {
                guard.discard();
                return CallResponse { version: 0, answer: shutting_down() };
            }
            Err(_) => {
                guard.discard();
                return CallResponse { version: 0, answer: overloaded("the daemon is busy") };
            }
        }
        receiver.await.unwrap_or_else(|_| CallResponse { version: 0, answer: stopped() })
    }

    /// Returns the state dump, as JSON; `None` if the driver is too busy or has stopped.
    pub(crate) async fn dump(&self) -> Option<serde_json::Value> {
        let (sender, receiver) = oneshot::channel();
        self.inbox.control.try_send(ControlRequest::Dump(sender)).ok()?;
        timeout(Duration::from_millis(DUMP_TIMEOUT_MS), receiver).await.ok()?.ok()
    }

    /// Delivers a response to the handler of its request. Returns whether the handler still waited.
    pub(crate) fn respond(&self, number: u64, response: CallResponse) -> bool {
        let sender = self.lock_calls().close(number);
        sender.is_some_and(|sender| sender.send(response).is_ok())
    }

    /// Records the time of a tick and the core's readiness.
    pub(crate) fn record_tick(&self, now: ClockTime, is_ready: bool) {
        self.last_tick_ms.store(now.0, Ordering::Release);
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Records that the daemon is shutting down.
    pub(crate) fn begin_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Release);
        self.is_ready.store(false, Ordering::Release);
    }

    /// Tells whether the daemon is shutting down, so that callers should use another one.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.load(Ordering::Acquire)
    }

    /// Refuses every further request of a caller.
    pub(crate) fn close(&self) {
        self.begin_shutdown();
        self.is_closed.store(true, Ordering::Release);
    }

    /// Tells whether the daemon should receive callers' requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire) && !self.is_shutting_down()
    }

    /// Tells whether the driver has ticked within the liveness timeout.
    pub(crate) fn is_alive(&self, now: ClockTime) -> bool {
        now.since(ClockTime(self.last_tick_ms.load(Ordering::Acquire))) < LIVENESS_TIMEOUT_MS
    }

    /// Returns the number of requests that wait for a response.
    pub(crate) fn calls_in_flight(&self) -> usize {
        self.lock_calls().len()
    }

    fn lock_calls(&self) -> MutexGuard<'_, CallTable> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells the core that a caller has disconnected before its response arrived.
struct CallGuard<'a> {
    dispatcher: &'a CallDispatcher,
    number: u64,
}

impl CallGuard<'_> {
    /// Removes the call without telling the core, which has not seen it.
    fn discard(self) {
        self.dispatcher.lock_calls().close(self.number);
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let was_waiting = self.dispatcher.lock_calls().close(self.number).is_some();
        if was_waiting {
            self.dispatcher.metrics.count("caller.gone", 1);
            // If the queue is full, the core's response is dropped when it comes.
            let disconnected = NodeInput::CallerDisconnected { call: self.number };
            let _ = self.dispatcher.inbox.callers.try_send(disconnected);
        }
    }
}

fn overloaded(detail: &str) -> WorkAnswer {
    WorkAnswer::refused(AnswerReason::Overloaded, detail)
}

fn shutting_down() -> WorkAnswer {
    WorkAnswer::refused(AnswerReason::Leaving, "the daemon is shutting down")
}

fn stopped() -> WorkAnswer {
    let detail = "the daemon stopped before it had the answer";
    WorkAnswer::new(OutcomeKind::Unknown, AnswerReason::Lost, detail)
}
