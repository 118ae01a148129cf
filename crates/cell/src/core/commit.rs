//! Commits: transactions that write the rows of as many changed jobs as fit.

use {
    super::{CellCore, release_cause::ReleaseCause},
    crate::{
        AttemptKey, COMMIT_LANES, CellAction, CellSettings, CommitRequest, JobKey, JobOwner,
        JobState, ProgressRecord, RejectedJob,
        table::{AfterCommit, AttemptLocation, JobEntry, JobRow, JobRowChange},
    },
    rustc_hash::FxHashSet,
    std::collections::VecDeque,
};

/// Maximum number of rows in a transaction. The store accepts 32 entries, two of which are the
/// leader's guard.
const MAX_ROWS: usize = 30;
/// Maximum number of rows per job: the job, its payload, its progress and its end.
const ROWS_PER_JOB: usize = 4;
/// Number of changed jobs that fill a commit. Most of them take a row or two.
const FULL_COMMIT_JOBS: usize = MAX_ROWS / 2;
/// Time after which a commit in flight counts as slow and the next one does not wait for it, in
/// milliseconds.
const SLOW_COMMIT_MS: u64 = 40;

/// A sequence of commits, one at a time. A job is in at most one commit in flight across all lanes.
#[derive(Debug, Default)]
struct CommitLane {
    /// Ids of the jobs in the commit in flight.
    in_flight: FxHashSet<String>,
    /// Follow-ups of the commit in flight, with their jobs and the jobs' states.
    waiting: Vec<(JobKey, AfterCommit, JobState)>,
    /// Jobs whose row of progress the commit in flight is the first to have.
    new_progress: FxHashSet<JobKey>,
    /// Time at which the commit was sent; `None` if none is in flight.
    sent_ms: Option<u64>,
}

/// Jobs that wait for a commit, and the commits in flight. While the store is fast and one commit
/// holds all changed jobs, a single lane is used, which takes few calls. The other lanes are for a
/// slow store and for bursts, because workers are idle while their attempts wait to become durable.
#[derive(Debug)]
pub(super) struct CommitQueue {
    /// Changed jobs to write.
    dirty: VecDeque<JobKey>,
    /// Ended jobs to remove.
    expired: VecDeque<JobKey>,
    lanes: [CommitLane; COMMIT_LANES],
    /// Time of the last attempt to start a commit.
    last_ms: u64,
}

impl Default for CommitQueue {
    fn default() -> Self {
        let lanes = std::array::from_fn(|_| CommitLane::default());
        Self { dirty: VecDeque::new(), expired: VecDeque::new(), lanes, last_ms: 0 }
    }
}

impl CommitQueue {
    /// Returns whether a job is in a commit in flight.
    pub(super) fn is_in_flight(&self, id: &str) -> bool {
        self.lanes.iter().any(|lane| lane.in_flight.contains(id))
    }

    /// Returns whether a commit has been in flight for some time.
    pub(super) fn is_stalled(&self, now_ms: u64, limit_ms: u64) -> bool {
        self.lanes
            .iter()
            .filter_map(|lane| lane.sent_ms)
            .any(|sent_ms| sent_ms + limit_ms <= now_ms)
    }

    /// Returns the lane of the next commit and the time from which it may be sent.
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

/// Returns the number of rows that a commit takes in a transaction.
fn row_count(request: &CommitRequest) -> usize {
    request.progress.len()
        + request.ended.len()
        + request.jobs.len()
        + request.removed_jobs.len()
        + request.removed_payloads.len()
        + request.removed_progress.len()
        + request.removed_ended.len()
        + usize::from(request.lease_bounds.is_some())
        + usize::from(request.worker_speeds.is_some())
}

impl CellCore {
    /// Queues a job to be written, with an optional follow-up for when it is durable.
    pub(super) fn mark_dirty(&mut self, key: JobKey, after: Option<AfterCommit>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.after_commit.extend(after);
        if !job.is_dirty {
            job.is_dirty = true;
            self.commits.dirty.push_back(key);
        }
    }

    pub(super) fn next_commit_ms(&self) -> u64 {
        let queue = &self.commits;
        let is_empty = queue.dirty.is_empty() && queue.expired.is_empty();
        match queue.next_lane(&self.settings) {
            Some((_, due_ms)) if !is_empty || self.are_own_rows_due() => due_ms,
            _ => u64::MAX,
        }
    }

