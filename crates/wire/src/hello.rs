//! The first frame of each direction of a link.

use damaskrack_model::MemberName;

/// Identifies the sender before any message.
///
/// The dialler sends its hello first and the listener replies with its own, so a dialler that
/// reached the wrong process on a reused address detects that before it sends any message.
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
    /// Random number that the sender generated when it started.
    pub boot: u64,
    /// Protocol version of the sender.
    pub version: u32,
    /// Whether the sender opened the connection.
    pub is_dialler: bool,
    /// Number of this connection among the dialler's; the highest supersedes the others.
    pub generation: u64,
}

/// Version of the protocol between daemons.
pub const PROTOCOL_VERSION: u32 = 1;

impl HelloFrame {
    /// Creates the hello of the side that opened the connection.
    #[must_use]
    pub fn dialler(member: MemberName, boot: u64) -> Self {
        Self { member, boot, version: PROTOCOL_VERSION, is_dialler: true, generation: 0 }
    }

    /// Creates the hello of the side that accepted the connection.
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
