//! The leader: runs the scheduler core and executes its actions.
//!
//! A leader is deposed by a fenced write that fails, not by its own clock alone. The clock sets two
//! bounds: a leader sends nothing to workers once the store has not confirmed its leadership until
//! [`ISOLATION_MS`] after its lease has expired, and a successor treats the attempts on an
//! unreachable worker as running until all leases that such a leader may have renewed have expired.
//! The successor need not wait for the isolation once every former leader is known to have ended
//! ([`TermCloser`]).

use {
    crate::{
        OutsideLinks, StoreItem, WorkerGateway, boot_ms,
        ended_reader::read_ended,
        fencing_token::fencing_token,
        follow::{FollowTiming, ItemSink, LONG_PAGE_TIMEOUT_MS, PrefixFollower, read_all},
        forward_choice::{TYPICAL_WORKERS, needs_forwarding},
        forward_router::ForwardRouter,
        frame::{
            AdviceRequestFrame, AdviceResponseFrame, EmptyFrame, EntryBody, HelloFrame, LeaderBody,
            LeaderStatusFrame,
        },
        guard::GuardWriter,
        job_sink::JobSink,
        lane_writer::LaneWriter,
        leader_event::{LeaderEvent, send_input},
        leadership_status::LeadershipStatus,
        leadership_transfer::{
            LeadershipSignals, choose_highest_capacity, transfer_to_higher_capacity,
        },
        lease_keeper::LeaseKeeper,
        open_terms::OpenTermsRow,
        request_number::RequestNumber,
        row_update::RowUpdate,
        rows::{
            JOB_PREFIX, LEASE_BOUNDS_KEY, LeaseBoundsRow, PROGRESS_PREFIX, WORKER_SPEEDS_KEY,
            decode_row,
        },
        session_registry::{SessionFrame, SessionRegistry},
        store_contact::StoreContact,
        store_regain::RegainSignal,
        stored_jobs::StoredJobs,
        term_closer::TermCloser,
        unix_ms,
        won_election::WonElection,
        worker_sink::WorkerSink,
    },
    cadence::CountedExt,
    damaskrack_cell::{
        AdviceCallKey, AdviceRequest, CellAction, CellConfig, CellCore, CellInput, CellSettings,
        CommitRequest, JobRecord, OFFER_TIMEOUT_MS, RenewRequest, StartOutcome, StartRefusal,
        StopRequest, WorkerSpeedsRecord, WorkerTicket,
    },
    rustc_hash::FxHashMap,
    slog::{Logger, info, warn},
    slotmap::{Key, KeyData},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Time to live of the leader's lease, in milliseconds.
pub(crate) const LEASE_TTL_MS: u64 = 1_200;
/// Time for which a leader without access to the store continues after its lease has expired, in
/// milliseconds.
pub(crate) const ISOLATION_MS: u64 = 4_000;
/// Time without a confirmation from the store after which daemons write jobs themselves instead of
/// submitting them to the leader, in milliseconds.
const STORE_UNRESPONSIVE_MS: u64 = 1_200;
/// Time without a confirmation from the store after which a leader whose calls fail asks another
/// daemon to take over, in milliseconds. Assumes a store without latency and exceeds the interval
/// of lease renewals.
const TRANSFER_AFTER_MS: u64 = 450;
/// Time for which the list of workers could not be read from which a leader whose other calls may
/// succeed asks another daemon to take over, in milliseconds.
const LIST_TRANSFER_AFTER_MS: u64 = 3_000;
/// Number of store round trips that are added to this time.
const STORE_ROUND_TRIPS: u64 = 3;
/// Interval between two transfer requests of a leader without access to the store, in milliseconds.
const TRANSFER_RETRY_MS: u64 = 400;
/// Pause of the core after a tick, in percent of the tick's duration. With a long backlog it leaves
/// time for responses, for renewals of worker leases and for the leader's own lease.
const TICK_PAUSE_PERCENT: u64 = 100;
/// Longest pause after a tick, in milliseconds.
const MAX_TICK_PAUSE_MS: u64 = 100;
/// Interval between two checks while calls to the store fail, in milliseconds.
const STORE_ERROR_CHECK_MS: u64 = 60;
/// Longest time for which a watch waits for changes of workers, in milliseconds. Twice this time and the
/// pause must be well below the age from which the list is outdated.
const WORKER_WATCH_WAIT_MS: u64 = 400;
/// Longest time for which a watch waits for accepted jobs, in milliseconds.
const JOB_WATCH_WAIT_MS: u64 = 2_000;
/// Pause between two watches of the workers, in milliseconds.
const WORKER_WATCH_INTERVAL_MS: u64 = 150;
/// Pause between two watches of the accepted jobs, in milliseconds. Daemons notify the leader of
/// each job at once; the watch finds the jobs whose notification was lost.
const JOB_WATCH_INTERVAL_MS: u64 = 700;
/// Time without a confirmation from the store after which the leader does not count jobs any more,
/// in milliseconds. Another daemon may lead and accept jobs that this one has not read.
const MAX_COUNT_AGE_MS: u64 = LEASE_TTL_MS;
/// Interval between two status messages to all daemons, in milliseconds.
const STATUS_INTERVAL_MS: u64 = 400;
/// Time beyond the adviser's expected processing time after which a request has failed, in
/// milliseconds.
const ADVICE_MARGIN_MS: u64 = 4_500;
/// Capacity of the queues of a lane's writer.
const WRITER_QUEUE: usize = 4;
/// Capacity of the queue of events for the core.
const INPUT_QUEUE: usize = 16_384;

/// Resources of the daemon that a leader uses.
#[derive(Clone)]
pub(crate) struct LeaderContext {
    pub(crate) external: OutsideLinks,
    pub(crate) registry: Arc<SessionRegistry>,
    pub(crate) config: watch::Receiver<Arc<CellConfig>>,
    pub(crate) settings: CellSettings,
    /// Bandwidth of the host's network link, in bytes per second; 0 if it is not known.
    pub(crate) link_bytes_per_s: u64,
    pub(crate) regain: Arc<RegainSignal>,
    pub(crate) store_contact: Arc<StoreContact>,
    pub(crate) logger: Logger,
}

/// A job that a daemon has offered.
struct JobOffer {
    /// The job; `None` if jobs of several owners were offered with its id, of which one at most is written.
    record: Option<JobRecord>,
    received_ms: u64,
}

struct LeaderRun {
    context: LeaderContext,
    core: CellCore,
    token: u64,
    /// First term since which all leaders have known the row of lease bounds.
    bounds_since: u64,
    id: u64,
    events: mpsc::Sender<LeaderEvent>,
    /// Queues of the lanes' writers.
    commits: Vec<mpsc::Sender<CommitRequest>>,
    leadership: Arc<LeadershipStatus>,
    router: Arc<ForwardRouter>,
    /// Session and call number of each request that waits for a commit, by the core's handle.
    pending_replies: FxHashMap<u64, (u64, u64)>,
    last_reply_id: u64,
    /// Session of each connected daemon.
    daemon_sessions: FxHashMap<u64, u64>,
    /// Jobs that daemons have offered and may be writing, by id.
    offers: FxHashMap<String, JobOffer>,
    next_transfer_ms: u64,
    /// Time at which the list of workers was last read, in milliseconds since the host booted.
    list_read_ms: Arc<AtomicU64>,
    tasks: JoinSet<()>,
}

/// Leads until another daemon takes over or this daemon shuts down.
pub(crate) async fn lead(
    context: LeaderContext,
    WonElection { writers: guards, open_terms }: WonElection,
    lease: u64,
    leader_capacity: u32,
    mut signals: LeadershipSignals,
) {
    let Some(mut sessions) = context.registry.start_leading(guards[0].leader.term) else {
        info!(context.logger, "term_ended_before"; "term" => guards[0].leader.term);
        return;
    };
    let (events, mut inbox) = mpsc::channel(INPUT_QUEUE);
    let leadership = guards[0].leadership.clone();
    let leader = guards[0].leader.clone();
    let mut run = LeaderRun {
        core: CellCore::new(context.settings.clone()),
        token: leader.term,
        bounds_since: guards[0].bounds_since,
        id: leader.id,
        events,
        commits: Vec::new(),
        leadership: leadership.clone(),
        router: ForwardRouter::new(
            &context.external,
            context.registry.clone(),
            leader.id,
            context.link_bytes_per_s,
            context.logger.clone(),
        ),
        pending_replies: FxHashMap::default(),
        last_reply_id: 0,
        daemon_sessions: FxHashMap::default(),
        offers: FxHashMap::default(),
        next_transfer_ms: 0,
        list_read_ms: Arc::default(),
        tasks: JoinSet::new(),
        context,
    };
    let context = run.context.clone();
    let (row_updates, row_update_inbox) = mpsc::channel(WRITER_QUEUE);
    run.start_writers(guards, row_update_inbox);
    run.close_former_terms(open_terms, row_updates.clone());
    let keeper = LeaseKeeper {
        store: context.external.store.clone(),
        leadership,
        logger: context.logger.clone(),
    };
    run.tasks.spawn(keeper.run(lease, row_updates));
    let (registry, logger) = (context.registry.clone(), context.logger.clone());
    run.tasks.spawn(transfer_to_higher_capacity(registry, run.token, leader_capacity, logger));
    tokio::select! {
        () = run.load_and_run(&mut inbox, &mut sessions) => {}
        () = signals.wait_for_end(&leader, &context.registry, &context.logger) => {}
        () = context.registry.wait_until_ended(leader.term) => {}
    }
    info!(context.logger, "leading_ended"; "term" => run.token);
    // The core does not run any more. From now on the daemon may say that the term has ended.
    context.registry.stop_leading();
    run.tasks.shutdown().await;
}

impl LeaderRun {
    async fn load_and_run(
        &mut self,
        inbox: &mut mpsc::Receiver<LeaderEvent>,
        sessions: &mut mpsc::Receiver<SessionFrame>,
    ) {
        if self.load().await {
            info!(self.context.logger, "leading"; "term" => self.token);
            self.run_core(inbox, sessions).await;
        }
    }

    /// Restores the state from the store; `false` if this daemon no longer leads.
    async fn load(&mut self) -> bool {
        let started_ms = boot_ms();
        let codec = self.context.external.codec.clone();
        // Former leaders are fenced and cannot change rows, so the read order does not matter. On a
        // narrow link, reads in parallel would delay the renewals of the leader's own lease.
        let narrow = needs_forwarding(self.context.link_bytes_per_s, TYPICAL_WORKERS);
        let (
            (workers, workers_revision),
            (jobs, jobs_revision),
            (progress, _),
            (bounds, _),
            (speeds, _),
        ) = match narrow {
            true => (
                self.read_rows(codec.worker_prefix()).await,
                self.read_rows(JOB_PREFIX).await,
                self.read_rows(PROGRESS_PREFIX).await,
                self.read_rows(LEASE_BOUNDS_KEY).await,
                self.read_rows(WORKER_SPEEDS_KEY).await,
            ),
            false => tokio::join!(
                self.read_rows(codec.worker_prefix()),
                self.read_rows(JOB_PREFIX),
                self.read_rows(PROGRESS_PREFIX),
                self.read_rows(LEASE_BOUNDS_KEY),
                self.read_rows(WORKER_SPEEDS_KEY),
            ),
        };
        self.core.set_time(boot_ms(), unix_ms());
        let config = self.context.config.borrow_and_update().clone();
        self.core.apply(CellInput::Config(config));
        let reports = workers.iter().filter_map(|item| codec.read_worker(&item.key, &item.value));
        self.core.apply(CellInput::Workers(reports.collect()));
        if self.context.store_contact.record_entries(started_ms) {
            self.core.apply(CellInput::WorkersConfirmed { as_of_ms: started_ms });
        }
        let stored = StoredJobs::decode(&jobs, &progress, &self.context.logger);
        let (job_rows, progress_rows) = (jobs.len(), progress.len());
        // The jobs take as much memory again once they are restored.
        drop((jobs, progress));
        for (record, row) in stored.jobs {
            self.core.restore(record, row.as_ref());
        }
        for (id, row) in &stored.ended {
            self.core.restore_ended(id, row);
        }
        self.restore_lease_bounds(&bounds);
        self.restore_worker_speeds(&speeds);
        info!(self.context.logger, "state_read"; "jobs" => job_rows, "progress" => progress_rows,
            "workers" => workers.len(), "took_ms" => boot_ms() - started_ms);
        self.follow((workers, workers_revision), jobs_revision);
        let (store, events) = (self.context.external.store.clone(), self.events.clone());
        self.tasks.spawn(read_ended(store, events, self.context.logger.clone()));
        self.is_leadership_confirmed()
    }

    fn restore_lease_bounds(&mut self, items: &[StoreItem]) {
        for item in items.iter().filter(|item| item.key == LEASE_BOUNDS_KEY) {
            if let Some(row) = decode_row::<LeaseBoundsRow>(item, &self.context.logger) {
                self.core.restore_lease_bounds(row.valid_bounds(self.bounds_since));
            }
        }
    }

    /// Restores learned speeds. The leader learns them anew if the row is missing or damaged.
    fn restore_worker_speeds(&mut self, items: &[StoreItem]) {
        for item in items.iter().filter(|item| item.key == WORKER_SPEEDS_KEY) {
            if let Some(row) = decode_row::<WorkerSpeedsRecord>(item, &self.context.logger) {
                self.core.restore_worker_speeds(&row);
            }
        }
    }

    /// Reads all rows with a prefix and the revision from which to watch for changes.
    async fn read_rows(&self, prefix: &str) -> (Vec<StoreItem>, u64) {
        loop {
            match read_all(self.context.external.store.as_ref(), prefix, LONG_PAGE_TIMEOUT_MS).await
            {
                Ok(read) => return read,
                Err(error) => {
                    warn!(self.context.logger, "read_failed"; "prefix" => prefix,
                        "fault" => ?error);
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Starts a writer for each lane; the first one also writes the rows that identify leaders.
    fn start_writers(&mut self, guards: Vec<GuardWriter>, row_updates: mpsc::Receiver<RowUpdate>) {
        let mut row_updates = Some(row_updates);
        for (lane, mut guard) in guards.into_iter().enumerate() {
            guard.route(self.router.clone());
            let (commits, inbox) = mpsc::channel(WRITER_QUEUE);
            self.commits.push(commits);
            let row_updates = row_updates.take().unwrap_or_else(|| mpsc::channel(WRITER_QUEUE).1);
            let writer = LaneWriter { lane, guard, events: self.events.clone() };
            self.tasks.spawn(writer.run(inbox, row_updates));
        }
    }

    /// Tells the former leaders to end.
    fn close_former_terms(
        &mut self,
        open_terms: OpenTermsRow,
        row_updates: mpsc::Sender<RowUpdate>,
    ) {
        let closer = TermCloser {
            open_terms,
            isolation: Duration::from_millis(self.context.settings.isolation_ms),
            events: self.events.clone(),
            row_updates,
            meter: self.context.external.meter.clone(),
            logger: self.context.logger.clone(),
        };
        self.tasks.spawn(closer.run());
    }

    /// Follows workers and jobs from the revisions at which they were read.
    fn follow(&mut self, (workers, workers_revision): (Vec<StoreItem>, u64), jobs_revision: u64) {
        let codec = self.context.external.codec.clone();
        let prefix = codec.worker_prefix().to_owned();
        self.list_read_ms.store(boot_ms(), Ordering::Relaxed);
        let contact = self.context.store_contact.clone();
        let links = (self.router.clone(), contact, self.list_read_ms.clone());
        let logger = self.context.logger.clone();
        let mut sink = WorkerSink::new(codec, self.events.clone(), links, logger);
        sink.replace(workers);
        let timing = FollowTiming {
            wait_ms: WORKER_WATCH_WAIT_MS,
            interval_ms: WORKER_WATCH_INTERVAL_MS,
            page_timeout_ms: LONG_PAGE_TIMEOUT_MS,
        };
        self.follow_one(prefix, timing, workers_revision, sink);
        let sink = JobSink::new(self.events.clone(), self.context.logger.clone());
        let timing = FollowTiming {
            wait_ms: JOB_WATCH_WAIT_MS,
            interval_ms: JOB_WATCH_INTERVAL_MS,
            page_timeout_ms: LONG_PAGE_TIMEOUT_MS,
        };
        self.follow_one(JOB_PREFIX.to_owned(), timing, jobs_revision, sink);
    }

    fn follow_one(
        &mut self,
        prefix: String,
        timing: FollowTiming,
        revision: u64,
        mut sink: impl ItemSink + 'static,
    ) {
        let context = self.context.clone();
        self.tasks.spawn(async move {
            let follower = PrefixFollower {
                store: context.external.store.as_ref(),
                prefix: &prefix,
                timing,
                regain: &context.regain,
                logger: &context.logger,
            };
            follower.run_from(revision, &mut sink).await;
            follower.run(&mut sink).await;
        });
    }

    /// Runs the core until this daemon no longer leads.
    async fn run_core(
        &mut self,
        inbox: &mut mpsc::Receiver<LeaderEvent>,
        sessions: &mut mpsc::Receiver<SessionFrame>,
    ) {
        let mut config = self.context.config.clone();
        let mut next_status_ms = 0;
        let mut paused_until_ms = 0;
        loop {
            let now_ms = boot_ms();
            if !self.is_leadership_confirmed() {
                warn!(self.context.logger, "leading_unproven"; "term" => self.token);
                return;
            }
            if now_ms >= paused_until_ms {
                let started = Instant::now();
                for action in self.core.tick(now_ms, unix_ms()) {
                    self.execute(action).await;
                }
                paused_until_ms = boot_ms() + tick_pause_ms(started.elapsed());
            }
            if now_ms >= next_status_ms {
                next_status_ms = now_ms + STATUS_INTERVAL_MS;
                self.send_status();
            }
            self.transfer_if_store_lost(now_ms);
            let check_ms = match self.leadership.has_error() {
                true => now_ms + STORE_ERROR_CHECK_MS,
                false => u64::MAX,
            };
            let tick_ms = self.core.next_tick_ms().max(paused_until_ms);
            let next_ms = tick_ms.min(next_status_ms).min(check_ms);
            let next_ms = next_ms.max(now_ms + 1);
            let wake_at = Instant::now() + Duration::from_millis(next_ms - now_ms);
            self.core.set_time(boot_ms(), unix_ms());
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(LeaderEvent::Input(input)) => self.core.apply(*input),
                    Some(LeaderEvent::Deposed) | None => return,
                },
                frame = sessions.recv() => {
                    if let Some(frame) = frame { self.handle_frame(frame) }
                }
                Ok(()) = config.changed() => {
                    let config = config.borrow_and_update().clone();
                    self.core.apply(CellInput::Config(config));
                }
                () = sleep_until(wake_at) => continue,
            }
            self.core.set_time(boot_ms(), unix_ms());
            while let Ok(event) = inbox.try_recv() {
                match event {
                    LeaderEvent::Input(input) => self.core.apply(*input),
                    LeaderEvent::Deposed => return,
                }
            }
            while let Ok(frame) = sessions.try_recv() {
                self.handle_frame(frame);
            }
        }
    }

    /// Asks another daemon to take over if this one cannot reach the store, or only writes to it. If no
    /// daemon can reach it, none can take over, and this one continues.
    fn transfer_if_store_lost(&mut self, now_ms: u64) {
        let list_age_ms = now_ms.saturating_sub(self.list_read_ms.load(Ordering::Relaxed));
        let is_list_lost = list_age_ms >= LIST_TRANSFER_AFTER_MS;
        if !(self.is_store_lost() || is_list_lost) || now_ms < self.next_transfer_ms {
            return;
        }
        self.next_transfer_ms = now_ms + TRANSFER_RETRY_MS;
        let mut others = self.context.registry.daemons();
        others.retain(|hello| hello.daemon != self.id && !hello.is_leaving);
        let Some(chosen) = choose_highest_capacity(&others) else { return };
        warn!(self.context.logger, "resigning"; "term" => self.token, "to" => chosen);
        self.context.registry.send_to_daemon(chosen, &LeaderBody::TransferLeadership(self.token));
    }

    /// Returns whether the last confirmation is recent enough that no successor can have treated
    /// this leader's attempts as expired.
    fn is_leadership_confirmed(&self) -> bool {
        may_act(&self.leadership)
    }

    /// Returns whether daemons should write jobs themselves.
    fn is_store_unresponsive(&self) -> bool {
        self.is_store_lost() || self.leadership.confirmation_age_ms() > STORE_UNRESPONSIVE_MS
    }

    /// Returns whether calls to the store fail and none has succeeded for longer than the interval
    /// of lease renewals. A store that is slow or loses some responses does not count as lost.
    fn is_store_lost(&self) -> bool {
        let transfer_after_ms =
            TRANSFER_AFTER_MS + STORE_ROUND_TRIPS * self.leadership.store_latency_ms();
        self.leadership.has_error() && self.leadership.confirmation_age_ms() >= transfer_after_ms
    }

    fn send_status(&mut self) {
        let daemons = self.context.registry.daemons();
        self.update_daemons(&daemons);
        let now_ms = boot_ms();
        self.offers.retain(|_, offer| offer.received_ms + OFFER_TIMEOUT_MS > now_ms);
        self.context.registry.broadcast(&LeaderBody::Status(self.status(&daemons)));
    }

    fn status(&self, daemons: &[HelloFrame]) -> LeaderStatusFrame {
        LeaderStatusFrame {
            is_store_unresponsive: self.is_store_unresponsive(),
            store_latency_ms: self.leadership.store_latency_ms(),
            max_leader_capacity: daemons
                .iter()
                .map(|hello| hello.leader_capacity)
                .max()
                .unwrap_or(0),
            sent_ms: boot_ms(),
            is_link_narrow: self.router.is_link_narrow(),
            free_job_bytes: u64::try_from(self.core.free_job_bytes()).ok(),
        }
    }

    /// Records which session a daemon uses now.
    fn record_session(&mut self, daemon: u64, session: u64) {
        let former = self.daemon_sessions.get(&daemon).copied();
        if former.is_some_and(|former| former >= session) {
            return;
        }
        self.daemon_sessions.insert(daemon, session);
        if former.is_some() {
            info!(self.context.logger, "daemon_reconnected"; "daemon" => daemon,
                "session" => session);
            self.core.apply(CellInput::DaemonReconnected(daemon));
        }
    }

    fn update_daemons(&mut self, daemons: &[HelloFrame]) {
        self.router.update_daemons(daemons);
        let ids: Vec<u64> = daemons.iter().map(|hello| hello.daemon).collect();
        self.daemon_sessions.retain(|daemon, _| ids.contains(daemon));
        self.core.apply(CellInput::Daemons(ids));
    }

    fn handle_frame(&mut self, SessionFrame { session, frame }: SessionFrame) {
        let registry = &self.context.registry;
        match frame.body {
            Some(EntryBody::Hello(hello)) => {
                let daemons = registry.daemons();
                // A daemon sends no requests before it has the status.
                registry.send(session, 0, &LeaderBody::Status(self.status(&daemons)));
                self.record_session(hello.daemon, session);
                self.update_daemons(&daemons);
            }
            Some(EntryBody::Accepted(record)) => self.core.apply(CellInput::Accepted(record)),
            Some(EntryBody::Submit(record)) => {
                let reply = self.register_reply(session, frame.call);
                self.core.apply(CellInput::Submitted { record, reply });
            }
            Some(EntryBody::Offer(record)) => {
                let reply = self.register_reply(session, frame.call);
                self.core.apply(CellInput::Offered { record, reply });
            }
            Some(EntryBody::Stored(id)) => {
                // A job whose offer is no longer known, or is one of several, is found by the watch.
                let offered = self.offers.get_mut(&id).and_then(|offer| offer.record.take());
                if let Some(record) = offered {
                    self.offers.remove(&id);
                    self.core.apply(CellInput::Accepted(record));
                }
            }
            Some(EntryBody::State(id)) => {
                let state = match &frame.caller {
                    Some(caller) => self.core.state_for(&id, caller),
                    None => self.core.state_of(&id),
                };
                let state = state.map_or(-1, |state| state as i32);
                registry.send(session, frame.call, &LeaderBody::State(state));
            }
            Some(EntryBody::Pending(queue)) => {
                let response = match self.leadership.confirmation_age_ms() {
                    0..=MAX_COUNT_AGE_MS => LeaderBody::Pending(self.core.pending(&queue)),
                    _ => LeaderBody::Unavailable(EmptyFrame {}),
                };
                registry.send(session, frame.call, &response);
            }
            Some(EntryBody::Cancel(id)) => {
                let reply = self.register_reply(session, frame.call);
                self.core.apply(CellInput::Cancel { id, caller: frame.caller, reply });
            }
            Some(EntryBody::AdviceResponse(response)) => self.receive_advice(session, response),
            Some(EntryBody::Forwarded(forwarded)) => self.router.receive(session, forwarded),
            // Responded to where it is the first frame of a connection.
            Some(EntryBody::EndTerms(_)) | None => {}
        }
    }

    /// Handles the adviser's response to a request, unless a former leader sent that.
    fn receive_advice(&mut self, session: u64, response: AdviceResponseFrame) {
        let number = response.request.and_then(|request| request.in_term(self.token));
        let Some(number) = number else {
            // The client's error handler reports failures.
            let _ = self.context.external.metrics.incr("advice_outdated");
            info!(self.context.logger, "advice_outdated"; "term" => self.token,
                "session" => session, "request" => ?response.request);
            return;
        };
        let tickets = response.workers.into_iter().zip(response.tickets);
        let allowed = tickets.map(|(worker, ticket)| WorkerTicket { worker, ticket });
        let allowed = response.is_answered.then(|| allowed.collect());
        let call = AdviceCallKey::from(KeyData::from_ffi(number));
        self.core.apply(CellInput::Advice { call, allowed });
    }

    /// Remembers a job that its daemon may write itself.
    fn remember_offer(&mut self, record: JobRecord) {
        let received_ms = boot_ms();
        let former = self.offers.get(&record.id);
        let former = former.filter(|offer| offer.received_ms + OFFER_TIMEOUT_MS > received_ms);
        let is_same = |other: &JobRecord| other.owner() == record.owner();
        let is_clear = former.is_none_or(|offer| offer.record.as_ref().is_some_and(is_same));
        let id = record.id.clone();
        let offer = JobOffer { record: is_clear.then_some(record), received_ms };
        self.offers.insert(id, offer);
    }

    /// Records the origin of a request and returns a handle by which the core replies to it.
    fn register_reply(&mut self, session: u64, call: u64) -> u64 {
        self.last_reply_id += 1;
        self.pending_replies.insert(self.last_reply_id, (session, call));
        self.last_reply_id
    }

    /// Responds to the request that has this handle.
    fn respond(&mut self, reply: u64, body: &LeaderBody) {
        if let Some((session, call)) = self.pending_replies.remove(&reply) {
            self.context.registry.send(session, call, body);
        }
    }

    async fn execute(&mut self, action: CellAction) {
        match action {
            CellAction::Start(request) => {
                let (workers, events, token) = self.gateway(request.fence);
                let leadership = self.leadership.clone();
                tokio::spawn(async move {
                    // The host may have stood still since the core decided.
                    let response = match may_act(&leadership) {
                        true => workers.start(&request, token).await,
                        false => StartOutcome::Refused(StartRefusal::Unsent).into(),
                    };
                    let attempt = request.attempt;
                    send_input(&events, CellInput::StartFinished { attempt, response }).await;
                });
            }
            CellAction::Stop(request) => self.stop(request),
            CellAction::Renew(request) => {
                let (workers, events, token) = self.gateway(request.fence);
                tokio::spawn(async move {
                    let outcome = workers.renew(&request, token).await;
                    let RenewRequest { worker, fence, .. } = request;
                    send_input(&events, CellInput::RenewFinished { worker, fence, outcome }).await;
                });
            }
            CellAction::RequestAdvice(request) => self.request_advice(request),
            CellAction::Commit(request) => {
                // The core has at most one commit in flight on each lane. The send fails only after
                // the writer has reported that another daemon leads.
                let _ = self.commits[request.lane].send(request).await;
            }
            CellAction::Reply { reply, state } => {
                self.respond(reply, &LeaderBody::State(state.map_or(-1, |state| state as i32)));
            }
            CellAction::Admit { reply, record } => {
                self.remember_offer(record);
                self.respond(reply, &LeaderBody::Admitted(EmptyFrame {}));
            }
            CellAction::ReportTaken { reply } => {
                self.respond(reply, &LeaderBody::Taken(EmptyFrame {}));
            }
            CellAction::Refuse { reply, retry_ms } => {
                self.respond(reply, &LeaderBody::Refused(retry_ms));
            }
            CellAction::Resign => {
                // The queue is full only if the leader is about to end for another cause.
                let _ = self.events.try_send(LeaderEvent::Deposed);
            }
            CellAction::Log(entry) => {
                // The client's error handler reports failures.
                let _ = self.context.external.metrics.incr(entry.event);
                info!(self.context.logger, "{}", entry.event; "subject" => entry.subject,
                    "detail" => entry.detail);
            }
        }
    }

    fn stop(&self, request: StopRequest) {
        let (workers, events, token) = self.gateway(request.fence);
        tokio::spawn(async move {
            let is_acknowledged = workers.stop(&request, token).await;
            send_input(
                &events,
                CellInput::StopFinished { attempt: request.attempt, is_acknowledged },
            )
            .await;
        });
    }

    fn request_advice(&self, request: AdviceRequest) {
        let (registry, events) = (self.context.registry.clone(), self.events.clone());
        let response_timeout = Duration::from_millis(request.expected_ms + ADVICE_MARGIN_MS);
        let frame = AdviceRequestFrame {
            request: Some(RequestNumber::new(self.token, request.call.data().as_ffi())),
            phase: request.phase,
            workers: request.workers,
            expected_ms: request.expected_ms,
        };
        registry.send_to_daemon(request.daemon, &LeaderBody::RequestAdvice(frame));
        tokio::spawn(async move {
            sleep(response_timeout).await;
            send_input(&events, CellInput::Advice { call: request.call, allowed: None }).await;
        });
    }

    /// Returns what a call to a worker needs: the gateway, the queue for the outcome and the token.
    fn gateway(&self, fence: u32) -> (Arc<dyn WorkerGateway>, mpsc::Sender<LeaderEvent>, u64) {
        (self.router.clone(), self.events.clone(), fencing_token(self.token, fence))
    }
}

/// Returns whether the store confirmed the leadership recently enough to send requests to workers.
fn may_act(leadership: &LeadershipStatus) -> bool {
    leadership.confirmation_age_ms() < LEASE_TTL_MS + ISOLATION_MS
}

/// Returns the pause after a tick of this duration, in milliseconds.
fn tick_pause_ms(tick_duration: Duration) -> u64 {
    let pause_ms = u64::try_from(tick_duration.as_millis()).unwrap_or(MAX_TICK_PAUSE_MS)
        * TICK_PAUSE_PERCENT
        / 100;
    pause_ms.min(MAX_TICK_PAUSE_MS)
}
