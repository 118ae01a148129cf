//! Messages between daemons and the leader: length-delimited `prost` messages.

use {
    crate::{
        LinkPurpose,
        forward_frame::{ForwardFrame, ForwardedFrame},
        request_number::RequestNumber,
    },
    bytes::{Bytes, BytesMut},
    damaskrack_cell::{JobCaller, JobRecord},
    prost::Message,
    tokio_util::codec::LengthDelimitedCodec,
};

/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 2 << 20;

/// A message from a daemon to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EntryFrame {
    /// Number that the leader's response repeats; 0 if none is expected.
    #[prost(uint64, tag = "1")]
    pub(crate) call: u64,
    #[prost(oneof = "EntryBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 13")]
    pub(crate) body: Option<EntryBody>,
    /// Who asks for a job's state or its cancellation. A daemon of a former version does not tell.
    #[prost(message, optional, tag = "12")]
    pub(crate) caller: Option<JobCaller>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum EntryBody {
    /// First frame of a connection, also sent as a heartbeat.
    #[prost(message, tag = "2")]
    Hello(HelloFrame),
    /// The daemon has accepted a job and stored it durably.
    #[prost(message, tag = "3")]
    Accepted(JobRecord),
    /// Requests the state of a job.
    #[prost(string, tag = "4")]
    State(String),
    /// Requests that a job be cancelled.
    #[prost(string, tag = "5")]
    Cancel(String),
    /// Requests the number of jobs in a queue of which nothing has started.
    #[prost(string, tag = "6")]
    Pending(String),
    /// The adviser's response to a request of the leader.
    #[prost(message, tag = "7")]
    AdviceResponse(AdviceResponseFrame),
    /// Submits a job that is not in the store yet.
    #[prost(message, tag = "8")]
    Submit(JobRecord),
    /// What came of a request that the daemon forwarded to a worker.
    #[prost(message, tag = "9")]
    Forwarded(ForwardedFrame),
    /// Asks whether the daemon may accept a job, which it then writes itself. The payload is left out.
    #[prost(message, tag = "10")]
    Offer(JobRecord),
    /// The daemon has written the job with this id, which it offered before.
    #[prost(string, tag = "11")]
    Stored(String),
    /// First and only frame of a connection: a later leader has been elected, so no term up to this one is
    /// to be led any more.
    #[prost(uint64, tag = "13")]
    EndTerms(u64),
}

/// Identity and capacity of a daemon.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct HelloFrame {
    /// Random id of the daemon's process.
    #[prost(uint64, tag = "1")]
    pub(crate) daemon: u64,
    /// How much work the daemon's host could do as the leader.
    #[prost(uint32, tag = "2")]
    pub(crate) leader_capacity: u32,
    /// Availability zone of the daemon's host.
    #[prost(string, tag = "3")]
    pub(crate) zone: String,
    /// The daemon is shutting down.
    #[prost(bool, tag = "4")]
    pub(crate) is_leaving: bool,
}

/// The adviser's response.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AdviceResponseFrame {
    /// Number of the leader's request.
    #[prost(message, optional, tag = "5")]
    pub(crate) request: Option<RequestNumber>,
    /// Whether the adviser responded at all.
    #[prost(bool, tag = "2")]
    pub(crate) is_answered: bool,
    /// Ids of the workers that may run the step.
    #[prost(string, repeated, tag = "3")]
    pub(crate) workers: Vec<String>,
    /// The tickets of these workers, in the same order.
    #[prost(string, repeated, tag = "4")]
    pub(crate) tickets: Vec<String>,
}

