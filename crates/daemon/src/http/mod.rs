//! The HTTP ports for callers and operators.
//!
//! gotham routes and runs the handlers; connections are accepted here, because its own server
//! neither bounds their number nor lets them end gracefully.

mod body;
mod caller;
mod header;
mod operator;
mod path;
mod refusal;
mod response;
mod server;
mod shared;
mod stream;
mod work;

pub(crate) use {
    caller::caller_router,
    operator::operator_router,
    server::{HttpServer, OpaqueRouter, ServerLimits},
    shared::HttpShared,
};
