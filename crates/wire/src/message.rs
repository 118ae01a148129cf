//! Messages between daemons, as the scheduler core sees them.
//!
//! Messages may be lost when a link is replaced; within one link they are neither reordered nor
//! duplicated. The sender of a request that needs a response therefore asks again by id; messages
//! are never resent blindly.

use damaskrack_model::{
    AttemptId, CallId, Epoch, JobId, KeyName, MemberName, PriorityClass, QueueName, RackName,
    Resources, TaskResult, TeamName, WorkAnswer, WorkKind, WorkSpec, WorkerName, ZoneName,
};

/// Work that an entry forwards to the owner of the team's queues.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmitOrder {
    /// Queue that the work was submitted to.
    pub queue: QueueName,
    /// Random number that the entry generated for the job's id. A submission that repeats the
    /// number is a query about the first.
    pub nonce: u64,
    /// Epoch of the first owner of the team that may have received the work; `None` if certainly no
    /// owner has. Another owner may start work that may have run only if it is idempotent.
    pub first_epoch: Option<Epoch>,
    /// Time since it was first sent to an owner, in milliseconds.
    pub age_ms: u64,
    /// Number of this transmission, from 1.
    pub copy: u32,
    /// Key that the caller presented; `None` on an open queue. The owner checks it again.
    pub key: Option<KeyName>,
    /// The caller's identifier for the work; a repeated submission gets the first response.
    pub idempotency_key: Option<String>,
    /// Whether the caller waits for the work to end rather than to be accepted.
    pub is_waiting: bool,
    /// Manifest version with which the entry checked the submission.
    pub version: u64,
    /// The work.
    pub spec: WorkSpec,
}

/// What a rack owner does with a place order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PlaceMode {
    /// Starts the attempt if there is free capacity.
    Start,
    /// Reserves capacity until [`PeerMessage::Commit`] or [`PeerMessage::Release`], for a short
    /// time only.
    Hold,
}

/// An attempt that a queue owner wants placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// Resources that it needs.
    pub resources: Resources,
    /// Kind of its job.
    pub kind: WorkKind,
    /// Its priority class.
    pub priority: PriorityClass,
    /// Whether the team stays within its entitlement with it, so that it may preempt borrowers.
    pub is_entitled: bool,
    /// Whether the task may run again, so that it may be preempted.
    pub idempotent: bool,
    /// Run time the caller expects, in milliseconds; 0 if unknown.
    pub expected_ms: u64,
    /// Payload for the worker.
    pub payload: String,
    /// Whether to start the attempt or to reserve capacity for it.
    pub mode: PlaceMode,
}

/// Why a rack refused an attempt. The attempt was never started and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No worker of the rack has enough free capacity.
    Full,
    /// The queue owner's epoch is lower than one seen before.
    StaleEpoch,
    /// The receiver does not own the rack.
    NotOwner,
    /// Its owner took over the rack and some of the workers have not responded since.
    Rebuilding,
    /// The rack's availability zone is out of service.
    ZoneOut,
    /// The receiver cannot prove that its configuration is current.
    Isolated,
    /// An inquiry arrived before the attempt and made it void.
    Void,
    /// The hold expired before it was committed.
    HoldExpired,
    /// The worker refused the start or could not be reached.
    WorkerRefused,
    /// Victims are being stopped for this attempt; retry the rack after a short time.
    Preempting,
}

/// Outcome of a place order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceOutcome {
    /// The worker confirmed the start.
    Started(WorkerName),
    /// Capacity is reserved on the worker.
    Held(WorkerName),
    /// It was not started and never will be under this attempt id.
    Refused(RefusalReason),
}

/// Phase of an attempt, as its rack owner knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Capacity is reserved; nothing is started.
    Held,
    /// It waits for victims to stop; nothing is started.
    Pending,
    /// A start request was sent to a worker; whether it arrived is not known yet.
    Starting,
    /// It runs.
    Running,
    /// It ended and is kept until the queue owner acknowledges it.
    Ended {
        /// Its result.
        result: TaskResult,
        /// Its output.
        output: String,
    },
    /// It is unknown here or was refused, and will never start.
    Void,
}

/// An attempt as its rack owner reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Resources that it needs.
    pub resources: Resources,
    /// Its phase.
    pub phase: AttemptPhase,
}

/// An attempt that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedNotice {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its result.
    pub result: TaskResult,
    /// Its output.
    pub output: String,
    /// Whether the scheduler preempted it, which does not count as a failure of the task.
    pub is_displaced: bool,
}

/// State of a rack that its owner sends to all daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct RackSummary {
    /// The rack.
    pub rack: RackName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Epoch of its owner.
    pub epoch: Epoch,
    /// Whether it takes work: its state is rebuilt, and its zone and a worker are in service.
    pub is_open: bool,
    /// Total capacity of its workers in service.
    pub capacity: Resources,
    /// Total free capacity.
    pub free: Resources,
    /// Total free task slots.
    pub free_slots: u32,
    /// Free capacity of the worker with the most free capacity.
    pub largest_free: Resources,
    /// Largest capacity of a single worker.
    pub largest_worker: Resources,
    /// Resources allocated to each team.
    pub used: Vec<(TeamName, Resources)>,
}

