//! Admission control: refuses jobs that could not end in time.
//!
//! In an overload the backlog grows until every job in it is late. A job that would wait until its
//! result is no longer useful is refused at once, with a delay after which to retry. Its caller can
//! then still react, and its tasks take no capacity from jobs that can end in time. Work of a team
//! beyond the team's limit waits for the team's own capacity only, so it counts against other teams
//! only up to that limit. A team whose own work fits its share of the cell is not refused for the work
//! of others.
//!
//! With `features.admission`, a job that passes these checks is judged by its expected end as well (see
//! [`Verdict`]).
//!
//! While the request window is full, the rate at which tasks start is the limit instead of
//! the workers' capacity.

use {
    super::{CellCore, expected_end::Verdict, job_memory::MemoryVerdict},
    crate::{JobRecord, ResourceSet},
    rustc_hash::{FxHashMap, FxHasher},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        hash::{Hash, Hasher},
    },
};

/// Time for which a measurement of the backlog is reused, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 50;
/// Range of the retry delay before it is spread, in milliseconds.
const RETRY_RANGE_MS: (f64, f64) = (1_000.0, 30_000.0);
/// Retry delays are extended by up to this factor of themselves, so that callers do not retry at
/// the same time.
const RETRY_SPREAD: f64 = 0.5;

/// Smallest weight of a team.
const MIN_WEIGHT: f64 = 0.01;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// Decision on a submitted job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Admission {
    Admit,
    Refuse(Refusal),
}

impl Admission {
    /// Refuses a job for some time, within bounds and spread by the job's id.
    fn refuse(record: &JobRecord, for_ms: f64, cause: RefusalCause) -> Self {
        let wait_ms = for_ms.clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1);
        let retry_ms = wait_ms * (1.0 + RETRY_SPREAD * hash_fraction(&record.id));
        // Float-to-integer casts saturate.
        Self::Refuse(Refusal { retry_ms: retry_ms as u64, cause })
    }
}

/// Refusal of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Refusal {
    /// Delay after which the caller should retry, in milliseconds.
    pub(super) retry_ms: u64,
    pub(super) cause: RefusalCause,
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RefusalCause {
    /// It has more tasks than a job may have, or takes more memory than a team can ever have.
    TooLarge,
    /// Its team holds too much of the memory for jobs.
    Memory {
        /// Memory that the team's jobs take, in bytes.
        held: usize,
        /// Memory that is free, in bytes.
        free: usize,
    },
    /// The work before it is more than can be done while its result is useful.
    Backlog,
    /// Its result would no longer be useful at its expected end.
    TooLate {
        /// Expected end, in milliseconds after its submission.
        expected_end_ms: u64,
        /// Latest end with which it would be admitted, likewise.
        limit_ms: u64,
    },
    /// It would be late, and its team's demand is far beyond the team's share.
    BeyondShare {
        /// Expected end, in milliseconds after its submission.
        expected_end_ms: u64,
        /// Latest end with which it would be admitted, likewise.
        limit_ms: u64,
    },
}

impl RefusalCause {
    /// Returns whether the job was refused for its memory.
    pub(super) fn is_memory(self) -> bool {
        matches!(self, Self::Memory { .. })
    }
}

impl Display for RefusalCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(formatter, "reason=too_large"),
            Self::Memory { held, free } => {
                write!(formatter, "reason=memory held_bytes={held} free_bytes={free}")
            }
            Self::Backlog => write!(formatter, "reason=backlog"),
            Self::TooLate { expected_end_ms: end, limit_ms } => {
                write!(formatter, "reason=too_late expected_end_ms={end} limit_ms={limit_ms}")
            }
            Self::BeyondShare { expected_end_ms: end, limit_ms } => {
                write!(formatter, "reason=beyond_share expected_end_ms={end} limit_ms={limit_ms}")
            }
        }
    }
}

/// An amount of work: CPU and memory, each multiplied by the time for which it is used.
#[derive(Debug, Clone, Copy, Default)]
struct WorkAmount {
    /// Thousandths of a core times milliseconds.
    cpu: f64,
    /// Mebibytes times milliseconds.
    memory: f64,
}

