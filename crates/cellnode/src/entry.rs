//! The daemon's service for callers: submits jobs, returns their state, cancels and counts them.

use {
    crate::{
        CellStore, StoreError, StoreItem, StorePut, StoreTransaction, TransactionOutcome, boot_ms,
        frame::{EntryBody, LeaderBody},
        leader_connection::LeaderConnection,
        rows::{ended_key, job_key, payload_key, progress_key},
        submission_limits::SubmissionLimits,
    },
    cadence::{CountedExt, StatsdClient, Timed},
    damaskrack_cell::{
        CellConfig, JobCaller, JobOwner, JobRecord, JobState, ProgressRecord, QueueConfig,
    },
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

/// Timeout of requests to the leader, in milliseconds.
const LEADER_TIMEOUT_MS: u64 = 700;
/// Timeout for the leader to accept a job, in milliseconds, for a store without latency. After it
/// the daemon writes the job itself, so that jobs are accepted while the leader is being replaced.
const SUBMIT_TIMEOUT_MS: u64 = 250;
/// Timeout of one write by the daemon itself, in milliseconds, for a store without latency.
const WRITE_CALL_TIMEOUT_MS: u64 = 200;
/// Length from which a payload gets a row of its own if the leader's link is narrow, in bytes.
const MIN_SPLIT_BYTES: usize = 128;
/// Number of store round trips that are added to either timeout.
const STORE_ROUND_TRIPS: u64 = 3;
/// Timeout for a cancellation to become durable, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_800;
/// Delay before a write that the store refused is retried, in milliseconds.
const WRITE_RETRY_MS: u64 = 40;
/// Longest time for which a caller waits for writes by the daemon itself, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 1_300;
/// Time for which the circuit breaker refuses writes after one had no response, in milliseconds.
/// Then one write probes the store.
const BREAKER_OPEN_MS: u64 = 600;

/// Why a call of a caller failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryError {
    /// There is no configuration yet, or it may be outdated. The call had no effect.
    NotReady,
    /// No queue has this host name and path.
    QueueNotFound,
    /// The key belongs to no team.
    InvalidKey,
    /// Another owner's job has the id of the submitted job. The call had no effect.
    IdTaken,
    /// The store or the leader is unreachable. The call had no effect.
    Unavailable,
    /// The cell has too much load to finish the job within its time. The call had no effect.
    Overloaded {
        /// Time after which there should be enough free capacity, in milliseconds.
        retry_ms: u64,
    },
    /// There is no response from the store; the call may have taken effect.
    Unknown,
}

/// What the leader made of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderResponse {
    /// The job is durable.
    Accepted,
    /// The daemon may write the job.
    Admitted,
    Refused(EntryError),
    /// There is no response, and the leader has not written the job.
    None,
    /// There is no response; the leader may have written the job.
    Lost,
}

/// Result of a daemon's write of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobWrite {
    Written,
    /// The same job was accepted before, and may have ended.
    Existed,
    /// Another owner's job has the id.
    Taken,
}

/// Takes the payload out of a job, unless it is so short that a row of its own would cost more.
fn split_payload(mut job: JobRecord) -> (JobRecord, Option<String>) {
    if job.payload.len() < MIN_SPLIT_BYTES {
        return (job, None);
    }
    let payload = std::mem::take(&mut job.payload);
    job.has_stored_payload = true;
    (job, Some(payload))
}

/// Finds out from the rows that a job's write conflicts with whose job has the id; `None` if they cannot be
/// read.
fn find_conflict(items: &[StoreItem], job: &JobRecord) -> Option<JobWrite> {
    let row = |key: &str| items.iter().find(|item| item.key == key && item.revision > 0);
    let (job_row, ended_row) = (row(&job_key(&job.id)), row(&ended_key(&job.id)));
    let owner = match (job_row, ended_row) {
        (Some(item), _) => JobRecord::decode(item.value.as_slice()).ok()?.owner(),
        (None, Some(item)) => {
            ProgressRecord::decode(item.value.as_slice()).ok()?.owner_or_unknown()
        }
        // A former version keeps the progress of an ended job, which does not name the owner.
        (None, None) => row(&progress_key(&job.id)).map(|_| JobOwner::default())?,
    };
    Some(if owner.resubmits(&job.owner()) { JobWrite::Existed } else { JobWrite::Taken })
}

/// A caller's authorization to use a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryAccess {
    /// The queue.
    pub queue: QueueConfig,
    /// The team; empty for a caller without a key at an open queue.
    pub team: String,
}

