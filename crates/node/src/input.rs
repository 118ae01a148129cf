//! Inputs of the core.

use {
    damaskrack_model::{JobId, MemberName, QueueName, WorkSpec},
    damaskrack_outside::{HostRow, StoreError, StoreReply, WorkerError, WorkerReply},
    damaskrack_wire::PeerMessage,
};

/// API key that a caller presented.
#[derive(Clone, PartialEq, Eq)]
pub struct PresentedKey {
    /// The whole text after `Bearer `.
    pub text: String,
}

impl std::fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PresentedKey(..)")
    }
}

/// A caller's request, already parsed.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerRequest {
    /// Submits work.
    Submit {
        /// Key that was presented, if any.
        key: Option<PresentedKey>,
        /// Queue to submit to.
        queue: QueueName,
        /// Key chosen by the caller under which repeated submissions are the same job.
        idempotency_key: Option<String>,
        /// Whether the caller waits for the end rather than for the acceptance of the work.
        is_waiting: bool,
        /// Specification of the work.
        spec: WorkSpec,
    },
    /// Queries the status of a job.
    Query {
        /// Key that was presented, if any.
        key: Option<PresentedKey>,
        /// The job.
        job: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// Key that was presented, if any.
        key: Option<PresentedKey>,
        /// The job.
        job: JobId,
    },
}

/// An operator's request; the daemon has already checked the operator's key.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// Replaces the manifest.
    ManifestPut {
        /// Version that the change is based on; 0 if there is none yet.
        base: u64,
        /// The new manifest, as JSON.
        json: String,
    },
    /// Reads the manifest.
    ManifestGet,
}

/// An input from the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeInput {
    /// A caller's request. Answered once by `NodeAction::CallerAnswer` with the same `call`.
    Caller {
        /// Number that the driver assigned to the request.
        call: u64,
        /// The request.
        request: CallerRequest,
    },
    /// The caller of a request has disconnected, so no answer is needed.
    CallerDisconnected {
        /// The request.
        call: u64,
    },
    /// An operator's request. Answered once by `NodeAction::OperatorAnswer`.
    Operator {
        /// Number that the driver assigned to the request.
        call: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// A link to a peer is established. Messages sent from now on use the new link.
    PeerUp {
        /// The peer.
        member: MemberName,
        /// Random number that the peer drew when it started.
        boot: u64,
    },
    /// The link to a peer is lost; messages in flight may be lost.
    PeerDown {
        /// The peer.
        member: MemberName,
    },
    /// A message from a peer.
    Peer {
        /// The sender.
        member: MemberName,
        /// Random number that the sender drew when it started.
        boot: u64,
        /// The message.
        message: PeerMessage,
    },
    /// The result of a store call.
    Store {
        /// Number that the core assigned to the call.
        call: u64,
        /// The response, or the error.
        result: Result<StoreReply, StoreError>,
    },
    /// The result of a worker call.
    Worker {
        /// Number that the core assigned to the call.
        call: u64,
        /// The response, or the error.
        result: Result<WorkerReply, WorkerError>,
    },
    /// The host list, each time it has been read.
    Hosts {
        /// The list.
        rows: Vec<HostRow>,
    },
    /// Request to shut down gracefully.
    Shutdown,
}
