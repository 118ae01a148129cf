//! Actions that the core requests from its driver.

use {
    damaskrack_model::{MemberName, WorkAnswer},
    damaskrack_outside::{StoreCall, WorkerCall},
    damaskrack_wire::PeerMessage,
    std::net::SocketAddr,
};

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Details for debugging.
    Debug,
    /// A notable change of state.
    Info,
    /// A problem that an operator should look into.
    Warning,
    /// A problem that an operator must act on.
    Error,
}

/// A field of a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogField {
    /// Name, such as `team`, `job`, `attempt` or `epoch`.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// A structured log event. It never contains a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Severity.
    pub level: LogLevel,
    /// Stable name of the event, such as `piece_taken`.
    pub event: &'static str,
    /// Fields of the event.
    pub fields: Vec<LogField>,
}

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Answer a caller's request.
    CallerAnswer {
        /// The request.
        call: u64,
        /// The complete answer.
        answer: WorkAnswer,
    },
    /// Answer an operator's request. For `ManifestGet`, `answer.detail` is the manifest as JSON.
    OperatorAnswer {
        /// The request.
        call: u64,
        /// Manifest version after the request, as this daemon knows it.
        version: u64,
        /// The complete answer.
        answer: WorkAnswer,
    },
    /// Send a message to a peer; the message is dropped if there is no link.
    Peer {
        /// The peer.
        member: MemberName,
        /// The message.
        message: PeerMessage,
    },
    /// Maintain a link to a peer at this address. Repeated when the address changes.
    Connect {
        /// The peer.
        member: MemberName,
        /// Address at which the peer listens.
        address: SocketAddr,
    },
    /// Drop the link to a peer that has left.
    Disconnect {
        /// The peer.
        member: MemberName,
    },
    /// Perform a store call and return its result under the same number.
    Store {
        /// Number of the call, repeated with its result.
        call: u64,
        /// The call.
        request: StoreCall,
        /// Timeout in addition to the call's own waiting time, in milliseconds.
        timeout_ms: u64,
    },
    /// Perform a worker call and return its result under the same number.
    Worker {
        /// Number of the call, repeated with its result.
        call: u64,
        /// Address at which the worker listens.
        address: SocketAddr,
        /// The call.
        request: WorkerCall,
        /// Timeout in addition to the call's own waiting time, in milliseconds.
        timeout_ms: u64,
    },
    /// Write a log line.
    Log(LogLine),
    /// Add to a counter.
    Count {
        /// Dotted metric name.
        metric: &'static str,
        /// Amount to add.
        amount: u64,
    },
    /// Record a duration.
    Timing {
        /// Dotted metric name.
        metric: &'static str,
        /// The duration, in milliseconds.
        millis: u64,
    },
    /// Set a gauge.
    Gauge {
        /// Dotted metric name.
        metric: &'static str,
        /// The value.
        value: u64,
    },
    /// Exit the process; all pieces are released and all callers are answered, or the shutdown
    /// deadline has passed.
    Exit,
}
