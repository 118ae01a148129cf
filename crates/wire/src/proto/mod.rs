//! Protocol-buffer mirrors of the messages.
//!
//! The structs are written by hand with derives, so that a build needs no generator. Each mirror
//! turns into the core's type through a check of every field: a daemon of another version or a
//! corrupt frame gives a typed error, never a half-filled message.

mod bodies;
mod frame;
mod ids;
mod mirror;
mod rack;
mod work;

pub(crate) use frame::FrameProto;
