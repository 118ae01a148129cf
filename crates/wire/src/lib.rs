//! Messages between daemons, their encoding and framing.
//!
//! [`PeerMessage`] is what the scheduler core sends and receives. `proto` mirrors it as protocol
//! buffers and `codec` frames them, so the core's types stay free of wire concerns.

mod message;

pub use message::{
    AttemptPhase, AttemptRow, EndedNotice, PeerMessage, PlaceMode, PlaceOrder, PlaceVerdict,
    RackSummary, RefusalReason, SubmitOrder, TeamDigest,
};
