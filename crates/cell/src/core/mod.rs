//! The scheduler's tables and the passes that run over them each tick.
//!
//! A tick first expires leases, which frees the capacity of their attempts. Then it places tasks;
//! no other pass reserves capacity for new attempts. For steps that lack tickets it calls the
//! adviser. Last it sends the requests for which the window has space and commits all changes. A
//! start request is sent only after the attempt is in the store, so that a new leader always knows
//! where a task may be running.

mod admission;
mod advance_calls;
mod advice;
mod advice_turns;
mod ask_outcome;
mod attempts;
mod available;
mod backlog;
mod better_places;
mod bound_tasks;
mod call_room;
mod call_workers;
mod chosen_waits;
mod class_load;
mod class_rates;
mod commit;
mod completion;
mod exclusion_set;
mod expected_end;
mod expired_attempts;
mod gang_plans;
mod host_outlook;
mod job_memory;
mod jobs;
mod lease_bounds;
mod leases;
mod lone_suspects;
mod loss_times;
mod losses;
mod orphans;
mod pending;
mod place_index;
mod place_wait;
mod placement;
mod preemption;
mod preemption_limits;
mod probation;
mod queue_run_times;
mod reason_counts;
mod release_cause;
mod removed_starts;
mod request_window;
mod reservations;
mod room_hosts;
mod room_index;
mod run_times;
mod segregation;
mod shares;
mod speed_order;
mod step_hosts;
mod stored_speeds;
mod suspect_backlog;
mod suspect_groups;
mod suspect_queues;
mod team_bursts;
mod victims;
mod wait_averages;
mod waiting_steps;
mod worker_claims;
mod worker_exclusion;
mod worker_list;
mod worker_speed;
mod workers;

pub use job_memory::OFFER_TIMEOUT_MS;

use {
    crate::{
        AdviceCallKey, AttemptKey, CellAction, CellConfig, CellInput, CellSettings, JobCaller,
        JobKey, JobState, LogEntry, ResourceSet, WorkerKey,
        keys::LossKey,
        message::TaskRef,
        table::{
            AdviceCallEntry, AttemptEntry, DaemonEntry, JobEntry, LossEntry, WorkerEntry,
            WorkerFence,
        },
    },
    admission::BacklogLoad,
    advice_turns::AdviceTurns,
    better_places::WaitPass,
    class_load::ClassLoad,
    commit::CommitQueue,
    expired_attempts::ExpiredAttempts,
    job_memory::JobMemory,
    lease_bounds::LeaseBounds,
    lone_suspects::LoneSuspects,
    loss_times::LossTimes,
    place_index::PlaceIndex,
    preemption_limits::PreemptionLimits,
    queue_run_times::QueueRunTimes,
    removed_starts::RemovedStarts,
    request_window::RequestWindow,
    reservations::Reservations,
    room_index::RoomIndex,
    rustc_hash::FxHashMap,
    shares::TeamShares,
    slotmap::SlotMap,
    std::{collections::VecDeque, sync::Arc},
    stored_speeds::StoredSpeeds,
    suspect_backlog::SuspectBacklog,
    suspect_groups::SuspectGroups,
    suspect_queues::SuspectQueues,
    worker_list::{ListChange, WorkerList},
    worker_speed::SpeedReview,
};

/// A time on both clocks.
#[derive(Debug, Clone, Copy, Default)]
struct CellTime {
    /// Time since the host's boot, in milliseconds.
    now_ms: u64,
    /// Unix time, in milliseconds.
    wall_ms: u64,
}

