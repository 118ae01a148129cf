//! Protobuf messages for identifiers and resources.

use {
    super::convert::{ProtoConvert, from_required},
    crate::WireError,
    damaskrack_model::{AttemptId, CallId, Epoch, JobId, QueueName, Resources, TeamName},
};

/// Protobuf message for [`CallId`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct CallProto {
    #[prost(fixed64, tag = "1")]
    boot: u64,
    #[prost(uint64, tag = "2")]
    serial: u64,
}

impl ProtoConvert for CallId {
    type Proto = CallProto;

    fn into_proto(self) -> CallProto {
        CallProto { boot: self.boot, serial: self.serial }
    }

    fn from_proto(proto: CallProto) -> Result<Self, WireError> {
        Ok(Self { boot: proto.boot, serial: proto.serial })
    }
}

/// Protobuf message for [`JobId`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct JobProto {
    #[prost(string, tag = "1")]
    team: String,
    #[prost(string, tag = "2")]
    queue: String,
    #[prost(fixed64, tag = "3")]
    nonce: u64,
}

impl ProtoConvert for JobId {
    type Proto = JobProto;

    fn into_proto(self) -> JobProto {
        JobProto { team: self.team.into(), queue: self.queue.into(), nonce: self.nonce }
    }

    fn from_proto(proto: JobProto) -> Result<Self, WireError> {
        Ok(Self {
            team: TeamName::from_proto(proto.team)?,
            queue: QueueName::from_proto(proto.queue)?,
            nonce: proto.nonce,
        })
    }
}

/// Protobuf message for [`AttemptId`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AttemptProto {
    #[prost(message, optional, tag = "1")]
    job: Option<JobProto>,
    #[prost(uint32, tag = "2")]
    task: u32,
    #[prost(uint64, tag = "3")]
    epoch: u64,
    #[prost(uint32, tag = "4")]
    number: u32,
}

impl ProtoConvert for AttemptId {
    type Proto = AttemptProto;

    fn into_proto(self) -> AttemptProto {
        AttemptProto {
            job: Some(self.job.into_proto()),
            task: self.task,
            epoch: self.epoch.0,
            number: self.number,
        }
    }

    fn from_proto(proto: AttemptProto) -> Result<Self, WireError> {
        Ok(Self {
            job: from_required(proto.job, "job")?,
            task: proto.task,
            epoch: Epoch(proto.epoch),
            number: proto.number,
        })
    }
}

/// Protobuf message for [`Resources`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct ResourcesProto {
    #[prost(uint64, tag = "1")]
    millicores: u64,
    #[prost(uint64, tag = "2")]
    memory_bytes: u64,
    #[prost(uint64, tag = "3")]
    accelerators: u64,
}

impl ProtoConvert for Resources {
    type Proto = ResourcesProto;

    fn into_proto(self) -> ResourcesProto {
        ResourcesProto {
            millicores: self.millicores,
            memory_bytes: self.memory_bytes,
            accelerators: self.accelerators,
        }
    }

    fn from_proto(proto: ResourcesProto) -> Result<Self, WireError> {
        Ok(Self {
            millicores: proto.millicores,
            memory_bytes: proto.memory_bytes,
            accelerators: proto.accelerators,
        })
    }
}
