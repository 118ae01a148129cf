//! Random cells: each start is where the rules allow it, which the fake cell checks, and nothing waits that
//! could run once trouble is over.

use {
    crate::support::{FakeCell, job, random_numbers, step},
    damaskrack_cell::{AdviceTiming, JobRecord, QueueConfig, StepSpec, WaitPolicy},
    quickcheck::QuickCheck,
    std::panic::{self, AssertUnwindSafe},
};

/// Number of random cells of each kind.
const CELLS: u64 = 12;
/// Seeds of cells in which tasks started where they may not (36), or waited without end, before each path went by
/// the same reasons.
const FOUND_SEEDS: [u64; 5] = [36, 50, 139, 163, 173];
/// The same for cells with an adviser.
const FOUND_ADVISED_SEEDS: [u64; 6] = [1, 4, 17, 34, 38, 52];
/// Time after the last trouble within which every task starts that may, in milliseconds: probations, leases, the
/// time for which queues are kept apart, and the calls that name all workers.
const START_BOUND_MS: u64 = 40_000;
/// Longest run of a task that does not last, in milliseconds.
const RUN_MS: u64 = 300;
/// The same while steps wait for better workers.
const WAITING_RUN_MS: u64 = 1_500;

/// A random cell: a source of numbers and the fakes.
struct RandomCell<N> {
    next: N,
    /// Half of the jobs crash the workers that start their only task.
    is_storm: bool,
    /// Steps wait for better workers, and gangs are coupled.
    waits_by_choice: bool,
    cell: FakeCell,
}

impl<N: FnMut(u64) -> u64> RandomCell<N> {
    /// Creates a cell of two services, two queues and some kinds and racks.
    fn new(mut next: N, has_adviser: bool) -> Self {
        let workers = usize::try_from(6 + next(24)).unwrap_or(6);
        let mut cell = FakeCell::new(workers);
        for (index, worker) in cell.workers.values_mut().enumerate() {
            let kind = if next(3) == 0 { "gpu" } else { "kind" };
            worker.report.labels = vec![kind.to_owned(), format!("r{}", next(4))];
            worker.report.service = if index % 3 == 2 { "another" } else { "service" }.to_owned();
        }
        cell.list_workers();
        let other = QueueConfig {
            name: "other".to_owned(),
            service: "another".to_owned(),
            ..cell.config.queues["queue"].clone()
        };
        cell.config.queues.insert("other".to_owned(), other);
        if has_adviser {
            let call_us = [9_000, 100_000, 450_000][usize::try_from(next(3)).unwrap_or(0)];
            let valid_ms = 600 + 300 * next(5);
            let timing = AdviceTiming { call_us, worker_us: 6_400, valid_ms };
            cell.config.queues.values_mut().for_each(|queue| queue.advice = Some(timing));
            cell.has_slow_adviser = true;
            cell.workers.values_mut().for_each(|worker| worker.needs_tickets = true);
            cell.allowed = cell.workers.keys().filter(|_| next(3) > 0).cloned().collect();
        }
        cell.run_ms = RUN_MS;
        cell.has_lasting_services = true;
        cell.start_leader();
        cell.run(200);
        let is_storm = next(3) == 0;
        Self { next, is_storm, waits_by_choice: false, cell }
    }

    /// Lets steps wait for better workers.
    fn waiting_by_choice(mut self) -> Self {
        self.waits_by_choice = true;
        self.cell.settings.features.place_wait = WaitPolicy::Decided;
        self.cell.settings.remote_factor = 3.0;
        self.cell.run_ms = WAITING_RUN_MS;
        self.cell.workers.values_mut().for_each(|worker| worker.hides_progress = true);
        self.cell.start_leader();
        self
    }