/// The scheduler core of a cell.
///
/// ```
/// use damaskrack_cell::{CellCore, CellSettings};
///
/// let mut core = CellCore::new(CellSettings::default());
/// assert!(core.tick(1_000, 1_700_000_000_000).is_empty());
/// ```
#[derive(Debug)]
pub struct CellCore {
    settings: CellSettings,
    time: CellTime,
    config: Arc<CellConfig>,
    jobs: SlotMap<JobKey, JobEntry>,
    job_ids: FxHashMap<String, JobKey>,
    job_memory: JobMemory,
    /// Jobs that have not ended.
    live: Vec<JobKey>,
    /// Jobs that have ended, oldest first.
    ended: VecDeque<JobKey>,
    /// All jobs that ended under former leaders are known.
    are_ended_known: bool,
    workers: SlotMap<WorkerKey, WorkerEntry>,
    worker_ids: FxHashMap<String, WorkerKey>,
    /// Fence that was the highest one of the removed workers, which may come back.
    former_fence: WorkerFence,
    /// Starts that removed workers may still carry out.
    removed_starts: RemovedStarts,
    worker_list: WorkerList,
    attempts: SlotMap<AttemptKey, AttemptEntry>,
    /// Tasks that may run on one worker only.
    bound_tasks: Vec<TaskRef>,
    /// Lost attempts of which it is not known whether their workers crashed.
    losses: SlotMap<LossKey, LossEntry>,
    expired_attempts: ExpiredAttempts,
    loss_times: LossTimes,
    lease_bounds: LeaseBounds,
    suspect_groups: SuspectGroups,
    suspect_backlog: SuspectBacklog,
    lone_suspects: LoneSuspects,
    suspect_queues: SuspectQueues,
    advice_calls: SlotMap<AdviceCallKey, AdviceCallEntry>,
    daemons: Vec<DaemonEntry>,
    /// Moving average of the share of workers that the adviser allows, by queue.
    grant_rate: FxHashMap<String, f64>,
    run_times: QueueRunTimes,
    speed_review: SpeedReview,
    stored_speeds: StoredSpeeds,
    team_used: FxHashMap<String, ResourceSet>,
    commits: CommitQueue,
    load: BacklogLoad,
    class_load: ClassLoad,
    shares: TeamShares,
    /// Capacity that is kept for waiting steps.
    reservations: Reservations,
    room_index: RoomIndex,
    preemption_limits: PreemptionLimits,
    request_window: RequestWindow,
    /// Attempts whose stop requests have not been acknowledged.
    stopping: Vec<AttemptKey>,
    /// Durable attempts whose start requests have not been sent, oldest first.
    ready: VecDeque<AttemptKey>,
    /// Time from which the state of the request window may be logged again.
    window_log_due_ms: u64,
    place_index: PlaceIndex,
    wait_pass: WaitPass,
    /// Time from which it may be logged again why steps wait.
    explanation_due_ms: u64,
    actions: Vec<CellAction>,
    /// Something changed since the last placement that may allow tasks to be placed.
    is_placement_due: bool,
    last_placement_ms: u64,
    /// Time at which this leader's core started.
    started_ms: u64,
    /// Time at which every former leader was known to have ended.
    former_ended_ms: Option<u64>,
    advice_turns: AdviceTurns,
}

impl CellCore {
    /// Creates a scheduler without jobs and workers.
    ///
    /// ```
    /// let core = damaskrack_cell::CellCore::new(Default::default());
    /// assert_eq!(core.state_of("1"), None);
    /// ```
    #[must_use]
    pub fn new(settings: CellSettings) -> Self {
        Self {
            job_memory: JobMemory::new(settings.job_memory_bytes),
            settings,
            time: CellTime::default(),
            config: Arc::default(),
            jobs: SlotMap::with_key(),
            job_ids: FxHashMap::default(),
            live: Vec::new(),
            ended: VecDeque::new(),
            are_ended_known: false,
            workers: SlotMap::with_key(),
            worker_ids: FxHashMap::default(),
            former_fence: WorkerFence::default(),
            removed_starts: RemovedStarts::default(),
            worker_list: WorkerList::default(),
            attempts: SlotMap::with_key(),
            bound_tasks: Vec::new(),
            losses: SlotMap::with_key(),
            expired_attempts: ExpiredAttempts::default(),
            loss_times: LossTimes::default(),
            lease_bounds: LeaseBounds::default(),
            suspect_groups: SuspectGroups::default(),
            suspect_backlog: SuspectBacklog::default(),
            lone_suspects: LoneSuspects::default(),
            suspect_queues: SuspectQueues::default(),
            advice_calls: SlotMap::with_key(),
            daemons: Vec::new(),
            grant_rate: FxHashMap::default(),
            run_times: QueueRunTimes::default(),
            speed_review: SpeedReview::default(),
            stored_speeds: StoredSpeeds::default(),
            team_used: FxHashMap::default(),
            commits: CommitQueue::default(),
            load: BacklogLoad::default(),
            class_load: ClassLoad::default(),
            shares: TeamShares::default(),
            reservations: Reservations::default(),
            room_index: RoomIndex::default(),
            preemption_limits: PreemptionLimits::default(),
            request_window: RequestWindow::default(),
            stopping: Vec::new(),
            ready: VecDeque::new(),
            window_log_due_ms: 0,
            place_index: PlaceIndex::default(),
            wait_pass: WaitPass::default(),
            explanation_due_ms: 0,
            actions: Vec::new(),
            is_placement_due: false,
            last_placement_ms: 0,
            started_ms: 0,
            former_ended_ms: None,
            advice_turns: AdviceTurns::default(),
        }
    }

