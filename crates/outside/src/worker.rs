//! The platform's interface to a worker.
//!
//! Lease times are readings of the *worker's* clock: the owner adds the lease to the last reading
//! that the worker itself sent. A renewal or start that was delayed, in the network or in a paused
//! process, therefore cannot extend a lease beyond one lease time after the owner last heard from
//! the worker.

use {
    damaskrack_model::{AttemptId, Epoch, RackName, Resources, TaskResult},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A call to a worker under the epoch of its rack's owner.
///
/// The worker keeps the highest epoch it has seen and refuses lower ones with
/// [`WorkerBody::Stale`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum WorkerCall {
    /// Starts attempts. A known attempt, running or ended, is not started again.
    Start {
        /// Rack of the worker.
        rack: RackName,
        /// Epoch of the rack's owner.
        epoch: Epoch,
        /// What to start.
        orders: Vec<StartOrder>,
        /// Worker clock reading until which the tasks may run without renewal, in milliseconds.
        /// A start that arrives later than that is refused.
        lease_until_ms: u64,
    },
    /// Renews every lease, acknowledges ended attempts and reports what runs and what ended.
    /// Waits up to `wait_ms` for the report to differ from the one numbered `seen`.
    Sync {
        /// Rack of the worker.
        rack: RackName,
        /// Epoch of the rack's owner.
        epoch: Epoch,
        /// New lease for everything that runs; 0 renews nothing.
        lease_until_ms: u64,
        /// Ended attempts that need not be kept any longer.
        acks: Vec<AttemptId>,
        /// Number of the last report received; 0 for none.
        seen: u64,
        /// Longest time to wait for news, in milliseconds.
        wait_ms: u64,
    },
    /// Stops attempts; they end as [`TaskResult::Stopped`]. A checkpoint is kept if asked for.
    Stop {
        /// Rack of the worker.
        rack: RackName,
        /// Epoch of the rack's owner.
        epoch: Epoch,
        /// What to stop.
        attempts: Vec<AttemptId>,
        /// Whether to checkpoint first, so that a later attempt of the task resumes.
        checkpoint: bool,
    },
    /// Limits an attempt to its declared size.
    Throttle {
        /// Rack of the worker.
        rack: RackName,
        /// Epoch of the rack's owner.
        epoch: Epoch,
        /// What to throttle.
        attempts: Vec<AttemptId>,
    },
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it may take; the worker enforces it as a hard limit.
    pub resources: Resources,
    /// What to run.
    pub payload: String,
    /// Whether the work can be checkpointed and displaced.
    pub preemptible: bool,
}

/// What became of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartOutcome {
    /// It runs, or ran already.
    Started,
    /// The worker has no room or no free slot.
    Full,
    /// The lease had ended when the start arrived.
    Expired,
}

/// An attempt that runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it was started with.
    pub resources: Resources,
    /// Time since it started, in milliseconds.
    pub age_ms: u64,
    /// What it uses, measured a while ago.
    pub usage: Resources,
    /// Whether it was started as displaceable.
    pub preemptible: bool,
}

/// An attempt that ended and is not acknowledged yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub result: TaskResult,
    /// What it returned.
    pub output: String,
}

/// Everything a worker knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Number of this report; grows with every change.
    pub number: u64,
    /// Attempts that run.
    pub running: Vec<RunningAttempt>,
    /// Attempts that ended and are not acknowledged.
    pub ended: Vec<EndedAttempt>,
    /// What the worker has.
    pub capacity: Resources,
    /// Most tasks that may run at once.
    pub slots: u32,
}

/// A worker's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// The worker's clock when it answered, in milliseconds.
    pub clock_ms: u64,
    /// Random number that the worker drew when it started.
    pub boot: u64,
    /// The answer.
    pub body: WorkerBody,
}

/// What a worker answers to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "body", rename_all = "snake_case")]
pub enum WorkerBody {
    /// To `Start`: a verdict an order, in order.
    Starts {
        /// The verdicts.
        verdicts: Vec<StartOutcome>,
    },
    /// To `Sync`.
    Report(WorkerReport),
    /// To `Stop` and `Throttle`: the command is carried out; a report will show it.
    Accepted,
    /// The call's epoch is lower than one seen before; nothing was done.
    Stale {
        /// The highest epoch seen.
        epoch: Epoch,
    },
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerError {
    /// No connection could be made; the call was not sent.
    Unreachable,
    /// The connection broke or timed out; the call may have arrived.
    Lost,
}

/// A client of the workers.
#[async_trait::async_trait]
pub trait WorkerClient: Send + Sync {
    /// Carries out a call, within `timeout_ms` milliseconds beyond the call's own waiting time.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have arrived when there is no answer.
    async fn call(
        &self,
        address: SocketAddr,
        call: &WorkerCall,
        timeout_ms: u64,
    ) -> Result<WorkerReply, WorkerError>;
}
