//! Accepts and serves connections with a shutdown that resets none of them.

mod accept;
mod serve;
mod syn_filter;

pub use crate::{accept::accept_until, serve::serve_until};
