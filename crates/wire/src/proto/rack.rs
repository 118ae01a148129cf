//! Protobuf messages between queue owners and rack owners.

use {
    super::{
        convert::{ProtoConvert, from_protos, from_required, into_protos},
        ids::{AttemptProto, ResourcesProto},
    },
    crate::{
        AttemptPhase, EndedNotice, PlaceMode, PlaceOrder, PlaceOutcome, RackSummary, RefusalReason,
        ReportedAttempt, TeamDigest, WireError,
    },
    damaskrack_model::{
        AttemptId, Epoch, PriorityClass, RackName, Resources, TaskResult, TeamName, WorkKind,
        WorkerName, ZoneName,
    },
};

/// Protobuf message for [`PlaceOrder`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OrderProto {
    #[prost(message, optional, tag = "1")]
    attempt: Option<AttemptProto>,
    #[prost(message, optional, tag = "2")]
    resources: Option<ResourcesProto>,
    #[prost(uint32, tag = "3")]
    kind: u32,
    #[prost(uint32, tag = "4")]
    priority: u32,
    #[prost(bool, tag = "5")]
    is_entitled: bool,
    #[prost(bool, tag = "6")]
    idempotent: bool,
    #[prost(uint64, tag = "7")]
    expected_ms: u64,
    #[prost(string, tag = "8")]
    payload: String,
    #[prost(uint32, tag = "9")]
    mode: u32,
}

impl ProtoConvert for PlaceOrder {
    type Proto = OrderProto;

    fn into_proto(self) -> OrderProto {
        OrderProto {
            attempt: Some(self.attempt.into_proto()),
            resources: Some(self.resources.into_proto()),
            kind: self.kind.into_proto(),
            priority: self.priority.into_proto(),
            is_entitled: self.is_entitled,
            idempotent: self.idempotent,
            expected_ms: self.expected_ms,
            payload: self.payload,
            mode: self.mode.into_proto(),
        }
    }

    fn from_proto(proto: OrderProto) -> Result<Self, WireError> {
        Ok(Self {
            attempt: from_required(proto.attempt, "attempt")?,
            resources: from_required(proto.resources, "resources")?,
            kind: WorkKind::from_proto(proto.kind)?,
            priority: PriorityClass::from_proto(proto.priority)?,
            is_entitled: proto.is_entitled,
            idempotent: proto.idempotent,
            expected_ms: proto.expected_ms,
            payload: proto.payload,
            mode: PlaceMode::from_proto(proto.mode)?,
        })
    }
}

/// Protobuf message for an attempt with its [`PlaceOutcome`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VerdictProto {
    #[prost(message, optional, tag = "1")]
    attempt: Option<AttemptProto>,
    #[prost(oneof = "VerdictKind", tags = "2, 3, 4")]
    verdict: Option<VerdictKind>,
}

/// Protobuf oneof for [`PlaceOutcome`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum VerdictKind {
    #[prost(string, tag = "2")]
    Started(String),
    #[prost(string, tag = "3")]
    Held(String),
    #[prost(uint32, tag = "4")]
    Refused(u32),
}

impl ProtoConvert for (AttemptId, PlaceOutcome) {
    type Proto = VerdictProto;

    fn into_proto(self) -> VerdictProto {
        let outcome = match self.1 {
            PlaceOutcome::Started(worker) => VerdictKind::Started(worker.into()),
            PlaceOutcome::Held(worker) => VerdictKind::Held(worker.into()),
            PlaceOutcome::Refused(reason) => VerdictKind::Refused(reason.into_proto()),
        };
        VerdictProto { attempt: Some(self.0.into_proto()), verdict: Some(outcome) }
    }

    fn from_proto(proto: VerdictProto) -> Result<Self, WireError> {
        let outcome = match proto.verdict.ok_or(WireError::Missing("verdict"))? {
            VerdictKind::Started(worker) => PlaceOutcome::Started(WorkerName::from_proto(worker)?),
            VerdictKind::Held(worker) => PlaceOutcome::Held(WorkerName::from_proto(worker)?),
            VerdictKind::Refused(code) => PlaceOutcome::Refused(RefusalReason::from_proto(code)?),
        };
        Ok((from_required(proto.attempt, "attempt")?, outcome))
    }
}

/// Protobuf message for [`ReportedAttempt`]. Only ended attempts have a result and an output.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReportedAttemptProto {
    #[prost(message, optional, tag = "1")]
    attempt: Option<AttemptProto>,
    #[prost(message, optional, tag = "2")]
    resources: Option<ResourcesProto>,
    #[prost(uint32, tag = "3")]
    phase: u32,
    #[prost(uint32, tag = "4")]
    result: u32,
    #[prost(string, tag = "5")]
    output: String,
}

fn encode_phase(phase: &AttemptPhase) -> u32 {
    match phase {
        AttemptPhase::Held => 1,
        AttemptPhase::Pending => 2,
        AttemptPhase::Starting => 3,
        AttemptPhase::Running => 4,
        AttemptPhase::Ended { .. } => 5,
        AttemptPhase::Void => 6,
    }
}

fn decode_phase(code: u32, result: u32, output: String) -> Result<AttemptPhase, WireError> {
    Ok(match code {
        1 => AttemptPhase::Held,
        2 => AttemptPhase::Pending,
        3 => AttemptPhase::Starting,
        4 => AttemptPhase::Running,
        5 => AttemptPhase::Ended { result: TaskResult::from_proto(result)?, output },
        6 => AttemptPhase::Void,
        _ => return Err(WireError::Invalid("phase")),
    })
}

