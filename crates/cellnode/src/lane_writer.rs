//! Writers of the leader's commits.

use {
    crate::{
        StorePut, StoreTransaction,
        guard::{GuardWriter, WriteResult},
        leader_event::{LeaderEvent, send_input},
        rows::{job_key, progress_key},
    },
    damaskrack_cell::{CellInput, CommitRequest, JobRecord, ProgressRecord},
    prost::Message,
    tokio::sync::mpsc,
};

/// Writes the commits of one lane, and the leader's row when its lease has ended.
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
        mut renewals: mpsc::Receiver<u64>,
    ) {
        loop {
            let (result, is_commit) = tokio::select! {
                Some(order) = commits.recv() => {
                    (self.guard.write(commit_change(&order)).await, true)
                }
                Some(lease) = renewals.recv() => (self.guard.renew_leader(lease).await, false),
                else => return,
            };
            match result {
                WriteResult::Done if is_commit => {
                    send_input(&self.events, CellInput::Committed { lane: self.lane }).await;
                }
                WriteResult::Done | WriteResult::LeaseNotFound => {}
                WriteResult::Deposed => {
                    // A core that is gone needs no word.
                    let _ = self.events.send(LeaderEvent::Deposed).await;
                    return;
                }
            }
        }
    }
}

fn commit_change(order: &CommitRequest) -> StoreTransaction {
    let put = |(id, row): &(String, ProgressRecord)| StorePut {
        key: progress_key(id),
        value: row.encode_to_vec(),
        lease: 0,
    };
    let accept = |record: &JobRecord| StorePut {
        key: job_key(&record.id),
        value: record.encode_to_vec(),
        lease: 0,
    };
    let retired = order.removed_jobs.iter().map(|id| job_key(id));
    let removals = retired.chain(order.removed_progress.iter().map(|id| progress_key(id)));
    StoreTransaction {
        expected: Vec::new(),
        puts: order.jobs.iter().map(accept).chain(order.progress.iter().map(put)).collect(),
        removals: removals.collect(),
    }
}
