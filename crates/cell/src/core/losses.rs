//! Attempts that are lost with their workers, and the tasks that crash their workers.
//!
//! A worker that crashes takes along all that runs on it, and at most one task of it is the cause.
//! The most likely one is the one that was started last, so the tasks that were started last, just
//! before the worker was lost, are suspects. Suspects start on probation (see `probation.rs`): with
//! nothing else started on their worker for a while. If the worker crashes once more in that time, the
//! task is the only suspect, and its job is given up. A suspect that survives is not to blame for the
//! crash, and may leave another one as the only suspect. A task that crashes its workers only some time
//! after its start is not a suspect at first. It is one from the third crash on, and is then on
//! probation for longer than it ran before. Workers that are lost at the same moment were not
//! crashed by tasks.
//!
//! The number of crashes and the suspicion are in the job's row before the task can start again, so
//! a new leader knows them.

use {
    super::CellCore,
    crate::{
        AttemptKey, JobKey, JobState, LostAttempt, WorkerKey, WorkerReport,
        keys::LossKey,
        message::TaskRef,
        table::{AttemptEntry, AttemptState, LossEntry, MIN_PROBATION_MS, TaskEntry},
    },
    rustc_hash::FxHashSet,
};

/// Tasks that were started on a worker within this time count as started together, in milliseconds.
const START_SPREAD_MS: u64 = 20;
/// Time for which an attempt has to run until its task is no longer suspected, in milliseconds.
const CLEARED_AFTER_MS: u64 = 30_000;
/// Time for which it may become known that a lost worker crashed, in milliseconds.
const UNRESOLVED_MS: u64 = 60_000;

/// Stands for an incarnation that is not known, so that none proves its crash.
const UNKNOWN_INCARNATION: u64 = u64::MAX;

/// Why a job is given up whose task crashed its workers.
pub(super) const CRASH_REASON: &str = "a task crashed its workers";

/// What is known of the loss of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LossCause {
    /// The worker's process has ended.
    Crash,
    /// The worker's leases have expired; it may be unreachable.
    LeaseExpiry,
    /// The worker could not be reached, whether it has crashed since or not.
    Unreachable,
}

/// Returns whether an attempt may have been running on the known incarnation and has not been recorded as lost.
fn may_have_run(attempt: &AttemptEntry) -> bool {
    attempt.state != AttemptState::Persisting
        && !attempt.is_loss_recorded
        && !attempt.start.is_on_next()
}

impl CellCore {
    /// Records that all attempts on a worker are lost.
    pub(super) fn record_losses(&mut self, worker: WorkerKey, cause: LossCause) {
        self.record_losses_except(worker, cause, &[]);
    }

    /// Records that all attempts on a worker but some are lost.
    pub(super) fn record_losses_except(
        &mut self,
        worker: WorkerKey,
        cause: LossCause,
        excluded: &[AttemptKey],
    ) {
        if self.workers[worker].report.is_leaving {
            return;
        }
        let lost_ms = self.workers[worker].lost_ms.unwrap_or(self.time.now_ms);
        if !self.workers[worker].was_reached_until_loss() {
            return self.log_unreachable(worker);
        }
        // An attempt of a job that has ended may be the cause as well.
        let lost: Vec<AttemptKey> = self.workers[worker]
            .attempts
            .values()
            .copied()
            .filter(|key| !excluded.contains(key) && may_have_run(&self.attempts[*key]))
            .collect();
        let recent = match self.is_simultaneous(lost_ms) {
            true => Vec::new(),
            false => self.recent_attempts(&lost, lost_ms),
        };
        let jobs: FxHashSet<JobKey> =
            recent.iter().map(|key| self.attempts[*key].phase.job).collect();
        let last_ms = recent.iter().map(|key| self.attempts[*key].start.sent_ms).max();
        let is_last =
            |key: &AttemptKey| last_ms <= Some(self.attempts[*key].start.sent_ms + START_SPREAD_MS);
        let suspects: Vec<AttemptKey> = recent.iter().copied().filter(is_last).collect();
        let is_lone_test = self.is_test_of_lone_suspects(&recent);
        let tasks: Vec<TaskRef> = suspects.iter().map(|key| self.attempts[*key].task()).collect();
        let is_alone = tasks.iter().all(|task| task.phase.job == tasks[0].phase.job);
        if is_lone_test && jobs.len() == 1 && cause == LossCause::Crash {
            self.lone_suspects.record_crash();
        }
        if !is_lone_test {
            self.suspect_groups.add(tasks, self.time.now_ms);
        }
        let live: Vec<AttemptKey> =
            lost.into_iter().filter(|key| self.has_task(self.attempts[*key].task())).collect();
        for key in live {
            let is_suspect = suspects.contains(&key);
            let is_test = is_suspect && self.attempts[key].is_on_probation;
            let is_sole = is_test && (jobs.len() == 1 || is_lone_test);
            if is_suspect {
                self.task_mut(self.attempts[key].task()).is_accused_alone = is_alone;
            }
            self.record_loss(key, cause, is_suspect, is_sole);
        }
    }

