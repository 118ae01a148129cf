//! The platform's interface to a worker.
//!
//! The end of a lease is a time on the *worker's* clock: the owner adds the lease time to the last
//! clock reading that the worker sent. A renewal or start that was delayed, in the network or in a
//! paused process, therefore cannot extend a lease beyond one lease time after the owner last heard
//! from the worker.

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
        /// Attempts to start.
        orders: Vec<StartRequest>,
        /// Time on the worker's clock until which the tasks may run without renewal, in
        /// milliseconds. A start that arrives later is refused.
        lease_until_ms: u64,
    },
    /// Renews all leases, acknowledges ended attempts and requests a report of running and ended
    /// attempts. Waits up to `wait_ms` for the report to differ from the one numbered `seen`.
    Sync {
        /// Rack of the worker.
        rack: RackName,
        /// Epoch of the rack's owner.
        epoch: Epoch,
        /// New end of the lease of every running attempt; 0 renews nothing.
        lease_until_ms: u64,
        /// Ended attempts that the worker may discard.
        acks: Vec<AttemptId>,
        /// Number of the last report received; 0 for none.
        seen: u64,
        /// Longest time to wait for a new report, in milliseconds.
        wait_ms: u64,
    },
    /// Stops attempts, which end as [`TaskResult::Stopped`], with a checkpoint if requested.
    Stop {
        /// Rack of the worker.
        rack: RackName,
        /// Epoch of the rack's owner.
        epoch: Epoch,
        /// Attempts to stop.
        attempts: Vec<AttemptId>,
        /// Whether to checkpoint first, so that a later attempt of the task resumes.
        checkpoint: bool,
    },
    /// Limits attempts to their declared resources.
    Throttle {
        /// Rack of the worker.
        rack: RackName,
        /// Epoch of the rack's owner.
        epoch: Epoch,
        /// Attempts to throttle.
        attempts: Vec<AttemptId>,
    },
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Resources of the attempt, which the worker enforces as a hard limit.
    pub resources: Resources,
    /// Payload of the task.
    pub payload: String,
    /// Whether the attempt can be checkpointed and preempted.
    pub preemptible: bool,
}

/// Outcome of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartOutcome {
    /// The attempt runs or ran already.
    Started,
    /// The worker has not enough free capacity or no free slot.
    Full,
    /// The lease had expired when the start arrived.
    Expired,
}

/// A running attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Resources with which it was started.
    pub resources: Resources,
    /// Time since it started, in milliseconds.
    pub age_ms: u64,
    /// Resources that it used at a recent measurement.
    pub usage: Resources,
    /// Whether it was started as preemptible.
    pub preemptible: bool,
}

/// An ended attempt that is not acknowledged yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Result of the attempt.
    pub result: TaskResult,
    /// Output of the task.
    pub output: String,
}

/// The state of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Number of this report; grows with every change.
    pub number: u64,
    /// Running attempts.
    pub running: Vec<RunningAttempt>,
    /// Ended attempts that are not acknowledged yet.
    pub ended: Vec<EndedAttempt>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Maximum number of tasks that run at once.
    pub slots: u32,
}

/// A worker's reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// The worker's clock when it replied, in milliseconds.
    pub clock_ms: u64,
    /// Random number that the worker drew when it started.
    pub boot: u64,
    /// Content of the reply.
    pub body: WorkerBody,
}

/// Content of a worker's reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "body", rename_all = "snake_case")]
pub enum WorkerBody {
    /// Reply to `Start`: the outcome of each start, in the same order.
    Starts {
        /// The outcomes.
        verdicts: Vec<StartOutcome>,
    },
    /// Reply to `Sync`.
    Report(WorkerReport),
    /// Reply to `Stop` and `Throttle`: the command is being executed; a later report shows the
    /// result.
    Accepted,
    /// The call's epoch is lower than one seen before. The call had no effect.
    Stale {
        /// The highest epoch seen.
        epoch: Epoch,
    },
}

/// Why a call to a worker failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerError {
    /// The call was not sent, or the worker stated that it did not execute it.
    Unreachable,
    /// The reply is lost. The worker may have executed the call.
    Lost,
}

/// A client of the workers.
#[async_trait::async_trait]
pub trait WorkerClient: Send + Sync {
    /// Executes a call. Fails after `timeout_ms` milliseconds beyond the call's own waiting time.
    ///
    /// # Errors
    ///
    /// Returns whether a call without a reply may have been executed.
    async fn call(
        &self,
        address: SocketAddr,
        call: &WorkerCall,
        timeout_ms: u64,
    ) -> Result<WorkerReply, WorkerError>;
}
