//! A daemon of a cell: follows the configuration, takes part in leader elections and serves
//! callers.

use {
    crate::{
        AdviserGateway, CellStore, EntryService, LinkMeter, PeerLimits, PlatformCodec, StoreItem,
        WorkerGateway,
        follow::{FollowTiming, ItemSink, PrefixFollower, SHORT_PAGE_TIMEOUT_MS},
        forward_choice::{TYPICAL_WORKERS, needs_forwarding},
        frame::HelloFrame,
        guard::GuardWriter,
        leader::{ISOLATION_MS, LEASE_TTL_MS, LeaderContext, lead},
        leader_connection::LeaderConnection,
        leadership_transfer::LeadershipSignals,
        peer_gate::PeerGate,
        rows::{KnownLeader, LEADER_KEY, LeaderRow},
        session_registry::{SessionRegistry, serve_sessions},
        store_contact::StoreContact,
        store_regain::RegainSignal,
        submission_limits::SubmissionLimits,
    },
    cadence::StatsdClient,
    damaskrack_cell::{CellConfig, CellSettings},
    prost::Message,
    slog::{Logger, info, warn},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinHandle,
        time::sleep,
    },
};

/// Longest time for which a watch waits for changes of the configuration, in milliseconds. Each
/// response confirms that the configuration is current, so this must be well below the age from
/// which it counts as outdated.
const CONFIG_WAIT_MS: u64 = 1_200;
/// Longest time for which a watch waits for changes of the leader's row, in milliseconds.
const LEADER_WAIT_MS: u64 = 4_000;
/// Maximum random delay before a campaign, in milliseconds.
const CAMPAIGN_JITTER_MS: u64 = 60;
/// Maximum delay of a daemon with low capacity before a campaign, in milliseconds, so that daemons
/// with more capacity campaign first.
const CAMPAIGN_DELAY_MS: u64 = 400;
/// Delay after a campaign, in milliseconds.
const CAMPAIGN_RETRY_MS: u64 = 250;

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct CellNodeConfig {
    /// Address on which other daemons connect.
    pub peer_address: SocketAddr,
    /// How much work the host could do as the leader, in any unit that all daemons share.
    pub leader_capacity: u32,
    /// Availability zone of the host.
    pub zone: String,
    /// Bandwidth of the host's network link, in bytes per second; 0 if it is not known.
    pub link_bytes_per_s: u64,
    /// Age from which the configuration counts as outdated, in milliseconds.
    pub max_config_age_ms: u64,
    /// Time within which every worker that reaches the store reports a change, in milliseconds.
    pub report_delay_ms: u64,
    /// Longest time for which a leader that shuts down keeps leading until another daemon takes
    /// over, in milliseconds.
    pub transfer_timeout_ms: u64,
    /// Limits of the connections of other daemons.
    pub peer_limits: PeerLimits,
    /// Settings of the scheduler core.
    pub cell: CellSettings,
}

impl CellNodeConfig {
    /// Returns what the daemon with this id tells a leader of itself.
    fn hello(&self, daemon: u64) -> HelloFrame {
        let (leader_capacity, zone) = (self.leader_capacity, self.zone.clone());
        HelloFrame { daemon, leader_capacity, zone, is_leaving: false }
    }

    /// Returns the registry of sessions with other daemons, without any.
    fn registry(&self, external: &OutsideLinks) -> SessionRegistry {
        let gate = PeerGate::new(self.peer_limits, external.metrics.clone());
        SessionRegistry::new(external.meter.clone()).with_gate(gate)
    }

    /// Returns the settings of this daemon's scheduler core.
    fn core_settings(&self) -> CellSettings {
        CellSettings { isolation_ms: ISOLATION_MS + LEASE_TTL_MS, ..self.cell.clone() }
    }
}

