//! A scheduler core with fake workers, store and adviser.
//!
//! The fakes respond at once unless a test delays their responses. They check the invariants: no
//! worker exceeds its capacity, no task runs twice, and no end is acknowledged before it is in the
//! store.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on should panic")]

pub(crate) mod adviser;
mod crash;
mod former;
pub(crate) mod layout;
pub(crate) mod load_model;
mod reference;
mod renewals;
pub(crate) mod speeds;
mod worker;

pub(crate) use worker::{FakeRun, FakeWorker};

use {
    adviser::IssuedTickets,
    crash::CrashingTasks,
    damaskrack_cell::{
        AdviceRequest, AdviceTiming, AttemptKey, CellAction, CellConfig, CellCore, CellInput,
        CellSettings, CommitRequest, EndKind, JobRecord, JobState, LogEntry, ProgressRecord,
        QueueConfig, RejectedJob, RenewOutcome, RenewRequest, ResourceSet, StartOutcome,
        StartRefusal, StartRequest, StartResponse, StepSpec, StopRequest, TeamConfig, WorkerReport,
        WorkerSpeedsRecord,
    },
    former::{FormerLeader, StoredBounds},
    load_model::LoadModel,
    renewals::WaitingRenewal,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
    worker::LateRequest,
};

/// Unix time at the start of each test, in milliseconds.
pub(crate) const WALL_MS: u64 = 1_700_000_000_000;
/// Time after which a request on a [`FakeLink`] has failed, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 350;
/// Longest lease that a fake worker grants, in milliseconds. Leaders ask for less.
pub(crate) const MAX_LEASE_MS: u64 = 10_000;
/// Time in which any lease of a worker that does not respond has expired, in milliseconds.
pub(crate) const LAPSE_MS: u64 = 2 * MAX_LEASE_MS;
/// Time after a worker's first response in which the leases of other requests have expired, in milliseconds.
pub(crate) const OTHER_LEASES_MS: u64 = 11_000;
/// Time after which a request without a response is no longer carried out, in milliseconds.
pub(crate) const MAX_REQUEST_DELAY_MS: u64 = 15_000;
/// Time after which requests to former incarnations of a worker have extended no lease, in milliseconds.
pub(crate) const FORMER_LIFE_MS: u64 = 30_000;
/// Number of requests to start an attempt of which none has a response.
pub(crate) const MAX_START_TRIES: usize = 3;
/// Capacity of a fake worker.
pub(crate) const CAPACITY: ResourceSet =
    ResourceSet { cpu_millis: 4_000, memory_mb: 4_096, accelerators: 0 };

/// A request on a [`FakeLink`].
#[derive(Debug)]
struct QueuedRequest {
    sent_ms: u64,
    /// `None` once the request has timed out.
    action: Option<CellAction>,
}

/// The leader's network link. It transmits requests one after the other at a limited rate, and
/// transmits those that have timed out meanwhile all the same.
#[derive(Debug, Default)]
pub(crate) struct FakeLink {
    pub(crate) requests_per_s: u64,
    queued: VecDeque<QueuedRequest>,
    /// Transmission capacity left over, in thousandths of a request.
    credit: u64,
    /// Number of start requests without a response in time.
    pub(crate) lost_starts: usize,
    /// Number of renewals without a response in time.
    pub(crate) lost_renewals: usize,
}

impl FakeLink {
    pub(crate) fn new(requests_per_s: u64) -> Self {
        Self { requests_per_s, ..Self::default() }
    }

    fn queue(&mut self, action: CellAction, now_ms: u64) {
        self.queued.push_back(QueuedRequest { sent_ms: now_ms, action: Some(action) });
    }

    /// Transmits for 10 ms and returns the requests that arrived.
    fn transmit(&mut self) -> Vec<CellAction> {
        self.credit += self.requests_per_s * 10;
        let mut delivered = Vec::new();
        while self.credit >= 1_000
            && let Some(request) = self.queued.pop_front()
        {
            self.credit -= 1_000;
            delivered.extend(request.action);
        }
        if self.queued.is_empty() {
            self.credit = self.credit.min(1_000);
        }
        delivered
    }

