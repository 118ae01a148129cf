//! Messages with which a daemon calls workers and the store for the leader.

use {
    crate::write_frame::{ForwardedWrite, WriteResult},
    damaskrack_cell::{
        AttemptKey, EndKind, EndedAttempt, RenewOutcome, RenewRequest, StartOutcome, StartRefusal,
        StartRequest, StartResponse, StopRequest, WorkerKey,
    },
    std::sync::Arc,
};

/// A request of the leader that a daemon sends to a worker or to the store.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ForwardFrame {
    /// Number that the response repeats.
    #[prost(uint64, tag = "1")]
    pub(crate) request: u64,
    /// Time at which the leader sent the frame, in milliseconds since its host booted.
    #[prost(uint64, tag = "2")]
    pub(crate) sent_ms: u64,
    /// The leader's fencing token.
    #[prost(uint64, tag = "3")]
    pub(crate) token: u64,
    /// Address of the worker; empty for the store.
    #[prost(string, tag = "4")]
    pub(crate) address: String,
    /// Id of the intended worker; empty for the store.
    #[prost(string, tag = "5")]
    pub(crate) worker_id: String,
    #[prost(oneof = "ForwardCall", tags = "6, 7, 8, 9")]
    pub(crate) call: Option<ForwardCall>,
}

/// What the worker or the store is to do.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum ForwardCall {
    #[prost(message, tag = "6")]
    Start(ForwardedStart),
    #[prost(message, tag = "7")]
    Stop(ForwardedStop),
    #[prost(message, tag = "8")]
    Renew(ForwardedRenewal),
    #[prost(message, tag = "9")]
    Write(ForwardedWrite),
}

/// Starts an attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ForwardedStart {
    #[prost(string, tag = "1")]
    pub(crate) task: String,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub(crate) number: u32,
    /// Deadline of the worker's leases on its own clock, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) deadline_ms: u64,
    /// Checkpoint to resume from; empty for none.
    #[prost(string, tag = "4")]
    pub(crate) checkpoint: String,
    /// The adviser's ticket; empty for none.
    #[prost(string, tag = "5")]
    pub(crate) ticket: String,
    /// Payload of the job; `None` if an earlier frame of the session carried it, or it is stored.
    #[prost(string, optional, tag = "6")]
    pub(crate) payload: Option<String>,
    /// The payload is in a row of its own.
    #[prost(bool, tag = "8")]
    pub(crate) is_payload_stored: bool,
    /// Incarnation of the worker.
    #[prost(uint64, tag = "7")]
    pub(crate) incarnation: u64,
}

/// Stops an attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ForwardedStop {
    #[prost(string, tag = "1")]
    pub(crate) task: String,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub(crate) number: u32,
    /// Incarnation of the worker.
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: u64,
}

/// Renews a worker's leases.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ForwardedRenewal {
    /// New deadline of the leases on the worker's clock, in milliseconds; `None` extends no lease.
    #[prost(uint64, optional, tag = "1")]
    pub(crate) deadline_ms: Option<u64>,
    /// Number of the last end that is durable.
    #[prost(uint64, tag = "2")]
    pub(crate) last_durable_end: u64,
    /// How long the worker may delay its response until an attempt ends, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) wait_ms: u64,
    /// Incarnation of the worker.
    #[prost(uint64, tag = "4")]
    pub(crate) incarnation: u64,
}

/// A daemon's response to a [`ForwardFrame`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ForwardedFrame {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub(crate) request: u64,
    #[prost(oneof = "ForwardResult", tags = "2, 3, 4, 5")]
    pub(crate) result: Option<ForwardResult>,
}

/// What came of a request.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum ForwardResult {
    #[prost(message, tag = "2")]
    Started(StartResult),
    /// Whether the worker acknowledged the stop.
    #[prost(bool, tag = "3")]
    Stopped(bool),
    #[prost(message, tag = "4")]
    Renewed(RenewResult),
    #[prost(message, tag = "5")]
    Written(WriteResult),
}

