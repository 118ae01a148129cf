//! Configuration of a daemon, with builder methods for programs that embed it.

use {
    crate::{IntervalSettings, LimitSettings, MetricsSettings, OperatorKey, SettingsDocument},
    damaskrack_manifest::KeyEntry,
    damaskrack_model::{MemberName, TeamName, ZoneName},
    damaskrack_node::NodeConfig,
    std::net::{Ipv4Addr, SocketAddr},
};

/// Identity, addresses, timeouts and limits of one daemon.
///
/// # Examples
///
/// ```
/// use damaskrack_daemon::DaemonConfig;
///
/// let config = DaemonConfig::new("entry-1".parse()?, "zone-a".parse()?)
///     .with_caller_address("127.0.0.1:7101".parse()?);
/// assert_eq!(config.caller_address.port(), 7101);
/// assert_eq!(config.peer_address.port(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone)]
pub struct DaemonConfig {
    /// Name of the daemon.
    pub member: MemberName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Keys of operators.
    pub operator_keys: Vec<OperatorKey>,
    /// Where metrics are sent; nowhere if absent.
    pub metrics: Option<MetricsSettings>,
    /// Intervals and timeouts.
    pub intervals: IntervalSettings,
    /// Limits of queues and requests.
    pub limits: LimitSettings,
}

impl DaemonConfig {
    /// Creates a default configuration that listens on free ports of the loopback interface.
    #[must_use]
    pub fn new(member: MemberName, zone: ZoneName) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            member,
            zone,
            caller_address: any_port,
            operator_address: any_port,
            peer_address: any_port,
            operator_keys: Vec::new(),
            metrics: None,
            intervals: IntervalSettings::default(),
            limits: LimitSettings::default(),
        }
    }

    /// Creates the configuration from the parts of a settings file that concern the daemon itself.
    #[must_use]
    pub fn from_settings(document: &SettingsDocument) -> Self {
        Self {
            member: document.member.clone(),
            zone: document.availability_zone.clone(),
            caller_address: document.caller_address,
            operator_address: document.operator_address,
            peer_address: document.peer_address,
            operator_keys: document.operator_keys.clone(),
            metrics: document.metrics.clone(),
            intervals: document.intervals,
            limits: document.limits,
        }
    }

    /// Sets the address for callers.
    #[must_use]
    pub fn with_caller_address(mut self, address: SocketAddr) -> Self {
        self.caller_address = address;
        self
    }

    /// Sets the address for operators.
    #[must_use]
    pub fn with_operator_address(mut self, address: SocketAddr) -> Self {
        self.operator_address = address;
        self
    }

    /// Sets the address for other daemons.
    #[must_use]
    pub fn with_peer_address(mut self, address: SocketAddr) -> Self {
        self.peer_address = address;
        self
    }

    /// Adds an operator's key.
    #[must_use]
    pub fn with_operator_key(mut self, key: OperatorKey) -> Self {
        self.operator_keys.push(key);
        self
    }

    /// Sets the intervals and timeouts.
    #[must_use]
    pub fn with_intervals(mut self, intervals: IntervalSettings) -> Self {
        self.intervals = intervals;
        self
    }

    /// Sets the limits of queues and requests.
    #[must_use]
    pub fn with_limits(mut self, limits: LimitSettings) -> Self {
        self.limits = limits;
        self
    }

    /// Creates the core's configuration; `peer_address` is the address that the listener is bound to.
    pub(crate) fn node_config(&self, peer_address: SocketAddr, boot: u64) -> NodeConfig {
        let (intervals, limits) = (&self.intervals, &self.limits);
        NodeConfig {
            member_lease_ms: intervals.member_lease_ms,
            worker_lease_ms: intervals.worker_lease_ms,
            isolation_ms: intervals.isolation_ms,
            heartbeat_ms: intervals.heartbeat_ms,
            store_timeout_ms: intervals.store_timeout_ms,
            worker_timeout_ms: intervals.worker_timeout_ms,
            journal_writes_per_s: limits.journal_writes_per_s,
            moves_per_s: limits.moves_per_s,
            max_jobs_per_team: limits.jobs_per_team as usize,
            max_tasks_per_job: limits.tasks_per_job,
            intent_window: limits.intent_window,
            shutdown_ms: intervals.shutdown_ms,
            ..NodeConfig::new(self.member.clone(), self.zone.clone(), peer_address, boot)
        }
    }

    /// Converts the operators' keys to manifest entries, as `check_key` expects them.
    pub(crate) fn operator_key_entries(&self) -> Vec<KeyEntry> {
        // The team of an operator's key is never read.
        let Ok(team) = TeamName::new("operators") else { return Vec::new() };
        let entry = |key: &OperatorKey| KeyEntry {
            name: key.name.clone(),
            team: team.clone(),
            salt: key.salt.clone(),
            hash: key.hash.clone(),
            not_before_unix_ms: None,
            not_after_unix_ms: None,
        };
        self.operator_keys.iter().map(entry).collect()
    }
}