/// Clients of the external systems.
#[derive(Clone)]
pub struct OutsideLinks {
    /// The store.
    pub store: Arc<dyn CellStore>,
    /// The workers.
    pub workers: Arc<dyn WorkerGateway>,
    /// The adviser.
    pub adviser: Arc<dyn AdviserGateway>,
    /// Decoder of the documents that operators and workers write into the store.
    pub codec: Arc<dyn PlatformCodec>,
    /// Client for counters and latencies.
    pub metrics: Arc<StatsdClient>,
    /// Counters of the bytes that the daemon exchanges.
    pub meter: Arc<LinkMeter>,
}

impl std::fmt::Debug for OutsideLinks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OutsideLinks")
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct CellNode {
    entry: Arc<EntryService>,
    connection: Arc<LeaderConnection>,
    is_shutting_down: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    election: JoinHandle<()>,
}

impl CellNode {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot listen on its peer address.
    pub async fn start(
        config: CellNodeConfig,
        external: OutsideLinks,
        logger: Logger,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(config.peer_address).await?;
        let id = rand::random_range(1..=u64::MAX);
        let registry = Arc::new(config.registry(&external));
        let hello = config.hello(id);
        let is_link_narrow = needs_forwarding(config.link_bytes_per_s, TYPICAL_WORKERS);
        let connection = LeaderConnection::new(
            hello.clone(),
            &external,
            registry.clone(),
            is_link_narrow,
            logger.clone(),
        );
        let (config_sender, config_receiver) = watch::channel(Arc::new(CellConfig::default()));
        let config_confirmed_ms = Arc::new(AtomicU64::new(0));
        let is_shutting_down = Arc::new(AtomicBool::new(false));
        let entry = Arc::new(EntryService {
            store: external.store.clone(),
            connection: connection.clone(),
            config: config_receiver.clone(),
            config_confirmed_ms: config_confirmed_ms.clone(),
            max_config_age_ms: config.max_config_age_ms,
            is_shutting_down: is_shutting_down.clone(),
            breaker_until_ms: AtomicU64::new(0),
            limits: SubmissionLimits::new(config.cell.job_memory_bytes),
            metrics: external.metrics.clone(),
        });
        let (leader_sender, leader_receiver) = watch::channel(None);
        let (stop, stopped) = watch::channel(false);
        let contact = Arc::new(StoreContact::new(config.report_delay_ms));
        let followed = FollowedStore::new(&external, contact.clone(), &logger);
        spawn_followers(&followed, config_sender, config_confirmed_ms, leader_sender);
        let transfer_requests = connection.transfer_requests();
        tokio::spawn(connection.clone().run(leader_receiver.clone()));
        tokio::spawn(serve_sessions(registry.clone(), listener, logger.clone()));
        let context = LeaderContext {
            external,
            registry,
            config: config_receiver,
            settings: config.core_settings(),
            link_bytes_per_s: config.link_bytes_per_s,
            regain: followed.regain,
            store_contact: contact,
            logger,
        };
        let address = config.peer_address.to_string();
        let transfer_timeout = Duration::from_millis(config.transfer_timeout_ms);
        let signals =
            LeadershipSignals { leader: leader_receiver, stop: stopped, transfer_timeout };
        let candidate = Candidate {
            context,
            hello,
            address,
            connection: connection.clone(),
            transfer_requests,
            signals,
        };
        let election = tokio::spawn(candidate.run());
        Ok(Self { entry, connection, is_shutting_down, stop, election })
    }

    /// Returns the service for callers.
    #[must_use]
    pub fn entry(&self) -> Arc<EntryService> {
        self.entry.clone()
    }

    /// Transfers the leadership and stops reporting ready to new callers. Connected callers are
    /// still served.
    pub async fn shut_down(&mut self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
        self.connection.leave();
        // The election task may have ended already.
        let _ = self.stop.send(true);
        let _ = (&mut self.election).await;
    }
}

/// This daemon's part in leader elections.
struct Candidate {
    context: LeaderContext,
    hello: HelloFrame,
    address: String,
    connection: Arc<LeaderConnection>,
    /// Terms whose leaders ask this daemon to take over.
    transfer_requests: mpsc::Receiver<u64>,
    signals: LeadershipSignals,
}

