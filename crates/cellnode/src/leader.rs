//! The leader: runs the scheduler core and carries out what it decides.
//!
//! A leader is deposed by the guard of its writes, never by its own clock alone. Two bounds are
//! the clock's: it sends nothing to workers once it could not show for [`ISOLATION_MS`] after its
//! lease that it still leads, and a successor takes the attempts on a worker that it cannot reach
//! for running until the leases that such a leader may have renewed are over.

use {
    crate::{
        OutsideLinks, StoreItem, WorkerGateway, boot_ms,
        follow::{FollowPace, ItemSink, LONG_PAGE_MS, follow_from, follow_prefix, read_all},
        frame::{AskFrame, EntryBody, HelloFrame, LeaderBody, ReportFrame},
        guard::GuardWriter,
        hub::{SessionFrame, SessionHub},
        job_sink::JobSink,
        lane_writer::LaneWriter,
        leader_event::{LeaderEvent, send_input},
        lease_keeper::LeaseKeeper,
        proof::LeadProof,
        rows::{JOB_PREFIX, PROGRESS_PREFIX},
        succession::{LeadSigns, choose_strong, prefer_stronger},
        unix_ms,
        worker_sink::WorkerSink,
    },
    cadence::CountedExt,
    damaskrack_cell::{
        AdviceCallKey, CellAction, CellConfig, CellCore, CellInput, CellSettings, CommitRequest,
        JobRecord, ProgressRecord, RenewOutcome, StopRequest, WorkerTicket,
    },
    prost::Message,
    rustc_hash::FxHashMap,
    slog::{Logger, info, warn},
    slotmap::{Key, KeyData},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Time to live of the leader's lease, in milliseconds.
pub(crate) const LEASE_TTL_MS: u64 = 1_200;
/// Time after the end of its lease for which a leader goes on without the store, in milliseconds.
pub(crate) const ISOLATION_MS: u64 = 4_000;
/// Time without a sign of the store after which daemons no longer leave writes to the leader, in
/// milliseconds.
const STORE_SILENT_MS: u64 = 1_200;
/// Time for which calls to the store have failed before a leader asks another daemon to take over, in
/// milliseconds, with a store that answers at once. Renewals of the lease are closer together.
const RESIGN_AFTER_MS: u64 = 450;
/// How many answers of the store this time allows for.
const STORE_ANSWERS: u64 = 3;
/// Time between two such requests, in milliseconds.
const RESIGN_RETRY_MS: u64 = 400;
/// Rest of the core after a tick, in percent of the time that the tick took, so that a long line
/// leaves time for answers, for renewals of leases and for the leader's own lease.
const REST_PERCENT: u64 = 100;
/// Longest rest, in milliseconds.
const MAX_REST_MS: u64 = 100;
/// Time between two looks at a store that gives no usable answers, in milliseconds.
const FAULT_CHECK_MS: u64 = 60;
/// Longest wait of a watch on workers or jobs, in milliseconds.
const WATCH_WAIT_MS: u64 = 10_000;
/// Time between two calls that watch the workers, in milliseconds.
const WORKER_PAUSE_MS: u64 = 150;
/// Time between two calls that watch the accepted jobs, in milliseconds. Daemons tell the leader
/// of each job at once; the watch finds those whose message was lost.
const JOB_PAUSE_MS: u64 = 700;
/// Time between two reports to all daemons, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 400;
/// Time beyond the adviser's own after which an answer no longer comes, in milliseconds.
const ASK_MARGIN_MS: u64 = 4_500;
/// Orders that wait for a writer.
const WRITER_QUEUE: usize = 4;
/// Inputs that wait for the core.
const INPUT_QUEUE: usize = 16_384;

/// What a leader needs.
#[derive(Clone)]
pub(crate) struct LeaderParts {
    pub(crate) outside: OutsideLinks,
    pub(crate) hub: Arc<SessionHub>,
    pub(crate) config: watch::Receiver<Arc<CellConfig>>,
    pub(crate) settings: CellSettings,
    pub(crate) logger: Logger,
}

struct LeaderRun {
    parts: LeaderParts,
    core: CellCore,
    token: u64,
    id: u64,
    events: mpsc::Sender<LeaderEvent>,
    /// Writers of the lanes.
    commits: Vec<mpsc::Sender<CommitRequest>>,
    proof: Arc<LeadProof>,
    /// Sessions and calls that wait until something is durable, by the core's handle.
    replies: FxHashMap<u64, (u64, u64)>,
    last_reply: u64,
    next_resign_ms: u64,
    tasks: JoinSet<()>,
}

/// Leads until another daemon does, or until the daemon is to leave.
pub(crate) async fn lead(
    parts: LeaderParts,
    guards: Vec<GuardWriter>,
    lease: u64,
    leader_capacity: u32,
    mut signs: LeadSigns,
) {
    let (events, mut inbox) = mpsc::channel(INPUT_QUEUE);
    let proof = guards[0].proof.clone();
    let leader = guards[0].leader.clone();
    let mut run = LeaderRun {
        core: CellCore::new(parts.settings.clone()),
        token: leader.term,
        id: leader.id,
        events: events.clone(),
        commits: Vec::new(),
        proof: proof.clone(),
        replies: FxHashMap::default(),
        last_reply: 0,
        next_resign_ms: 0,
        tasks: JoinSet::new(),
        parts,
    };
    let parts = run.parts.clone();
    let mut sessions = parts.hub.open();
    let (renewals, renewal_inbox) = mpsc::channel(WRITER_QUEUE);
    run.start_writers(guards, renewal_inbox);
    let keeper =
        LeaseKeeper { store: parts.outside.store.clone(), proof, logger: parts.logger.clone() };
    run.tasks.spawn(keeper.run(lease, renewals));
    let (hub, logger) = (parts.hub.clone(), parts.logger.clone());
    run.tasks.spawn(prefer_stronger(hub, run.token, leader_capacity, logger));
    tokio::select! {
        () = run.load_and_work(&mut inbox, &mut sessions) => {}
        () = signs.end(&leader, &parts.hub, &parts.logger) => {}
    }
    info!(parts.logger, "leading_ended"; "term" => run.token);
    parts.hub.close();
    run.tasks.shutdown().await;
}

impl LeaderRun {
    async fn load_and_work(
        &mut self,
        inbox: &mut mpsc::Receiver<LeaderEvent>,
        sessions: &mut mpsc::Receiver<SessionFrame>,
    ) {
        if self.load().await {
            info!(self.parts.logger, "leading"; "term" => self.token);
            self.work(inbox, sessions).await;
        }
    }

    /// Reads what former leaders left in the store; `false` if this daemon no longer leads.
    async fn load(&mut self) -> bool {
        let began_ms = boot_ms();
        let codec = self.parts.outside.codec.clone();
        // No former leader changes a row any more, so they may be read in any order.
        let ((workers, workers_read), (jobs, jobs_read), (progress, _)) = tokio::join!(
            self.read_rows(codec.worker_prefix()),
            self.read_rows(JOB_PREFIX),
            self.read_rows(PROGRESS_PREFIX),
        );
        self.core.set_time(boot_ms(), unix_ms());
        let config = self.parts.config.borrow_and_update().clone();
        self.core.apply(CellInput::Config(config));
        let reports = workers.iter().filter_map(|item| codec.read_worker(&item.key, &item.value));
        self.core.apply(CellInput::Workers(reports.collect()));
        let mut rows: FxHashMap<&str, ProgressRecord> = progress
            .iter()
            .filter_map(|item| {
                let id = item.key.strip_prefix(PROGRESS_PREFIX)?;
                Some((id, ProgressRecord::decode(item.value.as_slice()).ok()?))
            })
            .collect();
        for item in &jobs {
            match JobRecord::decode(item.value.as_slice()) {
                Ok(record) => {
                    let row = rows.remove(record.id.as_str());
                    self.core.restore(record, row.as_ref());
                }
                Err(error) => {
                    warn!(self.parts.logger, "row_unreadable"; "key" => &item.key, "error" => %error);
                }
            }
        }
        for (id, row) in &rows {
            self.core.restore_ended(id, row);
        }
        info!(self.parts.logger, "state_read"; "jobs" => jobs.len(), "progress" => progress.len(),
            "workers" => workers.len(), "took_ms" => boot_ms() - began_ms);
        self.follow((workers, workers_read), jobs_read);
        self.is_proven()
    }

    /// Reads all rows with a prefix, and the revision after which changes must be watched.
    async fn read_rows(&self, prefix: &str) -> (Vec<StoreItem>, u64) {
        loop {
            match read_all(self.parts.outside.store.as_ref(), prefix, LONG_PAGE_MS).await {
                Ok(read) => return read,
                Err(fault) => {
                    warn!(self.parts.logger, "read_failed"; "prefix" => prefix, "fault" => ?fault);
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Starts a writer for each lane; the first one also renews the leader's row.
    fn start_writers(&mut self, guards: Vec<GuardWriter>, renewals: mpsc::Receiver<u64>) {
        let mut renewals = Some(renewals);
        for (lane, guard) in guards.into_iter().enumerate() {
            let (commits, inbox) = mpsc::channel(WRITER_QUEUE);
            self.commits.push(commits);
            let renewals = renewals.take().unwrap_or_else(|| mpsc::channel(WRITER_QUEUE).1);
            let writer = LaneWriter { lane, guard, events: self.events.clone() };
            self.tasks.spawn(writer.run(inbox, renewals));
        }
    }

    /// Starts to follow workers and jobs from the revisions at which they were read.
    fn follow(&mut self, (workers, workers_read): (Vec<StoreItem>, u64), jobs_read: u64) {
        let codec = self.parts.outside.codec.clone();
        let prefix = codec.worker_prefix().to_owned();
        let mut sink = WorkerSink::new(codec, self.events.clone());
        sink.replace(workers);
        self.follow_one(prefix, WORKER_PAUSE_MS, workers_read, sink);
        let sink = JobSink { events: self.events.clone() };
        self.follow_one(JOB_PREFIX.to_owned(), JOB_PAUSE_MS, jobs_read, sink);
    }

    fn follow_one(
        &mut self,
        prefix: String,
        pause_ms: u64,
        revision: u64,
        mut sink: impl ItemSink + 'static,
    ) {
        let parts = self.parts.clone();
        let pace = FollowPace { wait_ms: WATCH_WAIT_MS, pause_ms, page_ms: LONG_PAGE_MS };
        self.tasks.spawn(async move {
            let (store, logger) = (parts.outside.store.as_ref(), &parts.logger);
            follow_from(store, &prefix, pace, revision, &mut sink, logger).await;
            follow_prefix(store, &prefix, pace, &mut sink, logger).await;
        });
    }

    /// Runs the core until this daemon no longer leads.
    async fn work(
        &mut self,
        inbox: &mut mpsc::Receiver<LeaderEvent>,
        sessions: &mut mpsc::Receiver<SessionFrame>,
    ) {
        let mut config = self.parts.config.clone();
        let mut next_report_ms = 0;
        let mut rest_until_ms = 0;
        loop {
            let now_ms = boot_ms();
            if !self.is_proven() {
                warn!(self.parts.logger, "leading_unproven"; "term" => self.token);
                return;
            }
            if now_ms >= rest_until_ms {
                let began = Instant::now();
                for action in self.core.tick(now_ms, unix_ms()) {
                    self.carry_out(action).await;
                }
                rest_until_ms = boot_ms() + rest_ms(began.elapsed());
            }
            if now_ms >= next_report_ms {
                next_report_ms = now_ms + REPORT_INTERVAL_MS;
                self.report();
            }
            self.resign_if_cut(now_ms);
            let check_ms = match self.proof.has_fault() {
                true => now_ms + FAULT_CHECK_MS,
                false => u64::MAX,
            };
            let tick_ms = self.core.next_tick_ms().max(rest_until_ms);
            let next_ms = tick_ms.min(next_report_ms).min(check_ms);
            let next_ms = next_ms.max(now_ms + 1);
            let wake = Instant::now() + Duration::from_millis(next_ms - now_ms);
            self.core.set_time(boot_ms(), unix_ms());
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(LeaderEvent::Input(input)) => self.core.apply(input),
                    Some(LeaderEvent::Deposed) | None => return,
                },
                frame = sessions.recv() => {
                    if let Some(frame) = frame { self.take_frame(frame) }
                }
                Ok(()) = config.changed() => {
                    let config = config.borrow_and_update().clone();
                    self.core.apply(CellInput::Config(config));
                }
                () = sleep_until(wake) => continue,
            }
            self.core.set_time(boot_ms(), unix_ms());
            while let Ok(event) = inbox.try_recv() {
                match event {
                    LeaderEvent::Input(input) => self.core.apply(input),
                    LeaderEvent::Deposed => return,
                }
            }
            while let Ok(frame) = sessions.try_recv() {
                self.take_frame(frame);
            }
        }
    }

    /// Asks another daemon to take over if the store is out of reach. If it is so for all, nobody
    /// can, and this daemon goes on.
    fn resign_if_cut(&mut self, now_ms: u64) {
        if !self.is_store_lost() || now_ms < self.next_resign_ms {
            return;
        }
        self.next_resign_ms = now_ms + RESIGN_RETRY_MS;
        let mut others = self.parts.hub.daemons();
        others.retain(|hello| hello.daemon != self.id);
        let Some(chosen) = choose_strong(&others) else { return };
        warn!(self.parts.logger, "resigning"; "term" => self.token, "to" => chosen);
        self.parts.hub.send_to_daemon(chosen, &LeaderBody::Resign(self.token));
    }

    /// Tells whether a successor cannot yet have taken this daemon's attempts for lapsed.
    fn is_proven(&self) -> bool {
        self.proof.age_ms() < LEASE_TTL_MS + ISOLATION_MS
    }

    /// Tells whether daemons should not leave writes to this leader.
    fn is_store_silent(&self) -> bool {
        self.is_store_lost() || self.proof.age_ms() > STORE_SILENT_MS
    }

    /// Tells whether calls to the store fail and none has succeeded for longer than renewals of the
    /// lease are apart. A store that is slow, or loses some of its answers, is not lost.
    fn is_store_lost(&self) -> bool {
        let limit_ms = RESIGN_AFTER_MS + STORE_ANSWERS * self.proof.answer_ms();
        self.proof.has_fault() && self.proof.age_ms() >= limit_ms
    }

    fn report(&mut self) {
        let daemons = self.parts.hub.daemons();
        let strongest = daemons.iter().map(|hello| hello.leader_capacity).max().unwrap_or(0);
        self.note_askers(&daemons);
        let report = ReportFrame {
            is_store_silent: self.is_store_silent(),
            store_answer_ms: self.proof.answer_ms(),
            strongest,
        };
        self.parts.hub.broadcast(&LeaderBody::Report(report));
    }

    fn note_askers(&mut self, daemons: &[HelloFrame]) {
        let ids = daemons.iter().map(|hello| hello.daemon).collect();
        self.core.apply(CellInput::Daemons(ids));
    }

    fn take_frame(&mut self, SessionFrame { session, frame }: SessionFrame) {
        let hub = &self.parts.hub;
        match frame.body {
            Some(EntryBody::Hello(_)) => {
                let daemons = hub.daemons();
                self.note_askers(&daemons);
            }
            Some(EntryBody::Accepted(record)) => self.core.apply(CellInput::Accepted(record)),
            Some(EntryBody::Submit(record)) => {
                let reply = self.reply_to(session, frame.call);
                self.core.apply(CellInput::Submitted { record, reply });
            }
            Some(EntryBody::State(id)) => {
                let state = self.core.state_of(&id).map_or(-1, |state| state as i32);
                hub.send(session, frame.call, &LeaderBody::State(state));
            }
            Some(EntryBody::Pending(queue)) => {
                let count = self.core.pending(&queue);
                hub.send(session, frame.call, &LeaderBody::Pending(count));
            }
            Some(EntryBody::Cancel(id)) => {
                let reply = self.reply_to(session, frame.call);
                self.core.apply(CellInput::Cancel { id, reply });
            }
            Some(EntryBody::Advice(answer)) => {
                let tickets = answer.workers.into_iter().zip(answer.tickets);
                let allowed = tickets.map(|(worker, ticket)| WorkerTicket { worker, ticket });
                let allowed = answer.is_answered.then(|| allowed.collect());
                let call = AdviceCallKey::from(KeyData::from_ffi(answer.ask));
                self.core.apply(CellInput::Advice { call, allowed });
            }
            None => {}
        }
    }

    /// Notes who waits for an answer, and returns the core's handle for it.
    fn reply_to(&mut self, session: u64, call: u64) -> u64 {
        self.last_reply += 1;
        self.replies.insert(self.last_reply, (session, call));
        self.last_reply
    }

    async fn carry_out(&mut self, action: CellAction) {
        match action {
            CellAction::Start(order) => {
                let (workers, events, token) = self.gateway();
                tokio::spawn(async move {
                    let (outcome, clock_ms) = workers.start(&order, token).await;
                    let attempt = order.attempt;
                    send_input(&events, CellInput::StartFinished { attempt, outcome, clock_ms })
                        .await;
                });
            }
            CellAction::Stop(order) => self.stop(order),
            CellAction::Renew(order) => {
                let (workers, events, token) = self.gateway();
                tokio::spawn(async move {
                    let outcome = workers.renew(&order, token).await;
                    if outcome == RenewOutcome::Fenced {
                        // Only a later leader has a higher token. A core that is gone needs no word.
                        let _ = events.send(LeaderEvent::Deposed).await;
                    }
                    send_input(&events, CellInput::RenewFinished { worker: order.worker, outcome })
                        .await;
                });
            }
            CellAction::RequestAdvice(order) => {
                let (hub, events) = (self.parts.hub.clone(), self.events.clone());
                let limit = Duration::from_millis(order.expected_ms + ASK_MARGIN_MS);
                let frame = AskFrame {
                    ask: order.call.data().as_ffi(),
                    phase: order.phase,
                    workers: order.workers,
                    expected_ms: order.expected_ms,
                };
                hub.send_to_daemon(order.daemon, &LeaderBody::Ask(frame));
                tokio::spawn(async move {
                    sleep(limit).await;
                    send_input(&events, CellInput::Advice { call: order.call, allowed: None })
                        .await;
                });
            }
            CellAction::Commit(order) => {
                // The core sends one commit at a time on each lane; a writer that has ended has
                // told that another daemon leads.
                let _ = self.commits[order.lane].send(order).await;
            }
            CellAction::Reply { reply, state } => {
                if let Some((session, call)) = self.replies.remove(&reply) {
                    let state = state.map_or(-1, |state| state as i32);
                    self.parts.hub.send(session, call, &LeaderBody::State(state));
                }
            }
            CellAction::Refuse { reply, retry_ms } => {
                if let Some((session, call)) = self.replies.remove(&reply) {
                    self.parts.hub.send(session, call, &LeaderBody::Refused(retry_ms));
                }
            }
            CellAction::Log(note) => {
                // The client's own handler reports what it cannot emit.
                let _ = self.parts.outside.metrics.incr(note.event);
                info!(self.parts.logger, "{}", note.event; "subject" => note.subject,
                    "detail" => note.detail);
            }
        }
    }

    fn stop(&self, order: StopRequest) {
        let (workers, events, token) = self.gateway();
        tokio::spawn(async move {
            let is_acknowledged = workers.stop(&order, token).await;
            send_input(
                &events,
                CellInput::StopFinished { attempt: order.attempt, is_acknowledged },
            )
            .await;
        });
    }

    fn gateway(&self) -> (Arc<dyn WorkerGateway>, mpsc::Sender<LeaderEvent>, u64) {
        (self.parts.outside.workers.clone(), self.events.clone(), self.token)
    }
}

/// Returns how long the core rests after a tick that took so long, in milliseconds.
fn rest_ms(spent: Duration) -> u64 {
    let rest_ms = u64::try_from(spent.as_millis()).unwrap_or(MAX_REST_MS) * REST_PERCENT / 100;
    rest_ms.min(MAX_REST_MS)
}
