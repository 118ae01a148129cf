//! What a daemon does for callers: accept, tell the state, cancel, count.

use {
    crate::{
        CellStore, StoreError, StorePut, StoreTransaction, TransactionOutcome, boot_ms,
        frame::{EntryBody, LeaderBody},
        link::LeaderLink,
        rows::{job_key, progress_key},
    },
    cadence::{CountedExt, StatsdClient, Timed},
    damaskrack_cell::{CellConfig, JobRecord, JobState, ProgressRecord, QueueConfig},
    prost::Message,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Longest wait for the leader, in milliseconds.
const LEADER_LIMIT_MS: u64 = 700;
/// Longest wait until the leader has accepted a job, in milliseconds, with a store that answers at
/// once. After it the daemon writes the job itself, so that jobs are accepted while the leader is
/// being replaced.
const SUBMIT_LIMIT_MS: u64 = 250;
/// Longest wait for a write of the daemon's own, in milliseconds, with a store that answers at once.
const WRITE_CALL_LIMIT_MS: u64 = 200;
/// How many answers of the store either wait allows for.
const STORE_ANSWERS: u64 = 3;
/// Longest wait until a cancellation is durable, in milliseconds.
const CANCEL_LIMIT_MS: u64 = 1_800;
/// Wait before a write that the store refused is sent again, in milliseconds.
const WRITE_RETRY_MS: u64 = 40;
/// Longest time that a caller is kept waiting for the store, in milliseconds.
const WRITE_LIMIT_MS: u64 = 1_300;
/// Time for which callers are refused at once after a write had no answer, in milliseconds. Then
/// one write tries the store again.
const BREAKER_MS: u64 = 600;

/// Why a call is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryError {
    /// No configuration has been read yet, or it may be outdated. Nothing was done.
    NotReady,
    /// No queue has this host name and path.
    QueueNotFound,
    /// The key stands for no team.
    InvalidKey,
    /// The store or the leader is out of reach. Nothing was done.
    Unavailable,
    /// The cell is too full to serve it within its time. Nothing was done.
    Overloaded {
        /// Time after which there should be room, in milliseconds.
        retry_ms: u64,
    },
    /// There is no answer from the store; the call may have taken effect.
    Unknown,
}

/// A caller's right to use a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryAccess {
    /// The queue.
    pub queue: QueueConfig,
    /// The team; empty for a caller without a key at an open queue.
    pub team: String,
}

/// The caller-facing part of a daemon.
pub struct EntryService {
    pub(crate) store: Arc<dyn CellStore>,
    pub(crate) link: Arc<LeaderLink>,
    pub(crate) config: watch::Receiver<Arc<CellConfig>>,
    /// When the configuration was known to be the newest, in milliseconds since the host's boot.
    pub(crate) fresh_ms: Arc<AtomicU64>,
    /// Age from which the configuration counts as outdated, in milliseconds.
    pub(crate) max_age_ms: u64,
    pub(crate) is_shutting_down: Arc<AtomicBool>,
    /// Until when the store counts as out of reach, in milliseconds since the host's boot.
    pub(crate) breaker_ms: AtomicU64,
    pub(crate) metrics: Arc<StatsdClient>,
}

impl std::fmt::Debug for EntryService {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EntryService")
    }
}

