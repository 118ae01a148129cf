//! What the store keeps of a job, and what daemons send one another of it.
//!
//! A job has two rows. The entry that accepts it writes the [`JobRecord`], which never changes.
//! The leader writes the [`ProgressRecord`] as the job goes on: before an attempt is sent to a
//! worker, its number and its worker are in the row, so that a successor knows of every attempt
//! that may be running.

use crate::ResourceSet;

/// A step of a job: tasks that are alike.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepSpec {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub tasks: u32,
    /// Processor a task, in thousandths of a core.
    #[prost(uint64, tag = "2")]
    pub cpu_millis: u64,
    /// Memory a task, in mebibytes.
    #[prost(uint64, tag = "3")]
    pub memory_mb: u64,
    /// Accelerators a task.
    #[prost(uint64, tag = "4")]
    pub accelerators: u64,
    /// Rough run time of a task, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// The tasks work only together.
    #[prost(bool, tag = "7")]
    pub is_gang: bool,
    /// The tasks run slower when they are spread over several racks.
    #[prost(bool, tag = "8")]
    pub is_rack_coupled: bool,
    /// Label that a worker must have; empty for none.
    #[prost(string, tag = "9")]
    pub required_label: String,
    /// Rack that holds the data; empty for none.
    #[prost(string, tag = "10")]
    pub data_rack: String,
    /// Most tasks of the step on one worker; 0 for no limit.
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
    /// The tasks use processor that others leave; it is not counted against a worker's capacity.
    #[prost(bool, tag = "15")]
    pub is_background: bool,
    /// Program of the tasks; empty if unknown.
    #[prost(string, tag = "16")]
    pub image: String,
    /// Latency objective of a service's own users, in milliseconds; 0 for none.
    #[prost(uint64, tag = "17")]
    pub latency_objective_ms: u64,
    /// How many tasks of a service the system may take away at a time.
    #[prost(uint32, tag = "18")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns what a task takes of a worker.
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

/// How long an adviser takes, and how long its tickets are valid.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AdviceTiming {
    /// Time a call, in microseconds.
    #[prost(uint64, tag = "1")]
    pub call_us: u64,
    /// Time a worker named in the call, in microseconds.
    #[prost(uint64, tag = "2")]
    pub worker_us: u64,
    /// Validity of a ticket, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub valid_ms: u64,
}

impl AdviceTiming {
    /// Returns how long a call that names so many workers takes, in microseconds.
    ///
    /// ```
    /// let timing = damaskrack_cell::AdviceTiming { call_us: 10, worker_us: 2, valid_ms: 0 };
    /// assert_eq!(timing.duration_us(5), 20);
    /// ```
    #[must_use]
    pub fn duration_us(&self, workers: usize) -> u64 {
        self.call_us + self.worker_us * workers as u64
    }
}

/// A job as it was accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRecord {
    /// Id that the caller chose.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Queue that it was handed in at.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Team whose key came with it.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Payload that is passed to every task.
    #[prost(string, tag = "4")]
    pub payload: String,
    /// Steps.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<StepSpec>,
    /// Number of timed occurrences; 0 for a job that runs once, now.
    #[prost(uint32, tag = "6")]
    pub occurrences: u32,
    /// When the first occurrence is due, in Unix milliseconds.
    #[prost(uint64, tag = "7")]
    pub first_due_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub interval_ms: u64,
    /// When it was accepted, in Unix milliseconds.
    #[prost(uint64, tag = "9")]
    pub accepted_ms: u64,
    /// Service whose workers run it, unless its queue names another one by now.
    #[prost(string, tag = "10")]
    pub service: String,
    /// Most failed runs of a task.
    #[prost(uint32, tag = "11")]
    pub max_attempts: u32,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum JobState {
    /// Nothing of it has started.
    Queued = 0,
    /// Something of it has started.
    Running = 1,
    /// Every task is done.
    Completed = 2,
    /// A task failed too often.
    Failed = 3,
    /// Its caller cancelled it.
    Cancelled = 4,
}

impl JobState {
    /// Tells whether the job has ended.
    ///
    /// ```
    /// assert!(damaskrack_cell::JobState::Failed.is_final());
    /// ```
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A task that has been started at least once and is not done.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskProgress {
    /// Index of the task in its step.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// Number of its last attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Number of its failed attempts.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Worker that may be running the attempt; empty for none.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Incarnation of that worker.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Last checkpoint; empty for none.
    #[prost(string, tag = "6")]
    pub checkpoint: String,
}

/// Progress of one step of one occurrence.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PhaseProgress {
    /// Occurrence.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// Step.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// One bit a task, lowest first: set if it is done.
    #[prost(bytes = "vec", tag = "3")]
    pub done: Vec<u8>,
    /// Tasks under way.
    #[prost(message, repeated, tag = "4")]
    pub tasks: Vec<TaskProgress>,
}

/// How far a job has come.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProgressRecord {
    /// State.
    #[prost(enumeration = "JobState", tag = "1")]
    pub state: i32,
    /// Steps in which something has started.
    #[prost(message, repeated, tag = "2")]
    pub phases: Vec<PhaseProgress>,
    /// When it ended, in Unix milliseconds; 0 while it has not.
    #[prost(uint64, tag = "3")]
    pub ended_ms: u64,
}
