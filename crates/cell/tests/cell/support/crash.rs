//! Tasks that crash the workers that start them.

use {
    super::FakeCell,
    std::collections::{BTreeMap, BTreeSet},
};

/// Time from a start to the crash, in milliseconds.
const CRASH_AFTER_MS: u64 = 10;
/// Time for which a crashed worker is down, in milliseconds.
const DOWN_MS: u64 = 3_000;

/// Tasks that crash every worker that starts them, and the damage done.
#[derive(Debug)]
pub(crate) struct CrashingTasks {
    /// Ids of jobs whose first task of the first step crashes its worker.
    pub(crate) jobs: BTreeSet<String>,
    pub(crate) after_ms: u64,
    pub(crate) down_ms: u64,
    /// Crashed workers lose their registrations, and come back under new ids at their addresses.
    pub(crate) renames: bool,
    /// Times at which crashed workers are back, and times of crashes that are due, by worker.
    back_ms: BTreeMap<String, u64>,
    due_ms: BTreeMap<String, u64>,
    /// Crashes under each task that ran on a worker when it crashed.
    pub(crate) crashes: BTreeMap<String, u32>,
    /// Number of runs that were lost with their workers.
    pub(crate) lost_runs: usize,
    /// Number of workers that crashed.
    pub(crate) crashed_workers: usize,
}

impl Default for CrashingTasks {
    fn default() -> Self {
        Self {
            jobs: BTreeSet::new(),
            after_ms: CRASH_AFTER_MS,
            down_ms: DOWN_MS,
            renames: false,
            back_ms: BTreeMap::new(),
            due_ms: BTreeMap::new(),
            crashes: BTreeMap::new(),
            lost_runs: 0,
            crashed_workers: 0,
        }
    }
}

impl CrashingTasks {
    /// Returns the number of crashes of workers by the task of a job that crashes them.
    pub(crate) fn caused_by(&self, id: &str) -> u32 {
        self.crashes.get(&first_task(id)).copied().unwrap_or(0)
    }
}

fn first_task(id: &str) -> String {
    format!("{id}.0.0.0")
}

impl FakeCell {
    /// Makes the first task of a job crash every worker that starts it.
    pub(crate) fn make_crashing(&mut self, id: &str) {
        self.crashing.jobs.insert(id.to_owned());
    }

    /// Records a start; the crash that it may cause is due some time later.
    pub(super) fn note_start(&mut self, task: &str, worker: &str) {
        let id = task.split('.').next().unwrap_or_default();
        if task == first_task(id) && self.crashing.jobs.contains(id) {
            let due_ms = self.now_ms + self.crashing.after_ms;
            self.crashing.due_ms.entry(worker.to_owned()).or_insert(due_ms);
        }
    }

    /// Crashes a worker that is due before it can respond to the start.
    pub(super) fn crashes_at_once(&mut self, worker: &str) -> bool {
        let is_due = self.crashing.due_ms.get(worker) == Some(&self.now_ms);
        if is_due {
            self.crash(worker);
        }
        is_due
    }

    /// Crashes the workers whose crashes are due, and starts those whose time is over again.
    pub(super) fn crash_workers(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |(_, at_ms): &(&String, &u64)| **at_ms <= now_ms;
        let due: Vec<String> =
            self.crashing.due_ms.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| self.crash(id));
        let back: Vec<String> =
            self.crashing.back_ms.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        for id in back {
            self.crashing.back_ms.remove(&id);
            self.restart_worker(&id);
        }
    }

    /// Crashes a worker with all that runs on it. It restarts after some time.
    pub(crate) fn crash(&mut self, id: &str) {
        self.crashing.due_ms.remove(id);
        self.crashing.back_ms.insert(id.to_owned(), self.now_ms + self.crashing.down_ms);
        let worker = self.workers.get_mut(id).unwrap();
        worker.is_silent = true;
        self.crashing.crashed_workers += 1;
        self.crashing.lost_runs += worker.runs.len();
        for run in worker.runs.drain(..) {
            *self.crashing.crashes.entry(run.task).or_default() += 1;
        }
        worker.is_unlisted = self.crashing.renames;
        self.list_workers();
    }

    /// Starts the next incarnation of a crashed worker, under its id or another one.
    fn restart_worker(&mut self, id: &str) {
        let worker = self.workers.get_mut(id).unwrap();
        *worker = worker.restarted(self.now_ms);
        if self.crashing.renames {
            worker.report.id = format!("{id}-{}", worker.report.incarnation);
        }
        self.list_workers();
    }
}
