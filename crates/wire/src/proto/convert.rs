//! Conversion between the core's types and their protocol-buffer types.

use crate::WireError;

/// Conversion to and from a protocol-buffer type.
pub(crate) trait ProtoConvert: Sized {
    /// The protocol-buffer type.
    type Proto;

    /// Converts to the protocol-buffer type.
    fn into_proto(self) -> Self::Proto;

    /// Validates a protocol-buffer value and converts it.
    fn from_proto(proto: Self::Proto) -> Result<Self, WireError>;
}

/// Converts a list to protocol-buffer values.
pub(crate) fn into_protos<T: ProtoConvert>(values: Vec<T>) -> Vec<T::Proto> {
    values.into_iter().map(T::into_proto).collect()
}

/// Validates and converts a list of protocol-buffer values.
pub(crate) fn from_protos<T: ProtoConvert>(protos: Vec<T::Proto>) -> Result<Vec<T>, WireError> {
    protos.into_iter().map(T::from_proto).collect()
}

/// Converts a required field.
pub(crate) fn from_required<T: ProtoConvert>(
    proto: Option<T::Proto>,
    field: &'static str,
) -> Result<T, WireError> {
    proto.ok_or(WireError::Missing(field)).and_then(T::from_proto)
}

/// Converts an optional field.
pub(crate) fn from_optional<T: ProtoConvert>(
    proto: Option<T::Proto>,
) -> Result<Option<T>, WireError> {
    proto.map(T::from_proto).transpose()
}

macro_rules! convert_names {
    ($($name:ident => $field:literal),* $(,)?) => {$(
        impl ProtoConvert for damaskrack_model::$name {
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

convert_names! {
    TeamName => "team",
    QueueName => "queue",
    ZoneName => "zone",
    RackName => "rack",
    WorkerName => "worker",
    MemberName => "member",
    KeyName => "key",
}

/// Encodes an enum as numbers from 1, so that an absent field (0) does not decode as a variant.
macro_rules! convert_enum {
    ($path:path, $field:literal, { $($variant:ident = $code:literal),* $(,)? }) => {
        impl ProtoConvert for $path {
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

convert_enum!(damaskrack_model::OutcomeKind, "outcome", {
    Done = 1, Failed = 2, NotRun = 3, Unknown = 4,
});

convert_enum!(damaskrack_model::AnswerReason, "reason", {
    Ok = 1, Accepted = 2, KeyRefused = 3, UnknownQueue = 4, UnknownJob = 5, Invalid = 6,
    TooLarge = 7, AboveLimit = 8, DeadlinePassed = 9, Overloaded = 10, Cancelled = 11,
    Isolated = 12, Leaving = 13, StoreUnavailable = 14, TaskFailed = 15, Lost = 16,
    Conflict = 17, Spreading = 18,
});

convert_enum!(damaskrack_model::TaskResult, "result", {
    Succeeded = 1, Failed = 2, Stopped = 3, Lapsed = 4, NeverStarted = 5,
});

convert_enum!(damaskrack_model::WorkKind, "kind", {
    Request = 1, Service = 2, Batch = 3, Gang = 4,
});

convert_enum!(damaskrack_model::PriorityClass, "priority", {
    Low = 1, Normal = 2, Urgent = 3,
});

convert_enum!(damaskrack_model::JobState, "state", {
    Queued = 1, Running = 2, Parked = 3, Ended = 4,
});

convert_enum!(crate::PlaceMode, "mode", { Start = 1, Hold = 2 });

convert_enum!(crate::RefusalReason, "refusal", {
    Full = 1, StaleEpoch = 2, NotOwner = 3, Rebuilding = 4, ZoneOut = 5, Isolated = 6, Void = 7,
    HoldExpired = 8, WorkerRefused = 9, Preempting = 10,
});
