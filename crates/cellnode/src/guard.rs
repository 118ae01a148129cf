//! Writes of the leader: one at a time on each lane, each guarded by the one before.

use {
    crate::{
        CellStore, StoreItem, StorePut, StoreTransaction, TransactionOutcome, boot_ms,
        follow::{SHORT_PAGE_MS, read_all},
        proof::LeadProof,
        rows::{GUARD_PREFIX, GuardRow, LEADER_KEY, LeaderRow, guard_key},
    },
    damaskrack_cell::COMMIT_LANES,
    prost::Message,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Wait after a write that failed, in milliseconds.
const RETRY_MS: u64 = 150;

/// How a guarded write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteResult {
    /// It is durable.
    Done,
    /// Another daemon leads.
    Deposed,
    /// The lease that the write names has ended.
    LeaseNotFound,
}

/// What a write left of the guards that it replaced.
enum WriteAnswer {
    /// It took effect at this revision.
    Done(u64),
    Conflict(Vec<StoreItem>),
    LeaseNotFound,
}

/// The leader's hold on the guard of one lane.
pub(crate) struct GuardWriter {
    store: Arc<dyn CellStore>,
    pub(crate) leader: LeaderRow,
    pub(crate) proof: Arc<LeadProof>,
    lane: usize,
    revision: u64,
    write: u64,
    logger: Logger,
}

impl GuardWriter {
    /// Tries to become the leader; `None` if another daemon was faster or the store is silent.
    /// `leader_revision` is that of the row of a leader that has resigned, or 0 if there is none.
    /// Returns a writer for each lane.
    pub(crate) async fn campaign(
        store: Arc<dyn CellStore>,
        (id, address): (u64, String),
        lease: u64,
        leader_revision: u64,
        logger: Logger,
    ) -> Option<Vec<Self>> {
        let (guards, _) = read_all(store.as_ref(), GUARD_PREFIX, SHORT_PAGE_MS).await.ok()?;
        let rows = guards.iter().filter_map(|item| GuardRow::decode(item.value.as_slice()).ok());
        let term = rows.map(|row| row.term).max().unwrap_or(0) + 1;
        let leader = LeaderRow { id, address, term };
        let mut change = leader_change(&leader, lease);
        change.expected.push((LEADER_KEY.into(), leader_revision));
        let guard = GuardRow { term, id, write: 0 };
        for lane in 0..COMMIT_LANES {
            let key = guard_key(lane);
            let known = guards.iter().find(|item| item.key == key);
            // A vacancy may be another one than the guards were read in. A leader that has resigned
            // goes on writing, and no other term can begin while its row stands.
            if leader_revision == 0 {
                change.expected.push((key.clone(), known.map_or(0, |item| item.revision)));
            }
            change.puts.push(StorePut { key, value: guard.encode_to_vec(), lease: 0 });
        }
        let proof = Arc::new(LeadProof::new(boot_ms()));
        let revision = match write_until_answered(store.as_ref(), &change, &proof, &logger).await {
            WriteAnswer::Done(revision) => revision,
            // If its answer was lost, its row tells that it took effect.
            WriteAnswer::Conflict(items) => find_leader(&items, &leader)?,
            WriteAnswer::LeaseNotFound => return None,
        };
        let writer = |lane| Self {
            store: store.clone(),
            leader: leader.clone(),
            proof: proof.clone(),
            lane,
            revision,
            write: 0,
            logger: logger.clone(),
        };
        Some((0..COMMIT_LANES).map(writer).collect())
    }

    /// Puts the leader's row on a new lease, unless another daemon leads by now.
    pub(crate) async fn renew_leader(&mut self, lease: u64) -> WriteResult {
        let change = leader_change(&self.leader, lease);
        self.write(change).await
    }

    /// Writes until the store has answered, however long that takes.
    pub(crate) async fn write(&mut self, mut change: StoreTransaction) -> WriteResult {
        self.write += 1;
        let key = guard_key(self.lane);
        let guard = GuardRow { term: self.leader.term, id: self.leader.id, write: self.write };
        change.expected.push((key.clone(), self.revision));
        change.puts.push(StorePut { key: key.clone(), value: guard.encode_to_vec(), lease: 0 });
        let answer =
            write_until_answered(self.store.as_ref(), &change, &self.proof, &self.logger).await;
        match answer {
            WriteAnswer::Done(revision) => {
                self.revision = revision;
                WriteResult::Done
            }
            // Either this very write took effect and its answer was lost, or another daemon wrote.
            WriteAnswer::Conflict(items) => match find_guard(&items, &key, &guard) {
                Some(revision) => {
                    self.revision = revision;
                    WriteResult::Done
                }
                None => WriteResult::Deposed,
            },
            WriteAnswer::LeaseNotFound => WriteResult::LeaseNotFound,
        }
    }
}

fn leader_change(leader: &LeaderRow, lease: u64) -> StoreTransaction {
    let row = StorePut { key: LEADER_KEY.into(), value: leader.encode_to_vec(), lease };
    StoreTransaction { puts: vec![row], ..StoreTransaction::default() }
}

/// Returns the revision at which a guard holds exactly this row, if it does.
fn find_guard(items: &[StoreItem], key: &str, guard: &GuardRow) -> Option<u64> {
    let item = items.iter().find(|item| item.key == key)?;
    let row = GuardRow::decode(item.value.as_slice()).ok()?;
    (row == *guard).then_some(item.revision)
}

/// Returns the revision at which the leader's row is exactly this one, if it is.
fn find_leader(items: &[StoreItem], leader: &LeaderRow) -> Option<u64> {
    let item = items.iter().find(|item| item.key == LEADER_KEY)?;
    let row = LeaderRow::decode(item.value.as_slice()).ok()?;
    (row == *leader).then_some(item.revision)
}

async fn write_until_answered(
    store: &dyn CellStore,
    change: &StoreTransaction,
    proof: &LeadProof,
    logger: &Logger,
) -> WriteAnswer {
    let mut is_late = false;
    loop {
        let asked_ms = boot_ms();
        match store.commit_transaction(change).await {
            Ok(TransactionOutcome::Done(revision)) => {
                proof.note_proof(asked_ms);
                return WriteAnswer::Done(revision);
            }
            Ok(TransactionOutcome::LeaseNotFound) => return WriteAnswer::LeaseNotFound,
            Ok(TransactionOutcome::Conflict(items)) => return WriteAnswer::Conflict(items),
            Err(fault) => {
                proof.note_fault();
                if !is_late {
                    warn!(logger, "write_unanswered"; "fault" => ?fault);
                }
                is_late = true;
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
