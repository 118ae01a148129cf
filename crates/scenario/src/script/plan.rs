//! Parsed form of a script.

use {
    damaskrack_manifest::ManifestDocument,
    damaskrack_model::{
        KeyName, PriorityClass, QueueName, Resources, TeamName, WorkKind, ZoneName,
    },
    damaskrack_ownership::PieceName,
    std::collections::BTreeMap,
};

/// Size of the simulated cell, capacity of its workers and delays of its network.
#[derive(Debug, Clone)]
pub(crate) struct CellPlan {
    pub(crate) nodes: usize,
    pub(crate) zones: usize,
    pub(crate) racks: usize,
    pub(crate) workers_per_rack: usize,
    pub(crate) capacity: Resources,
    pub(crate) slots: u32,
    pub(crate) host_lag_ms: u64,
    pub(crate) latency_ms: u64,
    pub(crate) jitter_ms: u64,
}

impl Default for CellPlan {
    fn default() -> Self {
        Self {
            nodes: 3,
            zones: 3,
            racks: 3,
            workers_per_rack: 2,
            capacity: Resources { millicores: 16_000, memory_bytes: 32 << 30, accelerators: 0 },
            slots: 8,
            host_lag_ms: 1_000,
            latency_ms: 1,
            jitter_ms: 2,
        }
    }
}

/// Target of a fault; some variants are resolved only when the fault is injected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FaultTarget {
    Node(usize),
    Worker(usize),
    Store,
    OwnerOf(PieceName),
    AnyNode,
    AnyWorker,
    AllNodes,
    AllWorkers,
}

/// Kind of an injected fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// SIGKILL; healed by a new process.
    Kill(FaultTarget),
    /// SIGKILL if a process runs, and a new process at once.
    Restart(FaultTarget),
    /// SIGSTOP; healed by SIGCONT.
    Pause(FaultTarget),
    /// Graceful shutdown; healed by a new process.
    Shutdown(FaultTarget),
    /// A worker stops making progress.
    Freeze(FaultTarget),
    /// A worker loses its tasks and becomes unreachable; healed by a new boot.
    Crash(FaultTarget),
    /// A worker fails every task that it starts.
    Spoil(FaultTarget),
    /// Everything sent from one side to the other is dropped.
    Cut { from: Vec<FaultTarget>, to: Vec<FaultTarget>, is_both: bool },
    /// Open connections drop everything sent; new connections work.
    Silence { from: Vec<FaultTarget>, to: Vec<FaultTarget> },
    /// The store answers no call.
    StoreDown,
    /// Calls to the store take this much longer, in milliseconds.
    StoreSlow(u64),
    /// This percentage of the store's responses is lost after the call took effect.
    StoreLoses(u32),
    /// Calls to a worker take this much longer, in milliseconds.
    SlowWorker { target: FaultTarget, millis: u64 },
    /// The host list cannot be read.
    HostsDown,
    /// A host is marked as leaving in the platform's host list.
    Leave(FaultTarget),
}

/// A change that an operator makes to the manifest.
#[derive(Debug, Clone)]
pub(crate) enum ManifestEdit {
    Whole,
    Zone { zone: ZoneName, is_in: bool },
    Withdraw { key: KeyName },
    Grant { key: KeyName, team: TeamName },
    Limit { team: TeamName, tasks: Option<u32>, millicores: Option<u64> },
    Share { team: TeamName, share: u32 },
}

/// Work that callers submit.
#[derive(Debug, Clone)]
pub(crate) struct SubmitPlan {
    pub(crate) tag: Option<String>,
    pub(crate) queue: QueueName,
    pub(crate) key: Option<KeyName>,
    pub(crate) kind: WorkKind,
    pub(crate) is_job: bool,
    pub(crate) count: u32,
    pub(crate) tasks: u32,
    pub(crate) run_ms: u64,
    pub(crate) resources: Resources,
    pub(crate) idempotent: bool,
    pub(crate) has_idempotency_key: bool,
    pub(crate) retries: u32,
    pub(crate) priority: PriorityClass,
    pub(crate) deadline_ms: u64,
    pub(crate) is_failing: bool,
    pub(crate) via: Option<FaultTarget>,
}

/// Action of a step.
#[derive(Debug, Clone)]
pub(crate) enum ScriptAction {
    Fault { fault: FaultKind, for_ms: Option<u64> },
    Submit(SubmitPlan),
    Cancel { tag: String },
    Operator { edit: ManifestEdit, via: Option<FaultTarget> },
}

