//! Types that the settings file is deserialized into.

use {
    damaskrack_listen::{
        BodyLimits, ClientLimits, HostResources, SMALLEST_MAX_FDS, SMALLEST_MEMORY_MB,
    },
    damaskrack_model::{KeyName, MemberName, ZoneName},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Everything that a process learns from its settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SettingsDocument {
    /// Name of this daemon, unique in the cell.
    #[schemars(extend("format" = "name"))]
    pub member: MemberName,
    /// Availability zone that the host stands in.
    #[schemars(extend("format" = "name"))]
    pub availability_zone: ZoneName,
    /// Address for callers, as IP:PORT.
    #[schemars(extend("format" = "ip-port"))]
    pub caller_address: SocketAddr,
    /// Address for operators, as IP:PORT.
    #[schemars(extend("format" = "ip-port"))]
    pub operator_address: SocketAddr,
    /// Address for other daemons, as IP:PORT. It is told to them, so it must name one interface.
    #[schemars(extend("format" = "ip-port"))]
    pub peer_address: SocketAddr,
    /// Address of the platform's store, as IP:PORT.
    #[schemars(extend("format" = "ip-port"))]
    pub store_address: SocketAddr,
    /// Address of the platform's host list, as IP:PORT.
    #[schemars(extend("format" = "ip-port"))]
    pub hosts_address: SocketAddr,
    /// Keys that operators show.
    #[serde(default)]
    pub operator_keys: Vec<OperatorKey>,
    /// What is logged and how.
    #[serde(default)]
    pub log: LogSettings,
    /// Where metrics go; nowhere if absent.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// Times, in milliseconds.
    #[serde(default)]
    pub intervals: IntervalSettings,
    /// Sizes of queues and requests.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// A key that operators show as `NAME.SECRET`, without its secret.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// Public part of the key.
    #[schemars(extend("format" = "name"))]
    pub name: KeyName,
    /// Salt of the hash, 16 to 64 bytes in hexadecimal.
    #[schemars(extend("format" = "salt"))]
    pub salt: String,
    /// SHA-256 of the salt's bytes followed by the secret, in hexadecimal.
    #[schemars(extend("format" = "sha256"))]
    pub hash: String,
}

impl std::fmt::Debug for OperatorKey {
    /// Shows only the name, so that hashes do not get into logs and dumps.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorKey").field("name", &self.name).finish_non_exhaustive()
    }
}

/// Form of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Lines for a person.
    Terminal,
}

/// Least severity that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogThreshold {
    /// Everything.
    Debug,
    /// Changes of state and worse.
    #[default]
    Info,
    /// What an operator should look at, and worse.
    Warning,
    /// What an operator must act on.
    Error,
    /// Nothing.
    Off,
}

/// What is logged and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of the log.
    pub format: LogFormat,
    /// Least severity that is logged.
    pub level: LogThreshold,
}

/// Where metrics go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// UDP address that takes the statsd protocol, as IP:PORT.
    #[schemars(extend("format" = "ip-port"))]
    pub statsd_address: SocketAddr,
    /// First part of every metric's name.
    #[serde(default = "default_prefix")]
    #[schemars(extend("format" = "name"))]
    pub prefix: String,
}

fn default_prefix() -> String {
    "damaskrack".to_owned()
}

/// Times, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct IntervalSettings {
    /// Time until a member's record lapses in the store.
    #[schemars(range(min = 500, max = 60_000))]
    pub member_lease_ms: u64,
    /// Time until a task whose lease is not renewed is stopped by its worker.
    #[schemars(range(min = 500, max = 60_000))]
    pub worker_lease_ms: u64,
    /// Time without news of the store and of half of the members after which the daemon stops.
    #[schemars(range(min = 500, max = 60_000))]
    pub isolation_ms: u64,
    /// Interval of heartbeats and digests between daemons.
    #[schemars(range(min = 50, max = 5_000))]
    pub heartbeat_ms: u64,
    /// Deadline of a store call.
    #[schemars(range(min = 50, max = 30_000))]
    pub store_timeout_ms: u64,
    /// Deadline of a worker call beyond its waiting time.
    #[schemars(range(min = 50, max = 30_000))]
    pub worker_timeout_ms: u64,
    /// Interval of reading the host list.
    #[schemars(range(min = 100, max = 60_000))]
    pub hosts_interval_ms: u64,
    /// Time without a sign of life after which a link to another daemon is replaced.
    #[schemars(range(min = 200, max = 30_000))]
    pub link_silence_ms: u64,
    /// Longest time to establish a link to another daemon.
    #[schemars(range(min = 50, max = 30_000))]
    pub link_connect_ms: u64,
    /// Longest time between the first byte of a request and the end of its headers.
    #[schemars(range(min = 100, max = 600_000))]
    pub header_timeout_ms: u64,
    /// Longest time from the end of a request's headers to the end of its body.
    #[schemars(range(min = 100, max = 600_000))]
    pub body_timeout_ms: u64,
    /// Longest graceful shutdown.
    #[schemars(range(min = 100, max = 600_000))]
    pub shutdown_ms: u64,
}

