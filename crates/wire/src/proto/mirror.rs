//! How a type of the core and its protocol-buffer mirror turn into each other.

use crate::WireError;

/// A type with a protocol-buffer mirror.
pub(crate) trait ProtoMirror: Sized {
    /// The mirror.
    type Proto;

    /// Makes the mirror.
    fn into_proto(self) -> Self::Proto;

    /// Checks the mirror and makes the value.
    fn from_proto(proto: Self::Proto) -> Result<Self, WireError>;
}

/// Makes the mirrors of a list.
pub(crate) fn into_list<T: ProtoMirror>(values: Vec<T>) -> Vec<T::Proto> {
    values.into_iter().map(T::into_proto).collect()
}

/// Checks a list of mirrors and makes the values.
pub(crate) fn from_list<T: ProtoMirror>(protos: Vec<T::Proto>) -> Result<Vec<T>, WireError> {
    protos.into_iter().map(T::from_proto).collect()
}

/// Makes a value of a field that must be there.
pub(crate) fn from_field<T: ProtoMirror>(
    proto: Option<T::Proto>,
    field: &'static str,
) -> Result<T, WireError> {
    proto.ok_or(WireError::Missing(field)).and_then(T::from_proto)
}

/// Makes a value of a field that may be absent.
pub(crate) fn from_option<T: ProtoMirror>(proto: Option<T::Proto>) -> Result<Option<T>, WireError> {
    proto.map(T::from_proto).transpose()
}

macro_rules! mirror_names {
    ($($name:ident => $field:literal),* $(,)?) => {$(
        impl ProtoMirror for damaskrack_model::$name {
            type Proto = String;

            fn into_proto(self) -> String {
                self.into()
            }

            fn from_proto(text: String) -> Result<Self, WireError> {
                Self::new(&text).map_err(|_| WireError::Invalid($field))
            }
        }
    )*};
}

mirror_names! {
    TeamName => "team",
    QueueName => "queue",
    ZoneName => "zone",
    RackName => "rack",
    WorkerName => "worker",
    MemberName => "member",
    KeyName => "key",
}

/// Mirrors an enumeration as numbers from 1, so that an absent field is not taken for a value.
macro_rules! mirror_enum {
    ($path:path, $field:literal, { $($variant:ident = $code:literal),* $(,)? }) => {
        impl ProtoMirror for $path {
            type Proto = u32;

            fn into_proto(self) -> u32 {
                match self {
                    $(Self::$variant => $code,)*
                }
            }

            fn from_proto(code: u32) -> Result<Self, WireError> {
                match code {
                    $($code => Ok(Self::$variant),)*
                    _ => Err(WireError::Invalid($field)),
                }
            }
        }
    };
}

mirror_enum!(damaskrack_model::OutcomeKind, "outcome", {
    Done = 1, Failed = 2, NotRun = 3, Unknown = 4,
});

mirror_enum!(damaskrack_model::AnswerReason, "reason", {
    Ok = 1, Accepted = 2, KeyRefused = 3, UnknownQueue = 4, UnknownJob = 5, Invalid = 6,
    TooLarge = 7, AboveLimit = 8, DeadlinePassed = 9, Overloaded = 10, Cancelled = 11,
    Isolated = 12, Leaving = 13, StoreUnavailable = 14, TaskFailed = 15, Lost = 16,
    Conflict = 17, Spreading = 18,
});

mirror_enum!(damaskrack_model::TaskResult, "result", {
    Succeeded = 1, Failed = 2, Stopped = 3, Lapsed = 4, NeverStarted = 5,
});

mirror_enum!(damaskrack_model::WorkKind, "kind", {
    Request = 1, Service = 2, Batch = 3, Gang = 4,
});

mirror_enum!(damaskrack_model::PriorityClass, "priority", {
    Low = 1, Normal = 2, Urgent = 3,
});

mirror_enum!(damaskrack_model::JobState, "state", {
    Queued = 1, Running = 2, Parked = 3, Ended = 4,
});

mirror_enum!(crate::PlaceMode, "mode", { Start = 1, Hold = 2 });

mirror_enum!(crate::RefusalReason, "refusal", {
    Full = 1, StaleEpoch = 2, NotOwner = 3, Rebuilding = 4, ZoneOut = 5, Isolated = 6, Void = 7,
    HoldExpired = 8, WorkerRefused = 9, Preempting = 10,
});
