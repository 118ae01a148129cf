//! Protobuf messages for work and its responses.

use {
    super::{
        convert::{ProtoConvert, from_optional, from_required},
        ids::{JobProto, ResourcesProto},
    },
    crate::{SubmitOrder, WireError},
    damaskrack_model::{
        AnswerReason, Epoch, JobState, JobStatus, KeyName, OutcomeKind, PriorityClass, QueueName,
        WorkAnswer, WorkKind, WorkSpec,
    },
};

/// Protobuf message for [`WorkSpec`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SpecProto {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint32, tag = "2")]
    tasks: u32,
    #[prost(message, optional, tag = "3")]
    resources: Option<ResourcesProto>,
    #[prost(bool, tag = "4")]
    idempotent: bool,
    #[prost(uint32, tag = "5")]
    priority: u32,
    #[prost(uint64, tag = "6")]
    expected_ms: u64,
    #[prost(uint64, tag = "7")]
    deadline_ms: u64,
    #[prost(string, tag = "8")]
    payload: String,
}

impl ProtoConvert for WorkSpec {
    type Proto = SpecProto;

    fn into_proto(self) -> SpecProto {
        SpecProto {
            kind: self.kind.into_proto(),
            tasks: self.tasks,
            resources: Some(self.resources.into_proto()),
            idempotent: self.idempotent,
            priority: self.priority.into_proto(),
            expected_ms: self.expected_ms,
            deadline_ms: self.deadline_ms,
            payload: self.payload,
        }
    }

    fn from_proto(proto: SpecProto) -> Result<Self, WireError> {
        Ok(Self {
            kind: WorkKind::from_proto(proto.kind)?,
            tasks: proto.tasks,
            resources: from_required(proto.resources, "resources")?,
            idempotent: proto.idempotent,
            priority: PriorityClass::from_proto(proto.priority)?,
            expected_ms: proto.expected_ms,
            deadline_ms: proto.deadline_ms,
            payload: proto.payload,
        })
    }
}

/// Protobuf message for [`SubmitOrder`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SubmitProto {
    #[prost(string, tag = "1")]
    queue: String,
    #[prost(string, optional, tag = "2")]
    key: Option<String>,
    #[prost(string, optional, tag = "3")]
    idempotency_key: Option<String>,
    #[prost(bool, tag = "4")]
    is_waiting: bool,
    #[prost(uint64, tag = "5")]
    version: u64,
    #[prost(message, optional, tag = "6")]
    spec: Option<SpecProto>,
    #[prost(fixed64, tag = "7")]
    nonce: u64,
    #[prost(uint64, optional, tag = "8")]
    first_epoch: Option<u64>,
    #[prost(uint64, tag = "9")]
    age_ms: u64,
    #[prost(uint32, tag = "10")]
    copy: u32,
}

impl ProtoConvert for SubmitOrder {
    type Proto = SubmitProto;

    fn into_proto(self) -> SubmitProto {
        SubmitProto {
            queue: self.queue.into(),
            nonce: self.nonce,
            age_ms: self.age_ms,
            copy: self.copy,
            first_epoch: self.first_epoch.map(|epoch| epoch.0),
            key: self.key.map(KeyName::into_proto),
            idempotency_key: self.idempotency_key,
            is_waiting: self.is_waiting,
            version: self.version,
            spec: Some(self.spec.into_proto()),
        }
    }

    fn from_proto(proto: SubmitProto) -> Result<Self, WireError> {
        Ok(Self {
            queue: QueueName::from_proto(proto.queue)?,
            nonce: proto.nonce,
            age_ms: proto.age_ms,
            copy: proto.copy,
            first_epoch: proto.first_epoch.map(Epoch),
            key: from_optional(proto.key)?,
            idempotency_key: proto.idempotency_key,
            is_waiting: proto.is_waiting,
            version: proto.version,
            spec: from_required(proto.spec, "spec")?,
        })
    }
}

/// Protobuf message for [`JobStatus`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct StatusProto {
    #[prost(message, optional, tag = "1")]
    job: Option<JobProto>,
    #[prost(uint32, tag = "2")]
    state: u32,
    #[prost(uint32, tag = "3")]
    queued: u32,
    #[prost(uint32, tag = "4")]
    running: u32,
    #[prost(uint32, tag = "5")]
    done: u32,
    #[prost(uint32, tag = "6")]
    failed: u32,
    #[prost(uint32, tag = "7")]
    not_run: u32,
    #[prost(uint32, tag = "8")]
    unknown: u32,
    #[prost(uint32, optional, tag = "9")]
    outcome: Option<u32>,
    #[prost(string, tag = "10")]
    detail: String,
}

impl ProtoConvert for JobStatus {
    type Proto = StatusProto;

    fn into_proto(self) -> StatusProto {
        StatusProto {
            job: Some(self.job.into_proto()),
            state: self.state.into_proto(),
            queued: self.queued,
            running: self.running,
            done: self.done,
            failed: self.failed,
            not_run: self.not_run,
            unknown: self.unknown,
            outcome: self.outcome.map(OutcomeKind::into_proto),
            detail: self.detail,
        }
    }

    fn from_proto(proto: StatusProto) -> Result<Self, WireError> {
        Ok(Self {
            job: from_required(proto.job, "job")?,
            state: JobState::from_proto(proto.state)?,
            queued: proto.queued,
            running: proto.running,
            done: proto.done,
            failed: proto.failed,
            not_run: proto.not_run,
            unknown: proto.unknown,
            outcome: from_optional(proto.outcome)?,
            detail: proto.detail,
        })
    }
}

/// Protobuf message for [`WorkAnswer`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AnswerProto {
    #[prost(uint32, tag = "1")]
    outcome: u32,
    #[prost(uint32, tag = "2")]
    reason: u32,
    #[prost(string, tag = "3")]
    detail: String,
    #[prost(message, optional, tag = "4")]
    job: Option<JobProto>,
    #[prost(message, optional, tag = "5")]
    status: Option<StatusProto>,
}

impl ProtoConvert for WorkAnswer {
    type Proto = AnswerProto;

    fn into_proto(self) -> AnswerProto {
        AnswerProto {
            outcome: self.outcome.into_proto(),
            reason: self.reason.into_proto(),
            detail: self.detail,
            job: self.job.map(ProtoConvert::into_proto),
            status: self.status.map(ProtoConvert::into_proto),
        }
    }

    fn from_proto(proto: AnswerProto) -> Result<Self, WireError> {
        Ok(Self {
            outcome: OutcomeKind::from_proto(proto.outcome)?,
            reason: AnswerReason::from_proto(proto.reason)?,
            detail: proto.detail,
            job: from_optional(proto.job)?,
            status: from_optional(proto.status)?,
        })
    }
}