    /// Sets the time for the inputs that follow; `now_ms` is the time since the host's boot and
    /// `wall_ms` is Unix time, both in milliseconds.
    ///
    /// ```
    /// let mut core = damaskrack_cell::CellCore::new(Default::default());
    /// core.set_time(1_000, 1_700_000_000_000);
    /// ```
    pub fn set_time(&mut self, now_ms: u64, wall_ms: u64) {
        if self.started_ms == 0 {
            self.started_ms = now_ms;
        }
        self.time = CellTime { now_ms: now_ms.max(self.time.now_ms), wall_ms };
    }

    /// Applies an input to the tables.
    ///
    /// ```
    /// use damaskrack_cell::{CellCore, CellInput, JobRecord, JobState};
    ///
    /// let mut core = CellCore::new(Default::default());
    /// let job = JobRecord { id: "1".into(), ..Default::default() };
    /// core.apply(CellInput::Accepted(job));
    /// assert_eq!(core.state_of("1"), Some(JobState::Queued));
    /// ```
    pub fn apply(&mut self, input: CellInput) {
        // A list that has not changed is no reason to place anything.
        self.is_placement_due |= !matches!(input, CellInput::WorkersConfirmed { .. });
        match input {
            CellInput::Config(config) => self.config = config,
            CellInput::Workers(reports) => self.update_workers(reports),
            CellInput::WorkersConfirmed { as_of_ms } => self.worker_list.confirm(as_of_ms),
            CellInput::Daemons(ids) => self.update_daemons(&ids),
            CellInput::DaemonReconnected(id) => self.finish_advice_through(|daemon| daemon == id),
            CellInput::Accepted(record) => self.accept(record),
            CellInput::Ended { id, progress } => self.learn_ended(&id, &progress),
            CellInput::EndedKnown => self.are_ended_known = true,
            CellInput::Submitted { record, reply } => self.submit(record, reply),
            CellInput::Offered { record, reply } => self.offer(record, reply),
            CellInput::Cancel { id, caller, reply } => self.cancel(&id, caller.as_ref(), reply),
            CellInput::StartFinished { attempt, response } => self.finish_start(attempt, response),
            CellInput::StopFinished { attempt, is_acknowledged } => {
                self.finish_stop(attempt, is_acknowledged);
            }
            CellInput::RenewFinished { worker, fence, outcome } => {
                self.finish_renewal(worker, fence, outcome);
            }
            CellInput::Advice { call, allowed } => self.finish_advice(call, allowed),
            CellInput::RowsRejected { lane, jobs } => self.reject_rows(lane, &jobs),
            CellInput::FormerLeadersEnded => self.end_former_leaders(),
            CellInput::Committed { lane } => self.finish_commit(lane),
        }
    }