    /// Returns the queued requests that time out now.
    fn time_out(&mut self, now_ms: u64) -> Vec<CellAction> {
        let late =
            self.queued.iter_mut().filter(|request| now_ms > request.sent_ms + REQUEST_TIMEOUT_MS);
        let lost: Vec<CellAction> = late.filter_map(|request| request.action.take()).collect();
        let is_start = |action: &&CellAction| matches!(action, CellAction::Start(_));
        let is_renewal = |action: &&CellAction| matches!(action, CellAction::Renew(_));
        self.lost_starts += lost.iter().filter(is_start).count();
        self.lost_renewals += lost.iter().filter(is_renewal).count();
        lost
    }
}

/// The core under test with its fake environment.
pub(crate) struct FakeCell {
    pub(crate) core: CellCore,
    /// Settings of the next leaders.
    pub(crate) settings: CellSettings,
    pub(crate) now_ms: u64,
    pub(crate) token: u64,
    pub(crate) config: CellConfig,
    pub(crate) workers: BTreeMap<String, FakeWorker>,
    /// Job rows and progress rows in the store.
    pub(crate) jobs: BTreeMap<String, JobRecord>,
    pub(crate) progress: BTreeMap<String, ProgressRecord>,
    /// Bounds on the leases of workers that do not respond, in the store.
    pub(crate) lease_bounds: StoredBounds,
    /// Learned speeds in the store, and the number of writes.
    pub(crate) worker_speeds: Option<WorkerSpeedsRecord>,
    pub(crate) speed_writes: usize,
    /// A former leader that still acts.
    former: Option<FormerLeader>,
    /// Rows of ended jobs in the store.
    pub(crate) ended: BTreeMap<String, ProgressRecord>,
    /// Every submitted job.
    pub(crate) records: BTreeMap<String, JobRecord>,
    /// Commits that wait because the store is down.
    pub(crate) held_commits: Vec<CommitRequest>,
    pub(crate) is_store_down: bool,
    /// Jobs of which the store takes no row of progress with steps, and whether it takes their own row.
    pub(crate) rejected: BTreeMap<String, bool>,
    /// The leader does not learn of changes of the workers' entries.
    pub(crate) is_list_lost: bool,
    /// Outcomes of renewals that are delayed.
    pub(crate) delayed_renewals: Vec<CellInput>,
    pub(crate) delays_renewals_of: Option<String>,
    /// Run time of tasks, in milliseconds; 0 for what their steps estimate.
    pub(crate) run_ms: u64,
    /// Run times of single tasks on a usual worker, in milliseconds.
    pub(crate) work_ms: BTreeMap<String, u64>,
    /// Workers report the real progress of their tasks. Otherwise they report one half.
    pub(crate) has_progress: bool,
    /// Tasks run as a model says, and not for that time.
    pub(crate) load_model: Option<LoadModel>,
    /// The tasks of services run until they are stopped, and not for that time only.
    pub(crate) has_lasting_services: bool,
    /// Number of acknowledged `Done` ends by task. A task whose end was lost with its worker before
    /// that may run again.
    pub(crate) done: BTreeMap<String, u32>,
    pub(crate) replies: Vec<(u64, Option<JobState>)>,
    /// Replies to offers that were admitted.
    pub(crate) admitted: Vec<u64>,
    /// Replies to submissions whose id is that of another owner's job.
    pub(crate) taken: Vec<u64>,
    /// Refused submissions with their retry delays in milliseconds.
    pub(crate) refusals: Vec<(u64, u64)>,
    pub(crate) starts: Vec<(String, u32, String)>,
    pub(crate) advice_requests: Vec<AdviceRequest>,
    /// Number of the adviser's next responses to lose.
    pub(crate) lost_advice: usize,
    /// Daemons whose calls to the adviser get no response.
    pub(crate) silent_daemons: BTreeSet<u64>,
    /// The adviser's responses wait in `held_advice`.
    pub(crate) holds_advice: bool,
    /// The adviser takes as long as expected, and serves one call a daemon at a time. Otherwise it responds
    /// at once.
    pub(crate) has_slow_adviser: bool,
    /// Tickets of the adviser.
    pub(crate) tickets: IssuedTickets,
    /// Calls to the slow adviser with the times at which it responds.
    slow_advice: Vec<(u64, AdviceRequest)>,
    held_advice: Vec<CellInput>,
    /// The adviser decides on the calls in `deferred_calls` only when a test asks it to.
    pub(crate) defers_calls: bool,
    pub(crate) deferred_calls: Vec<AdviceRequest>,
    /// Workers that the adviser allows; all workers if empty.
    pub(crate) allowed: BTreeSet<String>,
    /// The leader's network link; requests take no time without one.
    pub(crate) link: Option<FakeLink>,
    /// Renewals wait at their workers for an end, as they always do behind a link. Otherwise workers respond at
    /// once.
    pub(crate) lets_renewals_wait: bool,
    waiting_renewals: Vec<WaitingRenewal>,
    pub(crate) crashing: CrashingTasks,
    /// The leader has met the fencing token of a later one.
    pub(crate) has_resigned: bool,
    /// Entries of the log since they were last taken.
    logs: Vec<LogEntry>,
    /// Requests to workers that do not respond take as long as a request may. Otherwise they fail at
    /// once.
    pub(crate) has_timeouts: bool,
    /// Requests without a response, with the times at which they time out.
    unanswered: Vec<(u64, CellAction)>,
}

