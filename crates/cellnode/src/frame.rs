//! What daemons and the leader send one another: length-delimited `prost` messages.

use {
    bytes::{Bytes, BytesMut},
    damaskrack_cell::JobRecord,
    prost::Message,
    tokio_util::codec::LengthDelimitedCodec,
};

/// Longest frame, in bytes.
const MAX_FRAME_BYTES: usize = 2 << 20;

/// A question of a daemon to the leader, or its answer to one.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EntryFrame {
    /// Number of the call that the answer names.
    #[prost(uint64, tag = "1")]
    pub(crate) call: u64,
    #[prost(oneof = "EntryBody", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub(crate) body: Option<EntryBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum EntryBody {
    /// First frame of a connection. Also sent as a heartbeat.
    #[prost(message, tag = "2")]
    Hello(HelloFrame),
    /// A job was accepted and is durable.
    #[prost(message, tag = "3")]
    Accepted(JobRecord),
    /// Asks for the state of a job.
    #[prost(string, tag = "4")]
    State(String),
    /// Asks to cancel a job.
    #[prost(string, tag = "5")]
    Cancel(String),
    /// Asks for the number of jobs of a queue of which nothing has started.
    #[prost(string, tag = "6")]
    Pending(String),
    /// What the adviser answered.
    #[prost(message, tag = "7")]
    Advice(AdviceFrame),
    /// Hands in a job that is not in the store yet.
    #[prost(message, tag = "8")]
    Submit(JobRecord),
}

/// Who a daemon is.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct HelloFrame {
    /// Random id of its process.
    #[prost(uint64, tag = "1")]
    pub(crate) daemon: u64,
    /// How much work its host could do as the leader.
    #[prost(uint32, tag = "2")]
    pub(crate) leader_capacity: u32,
}

/// The adviser's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AdviceFrame {
    /// The leader's key of the call.
    #[prost(uint64, tag = "1")]
    pub(crate) ask: u64,
    /// The adviser answered at all.
    #[prost(bool, tag = "2")]
    pub(crate) is_answered: bool,
    /// Ids of the workers that may run the step.
    #[prost(string, repeated, tag = "3")]
    pub(crate) workers: Vec<String>,
    /// Their tickets.
    #[prost(string, repeated, tag = "4")]
    pub(crate) tickets: Vec<String>,
}

/// An answer of the leader, or its question.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaderFrame {
    /// Number of the call that is answered; 0 for none.
    #[prost(uint64, tag = "1")]
    pub(crate) call: u64,
    #[prost(oneof = "LeaderBody", tags = "2, 3, 4, 5, 6, 7")]
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
    /// Asks the daemon to ask the adviser.
    #[prost(message, tag = "4")]
    Ask(AskFrame),
    /// How the leader stands; also a heartbeat.
    #[prost(message, tag = "5")]
    Report(ReportFrame),
    /// The leader of this term asks the daemon to take over: it cannot reach the store, or the
    /// daemon's host is much stronger.
    #[prost(uint64, tag = "6")]
    Resign(u64),
    /// A job that was handed in is not taken; its caller should come back after so many milliseconds.
    #[prost(uint64, tag = "7")]
    Refused(u64),
}

/// A question for the adviser.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AskFrame {
    /// The leader's key of the call.
    #[prost(uint64, tag = "1")]
    pub(crate) ask: u64,
    /// Name of the step.
    #[prost(string, tag = "2")]
    pub(crate) phase: String,
    /// Ids of the workers.
    #[prost(string, repeated, tag = "3")]
    pub(crate) workers: Vec<String>,
    /// How long the adviser works on it, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub(crate) expected_ms: u64,
}

/// How the leader stands with the store, and which leader_capacity a leader could have.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct ReportFrame {
    /// The leader has not heard from the store for a while.
    #[prost(bool, tag = "1")]
    pub(crate) is_store_silent: bool,
    /// How long the store takes to answer the leader, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) store_answer_ms: u64,
    /// Strength of the strongest daemon that is connected.
    #[prost(uint32, tag = "3")]
    pub(crate) strongest: u32,
}

/// Makes the codec of a connection.
pub(crate) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Encodes a frame.
pub(crate) fn encode(frame: &impl Message) -> Bytes {
    frame.encode_to_vec().into()
}

/// Decodes a frame; `None` if it cannot be read.
pub(crate) fn decode<M: Message + Default>(bytes: BytesMut) -> Option<M> {
    M::decode(bytes.freeze()).ok()
}