impl ProtoConvert for ReportedAttempt {
    type Proto = ReportedAttemptProto;

    fn into_proto(self) -> ReportedAttemptProto {
        let phase = encode_phase(&self.phase);
        let (result, output) = match self.phase {
            AttemptPhase::Ended { result, output } => (result.into_proto(), output),
            _ => (0, String::new()),
        };
        ReportedAttemptProto {
            attempt: Some(self.attempt.into_proto()),
            resources: Some(self.resources.into_proto()),
            phase,
            result,
            output,
        }
    }

    fn from_proto(proto: ReportedAttemptProto) -> Result<Self, WireError> {
        Ok(Self {
            attempt: from_required(proto.attempt, "attempt")?,
            resources: from_required(proto.resources, "resources")?,
            phase: decode_phase(proto.phase, proto.result, proto.output)?,
        })
    }
}

/// Protobuf message for [`EndedNotice`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct NoticeProto {
    #[prost(message, optional, tag = "1")]
    attempt: Option<AttemptProto>,
    #[prost(uint32, tag = "2")]
    result: u32,
    #[prost(string, tag = "3")]
    output: String,
    #[prost(bool, tag = "4")]
    is_displaced: bool,
}

impl ProtoConvert for EndedNotice {
    type Proto = NoticeProto;

    fn into_proto(self) -> NoticeProto {
        NoticeProto {
            attempt: Some(self.attempt.into_proto()),
            result: self.result.into_proto(),
            output: self.output,
            is_displaced: self.is_displaced,
        }
    }

    fn from_proto(proto: NoticeProto) -> Result<Self, WireError> {
        Ok(Self {
            attempt: from_required(proto.attempt, "attempt")?,
            result: TaskResult::from_proto(proto.result)?,
            output: proto.output,
            is_displaced: proto.is_displaced,
        })
    }
}

/// Protobuf message for the resources that a team uses.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UsedProto {
    #[prost(string, tag = "1")]
    team: String,
    #[prost(message, optional, tag = "2")]
    resources: Option<ResourcesProto>,
}

impl ProtoConvert for (TeamName, Resources) {
    type Proto = UsedProto;

    fn into_proto(self) -> UsedProto {
        UsedProto { team: self.0.into(), resources: Some(self.1.into_proto()) }
    }

    fn from_proto(proto: UsedProto) -> Result<Self, WireError> {
        Ok((TeamName::from_proto(proto.team)?, from_required(proto.resources, "resources")?))
    }
}

/// Protobuf message for [`RackSummary`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SummaryProto {
    #[prost(string, tag = "1")]
    rack: String,
    #[prost(string, tag = "2")]
    zone: String,
    #[prost(uint64, tag = "3")]
    epoch: u64,
    #[prost(bool, tag = "4")]
    is_open: bool,
    #[prost(message, optional, tag = "5")]
    capacity: Option<ResourcesProto>,
    #[prost(message, optional, tag = "6")]
    free: Option<ResourcesProto>,
    #[prost(uint32, tag = "7")]
    free_slots: u32,
    #[prost(message, optional, tag = "8")]
    largest_free: Option<ResourcesProto>,
    #[prost(message, optional, tag = "9")]
    largest_worker: Option<ResourcesProto>,
    #[prost(message, repeated, tag = "10")]
    used: Vec<UsedProto>,
}

impl ProtoConvert for RackSummary {
    type Proto = SummaryProto;

    fn into_proto(self) -> SummaryProto {
        SummaryProto {
            rack: self.rack.into(),
            zone: self.zone.into(),
            epoch: self.epoch.0,
            is_open: self.is_open,
            capacity: Some(self.capacity.into_proto()),
            free: Some(self.free.into_proto()),
            free_slots: self.free_slots,
            largest_free: Some(self.largest_free.into_proto()),
            largest_worker: Some(self.largest_worker.into_proto()),
            used: into_protos(self.used),
        }
    }

    fn from_proto(proto: SummaryProto) -> Result<Self, WireError> {
        Ok(Self {
            rack: RackName::from_proto(proto.rack)?,
            zone: ZoneName::from_proto(proto.zone)?,
            epoch: Epoch(proto.epoch),
            is_open: proto.is_open,
            capacity: from_required(proto.capacity, "capacity")?,
            free: from_required(proto.free, "free")?,
            free_slots: proto.free_slots,
            largest_free: from_required(proto.largest_free, "largest_free")?,
            largest_worker: from_required(proto.largest_worker, "largest_worker")?,
            used: from_protos(proto.used)?,
        })
    }
}

/// Protobuf message for [`TeamDigest`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DigestProto {
    #[prost(string, tag = "1")]
    team: String,
    #[prost(message, optional, tag = "2")]
    running: Option<ResourcesProto>,
    #[prost(message, optional, tag = "3")]
    waiting: Option<ResourcesProto>,
}

impl ProtoConvert for TeamDigest {
    type Proto = DigestProto;

    fn into_proto(self) -> DigestProto {
        DigestProto {
            team: self.team.into(),
            running: Some(self.running.into_proto()),
            waiting: Some(self.waiting.into_proto()),
        }
    }

    fn from_proto(proto: DigestProto) -> Result<Self, WireError> {
        Ok(Self {
            team: TeamName::from_proto(proto.team)?,
            running: from_required(proto.running, "running")?,
            waiting: from_required(proto.waiting, "waiting")?,
        })
    }
}