    /// Returns whether a row that belongs to no job should be written.
    fn are_own_rows_due(&self) -> bool {
        self.lease_bounds.is_write_due() || self.stored_speeds.is_write_due()
    }

    pub(super) fn start_commit(&mut self) {
        self.expire_jobs();
        if self.next_commit_ms() > self.time.now_ms {
            return;
        }
        let Some((lane, _)) = self.commits.next_lane(&self.settings) else { return };
        let mut request = CommitRequest { lane, ..CommitRequest::default() };
        if self.lease_bounds.is_write_due() {
            request.lease_bounds = Some(self.take_lease_bounds(lane));
        }
        if self.stored_speeds.is_write_due() {
            request.worker_speeds = Some(self.take_worker_speeds());
        }
        let mut left = self.commits.dirty.len();
        while left > 0 && row_count(&request) + ROWS_PER_JOB <= MAX_ROWS {
            left -= 1;
            self.add_next_job(&mut request);
        }
        while row_count(&request) + ROWS_PER_JOB <= MAX_ROWS
            && let Some(key) = self.commits.expired.pop_front()
        {
            self.add_removal(key, &mut request);
        }
        self.commits.last_ms = self.time.now_ms;
        if row_count(&request) == 0 && self.commits.lanes[lane].waiting.is_empty() {
            return;
        }
        self.commits.lanes[lane].sent_ms = Some(self.time.now_ms);
        self.actions.push(CellAction::Commit(request));
    }

    /// Adds the job that has waited longest, unless a commit in flight contains it.
    fn add_next_job(&mut self, request: &mut CommitRequest) {
        let Some(key) = self.commits.dirty.pop_front() else { return };
        let is_in_flight =
            self.jobs.get(key).is_some_and(|job| self.commits.is_in_flight(&job.record.id));
        if is_in_flight {
            self.commits.dirty.push_back(key);
        } else {
            self.add_job_rows(key, request);
        }
    }

    fn add_job_rows(&mut self, key: JobKey, request: &mut CommitRequest) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.is_dirty = false;
        let state = job.state;
        let waiting = job.after_commit.drain(..).map(|after| (key, after, state));
        let lane = &mut self.commits.lanes[request.lane];
        lane.waiting.extend(waiting);
        lane.in_flight.insert(job.record.id.clone());
        match job.advance_job_row() {
            JobRowChange::Write => request.jobs.push(job.full_record()),
            JobRowChange::Remove => {
                let id = &job.record.id;
                request.removed_jobs.push(id.clone());
                request.removed_payloads.extend(job.record.has_stored_payload.then(|| id.clone()));
            }
            JobRowChange::Keep => {}
        }
        self.update_charge(key);
        let job = &self.jobs[key];
        let id = job.record.id.clone();
        if job.job_row == JobRow::Removed {
            let owner = Some(job.record.owner()).filter(JobOwner::is_known);
            let row = ProgressRecord { owner, ..self.progress_record(job) };
            request.ended.push((id.clone(), row));
            request.removed_progress.extend(job.has_progress_row.then_some(id));
            self.jobs[key].has_progress_row = false;
            self.jobs[key].has_ended_row = true;
        } else if job.state.is_final() || job.has_started() {
            request.progress.push((id, self.progress_record(job)));
            if !job.has_progress_row {
                self.commits.lanes[request.lane].new_progress.insert(key);
            }
            self.jobs[key].has_progress_row = true;
        }
    }

