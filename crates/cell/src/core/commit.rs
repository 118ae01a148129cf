//! Durable rows: one transaction at a time, each with as many changed jobs as it may hold.

use {
    super::CellCore,
    crate::{
        CellAction, CommitOrder, JobKey, JobState, ProgressRecord,
        table::{AfterCommit, JobEntry},
    },
    rustc_hash::FxHashSet,
    std::collections::VecDeque,
};

/// Most rows in a transaction; the store takes 32 entries, of which the leader's guard takes two.
const MAX_ROWS: usize = 30;
/// Rows of a job: what was accepted and how it went.
const ROWS_PER_JOB: usize = 2;

/// Jobs that wait for a commit, and the commit on the way.
#[derive(Debug, Default)]
pub(super) struct CommitLine {
    dirty: VecDeque<JobKey>,
    expired: VecDeque<JobKey>,
    /// Ids of the jobs that the commit on the way carries.
    carried: FxHashSet<String>,
    /// What waits for the commit on the way.
    waiting: Vec<(AfterCommit, JobState)>,
    is_on_way: bool,
    next_ms: u64,
}

impl CommitLine {
    /// Tells whether the commit on the way carries a job.
    pub(super) fn carries_state(&self, id: &str) -> bool {
        self.carried.contains(id)
    }
}

impl CellCore {
    /// Notes that a job's row must be written, and what waits for that.
    pub(super) fn touch(&mut self, key: JobKey, after: Option<AfterCommit>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.after_commit.extend(after);
        if !job.is_dirty {
            job.is_dirty = true;
            self.commits.dirty.push_back(key);
        }
    }

    pub(super) fn next_commit_ms(&self) -> u64 {
        let line = &self.commits;
        let is_idle = line.dirty.is_empty() && line.expired.is_empty();
        if line.is_on_way || is_idle { u64::MAX } else { line.next_ms }
    }

    pub(super) fn start_commit(&mut self) {
        self.expire_jobs();
        if self.next_commit_ms() > self.time.now_ms {
            return;
        }
        let mut order = CommitOrder::default();
        while order.rows.len() + order.accepted.len() + ROWS_PER_JOB <= MAX_ROWS
            && let Some(key) = self.commits.dirty.pop_front()
        {
            self.carry_row(key, &mut order);
        }
        while order.rows.len() + order.accepted.len() + (order.removals.len() + 1) * ROWS_PER_JOB
            <= MAX_ROWS
            && let Some(key) = self.commits.expired.pop_front()
        {
            self.carry_removal(key, &mut order);
        }
        self.commits.is_on_way = true;
        self.commits.next_ms = self.time.now_ms + self.settings.commit_interval_ms;
        self.actions.push(CellAction::Commit(order));
    }

    fn carry_row(&mut self, key: JobKey, order: &mut CommitOrder) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.is_dirty = false;
        let state = job.state;
        let waiting = job.after_commit.drain(..).map(|after| (after, state));
        self.commits.waiting.extend(waiting);
        self.commits.carried.insert(job.record.id.clone());
        if !std::mem::replace(&mut job.is_stored, true) {
            order.accepted.push(job.accepted());
        }
        let job = &self.jobs[key];
        if job.state.is_final() || job.has_started() {
            order.rows.push((job.record.id.clone(), self.render(job)));
        }
    }

    fn carry_removal(&mut self, key: JobKey, order: &mut CommitOrder) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.job_ids.remove(&job.record.id);
        order.removals.push(job.record.id);
    }

    fn render(&self, job: &JobEntry) -> ProgressRecord {
        let locate = |key| {
            let attempt = self.attempts.get(key)?;
            let worker = self.workers.get(attempt.worker)?;
            Some((worker.report.id.clone(), worker.report.incarnation))
        };
        let phases = match job.state.is_final() {
            true => Vec::new(),
            false => {
                let begun = job.phases.iter().filter(|phase| phase.has_started());
                begun.map(|phase| phase.progress(locate)).collect()
            }
        };
        ProgressRecord { state: job.state as i32, phases, ended_ms: job.ended_ms }
    }

    /// Takes in that the rows on the way are durable.
    pub(super) fn finish_commit(&mut self) {
        self.commits.is_on_way = false;
        self.commits.carried.clear();
        for (after, state) in std::mem::take(&mut self.commits.waiting) {
            match after {
                AfterCommit::Send(attempt) => self.send_attempt(attempt),
                AfterCommit::Note(worker, incarnation) => self.note_end(worker, incarnation),
                AfterCommit::Reply(reply) => self.reply_durable(reply, state),
            }
        }
    }

    /// Lines up jobs whose rows have been kept long enough.
    fn expire_jobs(&mut self) {
        let Some(limit_ms) = self.time.wall_ms.checked_sub(self.settings.retention_ms) else {
            return;
        };
        while let Some((key, ended_ms)) = self.commits_ended_front()
            && ended_ms < limit_ms
        {
            self.ended.pop_front();
            if self.jobs.get(key).is_some_and(|job| job.attempts_left() == 0) {
                self.commits.expired.push_back(key);
            }
        }
    }

    fn commits_ended_front(&self) -> Option<(JobKey, u64)> {
        let key = *self.ended.front()?;
        Some((key, self.jobs.get(key).map_or(0, |job| job.ended_ms)))
    }
}