    /// Logs the attempts that were lost with a worker that could not be reached. None counts as crashed.
    fn log_unreachable(&mut self, worker: WorkerKey) {
        let attempts: Vec<AttemptKey> = self.workers[worker].attempts.values().copied().collect();
        for key in attempts {
            if may_have_run(&self.attempts[key]) && self.has_task(self.attempts[key].task()) {
                self.log_loss(key, LossCause::Unreachable, false);
            }
        }
    }

    /// Returns whether all attempts that had just been started on a worker are tests of tasks that were
    /// accused alone.
    fn is_test_of_lone_suspects(&self, recent: &[AttemptKey]) -> bool {
        let is_test = |key: &AttemptKey| {
            let attempt = &self.attempts[*key];
            let task = attempt.task();
            attempt.is_on_probation && self.has_task(task) && self.task(task).is_accused_alone
        };
        !recent.is_empty() && recent.iter().all(is_test)
    }

    /// Records that a task has not crashed the worker on which it was tested.
    pub(super) fn record_survival(&mut self, task: TaskRef) {
        if !self.has_task(task) {
            return;
        }
        if std::mem::take(&mut self.task_mut(task).is_accused_alone) {
            self.lone_suspects.record_survival();
            self.mark_dirty(task.phase.job, None);
        }
        for left in self.suspect_groups.clear(task) {
            if self.has_task(left) && self.task(left).is_suspected() {
                self.task_mut(left).is_accused_alone = true;
                self.mark_dirty(left.phase.job, None);
            }
        }
    }

    /// Clears the tasks that were suspected only beside a task of a job that was given up.
    fn clear_suspects_beside(&mut self, job: JobKey) {
        for task in self.suspect_groups.take_beside(job) {
            if self.has_task(task) && !self.task(task).has_crashed_workers() {
                self.task_mut(task).probation_ms = 0;
                self.mark_dirty(task.phase.job, None);
            }
        }
    }

    /// Returns the attempts that may have crashed their worker: those that had just been started, and
    /// those that had run for about as long before an earlier crash.
    pub(super) fn recent_attempts(&self, lost: &[AttemptKey], lost_ms: u64) -> Vec<AttemptKey> {
        let is_recent = |key: &AttemptKey| {
            let attempt = &self.attempts[*key];
            let job = &self.jobs[attempt.phase.job];
            // The steps of a job that has ended may be gone.
            let phase = job.phases.get(attempt.phase.phase);
            let probation_ms = phase.map_or(0, |phase| phase.tasks[attempt.index].probation_ms);
            match attempt.ran_until(lost_ms) {
                Some(ran_ms) => ran_ms <= probation_ms.max(MIN_PROBATION_MS),
                // A former leader started it, and nobody has seen it run.
                None => probation_ms > 0 && !attempt.has_begun,
            }
        };
        lost.iter().copied().filter(is_recent).collect()
    }

    /// Returns whether so many workers were lost at this time that no task is to blame.
    pub(super) fn is_simultaneous(&self, lost_ms: u64) -> bool {
        self.loss_times.have_common_cause(lost_ms, self.workers.len())
    }