/// Outcome of a start.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct StartResult {
    #[prost(enumeration = "StartCode", tag = "1")]
    pub(crate) code: i32,
    /// The worker's clock, in milliseconds.
    #[prost(uint64, optional, tag = "2")]
    pub(crate) clock_ms: Option<u64>,
}

/// Outcome of a renewal.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RenewResult {
    #[prost(enumeration = "RenewCode", tag = "1")]
    pub(crate) code: i32,
    /// Id of the worker, by which the leader finds the list that the changes apply to.
    #[prost(string, tag = "2")]
    pub(crate) worker_id: String,
    /// Incarnation that responded.
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: u64,
    /// The worker's clock, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub(crate) clock_ms: u64,
    #[prost(message, repeated, tag = "5")]
    pub(crate) ended: Vec<EndedFrame>,
    /// Changes of the list of running attempts since the last response of the session.
    #[prost(message, optional, tag = "6")]
    pub(crate) running: Option<RunningChange>,
    /// Attempts may be missing.
    #[prost(bool, tag = "7")]
    pub(crate) is_partial: bool,
    /// Number of the first end that could not be read.
    #[prost(uint64, optional, tag = "8")]
    pub(crate) unreadable_end: Option<u64>,
}

/// An ended attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EndedFrame {
    /// Sequence number of the end on its worker.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    #[prost(string, tag = "2")]
    pub(crate) task: String,
    /// Number of the attempt.
    #[prost(uint32, tag = "3")]
    pub(crate) attempt: u32,
    #[prost(enumeration = "EndCode", tag = "4")]
    pub(crate) kind: i32,
    /// Last checkpoint; empty for none.
    #[prost(string, tag = "5")]
    pub(crate) checkpoint: String,
}

/// Changes of a list of running attempts: first the removals, then the additions at its end.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RunningChange {
    /// Positions in the former list, in ascending order.
    #[prost(uint32, repeated, tag = "1")]
    pub(crate) removed: Vec<u32>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) added: Vec<AddedAttempt>,
    /// Positions in the new list of the attempts whose progress follows in `percents`.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) progressed: Vec<u32>,
    /// Progress of these attempts, in percent.
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) percents: Vec<u32>,
}

/// An attempt that a worker has begun.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AddedAttempt {
    #[prost(string, tag = "1")]
    pub(crate) task: String,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub(crate) attempt: u32,
}

/// [`StartOutcome`] as a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum StartCode {
    Unknown = 0,
    Started = 1,
    Fenced = 2,
    Stale = 3,
    Late = 4,
    Full = 5,
    Ticket = 6,
    Incarnation = 7,
    Unavailable = 8,
    Invalid = 9,
    Unsent = 10,
}

/// [`RenewOutcome`] as a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum RenewCode {
    Unknown = 0,
    Answered = 1,
    Fenced = 2,
    Incarnation = 3,
}

/// [`EndKind`] as a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum EndCode {
    Interrupted = 0,
    Done = 1,
    Failed = 2,
}

impl From<StartOutcome> for StartCode {
    fn from(outcome: StartOutcome) -> Self {
        match outcome {
            StartOutcome::Unknown => Self::Unknown,
            StartOutcome::Started => Self::Started,
            StartOutcome::Refused(refusal) => match refusal {
                StartRefusal::Fenced => Self::Fenced,
                StartRefusal::Stale => Self::Stale,
                StartRefusal::Late => Self::Late,
                StartRefusal::Full => Self::Full,
                StartRefusal::Ticket => Self::Ticket,
                StartRefusal::Incarnation => Self::Incarnation,
                StartRefusal::Unavailable => Self::Unavailable,
                StartRefusal::Invalid => Self::Invalid,
                StartRefusal::Unsent => Self::Unsent,
            },
        }
    }
}

impl From<StartResponse> for StartResult {
    fn from(response: StartResponse) -> Self {
        Self { code: StartCode::from(response.outcome) as i32, clock_ms: response.clock_ms }
    }
}