    fn add_removal(&mut self, key: JobKey, request: &mut CommitRequest) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.job_ids.remove(&job.record.id);
        self.job_memory.release(&job.record.team, job.charged_bytes, self.time.now_ms);
        if job.job_row == JobRow::Stored {
            let id = &job.record.id;
            request.removed_jobs.push(id.clone());
            request.removed_payloads.extend(job.record.has_stored_payload.then(|| id.clone()));
        }
        let id = job.record.id;
        request.removed_progress.extend(job.has_progress_row.then(|| id.clone()));
        request.removed_ended.extend(job.has_ended_row.then_some(id));
    }

    fn progress_record(&self, job: &JobEntry) -> ProgressRecord {
        let locate = |key| {
            let attempt = self.attempts.get(key)?;
            let worker = self.workers.get(attempt.worker)?;
            let address = match attempt.is_address_stored {
                true => worker.report.address.clone(),
                false => String::new(),
            };
            Some(AttemptLocation {
                worker: worker.report.id.clone(),
                incarnation: attempt.incarnation,
                address,
                has_bounded_leases: attempt.incarnation == worker.report.incarnation
                    && self.has_bounded_leases(worker),
                has_open_start: attempt.start.is_repeated,
                is_start_identified: attempt.has_identified_start(worker),
            })
        };
        let started = job.phases.iter().filter(|phase| phase.has_started());
        let phases = match job.state.is_final() {
            true if job.is_rejected => Vec::new(),
            true => started.map(|phase| phase.remaining_attempts(locate)).collect(),
            false => started.map(|phase| phase.progress(locate)).collect(),
        };
        ProgressRecord {
            state: job.state as i32,
            phases,
            ended_ms: job.ended_ms,
            has_begun: job.has_begun,
            owner: None,
        }
    }

    /// Ends the jobs whose rows the store rejects. Without their rows none of their tasks may start or be
    /// recorded as done, and the commits of other jobs must not wait for them. The follow-ups wait for the
    /// rows of the ended jobs, which have only the final state.
    pub(super) fn reject_rows(&mut self, lane: usize, jobs: &[RejectedJob]) {
        for RejectedJob { id, is_stored } in jobs {
            let Some(&key) = self.job_ids.get(id) else { continue };
            self.log("rows_rejected", id, "");
            let lane = &mut self.commits.lanes[lane];
            lane.in_flight.remove(id);
            let own = |(job, ..): &mut (JobKey, AfterCommit, JobState)| *job == key;
            let waiting: Vec<AfterCommit> =
                lane.waiting.extract_if(.., own).map(|(_, after, _)| after).collect();
            let job = &mut self.jobs[key];
            job.has_progress_row &= !lane.new_progress.remove(&key);
            job.is_rejected = true;
            job.after_commit.extend(waiting);
            match job.state.is_final() {
                true => self.mark_dirty(key, None),
                false => self.end_job(key, JobState::Failed, "the store rejects its rows"),
            }
            if !is_stored {
                self.withdraw_job_row(key);
            }
        }
    }

    /// Leaves out the own row of a job that the store rejects. No attempt has been sent before that row is
    /// durable.
    fn withdraw_job_row(&mut self, key: JobKey) {
        let tasks = self.jobs[key].phases.iter().flat_map(|phase| &phase.tasks);
        let attempts: Vec<AttemptKey> = tasks.filter_map(|task| task.attempt).collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.drop_attempt(attempt, ReleaseCause::RowRejected));
        self.jobs[key].job_row = JobRow::Removed;
    }

    /// Runs the follow-ups of a commit that is durable.
    pub(super) fn finish_commit(&mut self, lane: usize) {
        self.finish_lease_bounds(lane);
        let lane = std::mem::take(&mut self.commits.lanes[lane]);
        for (_, after, state) in lane.waiting {
            match after {
                AfterCommit::Send(attempt) => self.ready.push_back(attempt),
                AfterCommit::Stop(attempt) => self.stop_attempt(attempt),
                AfterCommit::AcknowledgeEnd(worker, incarnation) => {
                    self.confirm_end(worker, incarnation);
                }
                AfterCommit::Reply(reply) => self.push_reply(reply, state),
            }
        }
    }

    /// Queues the removal of ended jobs whose retention time has passed.
    fn expire_jobs(&mut self) {
        let Some(limit_ms) = self.time.wall_ms.checked_sub(self.settings.retention_ms) else {
            return;
        };
        while let Some((key, ended_ms)) = self.oldest_ended()
            && ended_ms < limit_ms
        {
            self.ended.pop_front();
            if self.jobs.get(key).is_some_and(|job| job.attempt_count() == 0) {
                self.commits.expired.push_back(key);
            }
        }
    }

    fn oldest_ended(&self) -> Option<(JobKey, u64)> {
        let key = *self.ended.front()?;
        Some((key, self.jobs.get(key).map_or(0, |job| job.ended_ms)))
    }
}