    fn task(&self, task: TaskRef) -> &TaskEntry {
        &self.jobs[task.phase.job].phases[task.phase.phase].tasks[task.index]
    }

    /// Records that an attempt of a live job is lost.
    fn record_loss(
        &mut self,
        key: AttemptKey,
        cause: LossCause,
        is_suspect: bool,
        is_sole_suspect: bool,
    ) {
        self.log_loss(key, cause, is_suspect);
        let lost_ms = self.loss_ms(key);
        let attempt = &mut self.attempts[key];
        attempt.is_loss_recorded = true;
        let (task, worker, has_begun) = (attempt.task(), attempt.worker, attempt.has_begun);
        let ran_ms = attempt.ran_until(lost_ms);
        if is_suspect {
            self.task_mut(task).suspect(ran_ms);
        }
        self.mark_dirty(task.phase.job, None);
        let is_identified =
            self.workers[worker].unidentified_until_ms(&self.attempts[key].start).is_none();
        let report = &self.workers[worker].report;
        let lost = LostAttempt {
            worker: report.id.clone(),
            incarnation: if is_identified { report.incarnation } else { UNKNOWN_INCARNATION },
            address: report.address.clone(),
            has_begun,
            is_sole_suspect,
        };
        match cause {
            LossCause::Crash => self.count_crash(task, ran_ms, &lost),
            LossCause::LeaseExpiry => self.add_loss(task, &lost),
            LossCause::Unreachable => {}
        }
    }

    /// Counts the loss of a worker under a task, which may have crashed. The job is given up if too many may
    /// have: a worker that comes back under another id and address never proves that it did.
    fn add_loss(&mut self, task: TaskRef, lost: &LostAttempt) {
        if !self.has_task(task) {
            return;
        }
        let entry = self.task_mut(task);
        entry.lost = Some(lost.clone());
        entry.unresolved_losses = entry.unresolved_losses.saturating_add(1);
        if entry.has_crashed_too_often() {
            self.end_job(task.phase.job, JobState::Failed, CRASH_REASON);
            return self.clear_suspects_beside(task.phase.job);
        }
        self.restore_loss(task, Some(lost));
    }

    /// Adds a lost attempt of which it is not known yet whether its worker crashed.
    pub(super) fn restore_loss(&mut self, task: TaskRef, lost: Option<&LostAttempt>) {
        if let Some(lost) = lost {
            let recorded_ms = self.time.now_ms;
            self.losses.insert(LossEntry { task, attempt: lost.clone(), recorded_ms });
        }
    }

    /// Returns a task whose attempt was lost.
    fn task_mut(&mut self, task: TaskRef) -> &mut TaskEntry {
        let phase = &mut self.jobs[task.phase.job].phases[task.phase.phase];
        phase.has_losses = true;
        &mut phase.tasks[task.index]
    }

    /// Returns the estimated time at which an attempt's worker was lost.
    fn loss_ms(&self, key: AttemptKey) -> u64 {
        self.workers[self.attempts[key].worker].lost_ms.unwrap_or(self.time.now_ms)
    }

    fn log_loss(&mut self, key: AttemptKey, cause: LossCause, is_suspect: bool) {
        let attempt = &self.attempts[key];
        let ran = attempt.ran_until(self.loss_ms(key));
        let ran = ran.map_or("unknown".to_owned(), |ran_ms| ran_ms.to_string());
        let TaskEntry { crashes, possible_crashes, .. } = self.task(attempt.task());
        let has_begun = attempt.has_begun;
        let detail = format!(
            "cause={cause:?} ran_ms={ran} begun={has_begun} crashes={crashes}+{possible_crashes} \
             suspect={is_suspect}"
        );
        self.log_attempt("attempt_lost", key, &detail);
    }

