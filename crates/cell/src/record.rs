//! Records of jobs in the store and in messages between daemons.
//!
//! A job has two rows. The daemon that accepts it writes the [`JobRecord`], which never changes.
//! The leader updates the [`ProgressRecord`] as the job proceeds. Once the job has ended and nothing of
//! it can run, both rows give way to a row of its own for the final [`ProgressRecord`], which a new
//! leader need not read before it starts tasks. It writes the number and worker
//! of an attempt before it sends the start request, so that a new leader knows of every attempt
//! that may be running.

use crate::{JobOwner, ResourceSet};

/// Maximum number of tasks of one occurrence of a job. With more of them the row of its progress might
/// exceed the size of an item in the store.
pub const MAX_JOB_TASKS: u64 = 10_000;

/// A step of a job: a set of identical tasks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepSpec {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// CPU per task, in thousandths of a core.
    #[prost(uint64, tag = "2")]
    pub cpu_millis: u64,
    /// Memory per task, in mebibytes.
    #[prost(uint64, tag = "3")]
    pub memory_mb: u64,
    /// Accelerators per task.
    #[prost(uint64, tag = "4")]
    pub accelerators: u64,
    /// Estimated run time of a task, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Indexes of the earlier steps that must complete first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// The tasks form a gang: they run all together or not at all.
    #[prost(bool, tag = "7")]
    pub is_gang: bool,
    /// The tasks run slower when they are placed in several racks.
    #[prost(bool, tag = "8")]
    pub is_rack_coupled: bool,
    /// Label that a worker must have; empty for none.
    #[prost(string, tag = "9")]
    pub required_label: String,
    /// Rack that holds the input data; empty for none.
    #[prost(string, tag = "10")]
    pub data_rack: String,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    #[prost(uint32, tag = "11")]
    pub max_per_worker: u32,
    /// Copies of a task may run in parallel.
    #[prost(bool, tag = "12")]
    pub allows_copies: bool,
    /// The tasks save checkpoints.
    #[prost(bool, tag = "13")]
    pub has_checkpoints: bool,
    /// The tasks run until the job is cancelled.
    #[prost(bool, tag = "14")]
    pub is_service: bool,
    /// The tasks use only idle CPU, which does not count against a worker's capacity.
    #[prost(bool, tag = "15")]
    pub is_background: bool,
    /// Program of the tasks; empty if unknown.
    #[prost(string, tag = "16")]
    pub image: String,
    /// Latency objective for requests to a service, in milliseconds; 0 for none.
    #[prost(uint64, tag = "17")]
    pub latency_objective_ms: u64,
    /// Maximum number of a service's tasks that the scheduler may make unavailable at a time.
    #[prost(uint32, tag = "18")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns the resources that a task reserves on its worker.
    ///
    /// ```
    /// let step = damaskrack_cell::StepSpec { cpu_millis: 500, ..Default::default() };
    /// assert_eq!(step.resources().cpu_millis, 500);
    /// ```
    #[must_use]
    pub fn resources(&self) -> ResourceSet {
        ResourceSet {
            cpu_millis: if self.is_background { 0 } else { self.cpu_millis },
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}

/// Expected duration of calls to an adviser, and validity of its tickets.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AdviceTiming {
    /// Base duration of a call, in microseconds.
    #[prost(uint64, tag = "1")]
    pub call_us: u64,
    /// Additional duration per worker in the call, in microseconds.
    #[prost(uint64, tag = "2")]
    pub worker_us: u64,
    /// Validity of a ticket, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub valid_ms: u64,
}

impl AdviceTiming {
    /// Returns the expected duration of a call with `workers` workers, in microseconds.
    ///
    /// ```
    /// let timing = damaskrack_cell::AdviceTiming { call_us: 10, worker_us: 2, valid_ms: 0 };
    /// assert_eq!(timing.duration_us(5), 20);
    /// ```
    #[must_use]
    pub fn duration_us(&self, workers: usize) -> u64 {
        self.call_us.saturating_add(self.worker_us.saturating_mul(workers as u64))
    }
}

