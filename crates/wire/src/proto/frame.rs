//! The frame, a oneof of all messages.

use {
    super::{
        bodies::{
            AnswerBody, AttemptsBody, CallsBody, EndedAckBody, EndedBody, HeartbeatBody, HelloBody,
            JobBody, NotOwnerBody, PhasesBody, PlaceBody, PlacedBody, PullBody, PulseBody,
            PushBody, RackDigestsBody, RollAnswerBody, RollCallBody, SubmitBody, TeamDigestsBody,
        },
        convert::{ProtoConvert, from_optional, from_protos, from_required, into_protos},
    },
    crate::{HelloFrame, PeerFrame, PeerMessage, WireError},
    damaskrack_model::{Epoch, MemberName, RackName, TeamName},
};

/// Protobuf message for [`PeerFrame`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FrameProto {
    #[prost(
        oneof = "FrameKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24"
    )]
    kind: Option<FrameKind>,
}

/// The kinds of frames.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum FrameKind {
    #[prost(message, tag = "1")]
    Hello(HelloBody),
    #[prost(message, tag = "2")]
    Heartbeat(HeartbeatBody),
    #[prost(message, tag = "3")]
    ManifestPull(PullBody),
    #[prost(message, tag = "4")]
    ManifestPush(PushBody),
    #[prost(message, tag = "5")]
    Submit(SubmitBody),
    #[prost(message, tag = "6")]
    JobQuery(JobBody),
    #[prost(message, tag = "7")]
    JobCancel(JobBody),
    #[prost(message, tag = "8")]
    Pulse(PulseBody),
    #[prost(message, tag = "9")]
    TeamDigests(TeamDigestsBody),
    #[prost(message, tag = "10")]
    NotOwner(NotOwnerBody),
    #[prost(message, tag = "11")]
    Answer(AnswerBody),
    #[prost(message, tag = "12")]
    AnswerAck(CallsBody),
    #[prost(message, tag = "13")]
    Place(PlaceBody),
    #[prost(message, tag = "14")]
    Placed(PlacedBody),
    #[prost(message, tag = "15")]
    Commit(AttemptsBody),
    #[prost(message, tag = "16")]
    Release(AttemptsBody),
    #[prost(message, tag = "17")]
    StopAttempts(AttemptsBody),
    #[prost(message, tag = "18")]
    Inquire(AttemptsBody),
    #[prost(message, tag = "19")]
    Phases(PhasesBody),
    #[prost(message, tag = "20")]
    Ended(EndedBody),
    #[prost(message, tag = "21")]
    EndedAck(EndedAckBody),
    #[prost(message, tag = "22")]
    RollCall(RollCallBody),
    #[prost(message, tag = "23")]
    RollAnswer(RollAnswerBody),
    #[prost(message, tag = "24")]
    RackDigests(RackDigestsBody),
}