impl WorkAmount {
    /// Returns the work that an amount of resources does in some time.
    fn of(resources: &ResourceSet, ms: f64) -> Self {
        Self { cpu: resources.cpu_millis as f64 * ms, memory: resources.memory_mb as f64 * ms }
    }

    /// Returns the work that a limit, where 0 means "no limit", allows in some time.
    fn within(limit: &ResourceSet, ms: f64) -> Self {
        let bound = |amount: u64| if amount == 0 { f64::INFINITY } else { amount as f64 * ms };
        Self { cpu: bound(limit.cpu_millis), memory: bound(limit.memory_mb) }
    }

    fn add(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
    }

    fn at_most(self, other: Self) -> Self {
        Self { cpu: self.cpu.min(other.cpu), memory: self.memory.min(other.memory) }
    }

    /// Returns the higher ratio of CPU and memory to those of `other`.
    fn ratio(self, other: Self) -> f64 {
        let part = |own: f64, whole: f64| if whole > 0.0 { own / whole } else { 0.0 };
        part(self.cpu, other.cpu).max(part(self.memory, other.memory))
    }
}

/// The last measurement of the work in the backlog that can still end in time.
#[derive(Debug, Default)]
pub(super) struct BacklogLoad {
    measured_ms: u64,
    /// Work by service, team and priority.
    work: FxHashMap<String, FxHashMap<String, BTreeMap<u32, WorkAmount>>>,
    /// Number of tasks to start, by priority.
    tasks: BTreeMap<u32, usize>,
    /// Total capacity of the workers in service, by service.
    capacity: FxHashMap<String, ResourceSet>,
}

impl BacklogLoad {
    fn work_of(&self, service: &str, team: &str, priority: u32) -> WorkAmount {
        let mut sum = WorkAmount::default();
        let own = self.work.get(service).and_then(|teams| teams.get(team));
        for (_, work) in own.into_iter().flat_map(|own| own.range(..=priority)) {
            sum.add(*work);
        }
        sum
    }
}

impl CellCore {
    /// Decides whether to admit a submitted job.
    pub(super) fn admit(&mut self, record: &JobRecord) -> Admission {
        let (bytes, now_ms) = (record.memory_bytes(), self.time.now_ms);
        let memory = match record.can_be_taken() {
            true => self.job_memory.decide(&record.id, &record.team, bytes, now_ms),
            false => MemoryVerdict::TooLarge,
        };
        match memory {
            MemoryVerdict::Admit => {}
            MemoryVerdict::TooLarge => {
                // A float-to-integer cast saturates.
                let retry_ms = RETRY_RANGE_MS.1 as u64;
                return Admission::Refuse(Refusal { retry_ms, cause: RefusalCause::TooLarge });
            }
            MemoryVerdict::Refuse { held, wait_ms } => {
                let cause = RefusalCause::Memory { held, free: self.job_memory.free() };
                return Admission::refuse(record, wait_ms, cause);
            }
        }
        if record.occurrences > 0 || record.steps.iter().any(|step| step.is_service) {
            return Admission::Admit;
        }
        if self.load.measured_ms + MEASURE_INTERVAL_MS <= self.time.now_ms {
            self.measure_load();
        }
        let max_wait_ms = self.max_wait_ms(record);
        let load_factor =
            self.load_factor(record, max_wait_ms).max(self.start_factor(record, max_wait_ms));
        if load_factor > 1.0 {
            let surplus_ms = (load_factor - 1.0) * max_wait_ms;
            return Admission::refuse(record, surplus_ms, RefusalCause::Backlog);
        }
        match self.settings.features.admission {
            true => self.admit_by_expected_end(record),
            false => Admission::Admit,
        }
    }

    /// Decides by its expected end whether to admit a job.
    fn admit_by_expected_end(&mut self, record: &JobRecord) -> Admission {
        let verdict = self.judge_expected_end(record);
        let Verdict::Refuse { expected_end_ms, limit_ms, is_for_share, retry_ms } = verdict else {
            return Admission::Admit;
        };
        // Float-to-integer casts saturate.
        let (expected_end_ms, limit_ms) = (expected_end_ms as u64, limit_ms as u64);
        let cause = match is_for_share {
            true => RefusalCause::BeyondShare { expected_end_ms, limit_ms },
            false => RefusalCause::TooLate { expected_end_ms, limit_ms },
        };
        Admission::refuse(record, retry_ms, cause)
    }