impl Default for IntervalSettings {
    fn default() -> Self {
        Self {
            member_lease_ms: 4_000,
            worker_lease_ms: 4_000,
            isolation_ms: 2_000,
            heartbeat_ms: 500,
            store_timeout_ms: 1_000,
            worker_timeout_ms: 1_000,
            hosts_interval_ms: 2_000,
            link_silence_ms: 2_000,
            link_connect_ms: 1_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
            shutdown_ms: 600_000,
        }
    }
}

/// Sizes of queues and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Longest body of a caller's request, in bytes.
    #[schemars(range(min = 1_024, max = 1_048_576))]
    pub body_bytes: u64,
    /// Longest body of an operator's request, in bytes.
    #[schemars(range(min = 1_024, max = 67_108_864))]
    pub manifest_bytes: u64,
    /// Most open connections of callers.
    #[schemars(range(min = 1, max = 100_000))]
    pub caller_connections: u32,
    /// Most open connections of operators.
    #[schemars(range(min = 1, max = 10_000))]
    pub operator_connections: u32,
    /// Most requests that wait for an answer.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub calls_in_flight: u32,
    /// Most requests that wait to be looked at for the first time.
    #[schemars(range(min = 1, max = 100_000))]
    pub caller_queue: u32,
    /// Most messages that wait to be written to one other daemon.
    #[schemars(range(min = 16, max = 100_000))]
    pub link_queue: u32,
    /// Store writes a second that this daemon may make for journals.
    #[schemars(range(min = 1, max = 10_000))]
    pub journal_writes_per_s: u32,
    /// Pieces that this daemon takes or gives up a second to even out the load.
    #[schemars(range(min = 1, max = 1_000))]
    pub moves_per_s: u32,
    /// Most jobs and requests that wait or run in one team.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub jobs_per_team: u32,
    /// Most tasks of one job.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub tasks_per_job: u32,
    /// Tasks of a non-idempotent job that may be recorded as started ahead of their start.
    #[schemars(range(min = 1, max = 10_000))]
    pub intent_window: u32,
    /// Memory of the host, in megabytes, from which the limits of bodies and frames derive.
    #[schemars(range(min = 64, max = 1_048_576))]
    pub memory_mb: u64,
    /// Most open descriptors of the process.
    #[schemars(range(min = 300, max = 10_000_000))]
    pub max_fds: u64,
}

impl LimitSettings {
    /// Returns the limits that derive from the host.
    fn client_limits(&self) -> ClientLimits {
        let host = HostResources { memory_mb: self.memory_mb, max_fds: self.max_fds };
        // Programs that embed the daemon may set any host.
        ClientLimits::for_host(host).unwrap_or_default()
    }

    /// Returns the limits of bodies that are being received on one port.
    pub(crate) fn body_limits(&self) -> BodyLimits {
        self.client_limits().bodies
    }

    /// Returns the memory for large frames of other daemons, in bytes.
    pub(crate) fn peer_frame_bytes(&self) -> usize {
        self.client_limits().peer_frame_bytes
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 65_536,
            manifest_bytes: 4 << 20,
            caller_connections: 1_024,
            operator_connections: 64,
            calls_in_flight: 10_000,
            caller_queue: 2_048,
            link_queue: 4_096,
            journal_writes_per_s: 30,
            moves_per_s: 4,
            jobs_per_team: 20_000,
            tasks_per_job: 10_000,
            intent_window: 32,
            memory_mb: SMALLEST_MEMORY_MB,
            max_fds: SMALLEST_MAX_FDS,
        }
    }
}
