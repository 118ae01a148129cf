//! Accepts and serves connections within limits of what clients may hold, with a shutdown that resets none
//! of them.

mod accept;
mod body_reader;
mod body_table;
mod client_event;
mod client_gate;
mod client_limits;
mod connection_table;
mod limited_stream;
mod serve;
mod syn_filter;

pub use crate::{
    accept::accept_until,
    body_reader::{BodyBounds, BodyError, BodySource, BrokenBody, ReceivedBody, receive_body},
    body_table::{BodyId, BodyRequest, BodyTable, BodyTotals, BodyUse, BodyVerdict},
    client_event::{ClientEvent, ClientEvents},
    client_gate::{BodyGuard, BodyRefused, ClientGate, ConnectionGuard, ConnectionHandle},
    client_limits::{
        BodyBudget, BodyLimits, ClientLimits, ConnectionLimits, FILE_FDS, HostResources,
        LimitFault, SMALLEST_MAX_FDS, SMALLEST_MEMORY_MB,
    },
    connection_table::{ConnectionId, ConnectionPhase, ConnectionTable, ConnectionVerdict},
    limited_stream::{LimitedStream, RequestMonitor, StreamTimeouts},
    serve::serve_until,
};