/// Creates a step whose tasks use one core each.
/// Returns a source of random numbers below a limit.
pub(crate) fn random_numbers(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed * 2 + 1;
    move |below| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 33) % below
    }
}

pub(crate) fn step(tasks: u32) -> StepSpec {
    StepSpec { tasks, cpu_millis: 1_000, memory_mb: 64, estimate_ms: 500, ..StepSpec::default() }
}

/// Creates a job of the team `team` in the queue `queue`.
pub(crate) fn job(id: &str, steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        id: id.to_owned(),
        queue: "queue".to_owned(),
        team: "team".to_owned(),
        payload: "payload".to_owned(),
        steps,
        accepted_ms: WALL_MS,
        service: "service".to_owned(),
        max_attempts: 2,
        ..JobRecord::default()
    }
}

/// Creates a configuration with one queue and one team.
fn default_config() -> CellConfig {
    let mut config = CellConfig { version: 1, ..CellConfig::default() };
    let queue = QueueConfig {
        name: "queue".to_owned(),
        service: "service".to_owned(),
        max_attempts: 2,
        slack_factor: 2.0,
        latency_objective_ms: 500,
        ..QueueConfig::default()
    };
    config.queues.insert("queue".to_owned(), queue);
    config.teams.insert("team".to_owned(), TeamConfig::default());
    config
}

