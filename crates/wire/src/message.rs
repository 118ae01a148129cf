//! Messages between daemons, as the scheduler core sees them.
//!
//! A link may lose messages when it is replaced but never reorders or duplicates them within one
//! link. Every message may therefore be lost, and the sender of anything that needs an answer
//! asks again by id; no message is repeated blindly.

use damaskrack_model::{
    AttemptId, CallId, Epoch, JobId, KeyName, MemberName, PriorityClass, QueueName, RackName,
    Resources, TaskResult, TeamName, WorkAnswer, WorkKind, WorkSpec, WorkerName, ZoneName,
};

/// Work that an entry passes to the owner of the team's queues.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmitOrder {
    /// Queue that the work was handed to.
    pub queue: QueueName,
    /// Random number that the entry drew for the job's id. A repeated submission with the same
    /// number is an inquiry about the first.
    pub nonce: u64,
    /// Epoch of the team's owner that the work may have reached first; `None` if it has certainly
    /// reached nobody. Another owner may start work that may have run only if it is idempotent.
    pub first_epoch: Option<Epoch>,
    /// Time since it was first sent to an owner, in milliseconds.
    pub age_ms: u64,
    /// Counts the times that it was sent, from 1.
    pub copy: u32,
    /// Key that the caller showed; `None` on an open queue. The owner checks it again.
    pub key: Option<KeyName>,
    /// The caller's own name for the work, so that a repeat gets the first answer.
    pub idempotency_key: Option<String>,
    /// Whether the caller waits for the end of the work rather than for its acceptance.
    pub is_waiting: bool,
    /// Manifest version that the entry judged by.
    pub version: u64,
    /// The work.
    pub spec: WorkSpec,
}

/// How a rack owner is to treat a place order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PlaceMode {
    /// Start it if there is room.
    Start,
    /// Keep room for it until [`PeerMessage::Commit`] or [`PeerMessage::Release`], for a short
    /// time only.
    Hold,
}

/// An attempt that a queue owner wants placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceOrder {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it takes.
    pub resources: Resources,
    /// Kind of its job.
    pub kind: WorkKind,
    /// Its class.
    pub priority: PriorityClass,
    /// Whether the team stays within its entitlement with it, so that borrowers must yield.
    pub is_entitled: bool,
    /// Whether the task may run again, so that it may be displaced.
    pub idempotent: bool,
    /// Run time the caller expects, in milliseconds; 0 if unknown.
    pub expected_ms: u64,
    /// What the worker is to run.
    pub payload: String,
    /// Start or hold.
    pub mode: PlaceMode,
}

/// Why a rack did not take an attempt. The attempt was never started and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No worker of the rack has room.
    Full,
    /// The queue owner's epoch is lower than one seen before.
    StaleEpoch,
    /// The receiver does not own the rack.
    NotOwner,
    /// The rack has not heard from all its workers since its owner took it.
    Rebuilding,
    /// The rack's availability zone is out of service.
    ZoneOut,
    /// The receiver cannot prove that its configuration is current.
    Isolated,
    /// The attempt was inquired about before it arrived and is void.
    Void,
    /// The hold expired before it was committed.
    HoldExpired,
    /// The worker refused the start or was never reached.
    WorkerRefused,
    /// Victims are being stopped for this attempt; ask the rack again in a moment.
    Preempting,
}

/// What a rack owner says to a place order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceOutcome {
    /// The worker confirmed the start.
    Started(WorkerName),
    /// Room is kept on the worker.
    Held(WorkerName),
    /// It was not started and never will be under this attempt id.
    Refused(RefusalReason),
}

/// How far an attempt has come, as its rack owner knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Room is kept, nothing started.
    Held,
    /// Waiting for victims to stop; nothing started.
    Pending,
    /// Handed to a worker; whether it arrived is not known yet.
    Starting,
    /// It runs.
    Running,
    /// It ended and is kept until the queue owner acknowledges it.
    Ended {
        /// How it ended.
        result: TaskResult,
        /// What it returned.
        output: String,
    },
    /// Never seen here, or refused; it will not start any more.
    Void,
}

/// An attempt that a rack owner knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it takes.
    pub resources: Resources,
    /// How far it has come.
    pub phase: AttemptPhase,
}

/// An attempt that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedNotice {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub result: TaskResult,
    /// What it returned.
    pub output: String,
    /// Whether the scheduler stopped it to make room, which is not the task's fault.
    pub is_displaced: bool,
}

