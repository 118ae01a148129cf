//! Messages between daemons, their encoding and framing.
//!
//! [`PeerMessage`] is what the scheduler core sends and receives. `proto` converts it to protocol
//! buffers and `codec` frames them, which keeps the wire format out of the core's types.

mod codec;
mod error;
mod hello;
mod message;
mod proto;

pub use {
    codec::{FrameBudget, MAX_FRAME_BYTES, PeerCodec, PeerFrame, SMALL_FRAME_BYTES},
    error::WireError,
    hello::{HelloFrame, PROTOCOL_VERSION},
    message::{
        AttemptPhase, EndedNotice, PeerMessage, PlaceMode, PlaceOrder, PlaceOutcome, RackSummary,
        RefusalReason, ReportedAttempt, SubmitOrder, TeamDigest,
    },
};