/// Demand of a team that its queue owner sends to all daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamDigest {
    /// The team.
    pub team: TeamName,
    /// Resources of its attempts that run or may run.
    pub running: Resources,
    /// Resources that its waiting work needs.
    pub waiting: Resources,
}

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Sent at a fixed interval on every link.
    Heartbeat {
        /// Manifest version that the sender has.
        version: u64,
        /// Age of the sender's own latest store read, in milliseconds; `u64::MAX` if none.
        store_age_ms: u64,
        /// Age of the latest store read that the sender knows of, its own or a peer's, in
        /// milliseconds; `u64::MAX` if none.
        heard_store_age_ms: u64,
        /// Whether the store's member list, as the sender knows it, contains the receiver with its
        /// current boot number.
        sees_receiver: bool,
        /// The sender's clock, in milliseconds.
        clock_ms: u64,
        /// Latest `clock_ms` that the sender received from the receiver; 0 if none. It dates this
        /// heartbeat on the receiver's clock.
        echo_ms: u64,
        /// Whether the sender is shutting down.
        is_leaving: bool,
    },
    /// Requests the manifest if the receiver has a later version than `have`.
    ManifestPull {
        /// Version that the sender has.
        have: u64,
    },
    /// A manifest as JSON.
    ManifestPush {
        /// Its version.
        version: u64,
        /// The manifest.
        json: String,
    },
    /// Submission of work, from an entry to the team's owner.
    Submit {
        /// Correlates the response.
        call: CallId,
        /// Team that the entry determined from the key or the open queue.
        team: TeamName,
        /// The work.
        order: SubmitOrder,
    },
    /// Query about a job, from an entry to the team's owner.
    JobQuery {
        /// Correlates the response.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// Cancellation of a job, from an entry to the team's owner.
    JobCancel {
        /// Correlates the response.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// The receiver of a call does not own the team; the call had no effect.
    NotOwner {
        /// The call.
        call: CallId,
        /// Copy of the submission that this refers to; 0 if the call is not a submission.
        copy: u32,
        /// Whether earlier copies had no effect either: the work was known and is returned.
        is_given_back: bool,
        /// Owner that the sender knows of, if any.
        owner: Option<MemberName>,
    },
    /// The response to a call.
    Answer {
        /// The call.
        call: CallId,
        /// Latest copy of the submission that this refers to; 0 if the call is not a submission.
        copy: u32,
        /// The complete response.
        answer: WorkAnswer,
    },
    /// Acknowledges responses, which need not be kept any longer.
    AnswerAck {
        /// The calls.
        calls: Vec<CallId>,
    },
    /// Attempts to place, from a queue owner to a rack owner.
    Place {
        /// Team whose queues the sender owns.
        team: TeamName,
        /// Epoch of that ownership.
        epoch: Epoch,
        /// The rack.
        rack: RackName,
        /// The attempts.
        orders: Vec<PlaceOrder>,
    },
    /// Outcomes of place orders, from a rack owner to a queue owner.
    Placed {
        /// The responding rack.
        rack: RackName,
        /// Attempts with their outcomes.
        verdicts: Vec<(AttemptId, PlaceOutcome)>,
    },
    /// Starts held attempts.
    Commit {
        /// Team whose queues the sender owns.
        team: TeamName,
        /// Epoch of that ownership.
        epoch: Epoch,
        /// The rack.
        rack: RackName,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Releases held or pending attempts.
    Release {
        /// Team whose queues the sender owns.
        team: TeamName,
        /// Epoch of that ownership.
        epoch: Epoch,
        /// The rack.
        rack: RackName,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Stops attempts.
    StopAttempts {
        /// Team whose queues the sender owns.
        team: TeamName,
        /// Epoch of that ownership.
        epoch: Epoch,
        /// The rack.
        rack: RackName,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Queries the phases of attempts. An attempt that the rack has not seen becomes void.
    Inquire {
        /// Team whose queues the sender owns.
        team: TeamName,
        /// Epoch of that ownership.
        epoch: Epoch,
        /// The rack.
        rack: RackName,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Phases of attempts.
    Phases {
        /// The responding rack.
        rack: RackName,
        /// Epoch of the rack's owner. The void phase proves that an attempt never ran only if the
        /// attempt was sent under the same epoch.
        epoch: Epoch,
        /// The attempts.
        rows: Vec<ReportedAttempt>,
    },
    /// Attempts that ended, resent until acknowledged.
    Ended {
        /// Rack that they ran in.
        rack: RackName,
        /// The attempts.
        notices: Vec<EndedNotice>,
    },
    /// Acknowledges ended attempts whose end is recorded.
    EndedAck {
        /// Rack that they ran in.
        rack: RackName,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Raises the team's epoch at racks and requests every attempt of the team, for the
    /// reconciliation of attempts. A rack responds once each of its workers has responded or its
    /// leases have expired.
    RollCall {
        /// Team whose queues the sender owns.
        team: TeamName,
        /// Epoch of that ownership.
        epoch: Epoch,
        /// The racks.
        racks: Vec<RackName>,
    },
    /// Every attempt of the team in a rack. No attempt with a lower epoch starts there any more.
    RollAnswer {
        /// The team.
        team: TeamName,
        /// The new epoch.
        epoch: Epoch,
        /// The rack.
        rack: RackName,
        /// The attempts.
        rows: Vec<ReportedAttempt>,
    },
    /// State of racks, sent at a fixed interval.
    RackDigests {
        /// The racks.
        summaries: Vec<RackSummary>,
    },
    /// Demand of teams, sent at a fixed interval.
    TeamDigests {
        /// The teams.
        teams: Vec<TeamDigest>,
    },
}
