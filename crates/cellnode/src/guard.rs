//! Writes of the leader: one at a time, each guarded by the one before.

use {
    crate::{
        CellStore, ChangeAnswer, StoreChange, StoreItem, StorePut, boot_ms,
        rows::{GUARD_KEY, GuardRow, LEADER_KEY, LeaderRow},
    },
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
    /// It is durable; it was sent at this time, in milliseconds since the host's boot.
    Done { asked_ms: u64 },
    /// Another daemon leads.
    Deposed,
    /// The lease that the write names has ended.
    NoLease,
}

/// The leader's hold on the guard.
#[derive(Clone)]
pub(crate) struct GuardWriter {
    pub(crate) store: Arc<dyn CellStore>,
    pub(crate) leader: LeaderRow,
    revision: u64,
    write: u64,
    logger: Logger,
}

impl GuardWriter {
    /// Tries to become the leader; `None` if another daemon was faster or the store is silent.
    /// `leader_revision` is that of the row of a leader that has resigned, or 0 if there is none.
    pub(crate) async fn campaign(
        store: Arc<dyn CellStore>,
        (id, address): (u64, String),
        lease: u64,
        leader_revision: u64,
        logger: Logger,
    ) -> Option<Self> {
        let guard = store.get(GUARD_KEY).await.ok()?;
        let revision = guard.as_ref().map_or(0, |item| item.revision);
        let last = guard.and_then(|item| GuardRow::decode(item.value.as_slice()).ok());
        let term = last.unwrap_or_default().term + 1;
        let leader = LeaderRow { id, address, term };
        let mut writer = Self { store, leader, revision, write: 0, logger };
        let mut change = writer.leader_change(lease);
        change.expected.push((LEADER_KEY.into(), leader_revision));
        match writer.write(change).await {
            WriteResult::Done { .. } => Some(writer),
            WriteResult::Deposed | WriteResult::NoLease => None,
        }
    }

    /// Puts the leader's row on a new lease, unless another daemon leads by now.
    pub(crate) async fn renew_leader(&mut self, lease: u64) -> WriteResult {
        let change = self.leader_change(lease);
        self.write(change).await
    }

    fn leader_change(&self, lease: u64) -> StoreChange {
        let row = StorePut { key: LEADER_KEY.into(), value: self.leader.encode_to_vec(), lease };
        StoreChange { puts: vec![row], ..StoreChange::default() }
    }

    /// Writes until the store has answered, however long that takes.
    pub(crate) async fn write(&mut self, mut change: StoreChange) -> WriteResult {
        self.write += 1;
        let guard = GuardRow { term: self.leader.term, id: self.leader.id, write: self.write };
        change.expected.push((GUARD_KEY.into(), self.revision));
        change.puts.push(StorePut {
            key: GUARD_KEY.into(),
            value: guard.encode_to_vec(),
            lease: 0,
        });
        let mut is_late = false;
        loop {
            let asked_ms = boot_ms();
            match self.store.change(&change).await {
                Ok(ChangeAnswer::Done(revision)) => {
                    self.revision = revision;
                    return WriteResult::Done { asked_ms };
                }
                Ok(ChangeAnswer::NoLease) => return WriteResult::NoLease,
                Ok(ChangeAnswer::Conflict(items)) => return self.judge_conflict(&items, &guard),
                Err(fault) => {
                    if !is_late {
                        warn!(self.logger, "write_unanswered"; "fault" => ?fault);
                    }
                    is_late = true;
                    sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
        }
    }

    /// The guard is not as expected: either this very write took effect and its answer was lost,
    /// or another daemon has written.
    fn judge_conflict(&mut self, items: &[StoreItem], guard: &GuardRow) -> WriteResult {
        let current = items.iter().find(|item| item.key == GUARD_KEY);
        let row = current.and_then(|item| GuardRow::decode(item.value.as_slice()).ok());
        match (current, row) {
            (Some(item), Some(row)) if row == *guard => {
                self.revision = item.revision;
                WriteResult::Done { asked_ms: boot_ms() }
            }
            _ => WriteResult::Deposed,
        }
    }
}