    /// Submits a random job.
    fn submit(&mut self, id: u64) {
        let next = &mut self.next;
        let tasks = if self.is_storm { 1 } else { 1 + u32::try_from(next(5)).unwrap_or(0) };
        let is_lasting = next(3) == 0;
        let spec = StepSpec {
            cpu_millis: [200, 500, 1_000, 2_000][usize::try_from(next(4)).unwrap_or(0)],
            is_service: is_lasting,
            is_gang: next(5) == 0,
            max_per_worker: u32::try_from(next(3)).unwrap_or(0),
            required_label: if next(4) == 0 { "gpu" } else { "" }.to_owned(),
            data_rack: if next(4) == 0 { format!("r{}", next(4)) } else { String::new() },
            ..step(tasks)
        };
        let queue = if next(3) == 0 { "other" } else { "queue" };
        if next(if self.is_storm { 2 } else { 5 }) == 0 {
            self.cell.make_crashing(&id.to_string());
        }
        let mut record = JobRecord { queue: queue.to_owned(), ..job(&id.to_string(), vec![spec]) };
        if self.waits_by_choice {
            record.accepted_ms = self.cell.wall_ms();
            let step = &mut record.steps[0];
            (step.is_rack_coupled, step.estimate_ms) = (true, WAITING_RUN_MS);
            step.data_rack = format!("r{}", id % 2);
        }
        self.cell.submit(record);
    }

    /// Makes trouble: workers crash for some time, leaders change.
    fn disturb(&mut self) {
        let ids: Vec<String> = self.cell.workers.keys().cloned().collect();
        let id = &ids[usize::try_from((self.next)(ids.len() as u64)).unwrap_or(0)];
        match (self.next)(8) {
            0 if !self.cell.workers[id].is_silent => {
                self.cell.crashing.down_ms = 500 + 500 * (self.next)(6);
                self.cell.crash(id);
            }
            1 => self.cell.start_leader(),
            _ => {}
        }
    }

    /// Returns the tasks that could run and do not, after trouble has been over for some time.
    fn waiting_in_the_end(mut self) -> Vec<String> {
        let jobs = if self.is_storm { 60 } else { 30 };
        for id in 0..jobs {
            self.submit(id);
            let pause_ms = 10 * (self.next)(30);
            self.cell.run(pause_ms);
            self.disturb();
        }
        self.cell.crashing.jobs.clear();
        self.cell.run(START_BOUND_MS);
        self.cell.startable_tasks()
    }
}

/// Returns whether every task of a random cell starts where and when it may.
fn starts_all(seed: u64, has_adviser: bool) -> bool {
    ends_without_waiting(seed, RandomCell::new(random_numbers(seed), has_adviser))
}

/// Returns whether no task of a random cell waits in the end that could run, and prints the seed otherwise, also if
/// the fake cell panics.
fn ends_without_waiting(seed: u64, cell: RandomCell<impl FnMut(u64) -> u64>) -> bool {
    let run = panic::catch_unwind(AssertUnwindSafe(|| cell.waiting_in_the_end()));
    match run {
        Ok(waiting) if waiting.is_empty() => true,
        Ok(waiting) => {
            eprintln!("seed {seed}: {waiting:?} could run and do not");
            false
        }
        Err(cause) => {
            eprintln!("seed {seed}: a rule is broken");
            panic::resume_unwind(cause)
        }
    }
}

fn starts_all_without_adviser(seed: u32) -> bool {
    starts_all(u64::from(seed), false)
}

fn starts_all_with_adviser(seed: u32) -> bool {
    starts_all(u64::from(seed), true)
}

/// Returns whether every task of a random cell starts although steps wait for better workers.
fn starts_all_after_waits(seed: u32) -> bool {
    let seed = u64::from(seed);
    let cell = RandomCell::new(random_numbers(seed), seed.is_multiple_of(2));
    ends_without_waiting(seed, cell.waiting_by_choice())
}

/// Checks a property for random seeds.
fn check(property: fn(u32) -> bool) {
    QuickCheck::new().tests(CELLS).quickcheck(property);
}

#[test]
fn every_task_starts_where_and_when_it_may_without_an_adviser() {
    FOUND_SEEDS.iter().for_each(|seed| assert!(starts_all(*seed, false), "seed {seed}"));
    check(starts_all_without_adviser);
}

#[test]
fn every_task_starts_where_and_when_it_may_with_an_adviser() {
    FOUND_ADVISED_SEEDS.iter().for_each(|seed| assert!(starts_all(*seed, true), "seed {seed}"));
    check(starts_all_with_adviser);
}

/// Guards against waits by choice without an end, and starts after them where a task may not run.
#[test]
fn every_task_starts_where_and_when_it_may_after_waits_by_choice() {
    check(starts_all_after_waits);
}
