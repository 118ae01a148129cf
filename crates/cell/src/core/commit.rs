//! Durable rows: transactions with as many changed jobs as each may hold.

use {
    super::CellCore,
    crate::{
        COMMIT_LANES, CellAction, CellSettings, CommitRequest, JobKey, JobState, ProgressRecord,
        table::{AcceptedChange, AcceptedRow, AfterCommit, JobEntry},
    },
    rustc_hash::FxHashSet,
    std::collections::VecDeque,
};

/// Most rows in a transaction; the store takes 32 entries, of which the leader's guard takes two.
const MAX_ROWS: usize = 30;
/// Rows of a job: what was accepted and how it went.
const ROWS_PER_JOB: usize = 2;

/// Jobs in line that fill a commit.
const FULL_COMMIT_JOBS: usize = MAX_ROWS / ROWS_PER_JOB;
/// Time after which a commit on the way counts as slow and the next one need not wait for it, in
/// milliseconds.
const SLOW_COMMIT_MS: u64 = 40;

/// Commits that follow one another. A job is in one commit at a time, whichever lane it is on.
#[derive(Debug, Default)]
struct CommitLane {
    /// Ids of the jobs that the commit on the way carries.
    carried: FxHashSet<String>,
    /// What waits for it.
    waiting: Vec<(AfterCommit, JobState)>,
    /// When it was sent; `None` if none is on the way.
    sent_ms: Option<u64>,
}

/// Jobs that wait for a commit, and the commits on the way. While the store answers quickly and a commit
/// holds all that waits, one lane carries everything in few calls. Further ones are for a store that is
/// slow, and for bursts: workers stand idle while what they are to run waits to be durable.
#[derive(Debug)]
pub(super) struct CommitLine {
    dirty: VecDeque<JobKey>,
    expired: VecDeque<JobKey>,
    lanes: [CommitLane; COMMIT_LANES],
    /// When the last commit was looked for.
    last_ms: u64,
}

impl Default for CommitLine {
    fn default() -> Self {
        let lanes = std::array::from_fn(|_| CommitLane::default());
        Self { dirty: VecDeque::new(), expired: VecDeque::new(), lanes, last_ms: 0 }
    }
}

impl CommitLine {
    /// Tells whether a commit on the way carries a job.
    pub(super) fn carries_state(&self, id: &str) -> bool {
        self.lanes.iter().any(|lane| lane.carried.contains(id))
    }

    /// Returns the lane for the next commit and when it may be sent.
    fn next_lane(&self, settings: &CellSettings) -> Option<(usize, u64)> {
        let free = self.lanes.iter().position(|lane| lane.sent_ms.is_none())?;
        if self.dirty.len() >= FULL_COMMIT_JOBS {
            return Some((free, self.last_ms + settings.full_commit_interval_ms()));
        }
        let latest_ms = self.lanes.iter().filter_map(|lane| lane.sent_ms).max();
        let slow_ms = latest_ms.map_or(0, |sent_ms| sent_ms + SLOW_COMMIT_MS);
        Some((free, slow_ms.max(self.last_ms + settings.commit_interval_ms)))
    }
}

/// Number of entries that a commit takes in a transaction.
fn row_count(order: &CommitRequest) -> usize {
    order.progress.len()
        + order.jobs.len()
        + order.removed_jobs.len()
        + order.removed_progress.len()
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
        match line.next_lane(&self.settings) {
            Some((_, due_ms)) if !(line.dirty.is_empty() && line.expired.is_empty()) => due_ms,
            _ => u64::MAX,
        }
    }

    pub(super) fn start_commit(&mut self) {
        self.expire_jobs();
        if self.next_commit_ms() > self.time.now_ms {
            return;
        }
        let Some((lane, _)) = self.commits.next_lane(&self.settings) else { return };
        let mut order = CommitRequest { lane, ..CommitRequest::default() };
        let mut left = self.commits.dirty.len();
        while left > 0 && row_count(&order) + ROWS_PER_JOB <= MAX_ROWS {
            left -= 1;
            self.carry_next(&mut order);
        }
        while row_count(&order) + ROWS_PER_JOB <= MAX_ROWS
            && let Some(key) = self.commits.expired.pop_front()
        {
            self.carry_removal(key, &mut order);
        }
        self.commits.last_ms = self.time.now_ms;
        if row_count(&order) == 0 && self.commits.lanes[lane].waiting.is_empty() {
            return;
        }
        self.commits.lanes[lane].sent_ms = Some(self.time.now_ms);
        self.actions.push(CellAction::Commit(order));
    }

    /// Carries the job that has waited longest, unless a commit on the way carries it.
    fn carry_next(&mut self, order: &mut CommitRequest) {
        let Some(key) = self.commits.dirty.pop_front() else { return };
        let is_carried =
            self.jobs.get(key).is_some_and(|job| self.commits.carries_state(&job.record.id));
        if is_carried {
            self.commits.dirty.push_back(key);
        } else {
            self.carry_row(key, order);
        }
    }

    fn carry_row(&mut self, key: JobKey, order: &mut CommitRequest) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.is_dirty = false;
        let state = job.state;
        let waiting = job.after_commit.drain(..).map(|after| (after, state));
        let lane = &mut self.commits.lanes[order.lane];
        lane.waiting.extend(waiting);
        lane.carried.insert(job.record.id.clone());
        match job.change_accepted() {
            AcceptedChange::Write => order.jobs.push(job.accepted()),
            AcceptedChange::Remove => order.removed_jobs.push(job.record.id.clone()),
            AcceptedChange::Keep => {}
        }
        let job = &self.jobs[key];
        if job.state.is_final() || job.has_started() {
            order.progress.push((job.record.id.clone(), self.render(job)));
        }
    }

    fn carry_removal(&mut self, key: JobKey, order: &mut CommitRequest) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.job_ids.remove(&job.record.id);
        if job.accepted_row == AcceptedRow::Stored {
            order.removed_jobs.push(job.record.id.clone());
        }
        order.removed_progress.push(job.record.id);
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
    pub(super) fn finish_commit(&mut self, lane: usize) {
        let lane = std::mem::take(&mut self.commits.lanes[lane]);
        for (after, state) in lane.waiting {
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
