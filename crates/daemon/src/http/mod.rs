//! The HTTP ports for callers and operators.
//!
//! gotham routes requests and runs the handlers; connections are accepted here, because gotham's
//! own server neither limits their number nor shuts them down gracefully.

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
    server::{HttpServer, RouterCell, ServerLimits},
    shared::HttpShared,
};
