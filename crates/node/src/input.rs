//! What reaches the core from outside.

use {
    damaskrack_model::{JobId, MemberName, QueueName, WorkSpec},
    damaskrack_outside::{HostRow, StoreError, StoreReply, WorkerError, WorkerReply},
    damaskrack_wire::PeerMessage,
};

/// A key as a caller showed it.
#[derive(Clone, PartialEq, Eq)]
pub struct PresentedKey {
    /// The whole text after `Bearer `.
    pub text: String,
}

impl std::fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ShownKey(..)")
    }
}

/// A request of a caller, already checked for its form.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerRequest {
    /// Hands in work.
    Submit {
        /// Key that was shown, if any.
        key: Option<PresentedKey>,
        /// Queue that the work is for.
        queue: QueueName,
        /// The caller's own name for the work.
        idempotency_key: Option<String>,
        /// Whether the caller waits for the end rather than for acceptance.
        is_waiting: bool,
        /// The work.
        spec: WorkSpec,
    },
    /// Asks about a job.
    Query {
        /// Key that was shown, if any.
        key: Option<PresentedKey>,
        /// The job.
        job: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// Key that was shown, if any.
        key: Option<PresentedKey>,
        /// The job.
        job: JobId,
    },
}

/// A request of an operator whose key the daemon has checked.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// Replaces the manifest.
    ManifestPut {
        /// Version that the change starts from; 0 if there is none yet.
        base: u64,
        /// The new manifest, as JSON.
        json: String,
    },
    /// Reads the manifest.
    ManifestGet,
}

/// Something that reached the process.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeInput {
    /// A caller's request. Answered once by `NodeAction::CallerAnswer` with the same `call`.
    Caller {
        /// Number that the driver gave to the request.
        call: u64,
        /// The request.
        request: CallerRequest,
    },
    /// The caller of that request has gone; no answer is needed.
    CallerGone {
        /// The request.
        call: u64,
    },
    /// An operator's request. Answered once by `NodeAction::OperatorAnswer`.
    Operator {
        /// Number that the driver gave to the request.
        call: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// A link to a peer came up. Messages sent from now on go over the new link.
    PeerUp {
        /// The peer.
        member: MemberName,
        /// Random number that the peer drew when it started.
        boot: u64,
    },
    /// The link to a peer is gone; messages on the way may be lost.
    PeerDown {
        /// The peer.
        member: MemberName,
    },
    /// A message of a peer.
    Peer {
        /// The sender.
        member: MemberName,
        /// Random number that the sender drew when it started.
        boot: u64,
        /// The message.
        message: PeerMessage,
    },
    /// The end of a store call.
    Store {
        /// Number that the core gave to the call.
        call: u64,
        /// The answer, or why there is none.
        result: Result<StoreReply, StoreError>,
    },
    /// The end of a worker call.
    Worker {
        /// Number that the core gave to the call.
        call: u64,
        /// The answer, or why there is none.
        result: Result<WorkerReply, WorkerError>,
    },
    /// The host list, whenever it was read.
    Hosts {
        /// The list.
        rows: Vec<HostRow>,
    },
    /// The process is asked to shut down gracefully.
    Shutdown,
}
