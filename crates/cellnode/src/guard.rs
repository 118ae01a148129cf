//! The leader's fenced writes: one at a time per lane, each conditional on the one before.

use {
    crate::{
        CellStore, StoreError, StoreItem, StorePut, StoreTransaction, TransactionOutcome, boot_ms,
        fencing_token::next_term,
        follow::{SHORT_PAGE_TIMEOUT_MS, read_all},
        forward_router::ForwardRouter,
        leadership_status::LeadershipStatus,
        open_terms::OpenTermsRow,
        rows::{
            GUARD_PREFIX, GuardRow, LEADER_KEY, LeaderRow, OPEN_TERMS_KEY, decode_row, guard_key,
            next_bounds_since,
        },
        won_election::WonElection,
    },
    damaskrack_cell::COMMIT_LANES,
    prost::Message,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Delay before a failed write is retried, in milliseconds.
const RETRY_MS: u64 = 150;

/// Result of a fenced write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// It is durable.
    Done,
    /// Another daemon has become the leader.
    Deposed,
    /// The lease of a written item has expired.
    LeaseNotFound,
    /// The store does not take the transaction, however often it is repeated.
    Invalid,
}

/// A transaction that the store does not take, however often it is repeated.
#[derive(Debug)]
struct InvalidTransaction;

/// How a transaction reaches the store.
enum CommitPath {
    /// This daemon commits it.
    Store(Arc<dyn CellStore>),
    /// The router may leave it to another daemon.
    Router(Arc<ForwardRouter>),
}

impl CommitPath {
    async fn commit(
        &self,
        lane: usize,
        transaction: &StoreTransaction,
    ) -> Result<TransactionOutcome, StoreError> {
        match self {
            Self::Store(store) => store.commit_transaction(transaction).await,
            Self::Router(router) => router.commit(lane, transaction).await,
        }
    }
}

/// Writes transactions on one lane, conditional on the lane's [`GuardRow`].
pub(crate) struct GuardWriter {
    path: CommitPath,
    pub(crate) leader: LeaderRow,
    pub(crate) leadership: Arc<LeadershipStatus>,
    lane: usize,
    revision: u64,
    write: u64,
    /// First term since which all leaders have known the row of lease bounds.
    pub(crate) bounds_since: u64,
    logger: Logger,
}

impl GuardWriter {
    /// Tries to become the leader and returns a writer for each lane and the leaders that may still act;
    /// `None` if another daemon won or the store does not answer. `leader_revision` is the revision of the row of a leader that
    /// asked for a transfer, or 0 if there is no leader.
    pub(crate) async fn campaign(
        store: Arc<dyn CellStore>,
        (id, address): (u64, String),
        lease: u64,
        leader_revision: u64,
        logger: Logger,
    ) -> Option<WonElection> {
        let (guards, open_terms) = tokio::join!(
            read_all(store.as_ref(), GUARD_PREFIX, SHORT_PAGE_TIMEOUT_MS),
            read_all(store.as_ref(), OPEN_TERMS_KEY, SHORT_PAGE_TIMEOUT_MS),
        );
        let ((guards, _), (open_terms, _)) = (guards.ok()?, open_terms.ok()?);
        let rows = guards.iter().filter_map(|item| GuardRow::decode(item.value.as_slice()).ok());
        let rows: Vec<GuardRow> = rows.collect();
        let last_term = rows.iter().map(|row| row.term).max().unwrap_or(0);
        let term = next_term(last_term);
        let bounds_since = next_bounds_since(&rows, term);
        let leader = LeaderRow { id, address, term };
        let former = open_terms.iter().find(|item| item.key == OPEN_TERMS_KEY);
        let stored = former.and_then(|item| decode_row(item, &logger));
        let last_term = (!guards.is_empty()).then_some(last_term);
        let open_terms = OpenTermsRow::next(stored, last_term, leader.clone());
        let mut transaction = leader_transaction(&leader, lease);
        transaction.expected.push((LEADER_KEY.into(), leader_revision));
        transaction.puts.push(open_terms_put(&open_terms));
        let guard = GuardRow { term, id, write: 0, bounds_since };
        if leader_revision == 0 {
            let revision = former.map_or(0, |item| item.revision);
            transaction.expected.push((OPEN_TERMS_KEY.into(), revision));
        }
        for lane in 0..COMMIT_LANES {
            let key = guard_key(lane);
            let known = guards.iter().find(|item| item.key == key);
            // Without a leader, another term may have begun and ended since the rows were read.
            // In a transfer they change because the leader keeps writing, but no other term can begin
            // while its row exists.
            if leader_revision == 0 {
                transaction.expected.push((key.clone(), known.map_or(0, |item| item.revision)));
            }
            transaction.puts.push(StorePut { key, value: guard.encode_to_vec(), lease: 0 });
        }
        let leadership = Arc::new(LeadershipStatus::new(boot_ms()));
        let revision = match commit_until_confirmed(
            &CommitPath::Store(store.clone()),
            0,
            &transaction,
            &leadership,
            &logger,
        )
        .await
        .ok()?
        {
            TransactionOutcome::Done(revision) => revision,
            // If the response was lost, the leader's row shows whether the transaction took effect.
            TransactionOutcome::Conflict(items) => find_leader(&items, &leader)?,
            TransactionOutcome::LeaseNotFound => return None,
        };
        let writer = |lane| Self {
            path: CommitPath::Store(store.clone()),
            leader: leader.clone(),
            leadership: leadership.clone(),
            lane,
            revision,
            write: 0,
            bounds_since,
            logger: logger.clone(),
        };
        Some(WonElection { writers: (0..COMMIT_LANES).map(writer).collect(), open_terms })
    }