impl EntryAccess {
    /// Returns the caller of a request about a job of the queue.
    fn caller(&self) -> JobCaller {
        JobCaller {
            queue: self.queue.name.clone(),
            team: self.team.clone(),
            is_queue_open: self.queue.is_open,
        }
    }
}

/// A daemon's service for callers.
pub struct EntryService {
    pub(crate) store: Arc<dyn CellStore>,
    pub(crate) connection: Arc<LeaderConnection>,
    pub(crate) config: watch::Receiver<Arc<CellConfig>>,
    /// When the configuration was last confirmed to be current, in milliseconds since the host
    /// booted.
    pub(crate) config_confirmed_ms: Arc<AtomicU64>,
    /// Age from which the configuration counts as outdated, in milliseconds.
    pub(crate) max_config_age_ms: u64,
    pub(crate) is_shutting_down: Arc<AtomicBool>,
    /// Until when the circuit breaker refuses writes, in milliseconds since the host booted; 0
    /// while it is closed.
    pub(crate) breaker_until_ms: AtomicU64,
    pub(crate) limits: SubmissionLimits,
    pub(crate) metrics: Arc<StatsdClient>,
}

impl std::fmt::Debug for EntryService {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EntryService")
    }
}

impl EntryService {
    /// Returns whether the daemon is ready for new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_fresh() && !self.is_shutting_down() && self.connection.is_connected()
    }

    /// Returns whether the daemon is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.load(Ordering::Relaxed)
    }

    /// Returns the delay in seconds after which a caller should retry when the store or the leader
    /// is unreachable. A daemon that has lost both is most likely isolated itself, so another
    /// daemon can serve the caller at once; while the leader is connected, the store is down for
    /// all daemons.
    #[must_use]
    pub fn retry_after_s(&self) -> u64 {
        u64::from(self.connection.is_connected())
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn config(&self) -> Arc<CellConfig> {
        self.config.borrow().clone()
    }

    /// Returns the time since the configuration was last confirmed to be current, in milliseconds.
    #[must_use]
    pub fn config_age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.config_confirmed_ms.load(Ordering::Relaxed))
    }

    fn is_fresh(&self) -> bool {
        self.config_age_ms() <= self.max_config_age_ms && self.config.borrow().version > 0
    }

    /// Finds the queue of a call and the team of its key.
    ///
    /// # Errors
    ///
    /// Returns why the call is not authorized.
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

    /// Accepts a job, which is durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns why the job was not accepted, or is not known to have been accepted.
    pub async fn submit(&self, job: JobRecord, timeout_ms: u64) -> Result<(), EntryError> {
        let started_ms = boot_ms();
        let result = self.submit_job(job, timeout_ms).await;
        let name = if result.is_ok() { "submit.accepted" } else { "submit.refused" };
        // The client's error handler reports failures.
        let _ = self.metrics.incr(name);
        let _ = self.metrics.time("submit.latency", boot_ms() - started_ms);
        result
    }

    async fn submit_job(&self, job: JobRecord, timeout_ms: u64) -> Result<(), EntryError> {
        let Some(_space) = self.limits.space.take(job.record_bytes()) else {
            return Err(EntryError::Unavailable);
        };
        let deadline_ms = boot_ms() + timeout_ms.min(WRITE_TIMEOUT_MS);
        let status = self.connection.leader_status();
        let allowance_ms = STORE_ROUND_TRIPS * status.store_latency_ms;
        let (job, payload) = match status.is_link_narrow {
            true => split_payload(job),
            false => (job, None),
        };
        let response = match self.connection.is_leader_serving() && !status.is_store_unresponsive {
            true => {
                let leader_timeout_ms = (SUBMIT_TIMEOUT_MS + allowance_ms).min(timeout_ms);
                self.consult_leader(&job, status.is_link_narrow, leader_timeout_ms).await
            }
            false => LeaderResponse::None,
        };
        match response {
            LeaderResponse::Accepted => return Ok(()),
            LeaderResponse::Refused(error) => return Err(error),
            LeaderResponse::Admitted | LeaderResponse::None | LeaderResponse::Lost => {}
        }
        let may_write = response == LeaderResponse::Admitted || self.may_write_unasked(&job);
        let result = match !may_write || self.is_breaker_open() {
            true => Err(EntryError::Unavailable),
            false => {
                let call_timeout_ms = WRITE_CALL_TIMEOUT_MS + allowance_ms;
                self.write_job(&job, payload, deadline_ms, call_timeout_ms).await
            }
        };
        match (result, response) {
            (Ok(JobWrite::Written), LeaderResponse::Admitted) => {
                self.connection.notify(EntryBody::Stored(job.id));
                Ok(())
            }
            (Ok(JobWrite::Written), _) => {
                self.connection.notify(EntryBody::Accepted(job));
                Ok(())
            }
            // The leader knows the job, has read that it ended, or will find its row.
            (Ok(JobWrite::Existed), _) => Ok(()),
            (Ok(JobWrite::Taken), _) => Err(EntryError::IdTaken),
            // The leader may have written the job.
            (Err(_), LeaderResponse::Lost) => Err(EntryError::Unknown),
            (Err(error), _) => Err(error),
        }
    }

    /// Returns whether the daemon may write a job on which the leader has not decided.
    fn may_write_unasked(&self, job: &JobRecord) -> bool {
        // The status may have changed since the leader was asked.
        let status = self.connection.leader_status();
        let may_write = self.limits.unasked.admit(job.memory_bytes(), &status);
        if !may_write {
            // The client's error handler reports failures.
            let _ = self.metrics.incr("submit.unasked_refused");
        }
        may_write
    }

    /// Passes a job to the leader, which writes it together with others. If the leader's link is
    /// narrow, only asks it whether to accept the job.
    async fn consult_leader(
        &self,
        job: &JobRecord,
        is_link_narrow: bool,
        timeout_ms: u64,
    ) -> LeaderResponse {
        let (body, unanswered) = match is_link_narrow {
            true => (EntryBody::Offer(job.clone()), LeaderResponse::None),
            false => (EntryBody::Submit(job.clone()), LeaderResponse::Lost),
        };
        match self.connection.request(body, timeout_ms).await {
            Some(LeaderBody::State(0..)) => LeaderResponse::Accepted,
            Some(LeaderBody::Refused(retry_ms)) => {
                LeaderResponse::Refused(EntryError::Overloaded { retry_ms })
            }
            Some(LeaderBody::Taken(_)) => LeaderResponse::Refused(EntryError::IdTaken),
            Some(LeaderBody::Admitted(_)) => LeaderResponse::Admitted,
            _ => unanswered,
        }
    }

    /// Writes a job to the store without the leader.
    async fn write_job(
        &self,
        job: &JobRecord,
        payload: Option<String>,
        deadline_ms: u64,
        call_timeout_ms: u64,
    ) -> Result<JobWrite, EntryError> {
        let put = |key, value| StorePut { key, value, lease: 0 };
        let job_row = put(job_key(&job.id), job.encode_to_vec());
        let payload_row = payload.map(|payload| put(payload_key(&job.id), payload.into_bytes()));
        let transaction = StoreTransaction {
            expected: vec![
                (job_key(&job.id), 0),
                (progress_key(&job.id), 0),
                (ended_key(&job.id), 0),
            ],
            puts: std::iter::once(job_row).chain(payload_row).collect(),
            removals: Vec::new(),
        };
        let mut is_uncertain = false;
        loop {
            let call_timeout = Duration::from_millis(call_timeout_ms);
            let response = timeout(call_timeout, self.store.commit_transaction(&transaction)).await;
            match response.unwrap_or(Err(StoreError::Unknown)) {
                Ok(TransactionOutcome::Done(_)) => {
                    self.breaker_until_ms.store(0, Ordering::Relaxed);
                    return Ok(JobWrite::Written);
                }
                Ok(TransactionOutcome::Conflict(items)) => {
                    self.breaker_until_ms.store(0, Ordering::Relaxed);
                    return find_conflict(&items, job).ok_or(EntryError::Unknown);
                }
                Ok(TransactionOutcome::LeaseNotFound) => return Err(EntryError::Unavailable),
                // It would be refused again.
                Err(StoreError::Invalid) => return Err(EntryError::Unavailable),
                Err(StoreError::Refused | StoreError::Compacted) => {}
                Err(StoreError::Unknown | StoreError::TooLarge) => {
                    self.breaker_until_ms.store(boot_ms() + BREAKER_OPEN_MS, Ordering::Relaxed);
                    // The same write again tells whether the first one took effect.
                    if std::mem::replace(&mut is_uncertain, true) {
                        return Err(EntryError::Unknown);
                    }
                }
            }
            if boot_ms() + WRITE_RETRY_MS >= deadline_ms {
                return Err(match is_uncertain {
                    true => EntryError::Unknown,
                    false => EntryError::Unavailable,
                });
            }
            sleep(Duration::from_millis(WRITE_RETRY_MS)).await;
        }
    }

    /// Returns whether the circuit breaker refuses writes. When its time is over, lets one write
    /// probe the store and refuses the others for another [`BREAKER_OPEN_MS`].
    fn is_breaker_open(&self) -> bool {
        let now_ms = boot_ms();
        let open_until_ms = self.breaker_until_ms.load(Ordering::Relaxed);
        if now_ms < open_until_ms {
            return true;
        }
        if open_until_ms > 0 {
            self.breaker_until_ms.store(now_ms + BREAKER_OPEN_MS, Ordering::Relaxed);
        }
        false
    }

    /// Returns the state of a job, or `None` if there is no job with this id that the caller may read.
    ///
    /// # Errors
    ///
    /// Returns why the state could not be determined.
    pub async fn state(
        &self,
        id: &str,
        access: &EntryAccess,
    ) -> Result<Option<JobState>, EntryError> {
        let caller = access.caller();
        let response = match self.connection.is_leader_serving() {
            true => {
                let (caller, body) = (Some(caller.clone()), EntryBody::State(id.to_owned()));
                self.connection.request_for(caller, body, LEADER_TIMEOUT_MS).await
            }
            false => None,
        };
        match response {
            Some(LeaderBody::State(state)) if state >= 0 => Ok(JobState::try_from(state).ok()),
            _ => self.stored_state(id, &caller).await,
        }
    }

    async fn stored_state(
        &self,
        id: &str,
        caller: &JobCaller,
    ) -> Result<Option<JobState>, EntryError> {
        let Some(job) = self.read_row::<JobRecord>(job_key(id)).await? else {
            return self.ended_state(id, caller).await;
        };
        if !caller.may_access(&job.owner()) {
            return Ok(None);
        }
        if let Some(progress) = self.read_row::<ProgressRecord>(progress_key(id)).await? {
            return Ok(Some(progress.state()));
        }
        // The job may have ended between the reads.
        let ended = self.ended_state(id, caller).await?;
        Ok(Some(ended.unwrap_or(JobState::Queued)))
    }

    /// Returns the state of a job that has no row of its own any more.
    async fn ended_state(
        &self,
        id: &str,
        caller: &JobCaller,
    ) -> Result<Option<JobState>, EntryError> {
        let row = match self.read_row::<ProgressRecord>(ended_key(id)).await? {
            // A former version keeps the progress of an ended job.
            None => self.read_row::<ProgressRecord>(progress_key(id)).await?,
            row => row,
        };
        let row = row.filter(|row| caller.may_access(&row.owner_or_unknown()));
        Ok(row.map(|row| row.state()))
    }

    /// Reads a row; `None` if there is none.
    async fn read_row<T: Message + Default>(&self, key: String) -> Result<Option<T>, EntryError> {
        let item = self.store.get(&key).await.map_err(|_| EntryError::Unavailable)?;
        // A row that cannot be read is not a job that does not exist.
        let row = item.map(|item| T::decode(item.value.as_slice())).transpose();
        row.map_err(|_| EntryError::Unavailable)
    }

    /// Cancels a job. The cancellation is durable when this returns. `None` if there is no job with this id
    /// that the caller may cancel.
    ///
    /// # Errors
    ///
    /// Returns why the job is not known to be cancelled.
    pub async fn cancel(
        &self,
        id: &str,
        access: &EntryAccess,
    ) -> Result<Option<JobState>, EntryError> {
        let (caller, body) = (access.caller(), EntryBody::Cancel(id.to_owned()));
        let response =
            self.connection.request_for(Some(caller.clone()), body, CANCEL_TIMEOUT_MS).await;
        match response {
            Some(LeaderBody::State(state)) if state >= 0 => Ok(JobState::try_from(state).ok()),
            Some(LeaderBody::State(_)) => match self.stored_state(id, &caller).await? {
                // The job is in the store but has not reached the leader yet.
                Some(_) => Err(EntryError::Unavailable),
                None => Ok(None),
            },
            _ => Err(EntryError::Unknown),
        }
    }

    /// Returns the number of jobs in a queue of which nothing has started.
    ///
    /// # Errors
    ///
    /// Returns why the number could not be determined.
    pub async fn pending(&self, queue: &str) -> Result<u64, EntryError> {
        if !self.connection.is_leader_serving() {
            return Err(EntryError::Unavailable);
        }
        match self.connection.request(EntryBody::Pending(queue.to_owned()), LEADER_TIMEOUT_MS).await
        {
            Some(LeaderBody::Pending(count)) => Ok(count),
            _ => Err(EntryError::Unavailable),
        }
    }
}