/// A message from the leader to a daemon.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaderFrame {
    /// Number of the request that this responds to; 0 for none.
    #[prost(uint64, tag = "1")]
    pub(crate) call: u64,
    #[prost(oneof = "LeaderBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub(crate) body: Option<LeaderBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum LeaderBody {
    /// State of a job; -1 if there is no such job.
    #[prost(int32, tag = "2")]
    State(i32),
    /// A number of jobs.
    #[prost(uint64, tag = "3")]
    Pending(u64),
    /// Asks the daemon to send a request to the adviser.
    #[prost(message, tag = "4")]
    RequestAdvice(AdviceRequestFrame),
    /// The leader's status, also a heartbeat.
    #[prost(message, tag = "5")]
    Status(LeaderStatusFrame),
    /// The leader of this term asks the daemon to take over the leadership: it is shutting down, it
    /// cannot reach the store, or the daemon's host has much more capacity.
    #[prost(uint64, tag = "6")]
    TransferLeadership(u64),
    /// A submitted job was refused; its caller should retry after this many milliseconds.
    #[prost(uint64, tag = "7")]
    Refused(u64),
    /// The leader cannot tell: it does not know whether it still leads.
    #[prost(message, tag = "8")]
    Unavailable(EmptyFrame),
    /// Asks the daemon to send a request to a worker.
    #[prost(message, tag = "9")]
    Forward(ForwardFrame),
    /// The daemon may accept the job that it offered.
    #[prost(message, tag = "10")]
    Admitted(EmptyFrame),
    /// The id of the submitted job is that of another owner's job.
    #[prost(message, tag = "11")]
    Taken(EmptyFrame),
    /// Whether the daemon's process leads none of the terms that it was told to end.
    #[prost(bool, tag = "12")]
    TermsEnded(bool),
}

/// A message without contents.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct EmptyFrame {}

/// A request to the adviser.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AdviceRequestFrame {
    /// Number that the response repeats.
    #[prost(message, optional, tag = "5")]
    pub(crate) request: Option<RequestNumber>,
    /// Name of the step.
    #[prost(string, tag = "2")]
    pub(crate) phase: String,
    /// Ids of the candidate workers.
    #[prost(string, repeated, tag = "3")]
    pub(crate) workers: Vec<String>,
    /// Expected processing time of the adviser, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub(crate) expected_ms: u64,
}

/// The leader's access to the store, and the highest leader capacity of the connected daemons.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct LeaderStatusFrame {
    /// The store has not answered the leader for a while.
    #[prost(bool, tag = "1")]
    pub(crate) is_store_unresponsive: bool,
    /// Time that the store takes to answer the leader, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) store_latency_ms: u64,
    /// Highest leader capacity of the connected daemons.
    #[prost(uint32, tag = "3")]
    pub(crate) max_leader_capacity: u32,
    /// Time at which the leader sent the frame, in milliseconds since its host booted.
    #[prost(uint64, tag = "4")]
    pub(crate) sent_ms: u64,
    /// The leader's link is narrow: daemons write the jobs that they accept.
    #[prost(bool, tag = "5")]
    pub(crate) is_link_narrow: bool,
    /// Memory that the leader has left for jobs, in bytes. A leader of a former version does not tell.
    #[prost(uint64, optional, tag = "6")]
    pub(crate) free_job_bytes: Option<u64>,
}

impl EntryFrame {
    /// Returns what the frame is sent for.
    pub(crate) fn purpose(&self) -> LinkPurpose {
        match self.body {
            Some(
                EntryBody::Submit(_)
                | EntryBody::Accepted(_)
                | EntryBody::Offer(_)
                | EntryBody::Stored(_),
            ) => LinkPurpose::PeerSubmission,
            Some(EntryBody::AdviceResponse(_)) => LinkPurpose::PeerAdvice,
            Some(EntryBody::Forwarded(_)) => LinkPurpose::PeerForwarding,
            _ => LinkPurpose::PeerOther,
        }
    }
}

impl LeaderFrame {
    /// Returns what the frame is sent for.
    pub(crate) fn purpose(&self) -> LinkPurpose {
        match self.body {
            Some(LeaderBody::RequestAdvice(_)) => LinkPurpose::PeerAdvice,
            Some(LeaderBody::Forward(_)) => LinkPurpose::PeerForwarding,
            _ => LinkPurpose::PeerOther,
        }
    }
}

/// Builds the codec of a connection.
pub(crate) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Encodes a frame.
pub(crate) fn encode(frame: &impl Message) -> Bytes {
    frame.encode_to_vec().into()
}

/// Decodes a frame; `None` if it is malformed.
pub(crate) fn decode<M: Message + Default>(bytes: BytesMut) -> Option<M> {
    M::decode(bytes.freeze()).ok()
}

#[cfg(test)]
mod tests;