impl Candidate {
    /// Campaigns whenever there is no leader, or the leader asks this daemon to take over.
    async fn run(mut self) {
        while !*self.signals.stop.borrow() {
            match self.find_vacancy().await {
                Some(revision) => {
                    self.campaign(revision).await;
                    sleep(Duration::from_millis(CAMPAIGN_RETRY_MS)).await;
                }
                None => self.wait_for_change().await,
            }
        }
    }

    /// Returns the revision of the leader's row to replace, which is 0 without a leader; `None` if
    /// this daemon should not campaign.
    async fn find_vacancy(&mut self) -> Option<u64> {
        if self.context.config.borrow_and_update().version == 0 {
            return None;
        }
        let is_vacant = |known: &Option<KnownLeader>| {
            known.as_ref().is_none_or(|known| known.row.id == self.hello.daemon)
        };
        if !is_vacant(&self.signals.leader.borrow_and_update()) {
            return None;
        }
        // Keeps daemons that detect the vacancy at the same time from all writing at once.
        let jitter_ms = rand::random_range(0..=CAMPAIGN_JITTER_MS);
        sleep(Duration::from_millis(self.campaign_delay_ms() + jitter_ms)).await;
        is_vacant(&self.signals.leader.borrow()).then_some(0)
    }

    /// Returns how long this daemon leaves a vacancy to daemons with more capacity, in
    /// milliseconds.
    fn campaign_delay_ms(&self) -> u64 {
        let max_leader_capacity = u64::from(self.connection.leader_status().max_leader_capacity);
        let missing = max_leader_capacity.saturating_sub(u64::from(self.hello.leader_capacity));
        (CAMPAIGN_DELAY_MS * missing).checked_div(max_leader_capacity).unwrap_or(0)
    }

    async fn wait_for_change(&mut self) {
        tokio::select! {
            _ = self.signals.leader.changed() => {}
            _ = self.context.config.changed() => {}
            _ = self.signals.stop.changed() => {}
            term = self.transfer_requests.recv() => if let Some(term) = term {
                let known = self.signals.leader.borrow().clone();
                if let Some(known) = known.filter(|known| known.row.term == term) {
                    self.campaign(known.revision).await;
                }
            }
        }
    }

    async fn campaign(&self, leader_revision: u64) {
        let context = &self.context;
        let Ok(lease) = context.external.store.grant_lease(LEASE_TTL_MS).await else { return };
        let (store, logger) = (context.external.store.clone(), context.logger.clone());
        let identity = (self.hello.daemon, self.address.clone());
        let mut stop = self.signals.stop.clone();
        let won = tokio::select! {
            won = GuardWriter::campaign(store, identity, lease, leader_revision, logger) => won,
            // A campaign goes on until the store responds, which may be never.
            _ = stop.wait_for(|stop| *stop) => None,
        };
        if let Some(won) = won {
            lead(context.clone(), won, lease, self.hello.leader_capacity, self.signals.clone())
                .await;
        }
        if let Err(error) = context.external.store.revoke_lease(lease).await {
            info!(context.logger, "lease_not_revoked"; "fault" => ?error);
        }
    }
}

/// What a task that follows a prefix of the store uses.
#[derive(Clone)]
struct FollowedStore {
    external: OutsideLinks,
    regain: Arc<RegainSignal>,
    contact: Arc<StoreContact>,
    logger: Logger,
}

impl FollowedStore {
    fn new(external: &OutsideLinks, contact: Arc<StoreContact>, logger: &Logger) -> Self {
        let (external, logger) = (external.clone(), logger.clone());
        Self { external, regain: Arc::default(), contact, logger }
    }

    async fn follow(&self, prefix: &str, wait_ms: u64, sink: &mut dyn ItemSink) {
        let timing =
            FollowTiming { wait_ms, interval_ms: 0, page_timeout_ms: SHORT_PAGE_TIMEOUT_MS };
        let follower = PrefixFollower {
            store: self.external.store.as_ref(),
            prefix,
            timing,
            regain: &self.regain,
            logger: &self.logger,
        };
        follower.run(sink).await;
    }
}

