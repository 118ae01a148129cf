//! Writes the leader's commits to the store.

use {
    crate::{
        StorePut, StoreTransaction,
        guard::{GuardWriter, WriteOutcome},
        leader_event::{LeaderEvent, send_input},
        row_update::RowUpdate,
        rows::{
            LEASE_BOUNDS_KEY, LeaseBoundsRow, WORKER_SPEEDS_KEY, ended_key, job_key, payload_key,
            progress_key,
        },
    },
    damaskrack_cell::{
        CellInput, CommitRequest, JobRecord, LeaseBound, ProgressRecord, RejectedJob,
        WorkerSpeedsRecord,
    },
    prost::Message,
    std::time::Duration,
    tokio::{sync::mpsc, time::sleep},
};

/// Pause after the store rejected a commit as invalid, in milliseconds.
const REJECTION_PAUSE_MS: u64 = 150;

/// Result of writing the rows of one job.
#[derive(Debug, Clone, Copy)]
enum JobOutcome {
    /// They are durable.
    Done,
    /// Another daemon has become the leader.
    Deposed,
    /// The store rejects them.
    Rejected {
        /// The job's own row is in the store.
        is_stored: bool,
    },
}

/// Writes the commits of one lane, and the rows that identify leaders when these change.
pub(crate) struct LaneWriter {
    pub(crate) lane: usize,
    pub(crate) guard: GuardWriter,
    pub(crate) events: mpsc::Sender<LeaderEvent>,
}

impl LaneWriter {
    /// Runs until this daemon no longer leads.
    pub(crate) async fn run(
        mut self,
        mut commits: mpsc::Receiver<CommitRequest>,
        mut row_updates: mpsc::Receiver<RowUpdate>,
    ) {
        loop {
            let (outcome, is_commit) = tokio::select! {
                Some(request) = commits.recv() => (self.commit(&request).await, true),
                Some(update) = row_updates.recv() => {
                    let outcome = match update {
                        RowUpdate::Lease(lease) => self.guard.attach_leader_row(lease).await,
                        RowUpdate::TermsEnded => self.guard.settle_terms().await,
                    };
                    (outcome, false)
                }
                else => return,
            };
            match outcome {
                WriteOutcome::Done if is_commit => {
                    send_input(&self.events, CellInput::Committed { lane: self.lane }).await;
                }
                WriteOutcome::Done | WriteOutcome::LeaseNotFound | WriteOutcome::Invalid => {}
                WriteOutcome::Deposed => {
                    // Fails only if the leader has stopped already.
                    let _ = self.events.send(LeaderEvent::Deposed).await;
                    return;
                }
            }
        }
    }
}

impl LaneWriter {
    /// Writes a commit. If the store rejects it as invalid, writes the rows of each job by themselves, so that
    /// only the job whose rows it rejects is concerned. Learned speeds are left out; they are written again
    /// once they have changed.
    async fn commit(&mut self, request: &CommitRequest) -> WriteOutcome {
        let outcome = self.write(request).await;
        if outcome != WriteOutcome::Invalid {
            return outcome;
        }
        let mut rejected = Vec::new();
        for (id, part) in request.split_by_job() {
            let is_stored = match self.commit_job(&part).await {
                JobOutcome::Done => continue,
                JobOutcome::Deposed => return WriteOutcome::Deposed,
                JobOutcome::Rejected { is_stored } => is_stored,
            };
            rejected.push(RejectedJob { id, is_stored });
        }
        let lane = self.lane;
        send_input(&self.events, CellInput::RowsRejected { lane, jobs: rejected }).await;
        sleep(Duration::from_millis(REJECTION_PAUSE_MS)).await;
        self.commit_lease_bounds(request).await
    }

    /// Writes the rows of one job. If the store rejects them, writes the job's own row by itself: another daemon
    /// may have written it too, so it must be known whether it exists.
    async fn commit_job(&mut self, request: &CommitRequest) -> JobOutcome {
        match self.write(request).await {
            WriteOutcome::Done | WriteOutcome::LeaseNotFound => return JobOutcome::Done,
            WriteOutcome::Deposed => return JobOutcome::Deposed,
            WriteOutcome::Invalid if request.jobs.is_empty() => {
                return JobOutcome::Rejected { is_stored: true };
            }
            WriteOutcome::Invalid => {}
        }
        let (lane, jobs) = (request.lane, request.jobs.clone());
        match self.write(&CommitRequest { lane, jobs, ..CommitRequest::default() }).await {
            WriteOutcome::Deposed => JobOutcome::Deposed,
            outcome => JobOutcome::Rejected { is_stored: outcome == WriteOutcome::Done },
        }
    }

    /// Writes the lease bounds of a commit that the store rejected. Nothing else can take their place, so they
    /// are written again until the store takes them.
    async fn commit_lease_bounds(&mut self, request: &CommitRequest) -> WriteOutcome {
        if request.lease_bounds.is_none() {
            return WriteOutcome::Done;
        }
        let bounds = CommitRequest {
            lane: request.lane,
            lease_bounds: request.lease_bounds.clone(),
            ..CommitRequest::default()
        };
        loop {
            match self.write(&bounds).await {
                WriteOutcome::Invalid => sleep(Duration::from_millis(REJECTION_PAUSE_MS)).await,
                outcome => return outcome,
            }
        }
    }

    async fn write(&mut self, request: &CommitRequest) -> WriteOutcome {
        let transaction = build_transaction(request, self.guard.leader.term);
        self.guard.write(transaction).await
    }
}

fn build_transaction(request: &CommitRequest, term: u64) -> StoreTransaction {
    let put_progress = |(id, row): &(String, ProgressRecord)| StorePut {
        key: progress_key(id),
        value: row.encode_to_vec(),
        lease: 0,
    };
    let put_ended = |(id, row): &(String, ProgressRecord)| StorePut {
        key: ended_key(id),
        value: row.encode_to_vec(),
        lease: 0,
    };
    let put_job = |record: &JobRecord| StorePut {
        key: job_key(&record.id),
        value: record.encode_to_vec(),
        lease: 0,
    };
    let put_bounds = |bounds: &Vec<LeaseBound>| StorePut {
        key: LEASE_BOUNDS_KEY.into(),
        value: LeaseBoundsRow { term, bounds: bounds.clone() }.encode_to_vec(),
        lease: 0,
    };
    let put_speeds = |row: &WorkerSpeedsRecord| StorePut {
        key: WORKER_SPEEDS_KEY.into(),
        value: row.encode_to_vec(),
        lease: 0,
    };
    let removed_jobs = request.removed_jobs.iter().map(|id| job_key(id));
    let removed_payloads = request.removed_payloads.iter().map(|id| payload_key(id));
    let removed_progress = request.removed_progress.iter().map(|id| progress_key(id));
    let removed_ended = request.removed_ended.iter().map(|id| ended_key(id));
    let removals =
        removed_jobs.chain(removed_payloads).chain(removed_progress).chain(removed_ended);
    StoreTransaction {
        expected: Vec::new(),
        puts: request
            .jobs
            .iter()
            .map(put_job)
            .chain(request.progress.iter().map(put_progress))
            .chain(request.ended.iter().map(put_ended))
            .chain(request.lease_bounds.iter().map(put_bounds))
            .chain(request.worker_speeds.iter().map(put_speeds))
            .collect(),
        removals: removals.collect(),
    }
}
