//! The command line of `damaskrack-standin`.

use {
    crate::{
        CheckpointPlace, HostServer, HostTable, PlatformPlan, StandinError, StandinPlatform,
        StorePlan, StoreServer, WorkerPlan, WorkerServer, standin_parts::StandinParts,
    },
    clap::{Args, Subcommand},
    damaskrack_model::{RackName, Resources, WorkerName, ZoneName},
    damaskrack_outside::{HostRow, HostState},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
    },
};

/// Where a stand-in listens.
#[derive(Debug, Clone, Copy, Args)]
pub struct ListenOptions {
    /// Address and port to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address and port of the switches; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
}

/// What a worker has.
#[derive(Debug, Clone, Copy, Args)]
pub struct CapacityOptions {
    /// Processor time, in thousandths of a core.
    #[arg(long, default_value_t = 16_000)]
    pub millicores: u64,
    /// Memory, in bytes.
    #[arg(long, default_value_t = 32 << 30)]
    pub memory_bytes: u64,
    /// Whole accelerators.
    #[arg(long, default_value_t = 0)]
    pub accelerators: u64,
}

impl CapacityOptions {
    fn resources(self) -> Resources {
        Resources {
            millicores: self.millicores,
            memory_bytes: self.memory_bytes,
            accelerators: self.accelerators,
        }
    }
}

/// Options of a single worker.
#[derive(Debug, Clone, Args)]
pub struct WorkerOptions {
    /// Its name.
    #[arg(long)]
    pub name: WorkerName,
    /// Its rack.
    #[arg(long)]
    pub rack: RackName,
    /// Its availability zone.
    #[arg(long)]
    pub zone: ZoneName,
    /// Random number of this boot, which also sets its clock.
    #[arg(long, default_value_t = 1)]
    pub boot: u64,
    /// What it has.
    #[command(flatten)]
    pub capacity: CapacityOptions,
    /// Where it listens.
    #[command(flatten)]
    pub listen: ListenOptions,
}

/// Options of a whole platform.
#[derive(Debug, Clone, Args)]
pub struct PlatformOptions {
    /// Availability zones.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=26))]
    pub zones: u32,
    /// Racks in each zone.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(0..=256))]
    pub racks_per_zone: u32,
    /// Workers in each rack.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(0..=256))]
    pub workers_per_rack: u32,
    /// What each worker has.
    #[command(flatten)]
    pub capacity: CapacityOptions,
    /// Time until a change of the host list shows, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub host_lag_ms: u64,
    /// Seed of boot numbers, clock offsets and faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Address that everything listens on.
    #[arg(long, default_value_t = IpAddr::V4(Ipv4Addr::LOCALHOST))]
    pub listen: IpAddr,
    /// Port of the store; 0 takes a free one.
    #[arg(long, default_value_t = 0)]
    pub store_port: u16,
    /// Port of the host list; 0 takes a free one.
    #[arg(long, default_value_t = 0)]
    pub hosts_port: u16,
    /// Port of the switches; 0 takes a free one.
    #[arg(long, default_value_t = 0)]
    pub control_port: u16,
}

/// Which stand-ins to run.
#[derive(Debug, Clone, Subcommand)]
pub enum StandinCommand {
    /// The store.
    Store {
        /// Writes served a second.
        #[arg(long, default_value_t = 300)]
        writes_per_s: u32,
        /// Reads and watches served a second.
        #[arg(long, default_value_t = 2_000)]
        reads_per_s: u32,
        /// Where it listens.
        #[command(flatten)]
        listen: ListenOptions,
    },
    /// The host list.
    Hosts {
        /// JSON file with the rows, an array as it is served.
        #[arg(long)]
        rows: PathBuf,
        /// Time until a change shows, in milliseconds.
        #[arg(long, default_value_t = 500)]
        lag_ms: u64,
        /// Where it listens.
        #[command(flatten)]
        listen: ListenOptions,
    },
    /// One worker.
    Worker(WorkerOptions),
    /// A store, a host list and workers in one process.
    Platform(PlatformOptions),
}

impl StandinCommand {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot listen on its address or a file cannot be read.
    pub async fn start(self) -> Result<StandinPlatform, StandinError> {
        match self {
            Self::Store { writes_per_s, reads_per_s, listen } => {
                let plan = StorePlan { writes_per_s, reads_per_s, ..StorePlan::default() };
                let store = StoreServer::start(listen.listen, plan, 1).await?;
                let parts = StandinParts { store: Some(store), ..StandinParts::default() };
                StandinPlatform::from_parts(parts, Vec::new(), listen.control).await
            }
            Self::Hosts { rows, lag_ms, listen } => {
                let rows = read_rows(rows)?;
                let table = HostTable::with_rows(rows.iter().cloned(), lag_ms);
                let hosts = HostServer::start(listen.listen, table).await?;
                let parts = StandinParts { hosts: Some(hosts), ..StandinParts::default() };
                StandinPlatform::from_parts(parts, rows, listen.control).await
            }
            Self::Worker(options) => start_worker(options).await,
            Self::Platform(options) => StandinPlatform::start(to_plan(&options)).await,
        }
    }
}

fn read_rows(path: PathBuf) -> Result<Vec<HostRow>, StandinError> {
    let text = std::fs::read_to_string(&path)
        .map_err(|error| StandinError::File { path: path.clone(), reason: error.to_string() })?;
    serde_json::from_str(&text)
        .map_err(|error| StandinError::File { path, reason: error.to_string() })
}

async fn start_worker(options: WorkerOptions) -> Result<StandinPlatform, StandinError> {
    let capacity = options.capacity.resources();
    let plan = WorkerPlan::new(options.name.clone(), options.zone.clone(), capacity, options.boot);
    let checkpoints = CheckpointPlace::default();
    let server = WorkerServer::start(options.listen.listen, plan, checkpoints).await?;
    let row = HostRow {
        worker: options.name.clone(),
        rack: options.rack,
        zone: options.zone,
        address: server.address(),
        capacity,
        state: HostState::Live,
    };
    let mut parts = StandinParts::default();
    parts.workers.insert(options.name, server);
    StandinPlatform::from_parts(parts, vec![row], options.listen.control).await
}

fn to_plan(options: &PlatformOptions) -> PlatformPlan {
    PlatformPlan {
        host_lag_ms: options.host_lag_ms,
        seed: options.seed,
        listen: options.listen,
        store_port: options.store_port,
        hosts_port: options.hosts_port,
        control_port: options.control_port,
        ..PlatformPlan::new(options.zones, options.racks_per_zone, options.workers_per_rack)
    }
    .with_capacity(options.capacity.resources())
}
