//! A cell of daemon processes with the stand-in platform.

use {
    super::client::{CallOutcome, CellClient},
    anyhow::{Context, Result, bail},
    damaskrack_manifest::{
        ManifestDocument, QueueEntry, TeamEntry, TeamLimit, ZoneEntry, ZoneState, make_key,
    },
    damaskrack_model::{KeyName, PriorityClass, Resources, TeamName},
    damaskrack_ports::PortReservation,
    damaskrack_standin::{PlatformPlan, StandinPlatform},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

#[cfg(test)]
mod tests;

/// Availability zones; each has two racks of eight workers.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Racks per availability zone.
const RACKS_PER_ZONE: u32 = 2;

/// Workers per rack.
const WORKERS_PER_RACK: u32 = 8;

/// Weights of the teams.
const SHARES: [u32; 6] = [4, 3, 2, 1, 1, 1];

/// Fixed salt of all keys, which protect nothing here.
const SALT: [u8; 16] = *b"bench-salt-16byt";

/// Secret of every key.
const SECRET: &str = "bench";

/// Longest time for the cell to serve every team.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Ports on which a daemon listens; reserved while it is down.
#[derive(Debug)]
pub(super) struct DaemonPorts {
    caller: PortReservation,
    operator: PortReservation,
    peer: PortReservation,
}

impl DaemonPorts {
    fn reserve() -> Result<Self> {
        let reserve = || PortReservation::any().context("no port for a daemon");
        Ok(Self { caller: reserve()?, operator: reserve()?, peer: reserve()? })
    }

    /// Returns the addresses for callers, operators and peers.
    pub(super) fn addresses(&self) -> [SocketAddr; 3] {
        [&self.caller, &self.operator, &self.peer].map(PortReservation::address)
    }
}

/// The settings file of a daemon and its process while it runs.
#[derive(Debug)]
struct DaemonProcess {
    settings: PathBuf,
    child: Option<Child>,
}

/// A running cell; dropping it kills its processes.
#[derive(Debug)]
pub(super) struct DaemonCell {
    program: PathBuf,
    directory: PathBuf,
    pub(super) platform: StandinPlatform,
    processes: Vec<DaemonProcess>,
    pub(super) ports: Vec<DaemonPorts>,
    pub(super) client: CellClient,
}

impl DaemonCell {
    /// Starts the platform and the processes of the daemons.
    pub(super) async fn start(program: &Path, daemons: usize, seed: u64) -> Result<Self> {
        let plan = PlatformPlan::new(3, RACKS_PER_ZONE, WORKERS_PER_RACK).with_seed(seed);
        let platform = StandinPlatform::start(plan).await?;
        let directory =
            std::env::temp_dir().join(format!("damaskrack-bench-{}", std::process::id()));
        fs::create_dir_all(&directory).context("cannot create a directory for the settings")?;
        let ports = (0..daemons).map(|_| DaemonPorts::reserve()).collect::<Result<Vec<_>>>()?;
        let mut cell = Self {
            program: program.to_owned(),
            directory,
            platform,
            processes: Vec::new(),
            client: CellClient::new(ports.iter().map(|ports| ports.caller.address()).collect()),
            ports,
        };
        for index in 0..daemons {
            let settings = cell.write_settings(index)?;
            cell.processes.push(DaemonProcess { settings, child: None });
            cell.launch(index)?;
        }
        Ok(cell)
    }

    fn write_settings(&self, index: usize) -> Result<PathBuf> {
        let [caller, operator_address, peer] = self.ports[index].addresses();
        let operator = operator_entry()?;
        let settings = json!({
            "member": member_name(index),
            "availability_zone": ZONES[index % ZONES.len()],
            "caller_address": caller,
            "operator_address": operator_address,
            "peer_address": peer,
            "store_address": self.platform.store_address(),
            "hosts_address": self.platform.hosts_address(),
            "operator_keys": [operator],
            "log": { "level": "info" },
        });
        let path = self.directory.join(format!("daemon-{index}.json"));
        fs::write(&path, settings.to_string()).context("cannot write settings")?;
        Ok(path)
    }

    /// Starts the process of a daemon, which logs to a file beside its settings.
    pub(super) fn launch(&mut self, index: usize) -> Result<()> {
        let process = &mut self.processes[index];
        let log = process.settings.with_extension("log");
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&process.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", self.program.display()))?;
        process.child = Some(child);
        self.client.set_live(index, true);
        Ok(())
    }

    /// Returns the process id of a daemon if it runs.
    pub(super) fn process_id(&self, index: usize) -> Option<u32> {
        self.processes[index].child.as_ref().map(Child::id)
    }

    /// Sends a signal to a daemon; after SIGKILL waits for its end.
    pub(super) fn signal(&mut self, index: usize, signal: Signal) -> Result<()> {
        let Some(id) = self.process_id(index) else { bail!("daemon {index} does not run") };
        kill(Pid::from_raw(i32::try_from(id)?), signal)?;
        if signal == Signal::SIGKILL
            && let Some(mut child) = self.processes[index].child.take()
        {
            child.wait()?;
        }
        Ok(())
    }

    pub(super) fn workers(&self) -> usize {
        self.platform.rows().len()
    }

    pub(super) fn daemons(&self) -> usize {
        self.processes.len()
    }

    /// Returns the index of the daemon that owns a piece according to the store.
    pub(super) fn owner_of(&self, piece: &str) -> Option<usize> {
        let key = format!("owner/{piece}");
        let write = self.platform.store_history().into_iter().rfind(|write| write.key == key)?;
        let record: Value = serde_json::from_str(&write.value?).ok()?;
        let owner = record.get("owner")?.as_str()?;
        (0..self.daemons()).find(|&index| member_name(index) == owner)
    }

    /// Submits the manifest and waits until a request of every team is done. Returns the time taken, in
    /// milliseconds.
    pub(super) async fn wait_until_ready(&self) -> Result<u128> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.put_manifest(0, &build_manifest(None)?).await.is_ok() {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        for team in 0..SHARES.len() {
            loop {
                if self.client.request(team, Duration::from_secs(2)).await == CallOutcome::Done {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    bail!("team {team} is not served");
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(started.elapsed().as_millis())
    }

    /// Takes a zone out of service, or with `None` puts all in service, and waits until the change is
    /// accepted.
    pub(super) async fn set_zone_out(&self, zone: Option<&str>) -> Result<()> {
        let operator = self.live_operator().context("no daemon runs")?;
        let current = self.client.get_json(operator, "/v1/manifest", &operator_key()).await?;
        let base = current.get("version").and_then(Value::as_u64).unwrap_or(0);
        self.put_manifest(base, &build_manifest(zone)?).await
    }

    async fn put_manifest(&self, base: u64, manifest: &ManifestDocument) -> Result<()> {
        let operator = self.live_operator().context("no daemon runs")?;
        let body = json!({ "base": base, "manifest": manifest }).to_string();
        self.client.put(operator, "/v1/manifest", &operator_key(), body).await
    }

    /// Returns the operator address of a live daemon.
    fn live_operator(&self) -> Option<SocketAddr> {
        let index = (0..self.daemons()).find(|&index| self.client.is_live(index))?;
        Some(self.ports[index].operator.address())
    }

    /// Kills the daemons and removes their settings and logs.
    pub(super) fn stop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Drop for DaemonCell {
    fn drop(&mut self) {
        self.stop();
    }
}

fn member_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn operator_key() -> String {
    format!("operator.{SECRET}")
}

fn operator_entry() -> Result<Value> {
    let team: TeamName = "operators".parse()?;
    let name: KeyName = "operator".parse()?;
    let entry = make_key(&name, &team, SECRET, &SALT);
    Ok(json!({ "name": entry.name, "salt": entry.salt, "hash": entry.hash }))
}

/// Returns the key that the callers of a team present.
pub(super) fn caller_key(team: usize) -> String {
    format!("key-{team}.{SECRET}")
}

/// Number of teams.
pub(super) const TEAMS: usize = SHARES.len();

fn build_manifest(zone_out: Option<&str>) -> Result<ManifestDocument> {
    let limit = TeamLimit {
        tasks: 100_000,
        resources: Resources { millicores: 10_000_000, memory_bytes: 1 << 50, accelerators: 0 },
    };
    let mut manifest = ManifestDocument::default();
    for (index, share) in SHARES.into_iter().enumerate() {
        let team: TeamName = format!("team-{index}").parse()?;
        let key: KeyName = format!("key-{index}").parse()?;
        manifest.keys.push(make_key(&key, &team, SECRET, &SALT));
        manifest.queues.push(QueueEntry {
            name: format!("queue-{index}").parse()?,
            team: team.clone(),
            open: false,
            highest_priority: PriorityClass::Urgent,
        });
        manifest.teams.push(TeamEntry { name: team, share, limit });
    }
    for name in ZONES {
        let state = if zone_out == Some(name) { ZoneState::Out } else { ZoneState::In };
        manifest.zones.push(ZoneEntry { name: name.parse()?, state });
    }
    Ok(manifest)
}