impl FakeCell {
    /// Creates a cell with a number of workers in two racks.
    pub(crate) fn new(workers: usize) -> Self {
        let mut cell = Self {
            core: CellCore::new(CellSettings::default()),
            settings: CellSettings::default(),
            now_ms: 10_000,
            token: 1,
            config: default_config(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            lease_bounds: StoredBounds::default(),
            worker_speeds: None,
            speed_writes: 0,
            former: None,
            ended: BTreeMap::new(),
            records: BTreeMap::new(),
            held_commits: Vec::new(),
            is_store_down: false,
            rejected: BTreeMap::new(),
            is_list_lost: false,
            delayed_renewals: Vec::new(),
            delays_renewals_of: None,
            run_ms: 500,
            work_ms: BTreeMap::new(),
            has_progress: false,
            load_model: None,
            has_lasting_services: false,
            done: BTreeMap::new(),
            replies: Vec::new(),
            admitted: Vec::new(),
            taken: Vec::new(),
            refusals: Vec::new(),
            starts: Vec::new(),
            advice_requests: Vec::new(),
            lost_advice: 0,
            silent_daemons: BTreeSet::new(),
            holds_advice: false,
            has_slow_adviser: false,
            tickets: IssuedTickets::default(),
            slow_advice: Vec::new(),
            held_advice: Vec::new(),
            defers_calls: false,
            deferred_calls: Vec::new(),
            allowed: BTreeSet::new(),
            link: None,
            lets_renewals_wait: false,
            waiting_renewals: Vec::new(),
            crashing: CrashingTasks::default(),
            has_resigned: false,
            logs: Vec::new(),
            has_timeouts: false,
            unanswered: Vec::new(),
        };
        for index in 0..workers {
            cell.add_worker(&format!("w{index}"), 1, &format!("r{}", index % 2));
        }
        cell.start_leader();
        cell
    }

    /// Starts an incarnation of a worker in place of the former one.
    pub(crate) fn add_worker(&mut self, id: &str, incarnation: u64, rack: &str) {
        let report = WorkerReport {
            id: id.to_owned(),
            incarnation,
            service: "service".to_owned(),
            address: id.to_owned(),
            zone: "zone".to_owned(),
            labels: vec!["kind".to_owned(), rack.to_owned()],
            capacity: CAPACITY,
            is_leaving: false,
        };
        let worker = FakeWorker::new(report, self.now_ms);
        self.workers.insert(id.to_owned(), worker);
    }

    /// Adds an adviser to the queue, which takes effect with the next leader.
    pub(crate) fn add_adviser(&mut self, timing: AdviceTiming) {
        self.config.queues.get_mut("queue").unwrap().advice = Some(timing);
    }

    /// Changes the capacity of a worker while it runs, and reports it unless the list is lost.
    pub(crate) fn resize_worker(&mut self, id: &str, cpu_millis: u64) {
        self.workers.get_mut(id).unwrap().report.capacity.cpu_millis = cpu_millis;
        if !self.is_list_lost {
            self.list_workers();
        }
    }

    /// Lets the leader follow the workers' entries again.
    pub(crate) fn restore_list(&mut self) {
        self.is_list_lost = false;
        self.list_workers();
    }

    /// Confirms the list of workers, unless it is lost.
    fn confirm_list(&mut self) {
        if !self.is_list_lost {
            self.apply(CellInput::WorkersConfirmed { as_of_ms: self.now_ms });
        }
    }

    /// Returns the fencing token of a request of the present leader.
    fn token_of(&self, fence: u32) -> u64 {
        (self.token << u32::BITS) | u64::from(fence)
    }

    /// Sends the list of workers to the core.
    pub(crate) fn list_workers(&mut self) {
        let listed = self.workers.values().filter(|worker| !worker.is_unlisted);
        let reports = listed.map(|worker| worker.entry().clone()).collect();
        self.apply(CellInput::Workers(reports));
    }

    /// Replaces the leader by a new one that reads the store.
    pub(crate) fn start_leader(&mut self) {
        self.core = CellCore::new(self.settings.clone());
        self.token += 1;
        self.held_commits.clear();
        self.delayed_renewals.clear();
        // Workers respond to the former leader, and not to this one.
        self.waiting_renewals.clear();
        self.slow_advice.clear();
        self.unanswered.clear();
        self.core.set_time(self.now_ms, self.wall_ms());
        self.core.apply(CellInput::Config(Arc::new(self.config.clone())));
        self.list_workers();
        self.core.apply(CellInput::Daemons(vec![1, 2, 3]));
        for (id, record) in &self.jobs {
            self.core.restore(record.clone(), self.progress.get(id));
        }
        for (id, row) in &self.progress {
            self.core.restore_ended(id, row);
        }
        self.core.restore_lease_bounds(&self.lease_bounds.bounds);
        if let Some(row) = &self.worker_speeds {
            self.core.restore_worker_speeds(row);
        }
        for (id, progress) in self.ended.clone() {
            self.core.apply(CellInput::Ended { id, progress });
        }
        self.core.apply(CellInput::EndedKnown);
    }

    /// Delivers the outcomes of the renewals that were delayed, and delays no others.
    pub(crate) fn deliver_delayed_renewals(&mut self) {
        self.delays_renewals_of = None;
        let delayed = std::mem::take(&mut self.delayed_renewals);
        delayed.into_iter().for_each(|input| self.apply(input));
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        WALL_MS + self.now_ms
    }

    pub(crate) fn apply(&mut self, input: CellInput) {
        self.core.set_time(self.now_ms, self.wall_ms());
        self.core.apply(input);
    }

    /// Submits a job that is already in the store.
    pub(crate) fn submit(&mut self, record: JobRecord) {
        self.jobs.insert(record.id.clone(), record.clone());
        self.records.insert(record.id.clone(), record.clone());
        self.apply(CellInput::Accepted(record));
    }

    /// Advances the time in steps of 10 ms.
    pub(crate) fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += 10;
            self.end_runs();
            self.crash_workers();
            self.run_link();
            self.time_out_requests();
            self.deliver_slow_advice();
            self.confirm_list();
            for _ in 0..4 {
                let actions = self.core.tick(self.now_ms, self.wall_ms());
                actions.into_iter().for_each(|action| self.perform(action));
            }
            self.run_former();
        }
    }

    /// Returns the entries of the log since the last call.
    pub(crate) fn take_logs(&mut self) -> Vec<LogEntry> {
        std::mem::take(&mut self.logs)
    }

    pub(crate) fn state(&self, id: &str) -> Option<JobState> {
        self.core.state_of(id)
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            if worker.clock_ms(now_ms) >= worker.lease_expiry_ms {
                while !worker.runs.is_empty() {
                    worker.end(0, EndKind::Interrupted, now_ms);
                }
                worker.last_expired_end = worker.last_end;
            }
            while let Some(index) = worker.runs.iter().position(|run| run.ends_ms <= now_ms) {
                let kind = match (worker.runs[index].is_stopped, worker.fails) {
                    (true, _) => EndKind::Interrupted,
                    (false, true) => EndKind::Failed,
                    (false, false) => EndKind::Done,
                };
                worker.end(index, kind, now_ms);
            }
        }
    }

    fn perform(&mut self, action: CellAction) {
        let Some(action) = self.hold_unanswered(action) else { return };
        if let Some(link) = &mut self.link
            && let CellAction::Start(_) | CellAction::Stop(_) | CellAction::Renew(_) = &action
        {
            return link.queue(action, self.now_ms);
        }
        self.deliver(action);
    }

    /// Holds a request to a worker that does not respond until it times out.
    fn hold_unanswered(&mut self, action: CellAction) -> Option<CellAction> {
        let (address, timeout_ms) = match &action {
            CellAction::Start(request) => (&request.address, REQUEST_TIMEOUT_MS),
            CellAction::Stop(request) => (&request.address, REQUEST_TIMEOUT_MS),
            CellAction::Renew(request) => (&request.address, request.wait_ms + REQUEST_TIMEOUT_MS),
            _ => return Some(action),
        };
        if !self.has_timeouts || !self.workers[address].is_silent {
            return Some(action);
        }
        self.unanswered.push((self.now_ms + timeout_ms, action));
        None
    }

    fn time_out_requests(&mut self) {
        let now_ms = self.now_ms;
        let requests = std::mem::take(&mut self.unanswered);
        let (late, left): (Vec<_>, Vec<_>) =
            requests.into_iter().partition(|(at, _)| *at <= now_ms);
        self.unanswered = left;
        for (_, action) in late {
            match action {
                CellAction::Start(StartRequest { attempt, .. }) => {
                    let response = StartOutcome::Unknown.into();
                    self.apply(CellInput::StartFinished { attempt, response });
                }
                other => self.lose(other),
            }
        }
    }

    /// Delivers requests that have passed the link, and reports those that have timed out.
    fn run_link(&mut self) {
        self.answer_waiting_renewals();
        let Some(mut link) = self.link.take() else { return };
        let lost = link.time_out(self.now_ms);
        let delivered = link.transmit();
        self.link = Some(link);
        lost.into_iter().for_each(|action| self.lose(action));
        delivered.into_iter().for_each(|action| self.deliver(action));
    }

    /// Reports that a request had no response in time. A start is carried out late.
    fn lose(&mut self, action: CellAction) {
        let input = match action {
            CellAction::Start(request) => {
                let attempt = request.attempt;
                let token = self.token_of(request.fence);
                let worker = self.workers.get_mut(&request.address).unwrap();
                let sent_ms = self.now_ms;
                worker.deferred_starts.push(LateRequest { sent_ms, token, request });
                CellInput::StartFinished { attempt, response: StartOutcome::Unknown.into() }
            }
            CellAction::Stop(request) => {
                CellInput::StopFinished { attempt: request.attempt, is_acknowledged: false }
            }
            CellAction::Renew(request) => {
                let RenewRequest { worker, fence, .. } = request;
                CellInput::RenewFinished { worker, fence, outcome: RenewOutcome::Unknown }
            }
            other => panic!("{other:?} does not pass the link"),
        };
        self.apply(input);
    }

    fn deliver(&mut self, action: CellAction) {
        match action {
            CellAction::Start(request) => self.start(request),
            CellAction::Stop(request) => self.stop(&request),
            CellAction::Renew(request) => self.receive_renewal(request),
            CellAction::RequestAdvice(request) => self.advise(request),
            CellAction::Commit(request) => self.commit(request),
            CellAction::Reply { reply, state } => self.replies.push((reply, state)),
            CellAction::Admit { reply, .. } => self.admitted.push(reply),
            CellAction::ReportTaken { reply } => self.taken.push(reply),
            CellAction::Refuse { reply, retry_ms } => self.refusals.push((reply, retry_ms)),
            CellAction::Resign => self.has_resigned = true,
            CellAction::Log(entry) => self.logs.push(entry),
        }
    }

    fn commit(&mut self, request: CommitRequest) {
        if self.is_store_down {
            self.held_commits.push(request);
            return;
        }
        let lane = request.lane;
        match self.is_rejected(&request) {
            true => self.commit_by_job(&request),
            false => self.write_rows(request),
        }
        self.apply(CellInput::Committed { lane });
    }

    /// Returns whether the store rejects a transaction.
    fn is_rejected(&self, request: &CommitRequest) -> bool {
        let mut jobs = request.jobs.iter().map(|record| &record.id);
        let mut rows = request.progress.iter().filter(|(_, row)| !row.phases.is_empty());
        jobs.any(|id| self.rejected.get(id) == Some(&false))
            || rows.any(|(id, _)| self.rejected.contains_key(id))
    }

    /// Writes the rows of each job by themselves, as far as the store takes them.
    fn commit_by_job(&mut self, request: &CommitRequest) {
        let mut jobs = Vec::new();
        for (id, part) in request.split_by_job() {
            if !self.is_rejected(&part) {
                self.write_rows(part);
                continue;
            }
            let own = CommitRequest { jobs: part.jobs.clone(), ..CommitRequest::default() };
            let is_stored = !self.is_rejected(&own);
            if is_stored {
                self.write_rows(own);
            }
            jobs.push(RejectedJob { id, is_stored });
        }
        self.apply(CellInput::RowsRejected { lane: request.lane, jobs });
    }

    /// Applies a transaction to the rows.
    fn write_rows(&mut self, request: CommitRequest) {
        for record in request.jobs {
            self.records.insert(record.id.clone(), record.clone());
            self.jobs.insert(record.id.clone(), record);
        }
        self.progress.extend(request.progress);
        self.ended.extend(request.ended);
        if let Some(bounds) = request.lease_bounds {
            self.lease_bounds.write(bounds, self.now_ms);
        }
        if let Some(speeds) = request.worker_speeds {
            self.worker_speeds = Some(speeds);
            self.speed_writes += 1;
        }
        for id in request.removed_jobs {
            assert!(self.jobs.remove(&id).is_some(), "{id} has no row to remove");
        }
        for id in request.removed_progress {
            assert!(self.progress.remove(&id).is_some(), "{id} has no progress to remove");
        }
        for id in request.removed_ended {
            assert!(self.ended.remove(&id).is_some(), "{id} has no row of its end to remove");
        }
    }

    /// Restores the store, which applies the waiting commits.
    pub(crate) fn restore_store(&mut self) {
        self.is_store_down = false;
        for request in std::mem::take(&mut self.held_commits) {
            self.commit(request);
        }
    }

    /// Puts a version of the configuration in force that differs from the last one by a change.
    pub(crate) fn reconfigure(&mut self, change: impl FnOnce(&mut CellConfig)) {
        self.config.version += 1;
        change(&mut self.config);
        self.apply(CellInput::Config(Arc::new(self.config.clone())));
    }

    fn start(&mut self, request: StartRequest) {
        let attempt = request.attempt;
        let token = self.token_of(request.fence);
        self.check_persisted(&request);
        let worker = self.workers.get_mut(&request.address).unwrap();
        if worker.is_silent {
            self.apply(CellInput::StartFinished {
                attempt,
                response: StartOutcome::Unknown.into(),
            });
            return;
        }
        if worker.refuses_starts && !worker.deferred_starts.is_empty() {
            let response = StartOutcome::Refused(StartRefusal::Unavailable).into();
            self.apply(CellInput::StartFinished { attempt, response });
            return;
        }
        if worker.is_replaced {
            let response = StartOutcome::Refused(StartRefusal::Incarnation).into();
            self.apply(CellInput::StartFinished { attempt, response });
            return;
        }
        if worker.defers_next_starts > 0 || worker.defers_starts {
            worker.defers_next_starts = worker.defers_next_starts.saturating_sub(1);
            let sent_ms = self.now_ms;
            worker.deferred_starts.push(LateRequest { sent_ms, token, request });
            self.apply(CellInput::StartFinished {
                attempt,
                response: StartOutcome::Unknown.into(),
            });
            return;
        }
        let outcome = self.start_now(&request, token);
        if self.crashes_at_once(&request.address) {
            self.apply(CellInput::StartFinished {
                attempt,
                response: StartOutcome::Unknown.into(),
            });
            return;
        }
        let clock_ms = Some(self.workers[&request.address].clock_ms(self.now_ms));
        let response = StartResponse { outcome, clock_ms };
        self.apply(CellInput::StartFinished { attempt, response });
    }

    /// Processes a start request on its worker.
    fn start_now(&mut self, request: &StartRequest, token: u64) -> StartOutcome {
        let now_ms = self.now_ms;
        let step = self.step_of(&request.task);
        let resources = step.resources();
        let lasts = self.has_lasting_services && step.is_service;
        let work = self.modelled_work(&request.task, &request.checkpoint);
        let is_remote = !step.data_rack.is_empty()
            && self.workers[&request.address].report.labels.last() != Some(&step.data_rack);
        let factor = if is_remote { self.settings.remote_factor } else { 1.0 };
        let usual_ms = (self.duration_ms(request) as f64 * factor) as u64;
        let run_ms = work.as_ref().map_or(usual_ms, |work| work.run_ms);
        let is_accepted = self.accepts_ticket(request);
        let worker = self.workers.get_mut(&request.address).unwrap();
        let ends_ms = if lasts { u64::MAX } else { now_ms + run_ms + worker.extra_run_ms };
        if worker.report.id != request.worker_id {
            return StartOutcome::Refused(StartRefusal::Incarnation);
        }
        if token < worker.token {
            return StartOutcome::Refused(StartRefusal::Fenced);
        }
        worker.token = token;
        if worker.needs_tickets && !is_accepted {
            worker.refused_tickets += 1;
            return StartOutcome::Refused(StartRefusal::Ticket);
        }
        worker.extend(Some(request.deadline_ms), now_ms);
        worker.check_bound(&self.lease_bounds);
        if worker.fenced.contains(&(request.task.clone(), request.number)) {
            return StartOutcome::Refused(StartRefusal::Stale);
        }
        if request.deadline_ms < worker.clock_ms(now_ms) {
            return StartOutcome::Refused(StartRefusal::Late);
        }
        let (task, attempt) = (request.task.clone(), request.number);
        if worker.runs.iter().any(|run| run.task == task && run.attempt == attempt) {
            return StartOutcome::Started;
        }
        let is_stopped = false;
        worker.task_starts_ms.insert(task.clone(), now_ms);
        worker.runs.push(FakeRun { task: task.clone(), attempt, ends_ms, is_stopped, resources });
        worker.work.extend(work.map(|work| ((task.clone(), attempt), work)));
        self.starts.push((task.clone(), attempt, request.address.clone()));
        self.check_start(&task, &request.address);
        self.note_start(&task, &request.address);
        StartOutcome::Started
    }

    /// Drops the deferred start requests of a worker that are too old to be carried out.
    pub(crate) fn expire_deferred_starts(&mut self, id: &str) {
        let now_ms = self.now_ms;
        let late = &mut self.workers.get_mut(id).unwrap().deferred_starts;
        late.retain(|late| now_ms < late.sent_ms + MAX_REQUEST_DELAY_MS);
    }

    /// Ends the first run of a worker.
    pub(crate) fn end_first_run(&mut self, id: &str, kind: EndKind) {
        self.workers.get_mut(id).unwrap().end(0, kind, self.now_ms);
    }

    /// Processes the deferred start requests of a worker.
    pub(crate) fn run_deferred_starts(&mut self, id: &str) -> Vec<StartOutcome> {
        let late = std::mem::take(&mut self.workers.get_mut(id).unwrap().deferred_starts);
        late.iter().map(|late| self.start_now(&late.request, late.token)).collect()
    }

    fn step_of(&self, task: &str) -> &StepSpec {
        let mut parts = task.split('.');
        let record = &self.records[parts.next().unwrap()];
        &record.steps[parts.nth(1).unwrap().parse::<usize>().unwrap()]
    }

    /// Checks that an attempt is in the store before its start request is sent.
    fn check_persisted(&self, request: &StartRequest) {
        let id = request.task.split('.').next().unwrap();
        let row = self.progress.get(id).unwrap_or_else(|| panic!("no row of {}", request.task));
        let mut tasks = row.phases.iter().flat_map(|phase| &phase.tasks);
        let index: u32 = request.task.rsplit('.').next().unwrap().parse().unwrap();
        let is_stored = tasks.any(|task| task.index == index && task.attempt >= request.number);
        assert!(is_stored, "{} attempt {} was sent before its row", request.task, request.number);
    }

    fn check_start(&self, task: &str, at: &str) {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let same = runs.filter(|run| run.task == task).count();
        assert_eq!(same, 1, "{task} runs {same} times");
        // A service's tasks start again however they end.
        let is_over = self.done.contains_key(task) && !self.step_of(task).is_service;
        assert!(!is_over, "{task} starts again after it was done");
        let worker = &self.workers[at];
        let runs = worker.runs.iter();
        let used = runs.fold(ResourceSet::default(), |sum, run| sum.plus(&run.resources));
        assert!(used.fits(&worker.report.capacity), "{at} runs more than it has");
        self.check_place(task, at);
    }

    fn stop(&mut self, request: &StopRequest) {
        let attempt: AttemptKey = request.attempt;
        let token = self.token_of(request.fence);
        let worker = self.workers.get_mut(&request.address).unwrap();
        let is_same = worker.report.id == request.worker_id;
        let is_heard = !worker.is_silent && !worker.drops_stops;
        let is_acknowledged = is_heard && is_same && token >= worker.token;
        if is_acknowledged {
            worker.token = token;
            worker.fenced.insert((request.task.clone(), request.number));
            let same = |run: &FakeRun| run.task == request.task && run.attempt == request.number;
            if let Some(run) = worker.runs.iter_mut().find(|run| same(run)) {
                run.is_stopped = true;
                run.ends_ms = run.ends_ms.min(self.now_ms + worker.stop_ms);
            }
        }
        self.apply(CellInput::StopFinished { attempt, is_acknowledged });
    }

    /// Restarts a worker under its id, with nothing known of before. The list of workers does not
    /// show it yet.
    pub(crate) fn reincarnate(&mut self, id: &str) {
        let former = self.workers.remove(id).unwrap();
        let mut worker = former.restarted(self.now_ms);
        worker.deferred_starts = former.deferred_starts;
        worker.deferred_renewals = former.deferred_renewals;
        self.workers.insert(id.to_owned(), worker);
    }
}
