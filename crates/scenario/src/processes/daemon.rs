//! Starts daemon processes, with the settings and relays of each.

use {
    super::{
        ProcessOptions,
        platform_servers::PlatformServers,
        ports::reserve_port,
        relay::{RewritePlan, SocketRelay},
    },
    crate::script::CellPlan,
    anyhow::Context,
    damaskrack_manifest::make_key,
    damaskrack_ports::PortReservation,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    rand::rngs::SmallRng,
    serde_json::{Value, json},
    std::{
        fs::OpenOptions,
        io::{BufRead, BufReader, Read, Write},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Key that operators present.
pub(crate) const OPERATOR_KEY: &str = "ops.scenario-operator";

/// Timeout for a daemon to start listening.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A running daemon; killed when dropped.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    child: Child,
    pub(crate) caller_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
}

impl DaemonProcess {
    pub(crate) fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            // The process is not reaped until this value is dropped or `exit_code` sees its end, so
            // its id has not been reused.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit code once the process has ended; -1 if a signal ended it.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts one daemon and holds its settings and relays over restarts.
#[derive(Debug, Clone)]
pub(crate) struct DaemonLauncher {
    settings: PathBuf,
    log: Option<PathBuf>,
    program: PathBuf,
    /// Keeps the port on which it listens for peers while it is down.
    _peer_port: Arc<PortReservation>,
    /// Relay through which its peers reach it.
    pub(crate) peer_relay: SocketRelay,
    /// Relay through which it reaches the store.
    pub(crate) store_relay: SocketRelay,
}

impl DaemonLauncher {
    /// Prepares a daemon whose peer address in the store is replaced by that of a relay.
    pub(crate) fn new(
        index: usize,
        cell: &CellPlan,
        platform: &PlatformServers,
        directory: &Path,
        options: &ProcessOptions,
        rng: &mut SmallRng,
    ) -> anyhow::Result<Self> {
        let peer_port = Arc::new(reserve_port(rng)?);
        let peer = peer_port.address();
        let name = node_name(index);
        let others = (0..cell.nodes).filter(|&other| other != index).map(node_name).collect();
        let peer_relay = SocketRelay::start(reserve_port(rng)?.listen()?, peer, others, None)?;
        let rewrite = RewritePlan { from: peer.to_string(), to: peer_relay.address().to_string() };
        let own_name = vec![name.clone()];
        let store_address = platform.store.address();
        let listener = reserve_port(rng)?.listen()?;
        let store_relay = SocketRelay::start(listener, store_address, own_name, Some(rewrite))?;
        let zone = format!("zone-{}", index % cell.zones + 1);
        let document =
            build_settings(&name, &zone, peer, store_relay.address(), platform.hosts.address())?;
        let settings = directory.join(format!("{name}.json"));
        std::fs::write(&settings, document.to_string())?;
        let log =
            options.log_directory.as_ref().map(|directory| directory.join(format!("{name}.log")));
        Ok(Self {
            settings,
            log,
            program: options.program.clone(),
            _peer_port: peer_port,
            peer_relay,
            store_relay,
        })
    }

    /// Starts the daemon and waits until it listens.
    pub(crate) async fn start(&self) -> anyhow::Result<DaemonProcess> {
        let mut child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", self.program.display()))?;
        let stderr = child.stderr.take().context("a daemon without a log")?;
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process =
            DaemonProcess { child, caller_address: any_port, operator_address: any_port };
        let (sender, started) = oneshot::channel();
        let log = self.log.clone();
        std::thread::spawn(move || follow_log(stderr, log, sender));
        let started = timeout(START_TIMEOUT, started).await;
        let started = started.context("a daemon does not start")?.context("a daemon ended")?;
        process.caller_address = parse_address(&started, "caller_address")?;
        process.operator_address = parse_address(&started, "operator_address")?;
        Ok(process)
    }
}

/// Returns the name of a daemon.
pub(crate) fn node_name(index: usize) -> String {
    format!("node-{}", index + 1)
}

fn parse_address(line: &Value, name: &str) -> anyhow::Result<SocketAddr> {
    line[name].as_str().and_then(|text| text.parse().ok()).with_context(|| format!("no {name}"))
}

fn build_settings(
    name: &str,
    zone: &str,
    peer: SocketAddr,
    store: SocketAddr,
    hosts: SocketAddr,
) -> anyhow::Result<Value> {
    let (key, secret) = OPERATOR_KEY.split_once('.').context("an operator's key has a dot")?;
    let key = make_key(&key.parse()?, &"operators".parse()?, secret, &[7; 16]);
    Ok(json!({
        "member": name,
        "availability_zone": zone,
        "caller_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "peer_address": peer,
        "store_address": store,
        "hosts_address": hosts,
        "operator_keys": [{ "name": key.name, "salt": key.salt, "hash": key.hash }],
    }))
}

/// Reads the log to its end, so that the daemon never blocks on a full pipe.
fn follow_log(stderr: impl Read, log: Option<PathBuf>, sender: oneshot::Sender<Value>) {
    let mut sender = Some(sender);
    let open = |path: PathBuf| OpenOptions::new().create(true).append(true).open(path).ok();
    let mut file = log.and_then(open);
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if let Some(file) = &mut file {
            let _ = writeln!(file, "{line}");
        }
        if sender.is_some()
            && let Ok(value) = serde_json::from_str::<Value>(&line)
            && value["msg"] == "daemon_started"
            && let Some(sender) = sender.take()
        {
            let _ = sender.send(value);
        }
    }
}