impl From<PeerFrame> for FrameProto {
    fn from(frame: PeerFrame) -> Self {
        let kind = match frame {
            PeerFrame::Hello(hello) => FrameKind::Hello(hello.into_proto()),
            PeerFrame::Message(message) => message.into_proto(),
            PeerFrame::Pulse { received } => FrameKind::Pulse(PulseBody { received }),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<FrameProto> for PeerFrame {
    type Error = WireError;

    fn try_from(frame: FrameProto) -> Result<Self, WireError> {
        match frame.kind.ok_or(WireError::Missing("kind"))? {
            FrameKind::Hello(body) => HelloFrame::from_proto(body).map(Self::Hello),
            FrameKind::Pulse(body) => Ok(Self::Pulse { received: body.received }),
            kind => PeerMessage::from_proto(kind).map(Self::Message),
        }
    }
}

impl ProtoConvert for HelloFrame {
    type Proto = HelloBody;

    fn into_proto(self) -> HelloBody {
        HelloBody {
            member: self.member.into(),
            boot: self.boot,
            version: self.version,
            is_dialler: self.is_dialler,
            generation: self.generation,
        }
    }

    fn from_proto(body: HelloBody) -> Result<Self, WireError> {
        Ok(Self {
            member: MemberName::from_proto(body.member)?,
            boot: body.boot,
            version: body.version,
            is_dialler: body.is_dialler,
            generation: body.generation,
        })
    }
}

impl ProtoConvert for PeerMessage {
    type Proto = FrameKind;

    // One match arm per message, without further logic.
    #[allow(clippy::too_many_lines)]
    fn into_proto(self) -> FrameKind {
        match self {
            Self::Heartbeat {
                version,
                store_age_ms,
                heard_store_age_ms,
                sees_receiver,
                clock_ms,
                echo_ms,
                is_leaving,
            } => FrameKind::Heartbeat(HeartbeatBody {
                version,
                store_age_ms,
                heard_store_age_ms,
                sees_receiver,
                clock_ms,
                echo_ms,
                is_leaving,
            }),
            Self::ManifestPull { have } => FrameKind::ManifestPull(PullBody { have }),
            Self::ManifestPush { version, json } => {
                FrameKind::ManifestPush(PushBody { version, json })
            }
            Self::Submit { call, team, order } => FrameKind::Submit(SubmitBody {
                call: Some(call.into_proto()),
                team: team.into(),
                order: Some(order.into_proto()),
            }),
            Self::JobQuery { call, job } => FrameKind::JobQuery(JobBody {
                call: Some(call.into_proto()),
                job: Some(job.into_proto()),
            }),
            Self::JobCancel { call, job } => FrameKind::JobCancel(JobBody {
                call: Some(call.into_proto()),
                job: Some(job.into_proto()),
            }),
            Self::NotOwner { call, copy, is_given_back, owner } => {
                FrameKind::NotOwner(NotOwnerBody {
                    copy,
                    is_given_back,
                    call: Some(call.into_proto()),
                    owner: owner.map(ProtoConvert::into_proto),
                })
            }
            Self::Answer { call, copy, answer } => FrameKind::Answer(AnswerBody {
                copy,
                call: Some(call.into_proto()),
                answer: Some(answer.into_proto()),
            }),
            Self::AnswerAck { calls } => {
                FrameKind::AnswerAck(CallsBody { calls: into_protos(calls) })
            }
            Self::Place { team, epoch, rack, orders } => FrameKind::Place(PlaceBody {
                team: team.into(),
                epoch: epoch.0,
                rack: rack.into(),
                orders: into_protos(orders),
            }),
            Self::Placed { rack, verdicts } => {
                FrameKind::Placed(PlacedBody { rack: rack.into(), verdicts: into_protos(verdicts) })
            }
            Self::Commit { team, epoch, rack, attempts } => FrameKind::Commit(AttemptsBody {
                team: team.into(),
                epoch: epoch.0,
                rack: rack.into(),
                attempts: into_protos(attempts),
            }),
            Self::Release { team, epoch, rack, attempts } => FrameKind::Release(AttemptsBody {
                team: team.into(),
                epoch: epoch.0,
                rack: rack.into(),
                attempts: into_protos(attempts),
            }),
            Self::StopAttempts { team, epoch, rack, attempts } => {
                FrameKind::StopAttempts(AttemptsBody {
                    team: team.into(),
                    epoch: epoch.0,
                    rack: rack.into(),
                    attempts: into_protos(attempts),
                })
            }
            Self::Inquire { team, epoch, rack, attempts } => FrameKind::Inquire(AttemptsBody {
                team: team.into(),
                epoch: epoch.0,
                rack: rack.into(),
                attempts: into_protos(attempts),
            }),
            Self::Phases { rack, epoch, rows } => FrameKind::Phases(PhasesBody {
                rack: rack.into(),
                epoch: epoch.0,
                rows: into_protos(rows),
            }),
            Self::Ended { rack, notices } => {
                FrameKind::Ended(EndedBody { rack: rack.into(), notices: into_protos(notices) })
            }
            Self::EndedAck { rack, attempts } => FrameKind::EndedAck(EndedAckBody {
                rack: rack.into(),
                attempts: into_protos(attempts),
            }),
            Self::RollCall { team, epoch, racks } => FrameKind::RollCall(RollCallBody {
                team: team.into(),
                epoch: epoch.0,
                racks: into_protos(racks),
            }),
            Self::RollAnswer { team, epoch, rack, rows } => FrameKind::RollAnswer(RollAnswerBody {
                team: team.into(),
                epoch: epoch.0,
                rack: rack.into(),
                rows: into_protos(rows),
            }),
            Self::RackDigests { summaries } => {
                FrameKind::RackDigests(RackDigestsBody { summaries: into_protos(summaries) })
            }
            Self::TeamDigests { teams } => {
                FrameKind::TeamDigests(TeamDigestsBody { teams: into_protos(teams) })
            }
        }
    }

    // One match arm per message, without further logic.
    #[allow(clippy::too_many_lines)]
    fn from_proto(kind: FrameKind) -> Result<Self, WireError> {
        Ok(match kind {
            FrameKind::Hello(_) | FrameKind::Pulse(_) => return Err(WireError::Invalid("kind")),
            FrameKind::Heartbeat(body) => Self::Heartbeat {
                version: body.version,
                store_age_ms: body.store_age_ms,
                heard_store_age_ms: body.heard_store_age_ms,
                sees_receiver: body.sees_receiver,
                clock_ms: body.clock_ms,
                echo_ms: body.echo_ms,
                is_leaving: body.is_leaving,
            },
            FrameKind::ManifestPull(body) => Self::ManifestPull { have: body.have },
            FrameKind::ManifestPush(body) => {
                Self::ManifestPush { version: body.version, json: body.json }
            }
            FrameKind::Submit(body) => Self::Submit {
                call: from_required(body.call, "call")?,
                team: TeamName::from_proto(body.team)?,
                order: from_required(body.order, "order")?,
            },
            FrameKind::JobQuery(body) => Self::JobQuery {
                call: from_required(body.call, "call")?,
                job: from_required(body.job, "job")?,
            },
            FrameKind::JobCancel(body) => Self::JobCancel {
                call: from_required(body.call, "call")?,
                job: from_required(body.job, "job")?,
            },
            FrameKind::NotOwner(body) => Self::NotOwner {
                copy: body.copy,
                is_given_back: body.is_given_back,
                call: from_required(body.call, "call")?,
                owner: from_optional(body.owner)?,
            },
            FrameKind::Answer(body) => Self::Answer {
                copy: body.copy,
                call: from_required(body.call, "call")?,
                answer: from_required(body.answer, "answer")?,
            },
            FrameKind::AnswerAck(body) => Self::AnswerAck { calls: from_protos(body.calls)? },
            FrameKind::Place(body) => Self::Place {
                team: TeamName::from_proto(body.team)?,
                epoch: Epoch(body.epoch),
                rack: RackName::from_proto(body.rack)?,
                orders: from_protos(body.orders)?,
            },
            FrameKind::Placed(body) => Self::Placed {
                rack: RackName::from_proto(body.rack)?,
                verdicts: from_protos(body.verdicts)?,
            },
            FrameKind::Commit(body) => Self::Commit {
                team: TeamName::from_proto(body.team)?,
                epoch: Epoch(body.epoch),
                rack: RackName::from_proto(body.rack)?,
                attempts: from_protos(body.attempts)?,
            },
            FrameKind::Release(body) => Self::Release {
                team: TeamName::from_proto(body.team)?,
                epoch: Epoch(body.epoch),
                rack: RackName::from_proto(body.rack)?,
                attempts: from_protos(body.attempts)?,
            },
            FrameKind::StopAttempts(body) => Self::StopAttempts {
                team: TeamName::from_proto(body.team)?,
                epoch: Epoch(body.epoch),
                rack: RackName::from_proto(body.rack)?,
                attempts: from_protos(body.attempts)?,
            },
            FrameKind::Inquire(body) => Self::Inquire {
                team: TeamName::from_proto(body.team)?,
                epoch: Epoch(body.epoch),
                rack: RackName::from_proto(body.rack)?,
                attempts: from_protos(body.attempts)?,
            },
            FrameKind::Phases(body) => Self::Phases {
                rack: RackName::from_proto(body.rack)?,
                epoch: Epoch(body.epoch),
                rows: from_protos(body.rows)?,
            },
            FrameKind::Ended(body) => Self::Ended {
                rack: RackName::from_proto(body.rack)?,
                notices: from_protos(body.notices)?,
            },
            FrameKind::EndedAck(body) => Self::EndedAck {
                rack: RackName::from_proto(body.rack)?,
                attempts: from_protos(body.attempts)?,
            },
            FrameKind::RollCall(body) => Self::RollCall {
                team: TeamName::from_proto(body.team)?,
                epoch: Epoch(body.epoch),
                racks: from_protos(body.racks)?,
            },
            FrameKind::RollAnswer(body) => Self::RollAnswer {
                team: TeamName::from_proto(body.team)?,
                epoch: Epoch(body.epoch),
                rack: RackName::from_proto(body.rack)?,
                rows: from_protos(body.rows)?,
            },
            FrameKind::RackDigests(body) => {
                Self::RackDigests { summaries: from_protos(body.summaries)? }
            }
            FrameKind::TeamDigests(body) => Self::TeamDigests { teams: from_protos(body.teams)? },
        })
    }
}