    /// Returns the work that comes before a job, as a multiple of the work that can be done in some
    /// time, for its team or for all teams, whichever is higher; 0 while no worker is known.
    fn load_factor(&self, record: &JobRecord, within_ms: f64) -> f64 {
        let service = self.service_of(record);
        let priority = self.priority_of(record);
        let Some(capacity) = self.load.capacity.get(service) else { return 0.0 };
        let limit_of = |team: &str| {
            let limit = self.config.teams.get(team).map(|team| team.limit).unwrap_or_default();
            WorkAmount::within(&limit, within_ms)
        };
        let mut work = WorkAmount::default();
        for team in self.load.work.get(service).into_iter().flat_map(FxHashMap::keys) {
            work.add(self.load.work_of(service, team, priority).at_most(limit_of(team)));
        }
        let own = self.load.work_of(service, &record.team, priority);
        let by_limit = own.ratio(limit_of(&record.team));
        let whole = WorkAmount::of(capacity, within_ms);
        // A team's own share is free for it however much work the others have.
        let by_share = own.ratio(whole) / self.weight_share(service, &record.team);
        by_limit.max(work.ratio(whole).min(by_share))
    }

    /// Returns a team's part of the weights of all teams with jobs at a service.
    fn weight_share(&self, service: &str, team: &str) -> f64 {
        let weight_of = |team: &str| {
            let weight = self.config.teams.get(team).map_or(1.0, |team| team.weight);
            weight.max(MIN_WEIGHT)
        };
        let teams = self.load.work.get(service).into_iter().flat_map(FxHashMap::keys);
        let others: f64 = teams.filter(|other| *other != team).map(|other| weight_of(other)).sum();
        weight_of(team) / (weight_of(team) + others)
    }

    /// Returns the number of tasks that start before a job's last one, as a multiple of the number
    /// that can be started in some time; 0 while the starts are not limited.
    fn start_factor(&self, record: &JobRecord, within_ms: f64) -> f64 {
        let Some(rate_per_s) = self.request_window.limited_rate(self.time.now_ms) else {
            return 0.0;
        };
        let priority = self.priority_of(record);
        let before: usize = self.load.tasks.range(..=priority).map(|(_, tasks)| tasks).sum();
        let own = record.task_count();
        let start_ms = (before as f64 + own as f64) * MS_PER_SECOND / rate_per_s;
        start_ms / within_ms.max(1.0)
    }

    fn measure_load(&mut self) {
        let capacity = self.service_capacities();
        let measured_ms = self.time.now_ms;
        let mut load = BacklogLoad { measured_ms, capacity, ..BacklogLoad::default() };
        for job in self.live.iter().map(|key| &self.jobs[*key]) {
            if self.cannot_meet_deadline(job) {
                continue;
            }
            let priority = self.priority_of(&job.record);
            let tasks: usize = job.phases.iter().map(|phase| phase.unassigned).sum();
            *load.tasks.entry(priority).or_default() += tasks;
            let mut work = WorkAmount::default();
            let run_ratio = self.run_ratio(&job.record.queue);
            for phase in job.phases.iter().filter(|phase| phase.unassigned > 0) {
                let step = &job.record.steps[phase.step];
                let ms = step.estimate_ms as f64 * run_ratio * phase.unassigned as f64;
                work.add(WorkAmount::of(&step.resources(), ms));
            }
            let teams = load.work.entry(self.service_of(&job.record).to_owned()).or_default();
            let priorities = teams.entry(job.record.team.clone()).or_default();
            priorities.entry(priority).or_default().add(work);
        }
        self.load = load;
    }
}

/// Returns a hash of a job's id as a number from 0 to 1.
fn hash_fraction(id: &str) -> f64 {
    let mut hasher = FxHasher::default();
    id.hash(&mut hasher);
    (hasher.finish() >> 32) as f64 / f64::from(u32::MAX)
}
