//! Starts and stops a daemon's tasks.

use {
    crate::{
        DaemonConfig, NodeCore, PlatformLinks,
        clock::DaemonClock,
        control::ControlRequest,
        dispatcher::CallDispatcher,
        driver::NodeDriver,
        http::{HttpServer, HttpShared, RouterCell, ServerLimits, caller_router, operator_router},
        inbox::{DriverInbox, InboxSender},
        links::{IncomingTable, LinkConfig, LinkTable, PeerListener},
        metrics::MetricRegistry,
        platform::{PlatformDispatcher, poll_hosts},
    },
    anyhow::Context,
    damaskrack_listen::{ClientEvents, ClientGate, ConnectionLimits},
    damaskrack_model::ClockTime,
    damaskrack_node::{NodeConfig, SchedulerNode},
    damaskrack_outside::{HostList, PlatformStore, WorkerClient},
    damaskrack_wire::FrameBudget,
    gotham::router::Router,
    slog::{Logger, o},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::mpsc::Sender, task::JoinHandle},
    tokio_util::sync::CancellationToken,
};

/// Addresses that a daemon is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
}

/// Handle for controlling a running daemon; can be cloned.
#[derive(Debug, Clone)]
pub struct DaemonControl {
    control: Sender<ControlRequest>,
}

impl DaemonControl {
    /// Requests a graceful shutdown without waiting for its end.
    pub async fn shutdown(&self) {
        // The send fails only if the driver has already stopped.
        let _ = self.control.send(ControlRequest::Shutdown).await;
    }