/// A job as submitted, without its progress.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRecord {
    /// Id that the caller chose.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Queue that the job was submitted to.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Team that the submission's key belongs to.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Payload passed to every task.
    #[prost(string, tag = "4")]
    pub payload: String,
    /// Steps, after the steps that they depend on.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<StepSpec>,
    /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
    #[prost(uint32, tag = "6")]
    pub occurrences: u32,
    /// Time at which the first occurrence is due, in Unix milliseconds.
    #[prost(uint64, tag = "7")]
    pub first_due_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub interval_ms: u64,
    /// Time at which the job was accepted, in Unix milliseconds.
    #[prost(uint64, tag = "9")]
    pub accepted_ms: u64,
    /// Service whose workers run the job, if its queue is no longer configured.
    #[prost(string, tag = "10")]
    pub service: String,
    /// Maximum number of failed attempts per task, if the job's queue is no longer configured.
    #[prost(uint32, tag = "11")]
    pub max_attempts: u32,
    /// The payload is in a row of its own, and `payload` is empty.
    #[prost(bool, tag = "12")]
    pub has_stored_payload: bool,
    /// Timing of the adviser that decides where the job's steps may run, if the job's queue is no longer
    /// configured.
    #[prost(message, optional, tag = "13")]
    pub advice: Option<AdviceTiming>,
}

impl JobRecord {
    /// Returns the queue and the team that the job was submitted with.
    ///
    /// ```
    /// use damaskrack_cell::{JobOwner, JobRecord};
    ///
    /// let owner = JobOwner { queue: "q".into(), team: "a".into() };
    /// let record = JobRecord { queue: "q".into(), team: "a".into(), ..JobRecord::default() };
    /// assert_eq!(record.owner(), owner);
    /// ```
    #[must_use]
    pub fn owner(&self) -> JobOwner {
        JobOwner { queue: self.queue.clone(), team: self.team.clone() }
    }

    /// Returns whether the job has more than [`MAX_JOB_TASKS`] tasks.
    ///
    /// ```
    /// use damaskrack_cell::{JobRecord, StepSpec};
    ///
    /// let step = StepSpec { tasks: u32::MAX, ..StepSpec::default() };
    /// assert!(JobRecord { steps: vec![step], ..JobRecord::default() }.is_too_large());
    /// ```
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        self.task_count() > MAX_JOB_TASKS
    }

    /// Returns the number of tasks of one occurrence.
    ///
    /// ```
    /// use damaskrack_cell::{JobRecord, StepSpec};
    ///
    /// let step = StepSpec { tasks: 3, ..StepSpec::default() };
    /// assert_eq!(JobRecord { steps: vec![step.clone(), step], ..JobRecord::default() }.task_count(), 6);
    /// ```
    #[must_use]
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Returns whether a leader can take the job, which it refuses otherwise.
    ///
    /// ```
    /// use damaskrack_cell::JobRecord;
    ///
    /// assert!(JobRecord::default().can_be_taken());
    /// ```
    #[must_use]
    pub fn can_be_taken(&self) -> bool {
        !self.is_too_large() && !self.has_empty_occurrences()
    }

    /// Returns whether the job has occurrences without tasks, which would all begin at once.
    ///
    /// ```
    /// use damaskrack_cell::JobRecord;
    ///
    /// assert!(JobRecord { occurrences: 1, ..JobRecord::default() }.has_empty_occurrences());
    /// ```
    #[must_use]
    pub fn has_empty_occurrences(&self) -> bool {
        self.occurrences > 0 && self.steps.iter().all(|step| step.tasks == 0)
    }
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum JobState {
    /// No task has been placed.
    Queued = 0,
    /// At least one task has been placed.
    Running = 1,
    /// Every task completed.
    Completed = 2,
    /// A task reached its limit of failed attempts.
    Failed = 3,
    /// A caller cancelled the job.
    Cancelled = 4,
}

impl JobState {
    /// Returns whether the job has ended.
    ///
    /// ```
    /// assert!(damaskrack_cell::JobState::Failed.is_final());
    /// ```
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// An attempt whose leases expired on a worker that did not respond. It counts as a crash under its
/// task once another process has the worker's id or address.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LostAttempt {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Incarnation of the worker.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address of the worker.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The worker had confirmed that it began the attempt.
    #[prost(bool, tag = "4")]
    pub has_begun: bool,
    /// No other job had just started a task on the worker.
    #[prost(bool, tag = "5")]
    pub is_sole_suspect: bool,
}