/// What a rack owner tells everybody about a rack.
#[derive(Debug, Clone, PartialEq)]
pub struct RackSummary {
    /// The rack.
    pub rack: RackName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Epoch of its owner.
    pub epoch: Epoch,
    /// Whether it takes work: rebuilt, zone in service, a worker in service.
    pub is_open: bool,
    /// What all its workers in service have.
    pub capacity: Resources,
    /// What is free, summed.
    pub free: Resources,
    /// Free task slots, summed.
    pub free_slots: u32,
    /// For the worker with the most room: what is free there.
    pub largest_free: Resources,
    /// Largest capacity of a single worker.
    pub largest_worker: Resources,
    /// What is allocated to each team.
    pub used: Vec<(TeamName, Resources)>,
}

/// What a queue owner tells everybody about a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamDigest {
    /// The team.
    pub team: TeamName,
    /// What its running and uncertain attempts take.
    pub running: Resources,
    /// What its waiting work would take.
    pub waiting: Resources,
}

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Proof of life, sent at a fixed interval on every link.
    Heartbeat {
        /// Manifest version that the sender holds.
        version: u64,
        /// Age of the freshest answer that the sender itself has of the store, in milliseconds;
        /// `u64::MAX` if none.
        store_age_ms: u64,
        /// Age of the freshest answer of the store that the sender has heard of from anybody,
        /// itself included, in milliseconds; `u64::MAX` if none.
        heard_store_age_ms: u64,
        /// Whether the store's member list, as the sender knows it, holds the receiver under its
        /// present boot number.
        sees_receiver: bool,
        /// The sender's clock, in milliseconds.
        clock_ms: u64,
        /// Latest `clock_ms` that the sender has got from the receiver; 0 if none. The receiver
        /// dates this heartbeat by it, in its own clock.
        echo_ms: u64,
        /// Whether the sender is shutting down.
        is_leaving: bool,
    },
    /// Asks for the manifest if the receiver holds a later version than `have`.
    ManifestPull {
        /// Version that the sender holds.
        have: u64,
    },
    /// A manifest in its JSON form.
    ManifestPush {
        /// Its version.
        version: u64,
        /// The manifest.
        json: String,
    },
    /// Work from an entry to the team's owner.
    Submit {
        /// Correlates the answer.
        call: CallId,
        /// Team that the entry found by the key or the open queue.
        team: TeamName,
        /// The work.
        order: SubmitOrder,
    },
    /// Question about a job, from an entry to the team's owner.
    JobQuery {
        /// Correlates the answer.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// Cancellation of a job, from an entry to the team's owner.
    JobCancel {
        /// Correlates the answer.
        call: CallId,
        /// The job.
        job: JobId,
    },
    /// The receiver of a call does not own the team; the call took no effect.
    NotOwner {
        /// The call.
        call: CallId,
        /// Copy of the submission that this is about; 0 if the call is a question.
        copy: u32,
        /// Whether earlier copies had no effect either: the work was known and is given back.
        is_given_back: bool,
        /// Owner that the receiver knows of, if any.
        owner: Option<MemberName>,
    },
    /// The answer to a call.
    Answer {
        /// The call.
        call: CallId,
        /// Latest copy of the submission that this is about; 0 if the call is a question.
        copy: u32,
        /// The whole answer.
        answer: WorkAnswer,
    },
    /// The answers have arrived and need not be kept.
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
    /// Verdicts, from a rack owner to a queue owner.
    Placed {
        /// Rack that answers.
        rack: RackName,
        /// An attempt with its verdict.
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
    /// Gives up held or pending attempts.
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
    /// Asks how far attempts have come. An attempt that the rack has not seen becomes void.
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
    /// How far attempts have come.
    Phases {
        /// Rack that answers.
        rack: RackName,
        /// Epoch of the rack's owner. A void row proves that an attempt never ran only if the
        /// attempt was sent under the same epoch.
        epoch: Epoch,
        /// The attempts.
        rows: Vec<ReportedAttempt>,
    },
    /// Attempts that ended, repeated until acknowledged.
    Ended {
        /// Rack that they ran in.
        rack: RackName,
        /// The attempts.
        notices: Vec<EndedNotice>,
    },
    /// Ended attempts whose end is recorded.
    EndedAck {
        /// Rack that they ran in.
        rack: RackName,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Raises the team's epoch at a rack and asks for every attempt of the team. The rack answers
    /// once it has heard from all its workers or their leases have lapsed.
    RollCall {
        /// Team whose queues the sender owns.
        team: TeamName,
        /// Epoch of that ownership.
        epoch: Epoch,
        /// The racks.
        racks: Vec<RackName>,
    },
    /// Every attempt of the team in a rack. Nothing under a lower epoch starts there any more.
    RollAnswer {
        /// The team.
        team: TeamName,
        /// Epoch that was raised to.
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
