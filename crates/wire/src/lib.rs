//! Messages between daemons, their encoding and framing.
//!
//! [`PeerMessage`] is what the scheduler core sends and receives. `proto` mirrors it as protocol
//! buffers and `codec` frames them, so the core's types stay free of wire concerns.

mod codec;
mod error;
mod hello;
mod message;
mod proto;

pub use {
    codec::{MAX_FRAME_BYTES, PeerCodec, PeerFrame},
    error::WireError,
    hello::{HelloFrame, PROTOCOL_VERSION},
    message::{
        AttemptPhase, EndedNotice, PeerMessage, PlaceMode, PlaceOrder, PlaceOutcome, RackSummary,
        RefusalReason, ReportedAttempt, SubmitOrder, TeamDigest,
    },
};