    /// Runs all passes and returns the actions to perform.
    ///
    /// ```
    /// let mut core = damaskrack_cell::CellCore::new(Default::default());
    /// assert!(core.tick(5, 1_700_000_000_000).is_empty());
    /// ```
    pub fn tick(&mut self, now_ms: u64, wall_ms: u64) -> Vec<CellAction> {
        self.set_time(now_ms, wall_ms);
        self.job_memory.end_reservations(self.time.now_ms);
        self.check_worker_list();
        self.expire_leases();
        self.review_bindings();
        self.record_bounded_leases();
        self.record_identified_services();
        self.review_lease_bounds();
        self.review_worker_speeds();
        if self.time.now_ms >= self.placement_due_ms() {
            self.is_placement_due = false;
            self.last_placement_ms = self.time.now_ms;
            self.start_due_occurrences();
            self.place_backlog();
        }
        self.send_stops();
        self.send_ready();
        self.renew_leases();
        self.start_commit();
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which the next tick is due if no input arrives before, in milliseconds
    /// since the host's boot.
    ///
    /// ```
    /// let core = damaskrack_cell::CellCore::new(Default::default());
    /// assert!(core.next_tick_ms() <= 1_000);
    /// ```
    #[must_use]
    pub fn next_tick_ms(&self) -> u64 {
        let renewal = self.next_renew_ms();
        let commit = self.next_commit_ms();
        self.placement_due_ms().min(renewal).min(commit)
    }

    /// Returns the time of the next placement: shortly after a change, so that one placement
    /// handles changes that arrive together, or else when a wait by choice ends or after the review interval.
    fn placement_due_ms(&self) -> u64 {
        let first_ms = self.last_placement_ms + backlog::MIN_PLACE_INTERVAL_MS;
        let review_ms = self.last_placement_ms + backlog::REVIEW_INTERVAL_MS;
        match (self.is_placement_due, self.wait_pass.due_ms) {
            (true, _) => first_ms,
            (false, Some(due_ms)) => due_ms.clamp(first_ms, review_ms),
            (false, None) => review_ms,
        }
    }

    /// Returns the state of a job that may be reported to callers, or `None` if there is no such
    /// job. A final state is reported only once it is durable.
    ///
    /// ```
    /// let core = damaskrack_cell::CellCore::new(Default::default());
    /// assert_eq!(core.state_of("1"), None);
    /// ```
    #[must_use]
    pub fn state_of(&self, id: &str) -> Option<JobState> {
        let job = &self.jobs[*self.job_ids.get(id)?];
        match job.state {
            state if !state.is_final() => Some(state),
            state if !job.is_dirty && !self.commits.is_in_flight(id) => Some(state),
            _ => Some(JobState::Running),
        }
    }

    /// Returns the state of a job for a caller, or `None` if there is no job with this id that the caller may
    /// read.
    ///
    /// ```
    /// use damaskrack_cell::{CellCore, CellInput, JobCaller, JobRecord, JobState};
    ///
    /// let mut core = CellCore::new(Default::default());
    /// let record = JobRecord { id: "1".into(), queue: "q".into(), team: "a".into(), ..Default::default() };
    /// core.apply(CellInput::Accepted(record));
    /// let caller = JobCaller { queue: "q".into(), team: "a".into(), is_queue_open: false };
    /// assert_eq!(core.state_for("1", &caller), Some(JobState::Queued));
    /// assert_eq!(core.state_for("1", &JobCaller { team: "b".into(), ..caller }), None);
    /// ```
    #[must_use]
    pub fn state_for(&self, id: &str, caller: &JobCaller) -> Option<JobState> {
        let job = &self.jobs[*self.job_ids.get(id)?];
        match caller.may_access(&job.record.owner()) {
            true => self.state_of(id),
            false => None,
        }
    }

    /// Returns the memory that is left for jobs, in bytes.
    ///
    /// ```
    /// use damaskrack_cell::{CellCore, CellSettings};
    ///
    /// let core = CellCore::new(CellSettings { job_memory_bytes: 1_000, ..CellSettings::default() });
    /// assert_eq!(core.free_job_bytes(), 1_000);
    /// ```
    #[must_use]
    pub fn free_job_bytes(&self) -> usize {
        self.job_memory.free()
    }

    /// Returns the largest number of start and stop requests that may be in flight.
    ///
    /// ```
    /// let core = damaskrack_cell::CellCore::new(damaskrack_cell::CellSettings::default());
    /// assert!(core.request_window_size() > 0);
    /// ```
    #[must_use]
    pub fn request_window_size(&self) -> usize {
        self.request_window.size()
    }

    /// Returns the age of the list of workers, in milliseconds.
    fn worker_list_age_ms(&self) -> u64 {
        self.worker_list.age_ms(self.time.now_ms)
    }

    fn is_worker_list_current(&self) -> bool {
        self.worker_list_age_ms() <= self.settings.max_list_age_ms
    }

    /// Logs that the list of workers has become outdated, or is current again.
    fn check_worker_list(&mut self) {
        let (now_ms, max_age_ms) = (self.time.now_ms, self.settings.max_list_age_ms);
        let event = match self.worker_list.check(now_ms, max_age_ms) {
            ListChange::Outdated => "worker_list_outdated",
            ListChange::Current => "worker_list_current",
            ListChange::Unchanged => return,
        };
        self.log(event, "", format!("age_ms={}", self.worker_list_age_ms()));
    }

    fn log(&mut self, event: &'static str, subject: impl Into<String>, detail: impl Into<String>) {
        let entry = LogEntry { event, subject: subject.into(), detail: detail.into() };
        self.actions.push(CellAction::Log(entry));
    }
}
