//! Message bodies. Messages with the same fields share a body and differ in their frame tag.

use {
    super::{
        ids::{AttemptProto, CallProto, JobProto},
        rack::{
            DigestProto, NoticeProto, OrderProto, ReportedAttemptProto, SummaryProto, VerdictProto,
        },
        work::{AnswerProto, SubmitProto},
    },
    prost::Message,
};

#[derive(Clone, PartialEq, Message)]
pub(crate) struct HelloBody {
    #[prost(string, tag = "1")]
    pub(crate) member: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) boot: u64,
    #[prost(uint32, tag = "3")]
    pub(crate) version: u32,
    #[prost(bool, tag = "4")]
    pub(crate) is_dialler: bool,
    #[prost(uint64, tag = "5")]
    pub(crate) generation: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct HeartbeatBody {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) store_age_ms: u64,
    #[prost(bool, tag = "3")]
    pub(crate) is_leaving: bool,
    #[prost(bool, tag = "4")]
    pub(crate) sees_receiver: bool,
    #[prost(uint64, tag = "5")]
    pub(crate) clock_ms: u64,
    #[prost(uint64, tag = "6")]
    pub(crate) echo_ms: u64,
    #[prost(uint64, tag = "7")]
    pub(crate) heard_store_age_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct PulseBody {
    #[prost(uint64, tag = "1")]
    pub(crate) received: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct PullBody {
    #[prost(uint64, tag = "1")]
    pub(crate) have: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct PushBody {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(string, tag = "2")]
    pub(crate) json: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct SubmitBody {
    #[prost(message, optional, tag = "1")]
    pub(crate) call: Option<CallProto>,
    #[prost(string, tag = "2")]
    pub(crate) team: String,
    #[prost(message, optional, tag = "3")]
    pub(crate) order: Option<SubmitProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct JobBody {
    #[prost(message, optional, tag = "1")]
    pub(crate) call: Option<CallProto>,
    #[prost(message, optional, tag = "2")]
    pub(crate) job: Option<JobProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct CallsBody {
    #[prost(message, repeated, tag = "1")]
    pub(crate) calls: Vec<CallProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct NotOwnerBody {
    #[prost(message, optional, tag = "1")]
    pub(crate) call: Option<CallProto>,
    #[prost(string, optional, tag = "2")]
    pub(crate) owner: Option<String>,
    #[prost(uint32, tag = "3")]
    pub(crate) copy: u32,
    #[prost(bool, tag = "4")]
    pub(crate) is_given_back: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct AnswerBody {
    #[prost(message, optional, tag = "1")]
    pub(crate) call: Option<CallProto>,
    #[prost(message, optional, tag = "2")]
    pub(crate) answer: Option<AnswerProto>,
    #[prost(uint32, tag = "3")]
    pub(crate) copy: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct PlaceBody {
    #[prost(string, tag = "1")]
    pub(crate) team: String,
    #[prost(uint64, tag = "2")]
    pub(crate) epoch: u64,
    #[prost(string, tag = "3")]
    pub(crate) rack: String,
    #[prost(message, repeated, tag = "4")]
    pub(crate) orders: Vec<OrderProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct PlacedBody {
    #[prost(string, tag = "1")]
    pub(crate) rack: String,
    #[prost(message, repeated, tag = "2")]
    pub(crate) verdicts: Vec<VerdictProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct AttemptsBody {
    #[prost(string, tag = "1")]
    pub(crate) team: String,
    #[prost(uint64, tag = "2")]
    pub(crate) epoch: u64,
    #[prost(string, tag = "3")]
    pub(crate) rack: String,
    #[prost(message, repeated, tag = "4")]
    pub(crate) attempts: Vec<AttemptProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct PhasesBody {
    #[prost(string, tag = "1")]
    pub(crate) rack: String,
    #[prost(message, repeated, tag = "2")]
    pub(crate) rows: Vec<ReportedAttemptProto>,
    #[prost(uint64, tag = "3")]
    pub(crate) epoch: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct EndedBody {
    #[prost(string, tag = "1")]
    pub(crate) rack: String,
    #[prost(message, repeated, tag = "2")]
    pub(crate) notices: Vec<NoticeProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct EndedAckBody {
    #[prost(string, tag = "1")]
    pub(crate) rack: String,
    #[prost(message, repeated, tag = "2")]
    pub(crate) attempts: Vec<AttemptProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RollCallBody {
    #[prost(string, tag = "1")]
    pub(crate) team: String,
    #[prost(uint64, tag = "2")]
    pub(crate) epoch: u64,
    #[prost(string, repeated, tag = "3")]
    pub(crate) racks: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RollAnswerBody {
    #[prost(string, tag = "1")]
    pub(crate) team: String,
    #[prost(uint64, tag = "2")]
    pub(crate) epoch: u64,
    #[prost(string, tag = "3")]
    pub(crate) rack: String,
    #[prost(message, repeated, tag = "4")]
    pub(crate) rows: Vec<ReportedAttemptProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RackDigestsBody {
    #[prost(message, repeated, tag = "1")]
    pub(crate) summaries: Vec<SummaryProto>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct TeamDigestsBody {
    #[prost(message, repeated, tag = "1")]
    pub(crate) teams: Vec<DigestProto>,
}
