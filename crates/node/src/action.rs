//! What the core wants done.

use {
    damaskrack_model::{MemberName, WorkAnswer},
    damaskrack_outside::{StoreCall, WorkerCall},
    damaskrack_wire::PeerMessage,
    std::net::SocketAddr,
};

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// For finding faults.
    Debug,
    /// A change of state worth keeping.
    Info,
    /// Something an operator should look at.
    Warning,
    /// Something an operator must act on.
    Error,
}

/// A named value of a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogField {
    /// Name, such as `team`, `job`, `attempt` or `epoch`.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// An event for the log. It never holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Severity.
    pub level: LogLevel,
    /// Stable name of the event, such as `piece_taken`.
    pub event: &'static str,
    /// Its fields.
    pub fields: Vec<LogField>,
}

/// Something for the driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Answer a caller's request.
    CallerAnswer {
        /// The request.
        call: u64,
        /// The whole answer.
        answer: WorkAnswer,
    },
    /// Answer an operator's request. For `ManifestGet`, `answer.detail` is the manifest as JSON.
    OperatorAnswer {
        /// The request.
        call: u64,
        /// Manifest version after the request, as this daemon knows it.
        version: u64,
        /// The whole answer.
        answer: WorkAnswer,
    },
    /// Send a message to a peer, if there is a link; otherwise it is dropped.
    Peer {
        /// The peer.
        member: MemberName,
        /// The message.
        message: PeerMessage,
    },
    /// Keep a link to a peer at this address. Repeated when the address changes.
    Connect {
        /// The peer.
        member: MemberName,
        /// Where it listens for peers.
        address: SocketAddr,
    },
    /// Drop the link to a peer that has left.
    Disconnect {
        /// The peer.
        member: MemberName,
    },
    /// Carry out a store call and return its end with the same number.
    Store {
        /// Number for the answer.
        call: u64,
        /// The call.
        request: StoreCall,
        /// Longest time beyond the call's own waiting time, in milliseconds.
        timeout_ms: u64,
    },
    /// Carry out a worker call and return its end with the same number.
    Worker {
        /// Number for the answer.
        call: u64,
        /// Where the worker listens.
        address: SocketAddr,
        /// The call.
        request: WorkerCall,
        /// Longest time beyond the call's own waiting time, in milliseconds.
        timeout_ms: u64,
    },
    /// Write a log line.
    Log(LogLine),
    /// Add to a counter.
    Count {
        /// Metric name, dotted.
        metric: &'static str,
        /// How much to add.
        amount: u64,
    },
    /// Record a duration.
    Timing {
        /// Metric name, dotted.
        metric: &'static str,
        /// The duration, in milliseconds.
        millis: u64,
    },
    /// Set a gauge.
    Gauge {
        /// Metric name, dotted.
        metric: &'static str,
        /// The value.
        value: u64,
    },
    /// Everything is handed over and answered; the process may exit.
    Exit,
}