/// Progress of a task with at least one attempt that has not completed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskProgress {
    /// Index of the task in its step.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// Number of the last attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Number of failed attempts.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Id of the worker that may be running the last attempt; empty for none.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Incarnation of that worker.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Last checkpoint; empty for none.
    #[prost(string, tag = "6")]
    pub checkpoint: String,
    /// Number of workers that crashed while they ran the task.
    #[prost(uint32, tag = "7")]
    pub crashes: u32,
    /// Time for which the next attempt is on probation, because the task may have crashed a worker, in
    /// milliseconds; 0 if it is not suspected.
    #[prost(uint64, tag = "8")]
    pub probation_ms: u64,
    /// Number of workers that crashed after a request to start the task of which it is not known whether
    /// it took effect.
    #[prost(uint32, tag = "9")]
    pub possible_crashes: u32,
    /// Address of the worker that may be running the last attempt, if the worker was lost just after the
    /// start; otherwise empty.
    #[prost(string, tag = "10")]
    pub worker_address: String,
    /// The last attempt that was lost with a worker of which it is not known whether it crashed.
    #[prost(message, optional, tag = "11")]
    pub lost: Option<LostAttempt>,
    /// No other job was suspected of the last crash.
    #[prost(bool, tag = "12")]
    pub is_accused_alone: bool,
    /// The worker refuses requests that were meant for a former incarnation, and the leases that these
    /// have extended do not outlast those that its leader asks for.
    #[prost(bool, tag = "13")]
    pub has_bounded_leases: bool,
    /// Number of workers that were lost with the task, and of which it is not known whether they crashed.
    #[prost(uint32, tag = "14")]
    pub unresolved_losses: u32,
    /// Number of times that the task was stopped for a more urgent step.
    #[prost(uint32, tag = "15")]
    pub preemptions: u32,
    /// Id of the worker that may still carry out a start of a former attempt, so that the task runs nowhere else; empty
    /// for none.
    #[prost(string, tag = "16")]
    pub bound_worker: String,
    /// More than one request to start the last attempt may be without a response.
    #[prost(bool, tag = "17")]
    pub has_open_start: bool,
    /// No incarnation of the worker after the named one may have begun the last attempt, or may begin it, by a request
    /// with a ticket. Without tickets it says nothing.
    #[prost(bool, tag = "18")]
    pub is_start_identified: bool,
}

/// Progress of one step of one occurrence.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PhaseProgress {
    /// Index of the occurrence.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// Index of the step in the job.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// Bit set of the completed tasks, least significant bit first.
    #[prost(bytes = "vec", tag = "3")]
    pub done: Vec<u8>,
    /// Tasks that have been attempted but have not completed.
    #[prost(message, repeated, tag = "4")]
    pub tasks: Vec<TaskProgress>,
}

/// Progress of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgressRecord {
    /// State of the job.
    #[prost(enumeration = "JobState", tag = "1")]
    pub state: i32,
    /// Progress of the steps that have started.
    #[prost(message, repeated, tag = "2")]
    pub phases: Vec<PhaseProgress>,
    /// Time at which the job ended, in Unix milliseconds; 0 if it has not.
    #[prost(uint64, tag = "3")]
    pub ended_ms: u64,
    /// A worker is known to have begun a task of the job. May be `false` for some time after it has.
    #[prost(bool, tag = "4")]
    pub has_begun: bool,
    /// Owner of the job, in the row of an ended job. Its own row shows the owner of any other.
    #[prost(message, optional, tag = "5")]
    pub owner: Option<JobOwner>,
}

impl ProgressRecord {
    /// Returns the owner of the job; an unknown one if the row does not name it.
    ///
    /// ```
    /// assert!(!damaskrack_cell::ProgressRecord::default().owner_or_unknown().is_known());
    /// ```
    #[must_use]
    pub fn owner_or_unknown(&self) -> JobOwner {
        self.owner.clone().unwrap_or_default()
    }

    /// Returns whether the row shows that a worker has begun a task of the job.
    ///
    /// ```
    /// use damaskrack_cell::{PhaseProgress, ProgressRecord, TaskProgress};
    ///
    /// let placed = TaskProgress { attempt: 1, worker: "w1".into(), ..TaskProgress::default() };
    /// let failed = TaskProgress { failures: 1, ..placed.clone() };
    /// let row = |task| ProgressRecord {
    ///     phases: vec![PhaseProgress { tasks: vec![task], ..PhaseProgress::default() }],
    ///     ..ProgressRecord::default()
    /// };
    /// assert!(!row(placed).shows_begin());
    /// assert!(row(failed).shows_begin());
    /// ```
    #[must_use]
    pub fn shows_begin(&self) -> bool {
        let has_done = self.phases.iter().any(|phase| phase.done.iter().any(|byte| *byte != 0));
        let mut tasks = self.phases.iter().flat_map(|phase| &phase.tasks);
        let has_ended = tasks.any(|task| task.failures > 0 || !task.checkpoint.is_empty());
        self.has_begun || has_done || has_ended
    }
}
