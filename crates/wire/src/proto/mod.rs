//! Protocol-buffer messages and their conversion.
//!
//! The structs are written by hand with derives, so that a build needs no code generator. The
//! conversion to the core's types validates every field: a daemon of another version or a corrupt
//! frame yields a typed error, never a partially filled message.

mod bodies;
mod convert;
mod frame;
mod ids;
mod rack;
mod work;

pub(crate) use frame::FrameProto;