/// Time of a step, in milliseconds from the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepTiming {
    At(u64),
    Every { every_ms: u64, from_ms: u64, until_ms: u64 },
}

/// A step with its line number.
#[derive(Debug, Clone)]
pub(crate) struct ScriptStep {
    pub(crate) line: usize,
    pub(crate) timing: StepTiming,
    pub(crate) action: ScriptAction,
}

/// Random faults in a period, drawn from the seed.
#[derive(Debug, Clone)]
pub(crate) struct ChaosPlan {
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
    pub(crate) every_ms: u64,
    pub(crate) longest_ms: u64,
    pub(crate) faults: Vec<ChaosFault>,
}

/// Kind of a random fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChaosFault {
    Kill,
    Pause,
    Shutdown,
    Cut,
    CutStore,
    CutWorker,
    Silence,
    StoreDown,
    StoreSlow,
    StoreLoses,
    Freeze,
    Crash,
    Spoil,
    SlowWorker,
    HostsDown,
    Zone,
    Limit,
}

/// Comparison of a number with a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Comparison {
    AtLeast,
    AtMost,
    Below,
    Equal,
}

impl Comparison {
    pub(crate) fn holds(self, value: u64, bound: u64) -> bool {
        match self {
            Self::AtLeast => value >= bound,
            Self::AtMost => value <= bound,
            Self::Below => value < bound,
            Self::Equal => value == bound,
        }
    }
}

/// Answers that a count includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerCount {
    Done,
    Failed,
    NotRun,
    Unknown,
    Broken,
    All,
}

/// Kind of an expectation.
#[derive(Debug, Clone)]
pub(crate) enum ExpectKind {
    /// Number of callers whose last answer is of this kind.
    Answers { count: AnswerCount, tag: Option<String>, compare: Comparison, bound: u64 },
    /// Every acknowledged job (with the tag) has ended.
    JobsEnded { tag: Option<String> },
    /// Every acknowledged job with the tag is parked.
    JobsParked { tag: String },
    /// Number of starts of work with the tag.
    Starts { tag: String, compare: Comparison, bound: u64 },
    /// Every lost owner was replaced within this time, in milliseconds.
    Takeover { bound_ms: u64 },
    /// All work with the tag started within this time after its submission, in milliseconds.
    StartDelay { tag: String, bound_ms: u64 },
    /// At least this many manifest changes were accepted.
    ChangesAccepted { at_least: u64 },
    /// Every graceful shutdown ended within this time, in milliseconds.
    Exit { bound_ms: u64 },
}

/// An expectation with its line and the time at which it is checked.
#[derive(Debug, Clone)]
pub(crate) struct ScriptExpect {
    pub(crate) line: usize,
    pub(crate) by_ms: Option<u64>,
    pub(crate) kind: ExpectKind,
    pub(crate) text: String,
}

/// Time bounds that the observers apply, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundPlan {
    /// From the acceptance of a withdrawal until the key is refused everywhere.
    pub key_ms: u64,
    /// From the acceptance of a change until nothing starts in a zone taken out.
    pub zone_ms: u64,
    /// From the host list showing a worker as leaving until it starts no new task.
    pub leaving_ms: u64,
    /// From the acceptance of a configuration until every process holds it.
    pub config_ms: u64,
    /// From the acceptance of a lowered limit until the running tasks are within it.
    pub limit_ms: u64,
}

impl Default for BoundPlan {
    fn default() -> Self {
        Self {
            key_ms: 5_000,
            zone_ms: 5_000,
            leaving_ms: 5_000,
            config_ms: 7_000,
            limit_ms: 12_000,
        }
    }
}

/// A parsed script.
#[derive(Debug, Clone)]
pub struct ScenarioScript {
    pub(crate) cell: CellPlan,
    pub(crate) bounds: BoundPlan,
    pub(crate) document: ManifestDocument,
    pub(crate) secrets: BTreeMap<KeyName, String>,
    pub(crate) seeds: (u64, u64),
    pub(crate) run_ms: u64,
    pub(crate) needs_processes: bool,
    pub(crate) steps: Vec<ScriptStep>,
    pub(crate) chaos: Vec<ChaosPlan>,
    pub(crate) expects: Vec<ScriptExpect>,
}

impl ScenarioScript {
    /// Returns the first and last seed of the script's `seeds` line.
    #[must_use]
    pub fn seeds(&self) -> (u64, u64) {
        self.seeds
    }

    /// Tells whether the script runs with real processes rather than in the simulated world.
    #[must_use]
    pub fn needs_processes(&self) -> bool {
        self.needs_processes
    }
}
