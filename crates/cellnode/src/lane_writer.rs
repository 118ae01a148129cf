//! Writes the leader's commits to the store.

use {
    crate::{
        StorePut, StoreTransaction,
        guard::{GuardWriter, WriteOutcome},
        leader_event::{LeaderEvent, send_input},
        rows::{LEASE_BOUNDS_KEY, LeaseBoundsRow, ended_key, job_key, payload_key, progress_key},
    },
    damaskrack_cell::{CellInput, CommitRequest, JobRecord, LeaseBound, ProgressRecord},
    prost::Message,
    tokio::sync::mpsc,
};

/// Writes the commits of one lane, and the leader's row after its lease has expired.
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
        mut new_leases: mpsc::Receiver<u64>,
    ) {
        loop {
            let (outcome, is_commit) = tokio::select! {
                Some(request) = commits.recv() => {
                    let transaction = build_transaction(&request, self.guard.leader.term);
                    (self.guard.write(transaction).await, true)
                }
                Some(lease) = new_leases.recv() => {
                    (self.guard.attach_leader_row(lease).await, false)
                }
                else => return,
            };
            match outcome {
                WriteOutcome::Done if is_commit => {
                    send_input(&self.events, CellInput::Committed { lane: self.lane }).await;
                }
                WriteOutcome::Done | WriteOutcome::LeaseNotFound => {}
                WriteOutcome::Deposed => {
                    // Fails only if the leader has stopped already.
                    let _ = self.events.send(LeaderEvent::Deposed).await;
                    return;
                }
            }
        }
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
            .collect(),
        removals: removals.collect(),
    }
}