impl EntryService {
    /// Tells whether new callers should come here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_fresh() && !self.is_shutting_down() && self.link.is_connected()
    }

    /// Tells whether the daemon is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.load(Ordering::Relaxed)
    }

    /// Returns after how many seconds a caller that was refused for want of a store or a leader should
    /// come back. A daemon that has lost both is most likely cut off by itself, so that any other one
    /// can serve the caller at once; while the leader is there, the store is down for all.
    #[must_use]
    pub fn retry_after_s(&self) -> u64 {
        u64::from(self.link.is_connected())
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<CellConfig> {
        self.config.borrow().clone()
    }

    /// Returns for how long the configuration has not been known to be the newest, in
    /// milliseconds, counted from the asking.
    #[must_use]
    pub fn config_age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.fresh_ms.load(Ordering::Relaxed))
    }

    fn is_fresh(&self) -> bool {
        self.config_age_ms() <= self.max_age_ms && self.config.borrow().version > 0
    }

    /// Finds the queue of a call and the team of its key.
    ///
    /// # Errors
    ///
    /// Returns why the call is not allowed.
    pub fn authorize(&self, host: &str, path: &str, key: &str) -> Result<EntryAccess, EntryError> {
        if !self.is_fresh() {
            return Err(EntryError::NotReady);
        }
        let config = self.config.borrow();
        let queue = config.find_queue(host, path).ok_or(EntryError::QueueNotFound)?;
        let team = match config.key_teams.get(key) {
            Some(team) => team.clone(),
            None if queue.is_open => String::new(),
            None => return Err(EntryError::InvalidKey),
        };
        Ok(EntryAccess { queue: queue.clone(), team })
    }

    /// Accepts a job: it is durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns why it is not, or not known to be, accepted.
    pub async fn submit(&self, job: JobRecord, limit_ms: u64) -> Result<(), EntryError> {
        let began_ms = boot_ms();
        let result = self.hand_in(job, limit_ms).await;
        let name = if result.is_ok() { "submit.accepted" } else { "submit.refused" };
        // The client's own handler reports what it cannot emit.
        let _ = self.metrics.incr(name);
        let _ = self.metrics.time("submit.latency", boot_ms() - began_ms);
        result
    }

    async fn hand_in(&self, job: JobRecord, limit_ms: u64) -> Result<(), EntryError> {
        let until_ms = boot_ms() + limit_ms.min(WRITE_LIMIT_MS);
        let mut may_be_written = false;
        let report = self.link.report();
        let allowance_ms = STORE_ANSWERS * report.store_answer_ms;
        if self.link.is_connected() && !report.is_store_silent {
            may_be_written = true;
            let limit_ms = (SUBMIT_LIMIT_MS + allowance_ms).min(limit_ms);
            let answer = self.link.ask(EntryBody::Submit(job.clone()), limit_ms).await;
            match answer {
                Some(LeaderBody::State(0..)) => return Ok(()),
                Some(LeaderBody::Refused(retry_ms)) => {
                    return Err(EntryError::Overloaded { retry_ms });
                }
                _ => {}
            }
        }
        let is_written = match self.is_store_out_of_reach() {
            true => Err(EntryError::Unavailable),
            false => self.write_job(&job, until_ms, WRITE_CALL_LIMIT_MS + allowance_ms).await,
        };
        match is_written {
            Ok(()) => {
                self.link.tell(EntryBody::Accepted(job));
                Ok(())
            }
            Err(_) if may_be_written => Err(EntryError::Unknown),
            Err(refusal) => Err(refusal),
        }
    }

    /// Writes a job without the leader.
    async fn write_job(
        &self,
        job: &JobRecord,
        until_ms: u64,
        call_limit_ms: u64,
    ) -> Result<(), EntryError> {
        let change = StoreTransaction {
            expected: vec![(job_key(&job.id), 0), (progress_key(&job.id), 0)],
            puts: vec![StorePut { key: job_key(&job.id), value: job.encode_to_vec(), lease: 0 }],
            removals: Vec::new(),
        };
        loop {
            let limit = Duration::from_millis(call_limit_ms);
            let answer = timeout(limit, self.store.commit_transaction(&change)).await;
            match answer.unwrap_or(Err(StoreError::Unknown)) {
                // A conflict shows that the same job is accepted already.
                Ok(TransactionOutcome::Done(_) | TransactionOutcome::Conflict(_)) => {
                    self.breaker_ms.store(0, Ordering::Relaxed);
                    return Ok(());
                }
                Ok(TransactionOutcome::LeaseNotFound) => return Err(EntryError::Unavailable),
                Err(StoreError::Refused | StoreError::Compacted) => {}
                Err(StoreError::Unknown) => {
                    self.breaker_ms.store(boot_ms() + BREAKER_MS, Ordering::Relaxed);
                    return Err(EntryError::Unknown);
                }
            }
            if boot_ms() + WRITE_RETRY_MS >= until_ms {
                return Err(EntryError::Unavailable);
            }
            sleep(Duration::from_millis(WRITE_RETRY_MS)).await;
        }
    }

    /// Tells whether a write had no answer a moment ago; lets one caller a while find out anew.
    fn is_store_out_of_reach(&self) -> bool {
        let now_ms = boot_ms();
        let until_ms = self.breaker_ms.load(Ordering::Relaxed);
        if now_ms < until_ms {
            return true;
        }
        if until_ms > 0 {
            self.breaker_ms.store(now_ms + BREAKER_MS, Ordering::Relaxed);
        }
        false
    }

    /// Returns the state of a job, or `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be told.
    pub async fn state(&self, id: &str) -> Result<Option<JobState>, EntryError> {
        let answer = self.link.ask(EntryBody::State(id.to_owned()), LEADER_LIMIT_MS).await;
        match answer {
            Some(LeaderBody::State(state)) if state >= 0 => Ok(JobState::try_from(state).ok()),
            _ => self.stored_state(id).await,
        }
    }

    async fn stored_state(&self, id: &str) -> Result<Option<JobState>, EntryError> {
        let read = |key: String| async move {
            self.store.get(&key).await.map_err(|_| EntryError::Unavailable)
        };
        if let Some(item) = read(progress_key(id)).await? {
            let row = ProgressRecord::decode(item.value.as_slice());
            return Ok(row.ok().map(|row| row.state()));
        }
        Ok(read(job_key(id)).await?.map(|_| JobState::Queued))
    }

    /// Cancels a job; it is durable when this returns. `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns why it is not known to be cancelled.
    pub async fn cancel(&self, id: &str) -> Result<Option<JobState>, EntryError> {
        let answer = self.link.ask(EntryBody::Cancel(id.to_owned()), CANCEL_LIMIT_MS).await;
        match answer {
            Some(LeaderBody::State(state)) if state >= 0 => Ok(JobState::try_from(state).ok()),
            Some(LeaderBody::State(_)) => match self.stored_state(id).await? {
                // Accepted a moment ago: the leader is about to hear of it.
                Some(_) => Err(EntryError::Unavailable),
                None => Ok(None),
            },
            _ => Err(EntryError::Unknown),
        }
    }

    /// Returns the number of jobs of a queue of which nothing has started.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be told.
    pub async fn pending(&self, queue: &str) -> Result<u64, EntryError> {
        match self.link.ask(EntryBody::Pending(queue.to_owned()), LEADER_LIMIT_MS).await {
            Some(LeaderBody::Pending(count)) => Ok(count),
            _ => Err(EntryError::Unavailable),
        }
    }
}
