//! The first frame of each direction of a link.

use damaskrack_model::MemberName;

/// Says who is at the other end, before any message.
///
/// The dialler sends it first and the listener answers with its own, so a dialler that reached
/// another process than it meant to, on a reused address, notices before it sends anything.
///
/// # Examples
///
/// ```
/// use damaskrack_wire::{HelloFrame, PROTOCOL_VERSION};
///
/// let hello = HelloFrame::dialler("entry-1".parse()?, 7);
/// assert_eq!(hello.version, PROTOCOL_VERSION);
/// assert!(hello.is_dialler);
/// # Ok::<(), damaskrack_model::NameError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HelloFrame {
    /// The sender.
    pub member: MemberName,
    /// Random number that the sender drew when it started.
    pub boot: u64,
    /// Version of this protocol that the sender speaks.
    pub version: u32,
    /// Whether the sender opened the connection.
    pub is_dialler: bool,
    /// Counts the connections that the dialler made to this peer; the newest wins.
    pub generation: u64,
}

/// Version of the protocol between daemons.
pub const PROTOCOL_VERSION: u32 = 1;

impl HelloFrame {
    /// Makes the hello of the side that opened the connection.
    #[must_use]
    pub fn dialler(member: MemberName, boot: u64) -> Self {
        Self { member, boot, version: PROTOCOL_VERSION, is_dialler: true, generation: 0 }
    }

    /// Makes the hello of the side that accepted the connection.
    #[must_use]
    pub fn listener(member: MemberName, boot: u64) -> Self {
        Self { is_dialler: false, ..Self::dialler(member, boot) }
    }

    /// Sets the generation of the connection.
    #[must_use]
    pub fn with_generation(mut self, generation: u64) -> Self {
        self.generation = generation;
        self
    }
}