    /// Writes the daemon's state to the log.
    pub async fn log_state(&self) {
        let _ = self.control.send(ControlRequest::LogDump).await;
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct DaemonServer {
    addresses: DaemonAddresses,
    control: DaemonControl,
    stopped: JoinHandle<()>,
}

impl DaemonServer {
    /// Starts a daemon with the scheduler core.
    ///
    /// # Errors
    ///
    /// Returns which address cannot be listened on.
    pub async fn start(
        config: DaemonConfig,
        logger: Logger,
        store: Arc<dyn PlatformStore>,
        hosts: Arc<dyn HostList>,
        workers: Arc<dyn WorkerClient>,
    ) -> anyhow::Result<Self> {
        let platform = PlatformLinks { store, hosts, workers };
        Self::start_with_core(config, logger, platform, |config| {
            Box::new(SchedulerNode::new(config))
        })
        .await
    }

    /// Starts a daemon with the core that `make_core` returns.
    ///
    /// # Errors
    ///
    /// Returns which address cannot be listened on.
    pub async fn start_with_core(
        config: DaemonConfig,
        logger: Logger,
        platform: PlatformLinks,
        make_core: impl FnOnce(NodeConfig) -> Box<dyn NodeCore>,
    ) -> anyhow::Result<Self> {
        let listeners = DaemonListeners::bind(&config).await?;
        let addresses = listeners.addresses()?;
        let boot = rand::random_range(1..=u64::MAX);
        let logger = logger.new(o!("daemon" => config.member.to_string()));
        let metrics = Arc::new(MetricRegistry::new(config.metrics.as_ref())?);
        let core = make_core(config.node_config(addresses.peer, boot));
        let (inbox, driver_inbox) = DriverInbox::new(config.limits.caller_queue as usize);
        let context = DaemonContext { config, boot, logger, metrics, inbox, platform };
        let control = DaemonControl { control: context.inbox.control.clone() };
        slog::info!(context.logger, "daemon_started";
            "boot" => boot,
            "caller_address" => %addresses.caller,
            "operator_address" => %addresses.operator,
            "peer_address" => %addresses.peer);
        let stopped = tokio::spawn(context.run(core, driver_inbox, listeners));
        Ok(Self { addresses, control, stopped })
    }

    /// Returns the addresses that the daemon listens on.
    #[must_use]
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns a handle for controlling the daemon.
    #[must_use]
    pub fn control(&self) -> DaemonControl {
        self.control.clone()
    }

    /// Shuts the daemon down gracefully and waits until it has stopped.
    pub async fn shutdown(self) {
        self.control.shutdown().await;
        self.wait().await;
    }

    /// Waits until the daemon has stopped.
    pub async fn wait(self) {
        // The panic hook has already reported a panic in the task.
        let _ = self.stopped.await;
    }
}

/// The sockets that a daemon listens on.
struct DaemonListeners {
    caller: TcpListener,
    operator: TcpListener,
    peer: TcpListener,
}

impl DaemonListeners {
    async fn bind(config: &DaemonConfig) -> anyhow::Result<Self> {
        Ok(Self {
            caller: bind_port("callers", config.caller_address).await?,
            operator: bind_port("operators", config.operator_address).await?,
            peer: bind_port("peers", config.peer_address).await?,
        })
    }

    fn addresses(&self) -> anyhow::Result<DaemonAddresses> {
        Ok(DaemonAddresses {
            caller: self.caller.local_addr()?,
            operator: self.operator.local_addr()?,
            peer: self.peer.local_addr()?,
        })
    }
}

async fn bind_port(users: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for {users} on {address}"))
}

/// Configuration and shared state of the daemon's tasks.
struct DaemonContext {
    config: DaemonConfig,
    boot: u64,
    logger: Logger,
    metrics: Arc<MetricRegistry>,
    inbox: InboxSender,
    platform: PlatformLinks,
}

impl DaemonContext {
    /// Runs every task until the driver has ended, then shuts the HTTP connections down gracefully.
    async fn run(
        self,
        core: Box<dyn NodeCore>,
        driver_inbox: DriverInbox,
        listeners: DaemonListeners,
    ) {
        let clock = DaemonClock::start();
        let calls = self.config.limits.calls_in_flight as usize;
        let (inbox, metrics) = (self.inbox.clone(), self.metrics.clone());
        let dispatcher = Arc::new(CallDispatcher::new(inbox, metrics, calls, clock.now()));
        let stop = CancellationToken::new();
        let callers = self.caller_server(&dispatcher, clock, &stop);
        let operators = self.operator_server(&dispatcher, clock, &stop);
        let callers = tokio::spawn(callers.run(listeners.caller));
        let operators = tokio::spawn(operators.run(listeners.operator));
        let incoming = Arc::new(IncomingTable::default());
        let peers = tokio::spawn(self.peer_listener(&incoming).run(listeners.peer));
        let hosts = tokio::spawn(poll_hosts(
            self.platform.hosts.clone(),
            self.inbox.system.clone(),
            self.config.intervals.hosts_interval_ms,
        ));
        let driver = self.driver(core, driver_inbox, dispatcher, incoming, clock);
        driver.run().await;
        // The peer listener must not outlive the core, as peers would take the daemon to be running.
        peers.abort();
        hosts.abort();
        stop.cancel();
        let _ = futures_util::future::join(callers, operators).await;
        slog::info!(self.logger, "daemon_stopped");
    }

    fn driver(
        &self,
        core: Box<dyn NodeCore>,
        inbox: DriverInbox,
        dispatcher: Arc<CallDispatcher>,
        incoming: Arc<IncomingTable>,
        clock: DaemonClock,
    ) -> NodeDriver {
        let system = self.inbox.system.clone();
        let (metrics, logger) = (self.metrics.clone(), self.logger.clone());
        let links =
            LinkTable::new(self.link_config(), system.clone(), incoming, metrics, logger.clone());
        NodeDriver {
            core,
            clock,
            inbox,
            dispatcher,
            links,
            platform: PlatformDispatcher::new(self.platform.clone(), system),
            metrics: self.metrics.clone(),
            logger,
            shutdown_ms: self.config.intervals.shutdown_ms,
            pending: Vec::new(),
            exit_deadline: None,
            metrics_due: ClockTime(0),
        }
    }

    fn link_config(&self) -> LinkConfig {
        LinkConfig {
            member: self.config.member.clone(),
            boot: self.boot,
            idle_timeout_ms: self.config.intervals.link_silence_ms,
            connect_timeout_ms: self.config.intervals.link_connect_ms,
            queue_capacity: self.config.limits.link_queue as usize,
        }
    }

    fn peer_listener(&self, table: &Arc<IncomingTable>) -> PeerListener {
        PeerListener {
            config: self.link_config(),
            table: table.clone(),
            inbox: self.inbox.system.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
            frames: Arc::new(FrameBudget::new(self.config.limits.peer_frame_bytes())),
        }
    }

    fn caller_server(
        &self,
        dispatcher: &Arc<CallDispatcher>,
        clock: DaemonClock,
        stop: &CancellationToken,
    ) -> HttpServer {
        let limits = &self.config.limits;
        let shared = self.http_shared(dispatcher, clock, limits.body_bytes);
        let gate = self.client_gate("callers", limits.caller_connections);
        self.http_server(caller_router(), shared, gate, stop)
    }

    fn operator_server(
        &self,
        dispatcher: &Arc<CallDispatcher>,
        clock: DaemonClock,
        stop: &CancellationToken,
    ) -> HttpServer {
        let limits = &self.config.limits;
        let shared = self.http_shared(dispatcher, clock, limits.manifest_bytes);
        let gate = self.client_gate("operators", limits.operator_connections);
        self.http_server(operator_router(), shared, gate, stop)
    }

    fn http_shared(
        &self,
        dispatcher: &Arc<CallDispatcher>,
        clock: DaemonClock,
        body_bytes: u64,
    ) -> HttpShared {
        HttpShared {
            dispatcher: dispatcher.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
            clock,
            operator_keys: self.config.operator_key_entries().into(),
            body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
            body_timeout: Duration::from_millis(self.config.intervals.body_timeout_ms),
            tasks_per_job: self.config.limits.tasks_per_job,
        }
    }

    /// Creates the gate of a port. All of its connections may be of one address, which may be that of a
    /// balancer.
    fn client_gate(&self, port: &'static str, connections: u32) -> Arc<ClientGate> {
        let connections = connections as usize;
        let limits =
            ConnectionLimits { per_peer: connections, ..ConnectionLimits::of(connections) };
        let metrics = self.metrics.clone();
        let count = move |name: &'static str| metrics.count(name, 1);
        let events = ClientEvents::new(port, self.logger.clone(), count);
        ClientGate::new(limits, self.config.limits.body_limits(), events)
    }

    fn http_server(
        &self,
        router: Router,
        shared: HttpShared,
        gate: Arc<ClientGate>,
        stop: &CancellationToken,
    ) -> HttpServer {
        let header_timeout = Duration::from_millis(self.config.intervals.header_timeout_ms);
        let limits = ServerLimits { gate, header_timeout };
        HttpServer { router: Arc::new(RouterCell(router)), shared, limits, stop: stop.clone() }
    }
}