/// Starts the tasks that follow the configuration and the leader and report the link's use.
fn spawn_followers(
    followed: &FollowedStore,
    config_sender: watch::Sender<Arc<CellConfig>>,
    config_confirmed_ms: Arc<AtomicU64>,
    leader_sender: watch::Sender<Option<KnownLeader>>,
) {
    let OutsideLinks { metrics, meter, .. } = followed.external.clone();
    tokio::spawn(meter.report(metrics, followed.logger.clone()));
    tokio::spawn(follow_leader(followed.clone(), leader_sender));
    tokio::spawn(follow_config(followed.clone(), config_sender, config_confirmed_ms));
}

async fn follow_config(
    followed: FollowedStore,
    sender: watch::Sender<Arc<CellConfig>>,
    config_confirmed_ms: Arc<AtomicU64>,
) {
    let codec = followed.external.codec.clone();
    let mut sink = ConfigSink {
        codec: codec.clone(),
        sender,
        config_confirmed_ms,
        contact: followed.contact.clone(),
        items: BTreeMap::new(),
        is_changed: false,
        logger: followed.logger.clone(),
    };
    followed.follow(codec.config_prefix(), CONFIG_WAIT_MS, &mut sink).await;
}

struct ConfigSink {
    codec: Arc<dyn PlatformCodec>,
    sender: watch::Sender<Arc<CellConfig>>,
    config_confirmed_ms: Arc<AtomicU64>,
    contact: Arc<StoreContact>,
    items: BTreeMap<String, Vec<u8>>,
    is_changed: bool,
    logger: Logger,
}

impl ItemSink for ConfigSink {
    fn replace(&mut self, items: Vec<StoreItem>) {
        self.items = items.into_iter().map(|item| (item.key, item.value)).collect();
        self.is_changed = true;
    }

    fn update(&mut self, item: StoreItem) {
        match item.is_deleted {
            true => self.items.remove(&item.key),
            false => self.items.insert(item.key, item.value),
        };
        self.is_changed = true;
    }

    fn caught_up(&mut self, sent_ms: u64) {
        if std::mem::take(&mut self.is_changed) {
            match self.codec.read_config(&self.items) {
                Some(config) => self.adopt(config),
                None => warn!(self.logger, "config_unreadable"; "items" => self.items.len()),
            }
        }
        self.config_confirmed_ms.fetch_max(sent_ms, Ordering::Relaxed);
        self.contact.record_response();
    }
}

impl ConfigSink {
    fn adopt(&self, config: CellConfig) {
        let known = self.sender.borrow().version;
        if config.version < known {
            warn!(self.logger, "config_older"; "version" => config.version, "known" => known);
            return;
        }
        info!(self.logger, "config_adopted"; "version" => config.version,
            "queues" => config.queues.len(), "teams" => config.teams.len(),
            "closed_zones" => config.closed_zones.len());
        self.sender.send_replace(Arc::new(config));
    }
}

async fn follow_leader(followed: FollowedStore, sender: watch::Sender<Option<KnownLeader>>) {
    let mut sink = LeaderSink { sender };
    followed.follow(LEADER_KEY, LEADER_WAIT_MS, &mut sink).await;
}

struct LeaderSink {
    sender: watch::Sender<Option<KnownLeader>>,
}

impl ItemSink for LeaderSink {
    fn replace(&mut self, items: Vec<StoreItem>) {
        match items.into_iter().next() {
            Some(item) => self.update(item),
            None => {
                self.sender.send_replace(None);
            }
        }
    }

    fn update(&mut self, item: StoreItem) {
        let row = LeaderRow::decode(item.value.as_slice()).ok();
        let row = row.filter(|_| !item.is_deleted);
        let leader = row.map(|row| KnownLeader { row, revision: item.revision });
        self.sender.send_if_modified(|known| {
            let is_modified = *known != leader;
            *known = leader;
            is_modified
        });
    }

    fn caught_up(&mut self, _sent_ms: u64) {}
}
