//! Accepting of connections, up to a close that resets none of them.

mod accept;
mod quiet;

pub use crate::accept::accept_until;
