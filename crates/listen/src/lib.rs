//! Accepting of connections, up to a close that resets none of them, and their end.

mod accept;
mod finish;
mod quiet;

pub use crate::{accept::accept_until, finish::serve_until};