impl From<StartResult> for StartResponse {
    fn from(result: StartResult) -> Self {
        Self { outcome: StartOutcome::from(result.code()), clock_ms: result.clock_ms }
    }
}

impl From<StartCode> for StartOutcome {
    fn from(code: StartCode) -> Self {
        let refusal = match code {
            StartCode::Unknown => return Self::Unknown,
            StartCode::Started => return Self::Started,
            StartCode::Fenced => StartRefusal::Fenced,
            StartCode::Stale => StartRefusal::Stale,
            StartCode::Late => StartRefusal::Late,
            StartCode::Full => StartRefusal::Full,
            StartCode::Ticket => StartRefusal::Ticket,
            StartCode::Incarnation => StartRefusal::Incarnation,
            StartCode::Unavailable => StartRefusal::Unavailable,
            StartCode::Invalid => StartRefusal::Invalid,
            StartCode::Unsent => StartRefusal::Unsent,
        };
        Self::Refused(refusal)
    }
}

impl From<&RenewOutcome> for RenewCode {
    fn from(outcome: &RenewOutcome) -> Self {
        match outcome {
            RenewOutcome::Answered(_) => Self::Answered,
            RenewOutcome::Fenced => Self::Fenced,
            RenewOutcome::Incarnation => Self::Incarnation,
            RenewOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<&EndedAttempt> for EndedFrame {
    fn from(ended: &EndedAttempt) -> Self {
        let code = match ended.kind {
            EndKind::Done => EndCode::Done,
            EndKind::Failed => EndCode::Failed,
            EndKind::Interrupted => EndCode::Interrupted,
        };
        Self {
            number: ended.number,
            task: ended.task.clone(),
            attempt: ended.attempt,
            kind: code as i32,
            checkpoint: ended.checkpoint.clone(),
        }
    }
}

impl From<EndedFrame> for EndedAttempt {
    fn from(frame: EndedFrame) -> Self {
        let kind = match frame.kind() {
            EndCode::Done => EndKind::Done,
            EndCode::Failed => EndKind::Failed,
            EndCode::Interrupted => EndKind::Interrupted,
        };
        Self {
            number: frame.number,
            task: frame.task,
            attempt: frame.attempt,
            kind,
            checkpoint: frame.checkpoint,
        }
    }
}

impl ForwardedStart {
    /// Builds the request to the worker.
    pub(crate) fn request(self, address: &str, worker_id: &str, payload: Arc<str>) -> StartRequest {
        StartRequest {
            attempt: AttemptKey::default(),
            address: address.to_owned(),
            worker_id: worker_id.to_owned(),
            incarnation: self.incarnation,
            // The frame has the whole token.
            fence: 0,
            task: self.task,
            number: self.number,
            payload: Some(payload),
            deadline_ms: self.deadline_ms,
            checkpoint: self.checkpoint,
            ticket: self.ticket,
        }
    }
}

impl ForwardedStop {
    /// Builds the request to the worker.
    pub(crate) fn request(self, address: &str, worker_id: &str) -> StopRequest {
        StopRequest {
            attempt: AttemptKey::default(),
            address: address.to_owned(),
            worker_id: worker_id.to_owned(),
            incarnation: self.incarnation,
            // The frame has the whole token.
            fence: 0,
            task: self.task,
            number: self.number,
        }
    }
}

impl ForwardedRenewal {
    /// Builds the request to the worker.
    pub(crate) fn request(self, address: &str, worker_id: &str) -> RenewRequest {
        RenewRequest {
            worker: WorkerKey::default(),
            address: address.to_owned(),
            worker_id: worker_id.to_owned(),
            incarnation: self.incarnation,
            // The frame has the whole token.
            fence: 0,
            deadline_ms: self.deadline_ms,
            last_durable_end: self.last_durable_end,
            wait_ms: self.wait_ms,
        }
    }
}
