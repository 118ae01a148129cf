//! The single task that owns the core.
//!
//! The core is single-threaded by design, so its tables need no locks. The driver passes the inputs
//! that have arrived to the core and spawns a task for each action that takes time; it never waits
//! for anything but its inbox.

use {
    crate::{
        NodeCore,
        calls::CallResponse,
        clock::DaemonClock,
        control::ControlRequest,
        dispatcher::CallDispatcher,
        inbox::{DriverInbox, InboxEvent},
        links::{LinkTable, SendOutcome},
        logs::write_line,
        metrics::MetricRegistry,
        platform::PlatformDispatcher,
    },
    damaskrack_model::ClockTime,
    damaskrack_node::{NodeAction, NodeInput},
    slog::Logger,
    std::sync::Arc,
};

/// Interval of sending metrics, in milliseconds.
const METRICS_INTERVAL_MS: u64 = 1_000;
/// Time beyond the shutdown timeout of the core after which the driver exits, in milliseconds.
const SHUTDOWN_GRACE_MS: u64 = 2_000;

/// Time for which the core is still ticked after its exit action, in milliseconds. Requests that
/// other daemons sent before they knew of the exit still get responses and do not count as lost.
const LINGER_MS: u64 = 1_000;
/// The same for a daemon without links, where only callers' requests may be in transit.
const LINGER_WITHOUT_LINKS_MS: u64 = 200;

/// What the driver does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DriverStep {
    /// Continues.
    Continue,
    /// Continues for a short time, to respond to requests in transit.
    Linger,
    /// Exits.
    Exit,
}

/// Owns the core and carries out its actions.
pub(crate) struct NodeDriver {
    pub(crate) core: Box<dyn NodeCore>,
    pub(crate) clock: DaemonClock,
    pub(crate) inbox: DriverInbox,
    pub(crate) dispatcher: Arc<CallDispatcher>,
    pub(crate) links: LinkTable,
    pub(crate) platform: PlatformDispatcher,
    pub(crate) metrics: Arc<MetricRegistry>,
    pub(crate) logger: Logger,
    /// Timeout of a graceful shutdown, in milliseconds.
    pub(crate) shutdown_ms: u64,
    /// Inputs produced while actions were carried out, for the next tick.
    pub(crate) pending: Vec<NodeInput>,
    /// When the driver exits even if the core has not finished its shutdown.
    pub(crate) exit_deadline: Option<ClockTime>,
    /// When metrics are sent next.
    pub(crate) metrics_due: ClockTime,
}

impl NodeDriver {
    /// Runs until the core has exited or the exit deadline has passed.
    pub(crate) async fn run(mut self) {
        loop {
            let step = match self.inbox.next_event().await {
                InboxEvent::Tick(inputs) => self.tick(inputs),
                InboxEvent::Control(request) => self.handle_control(request),
            };
            match step {
                DriverStep::Continue => {}
                DriverStep::Linger => self.begin_linger(),
                DriverStep::Exit => break,
            }
        }
        self.dispatcher.close();
        self.links.close().await;
        self.metrics.send();
        slog::info!(self.logger, "driver_stopped");
    }

    fn tick(&mut self, inputs: Vec<NodeInput>) -> DriverStep {
        let mut batch = std::mem::take(&mut self.pending);
        batch.extend(inputs);
        let now = self.clock.now();
        let actions = self.core.tick(now, batch);
        let mut step = DriverStep::Continue;
        for action in actions {
            if self.execute_action(action) == DriverStep::Linger {
                step = DriverStep::Linger;
            }
        }
        self.dispatcher.record_tick(now, self.core.is_ready());
        self.send_metrics(now);
        if self.exit_deadline.is_some_and(|due| now >= due) {
            step = DriverStep::Exit;
        }
        step
    }