    /// Counts a crash under a task, and gives its job up if the task is to blame.
    fn count_crash(&mut self, task: TaskRef, ran_ms: Option<u64>, lost: &LostAttempt) {
        // Another task of the job may have been to blame for the same crash.
        if !self.has_task(task) || self.task(task).is_done {
            return;
        }
        let entry = self.task_mut(task);
        entry.add_crash(ran_ms, lost.has_begun);
        let is_proved = lost.is_sole_suspect && entry.has_crashed_workers();
        if is_proved || entry.has_crashed_too_often() {
            self.end_job(task.phase.job, JobState::Failed, CRASH_REASON);
            self.clear_suspects_beside(task.phase.job);
        }
    }

    /// Counts a crash of a worker of which only the row of an attempt tells.
    pub(super) fn count_inherited_crash(&mut self, key: AttemptKey) {
        let attempt = &mut self.attempts[key];
        attempt.is_loss_recorded = true;
        let task = attempt.task();
        self.task_mut(task).add_crash(None, false);
        self.mark_dirty(task.phase.job, None);
        self.log_loss(key, LossCause::Crash, false);
    }

    /// Counts the crashes that a worker's registration proves: those of processes that had its id or
    /// its address before.
    pub(super) fn resolve_losses(&mut self, report: &WorkerReport) {
        let proves_crash = |LossEntry { attempt, .. }: &LossEntry| {
            let has_address = !report.address.is_empty() && attempt.address == report.address;
            let is_successor = attempt.worker == report.id || has_address;
            is_successor && report.incarnation > attempt.incarnation
        };
        for loss in self.take_losses(proves_crash) {
            if self.has_task(loss.task) {
                self.count_crash(loss.task, None, &loss.attempt);
            }
        }
    }

    /// Forgets the losses on a worker that has responded: it was only unreachable.
    pub(super) fn forget_losses(&mut self, worker: WorkerKey) {
        if self.losses.is_empty() {
            return;
        }
        let report = &self.workers[worker].report;
        let (id, incarnation) = (report.id.clone(), report.incarnation);
        let now_ms = self.time.now_ms;
        self.take_losses(|loss| {
            let is_same = loss.attempt.worker == id && loss.attempt.incarnation == incarnation;
            is_same || loss.recorded_ms + UNRESOLVED_MS < now_ms
        });
    }

    /// Returns whether the job of a task has not ended.
    pub(super) fn has_task(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(task.phase.job).filter(|job| !job.state.is_final());
        let phase = job.and_then(|job| job.phases.get(task.phase.phase));
        phase.is_some_and(|phase| task.index < phase.tasks.len())
    }

    /// Removes the losses that match, also from their jobs' rows.
    fn take_losses(&mut self, matches: impl Fn(&LossEntry) -> bool) -> Vec<LossEntry> {
        let matching = self.losses.iter().filter(|(_, loss)| matches(loss));
        let keys: Vec<LossKey> = matching.map(|(key, _)| key).collect();
        let losses: Vec<LossEntry> =
            keys.into_iter().filter_map(|key| self.losses.remove(key)).collect();
        for loss in &losses {
            if self.has_task(loss.task) {
                self.task_mut(loss.task).resolve_loss();
                self.mark_dirty(loss.task.phase.job, None);
            }
        }
        losses
    }

    /// Updates what is known of a task from a run that its worker reports: after some time the
    /// attempt is no longer on probation, and later the task is no longer suspected.
    pub(super) fn observe_survival(&mut self, key: AttemptKey) {
        let attempt = &mut self.attempts[key];
        attempt.is_loss_recorded = false;
        let AttemptState::Running { since_ms } = attempt.state else { return };
        let started_ms = if attempt.start.sent_ms > 0 { attempt.start.sent_ms } else { since_ms };
        let ran_ms = self.time.now_ms.saturating_sub(started_ms);
        let (task, is_on_probation) = (attempt.task(), attempt.is_on_probation);
        if self.task(task).has_losses() && ran_ms >= CLEARED_AFTER_MS {
            self.task_mut(task).clear();
            self.mark_dirty(task.phase.job, None);
        }
        if is_on_probation && ran_ms >= self.task(task).probation_ms {
            self.record_survival(task);
            self.end_probation(key);
        }
    }
}