    /// Commits the later transactions through a router.
    pub(crate) fn route(&mut self, router: Arc<ForwardRouter>) {
        self.path = CommitPath::Router(router);
    }

    /// Writes the leader's row again, attached to a new lease, unless another daemon has become the
    /// leader.
    pub(crate) async fn attach_leader_row(&mut self, lease: u64) -> WriteOutcome {
        let transaction = leader_transaction(&self.leader, lease);
        self.write(transaction).await
    }

    /// Records that every former leader has ended.
    pub(crate) async fn settle_terms(&mut self) -> WriteOutcome {
        let row = OpenTermsRow::of_one(self.leader.clone());
        let puts = vec![open_terms_put(&row)];
        self.write(StoreTransaction { puts, ..StoreTransaction::default() }).await
    }

    /// Commits a fenced transaction, retrying without limit until the store confirms its outcome or rejects
    /// it as invalid.
    pub(crate) async fn write(&mut self, mut transaction: StoreTransaction) -> WriteOutcome {
        self.write += 1;
        let key = guard_key(self.lane);
        let guard = GuardRow {
            term: self.leader.term,
            id: self.leader.id,
            write: self.write,
            bounds_since: self.bounds_since,
        };
        transaction.expected.push((key.clone(), self.revision));
        transaction.puts.push(StorePut {
            key: key.clone(),
            value: guard.encode_to_vec(),
            lease: 0,
        });
        let outcome = commit_until_confirmed(
            &self.path,
            self.lane,
            &transaction,
            &self.leadership,
            &self.logger,
        )
        .await;
        let Ok(outcome) = outcome else { return WriteOutcome::Invalid };
        match outcome {
            TransactionOutcome::Done(revision) => {
                self.revision = revision;
                WriteOutcome::Done
            }
            // Either an earlier try took effect and its response was lost, or another daemon wrote.
            TransactionOutcome::Conflict(items) => match find_guard(&items, &key, &guard) {
                Some(revision) => {
                    self.revision = revision;
                    WriteOutcome::Done
                }
                None => WriteOutcome::Deposed,
            },
            TransactionOutcome::LeaseNotFound => WriteOutcome::LeaseNotFound,
        }
    }
}

fn leader_transaction(leader: &LeaderRow, lease: u64) -> StoreTransaction {
    let row = StorePut { key: LEADER_KEY.into(), value: leader.encode_to_vec(), lease };
    StoreTransaction { puts: vec![row], ..StoreTransaction::default() }
}

fn open_terms_put(row: &OpenTermsRow) -> StorePut {
    StorePut { key: OPEN_TERMS_KEY.into(), value: row.encode_to_vec(), lease: 0 }
}

/// Returns the revision of a guard's item if it contains exactly this row.
fn find_guard(items: &[StoreItem], key: &str, guard: &GuardRow) -> Option<u64> {
    let item = items.iter().find(|item| item.key == key)?;
    let row = GuardRow::decode(item.value.as_slice()).ok()?;
    (row == *guard).then_some(item.revision)
}

/// Returns the revision of the leader's item if it contains exactly this row.
fn find_leader(items: &[StoreItem], leader: &LeaderRow) -> Option<u64> {
    let item = items.iter().find(|item| item.key == LEADER_KEY)?;
    let row = LeaderRow::decode(item.value.as_slice()).ok()?;
    (row == *leader).then_some(item.revision)
}

/// Commits a transaction, retrying without limit until the store confirms its outcome or rejects it as
/// invalid.
async fn commit_until_confirmed(
    path: &CommitPath,
    lane: usize,
    transaction: &StoreTransaction,
    leadership: &LeadershipStatus,
    logger: &Logger,
) -> Result<TransactionOutcome, InvalidTransaction> {
    let mut has_logged = false;
    loop {
        let sent_ms = boot_ms();
        match path.commit(lane, transaction).await {
            Ok(TransactionOutcome::Done(revision)) => {
                leadership.record_confirmation(sent_ms);
                return Ok(TransactionOutcome::Done(revision));
            }
            Ok(outcome) => return Ok(outcome),
            Err(StoreError::Invalid) => {
                warn!(logger, "write_invalid"; "lane" => lane, "rows" => transaction.puts.len());
                return Err(InvalidTransaction);
            }
            Err(error) => {
                leadership.record_error();
                if !has_logged {
                    warn!(logger, "write_unanswered"; "fault" => ?error);
                }
                has_logged = true;
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
