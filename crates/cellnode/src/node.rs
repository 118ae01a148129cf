//! One daemon of a cell: follows the configuration, stands for election, serves callers.

use {
    crate::{
        AdviserGateway, CellStore, EntryService, PlatformCodec, StoreItem, WorkerGateway,
        follow::{FollowPace, ItemSink, SHORT_PAGE_MS, follow_prefix},
        frame::HelloFrame,
        guard::GuardWriter,
        hub::{SessionHub, serve_hub},
        leader::{ISOLATION_MS, LEASE_TTL_MS, LeaderParts, lead},
        link::LeaderLink,
        rows::{KnownLeader, LEADER_KEY, LeaderRow},
        succession::LeadSigns,
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

/// Longest wait of a watch on the configuration, in milliseconds. Each answer shows that the
/// configuration is fresh, so it must be well below the age at which one is outdated.
const CONFIG_WAIT_MS: u64 = 1_200;
/// Longest wait of a watch on the leader's row, in milliseconds.
const LEADER_WAIT_MS: u64 = 8_000;
/// Longest random wait before a campaign, in milliseconds.
const CAMPAIGN_JITTER_MS: u64 = 60;
/// Longest wait of a weak daemon before a campaign, in milliseconds, so that stronger ones come first.
const CAMPAIGN_DELAY_MS: u64 = 400;
/// Wait after a campaign that did not succeed, in milliseconds.
const CAMPAIGN_RETRY_MS: u64 = 250;

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct CellNodeConfig {
    /// Address that other daemons connect to.
    pub peer_address: SocketAddr,
    /// How much work the host could do as the leader, on any scale that all daemons share.
    pub leader_capacity: u32,
    /// Age from which the configuration counts as outdated, in milliseconds.
    pub max_config_age_ms: u64,
    /// Longest time for which a leader that is to leave goes on leading until another one does, in
    /// milliseconds.
    pub transfer_timeout_ms: u64,
    /// Bounds of the scheduler.
    pub cell: CellSettings,
}

/// The outside systems.
#[derive(Clone)]
pub struct OutsideLinks {
    /// The store.
    pub store: Arc<dyn CellStore>,
    /// The workers.
    pub workers: Arc<dyn WorkerGateway>,
    /// The adviser.
    pub adviser: Arc<dyn AdviserGateway>,
    /// Reads what others write into the store.
    pub codec: Arc<dyn PlatformCodec>,
    /// Takes in counters and latencies.
    pub metrics: Arc<StatsdClient>,
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
    is_shutting_down: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    election: JoinHandle<()>,
}

impl CellNode {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns why its address for other daemons cannot be listened on.
    pub async fn start(
        config: CellNodeConfig,
        outside: OutsideLinks,
        logger: Logger,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(config.peer_address).await?;
        let id = rand::random_range(1..=u64::MAX);
        let hub = Arc::new(SessionHub::default());
        let hello = HelloFrame { daemon: id, leader_capacity: config.leader_capacity };
        let link = LeaderLink::new(hello, outside.adviser.clone(), hub.clone(), logger.clone());
        let (config_sender, config_receiver) = watch::channel(Arc::new(CellConfig::default()));
        let (leader_sender, leader_receiver) = watch::channel(None);
        let (stop, stopped) = watch::channel(false);
        let fresh_ms = Arc::new(AtomicU64::new(0));
        let is_shutting_down = Arc::new(AtomicBool::new(false));
        let entry = Arc::new(EntryService {
            store: outside.store.clone(),
            link: link.clone(),
            config: config_receiver.clone(),
            fresh_ms: fresh_ms.clone(),
            max_age_ms: config.max_config_age_ms,
            is_shutting_down: is_shutting_down.clone(),
            breaker_ms: AtomicU64::new(0),
            metrics: outside.metrics.clone(),
        });
        tokio::spawn(follow_config(outside.clone(), config_sender, fresh_ms, logger.clone()));
        tokio::spawn(follow_leader(outside.store.clone(), leader_sender, logger.clone()));
        let resigned = link.resignations();
        tokio::spawn(link.clone().run(leader_receiver.clone()));
        let (served, accept_logger) = (hub.clone(), logger.clone());
        tokio::spawn(async move { serve_hub(&served, listener, &accept_logger).await });
        let mut settings = config.cell;
        settings.isolation_ms = ISOLATION_MS + LEASE_TTL_MS;
        let parts = LeaderParts { outside, hub, config: config_receiver, settings, logger };
        let address = config.peer_address.to_string();
        let hand_over = Duration::from_millis(config.transfer_timeout_ms);
        let signs = LeadSigns { leader: leader_receiver, stop: stopped, hand_over };
        let candidate = Candidate { parts, hello, address, link, resigned, signs };
        let election = tokio::spawn(candidate.stand());
        Ok(Self { entry, is_shutting_down, stop, election })
    }

    /// Returns the caller-facing part.
    #[must_use]
    pub fn entry(&self) -> Arc<EntryService> {
        self.entry.clone()
    }

    /// Hands leadership over and takes no new callers; those connected are served on.
    pub async fn shut_down(&mut self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
        // The election may have ended with its task.
        let _ = self.stop.send(true);
        let _ = (&mut self.election).await;
    }
}

/// A candidate's view of who leads.
struct Candidate {
    parts: LeaderParts,
    hello: HelloFrame,
    address: String,
    link: Arc<LeaderLink>,
    /// Terms whose leaders have asked this daemon to take over.
    resigned: mpsc::Receiver<u64>,
    signs: LeadSigns,
}

impl Candidate {
    /// Stands for election whenever nobody leads, or the leader asks for it.
    async fn stand(mut self) {
        while !*self.signs.stop.borrow() {
            match self.vacancy().await {
                Some(revision) => {
                    self.campaign(revision).await;
                    sleep(Duration::from_millis(CAMPAIGN_RETRY_MS)).await;
                }
                None => self.wait().await,
            }
        }
    }

    /// Returns the revision of the leader's row to replace: 0 if nobody leads, `None` if this
    /// daemon is not to stand.
    async fn vacancy(&mut self) -> Option<u64> {
        if self.parts.config.borrow_and_update().version == 0 {
            return None;
        }
        let is_vacant = |known: &Option<KnownLeader>| {
            known.as_ref().is_none_or(|known| known.row.id == self.hello.daemon)
        };
        if !is_vacant(&self.signs.leader.borrow_and_update()) {
            return None;
        }
        // Daemons that learn of the vacancy together should not all write at once.
        let jitter_ms = rand::random_range(0..=CAMPAIGN_JITTER_MS);
        sleep(Duration::from_millis(self.handicap_ms() + jitter_ms)).await;
        is_vacant(&self.signs.leader.borrow()).then_some(0)
    }

    /// Returns how long this daemon leaves a vacancy to stronger ones, in milliseconds.
    fn handicap_ms(&self) -> u64 {
        let strongest = u64::from(self.link.report().strongest);
        let missing = strongest.saturating_sub(u64::from(self.hello.leader_capacity));
        (CAMPAIGN_DELAY_MS * missing).checked_div(strongest).unwrap_or(0)
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.signs.leader.changed() => {}
            _ = self.parts.config.changed() => {}
            _ = self.signs.stop.changed() => {}
            term = self.resigned.recv() => if let Some(term) = term {
                let known = self.signs.leader.borrow().clone();
                if let Some(known) = known.filter(|known| known.row.term == term) {
                    self.campaign(known.revision).await;
                }
            }
        }
    }

    async fn campaign(&self, leader_revision: u64) {
        let parts = &self.parts;
        let Ok(lease) = parts.outside.store.grant_lease(LEASE_TTL_MS).await else { return };
        let (store, logger) = (parts.outside.store.clone(), parts.logger.clone());
        let identity = (self.hello.daemon, self.address.clone());
        let won = GuardWriter::campaign(store, identity, lease, leader_revision, logger).await;
        if let Some(guards) = won {
            lead(parts.clone(), guards, lease, self.hello.leader_capacity, self.signs.clone())
                .await;
        }
        if let Err(fault) = parts.outside.store.revoke_lease(lease).await {
            info!(parts.logger, "lease_not_revoked"; "fault" => ?fault);
        }
    }
}

async fn follow_config(
    outside: OutsideLinks,
    sender: watch::Sender<Arc<CellConfig>>,
    fresh_ms: Arc<AtomicU64>,
    logger: Logger,
) {
    let codec = outside.codec.clone();
    let mut sink = ConfigSink {
        codec: codec.clone(),
        sender,
        fresh_ms,
        items: BTreeMap::new(),
        is_changed: false,
        logger: logger.clone(),
    };
    let pace = FollowPace { wait_ms: CONFIG_WAIT_MS, pause_ms: 0, page_ms: SHORT_PAGE_MS };
    follow_prefix(outside.store.as_ref(), codec.config_prefix(), pace, &mut sink, &logger).await;
}

struct ConfigSink {
    codec: Arc<dyn PlatformCodec>,
    sender: watch::Sender<Arc<CellConfig>>,
    fresh_ms: Arc<AtomicU64>,
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

    fn settle(&mut self, asked_ms: u64) {
        if std::mem::take(&mut self.is_changed) {
            match self.codec.read_config(&self.items) {
                Some(config) => self.adopt(config),
                None => warn!(self.logger, "config_unreadable"; "items" => self.items.len()),
            }
        }
        self.fresh_ms.fetch_max(asked_ms, Ordering::Relaxed);
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

async fn follow_leader(
    store: Arc<dyn CellStore>,
    sender: watch::Sender<Option<KnownLeader>>,
    logger: Logger,
) {
    let mut sink = LeaderSink { sender };
    let pace = FollowPace { wait_ms: LEADER_WAIT_MS, pause_ms: 0, page_ms: SHORT_PAGE_MS };
    follow_prefix(store.as_ref(), LEADER_KEY, pace, &mut sink, &logger).await;
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
            let is_news = *known != leader;
            *known = leader;
            is_news
        });
    }

    fn settle(&mut self, _asked_ms: u64) {}
}