    fn handle_control(&mut self, request: ControlRequest) -> DriverStep {
        match request {
            ControlRequest::Dump(sender) => {
                let _ = sender.send(self.dump());
            }
            ControlRequest::LogDump => {
                slog::info!(self.logger, "state_dump"; "state" => self.dump().to_string());
            }
            ControlRequest::Shutdown => self.begin_shutdown(),
        }
        DriverStep::Continue
    }

    fn begin_shutdown(&mut self) {
        if !self.dispatcher.is_shutting_down() {
            slog::info!(self.logger, "shutdown_asked");
            let timeout_ms = self.shutdown_ms.saturating_add(SHUTDOWN_GRACE_MS);
            self.exit_deadline = Some(self.clock.now().plus(timeout_ms));
            self.dispatcher.begin_shutdown();
            self.pending.push(NodeInput::Shutdown);
        }
    }

    /// Handles the core's exit action: callers are refused, while peers still get responses until the
    /// exit deadline.
    fn begin_linger(&mut self) {
        self.dispatcher.close();
        let linger_ms = if self.links.count_up() > 0 { LINGER_MS } else { LINGER_WITHOUT_LINKS_MS };
        self.exit_deadline = Some(self.clock.now().plus(linger_ms));
    }

    fn execute_action(&mut self, action: NodeAction) -> DriverStep {
        match action {
            NodeAction::CallerAnswer { call, answer } => {
                self.respond(call, CallResponse { version: 0, answer });
            }
            NodeAction::OperatorAnswer { call, version, answer } => {
                self.respond(call, CallResponse { version, answer });
            }
            NodeAction::Peer { member, message } => match self.links.send(&member, message) {
                SendOutcome::Queued => {}
                SendOutcome::Down => self.metrics.count("link.dropped_down", 1),
                SendOutcome::Full => self.metrics.count("link.dropped_full", 1),
            },
            NodeAction::Connect { member, address } => self.links.connect(member, address),
            NodeAction::Disconnect { member } => self.links.disconnect(&member),
            NodeAction::Store { call, request, timeout_ms } => {
                self.pending.extend(self.platform.call_store(call, request, timeout_ms));
            }
            NodeAction::Worker { call, address, request, timeout_ms } => {
                let input = self.platform.call_worker(call, address, request, timeout_ms);
                self.pending.extend(input);
            }
            NodeAction::Log(line) => write_line(&self.logger, &line),
            NodeAction::Count { metric, amount } => self.metrics.count(metric, amount),
            NodeAction::Timing { metric, millis } => self.metrics.timing(metric, millis),
            NodeAction::Gauge { metric, value } => self.metrics.gauge(metric, value),
            NodeAction::Exit => return DriverStep::Linger,
        }
        DriverStep::Continue
    }

    fn respond(&self, call: u64, response: CallResponse) {
        if !self.dispatcher.respond(call, response) {
            self.metrics.count("caller.answer_dropped", 1);
        }
    }

    fn send_metrics(&mut self, now: ClockTime) {
        if now < self.metrics_due {
            return;
        }
        self.metrics_due = now.plus(METRICS_INTERVAL_MS);
        let (store_calls, worker_calls) = self.platform.in_flight();
        self.metrics.gauge("caller.in_flight", self.dispatcher.calls_in_flight() as u64);
        self.metrics.gauge("store.in_flight", store_calls as u64);
        self.metrics.gauge("worker.in_flight", worker_calls as u64);
        self.metrics.gauge("link.up", self.links.count_up() as u64);
        self.metrics.send();
    }

    fn dump(&self) -> serde_json::Value {
        let (store_calls, worker_calls) = self.platform.in_flight();
        serde_json::json!({
            "node": self.core.dump(),
            "daemon": {
                "clock_ms": self.clock.now().0,
                "is_ready": self.dispatcher.is_ready(),
                "is_leaving": self.dispatcher.is_shutting_down(),
                "calls_in_flight": self.dispatcher.calls_in_flight(),
                "store_calls_in_flight": store_calls,
                "worker_calls_in_flight": worker_calls,
                "links": self.links.dump(),
                "metrics": self.metrics.dump(),
            },
        })
    }
}
