//! Three daemons and a stand-in platform on free ports of the loopback interface.

use {
    crate::client::ApiClient,
    anyhow::Context,
    damaskrack_daemon::{
        DaemonAddresses, DaemonConfig, DaemonLog, DaemonServer, IntervalSettings, LogSettings,
        OperatorKey,
    },
    damaskrack_manifest::make_key,
    damaskrack_model::{KeyName, MemberName, TeamName, ZoneName},
    damaskrack_outside::{HttpHosts, HttpStore, HttpWorker},
    damaskrack_standin::{PlatformAddresses, PlatformPlan, StandinPlatform},
    rand::random,
    std::{net::SocketAddr, sync::Arc},
};

/// Availability zones as the stand-in platform names them; each has one daemon.
const ZONE_NAMES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Racks in each availability zone.
const RACKS_PER_ZONE: u32 = 1;

/// Workers in each rack.
const WORKERS_PER_RACK: u32 = 4;

/// Public part of the operator key.
const OPERATOR_KEY_NAME: &str = "operator";

/// Secret part of the operator key, as documented in the examples.
const OPERATOR_KEY_SECRET: &str = "demo-operator";

/// Timeout for one response, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Timeout for a graceful shutdown, in milliseconds.
const SHUTDOWN_TIMEOUT_MS: u64 = 1_000;

/// A running cell.
#[derive(Debug)]
pub(crate) struct LocalCell {
    daemons: Vec<DaemonServer>,
    platform: StandinPlatform,
    _log: DaemonLog,
}

impl LocalCell {
    /// Starts the platform and the daemons.
    pub(crate) async fn start(log_settings: LogSettings) -> anyhow::Result<Self> {
        let zone_count = u32::try_from(ZONE_NAMES.len())?;
        let plan = PlatformPlan::new(zone_count, RACKS_PER_ZONE, WORKERS_PER_RACK);
        let platform =
            StandinPlatform::start(plan).await.context("cannot start the stand-in platform")?;
        let log = DaemonLog::to_stderr(log_settings);
        let mut daemons = Vec::new();
        for (index, zone) in ZONE_NAMES.iter().enumerate() {
            let member = MemberName::new(&format!("entry-{}", index + 1))?;
            let config = DaemonConfig::new(member, ZoneName::new(zone)?)
                .with_operator_key(operator_key_entry()?)
                .with_intervals(local_intervals());
            daemons.push(start_daemon(config, &log, &platform).await?);
        }
        Ok(Self { daemons, platform, _log: log })
    }

    /// Shuts the daemons down gracefully, all at once, and then the platform.
    pub(crate) async fn shutdown(self) {
        for daemon in &self.daemons {
            daemon.control().shutdown().await;
        }
        for daemon in self.daemons {
            daemon.wait().await;
        }
    }

    /// Returns the addresses that the daemons listen on.
    pub(crate) fn daemon_addresses(&self) -> Vec<DaemonAddresses> {
        self.daemons.iter().map(DaemonServer::addresses).collect()
    }

    /// Returns the addresses that the stand-in platform listens on.
    pub(crate) fn platform_addresses(&self) -> PlatformAddresses {
        self.platform.addresses()
    }

    /// Returns the operator key as callers present it, `NAME.SECRET`.
    pub(crate) fn operator_key() -> String {
        format!("{OPERATOR_KEY_NAME}.{OPERATOR_KEY_SECRET}")
    }

    pub(crate) fn operator_client(&self) -> ApiClient {
        let key = Self::operator_key();
        self.client(|addresses| addresses.operator, &key)
    }

    pub(crate) fn caller_client(&self, key: &str) -> ApiClient {
        self.client(|addresses| addresses.caller, key)
    }

    fn client(
        &self,
        select_address: impl Fn(DaemonAddresses) -> SocketAddr,
        key: &str,
    ) -> ApiClient {
        let addresses: Vec<_> = self.daemon_addresses().into_iter().map(select_address).collect();
        ApiClient::new(&addresses, Some(key), CALL_TIMEOUT_MS, "`damaskrack local`")
    }
}

/// Shortens the shutdown timeout: all daemons stop together, so none stays to take over from
/// the others.
fn local_intervals() -> IntervalSettings {
    IntervalSettings { shutdown_ms: SHUTDOWN_TIMEOUT_MS, ..IntervalSettings::default() }
}

async fn start_daemon(
    config: DaemonConfig,
    log: &DaemonLog,
    platform: &StandinPlatform,
) -> anyhow::Result<DaemonServer> {
    DaemonServer::start(
        config,
        log.logger.clone(),
        Arc::new(HttpStore::new(platform.store_address())),
        Arc::new(HttpHosts::new(platform.hosts_address())),
        Arc::new(HttpWorker::new()),
    )
    .await
}

fn operator_key_entry() -> anyhow::Result<OperatorKey> {
    // An operator key belongs to no team; the hash does not depend on the team.
    let team = TeamName::new("operators")?;
    let salt: [u8; 16] = random();
    let entry = make_key(&KeyName::new(OPERATOR_KEY_NAME)?, &team, OPERATOR_KEY_SECRET, &salt);
    Ok(OperatorKey { name: entry.name, salt: entry.salt, hash: entry.hash })
}
