//! Framing of a link: a 4-byte length, then one protocol-buffer frame.
//!
//! The length limit applies in both directions: a corrupt length cannot make a daemon allocate
//! memory, and a message that the peer would reject fails at the sender, which can count it.

use {
    crate::{HelloFrame, PeerMessage, WireError, proto::FrameProto},
    bytes::{Bytes, BytesMut},
    prost::Message,
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// A frame of a link.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerFrame {
    /// Identifies the sender; the first frame of each direction.
    Hello(HelloFrame),
    /// A message of the scheduler core.
    Message(PeerMessage),
    /// Keepalive of the connection, sent when there is nothing else to send. After its hello, the
    /// listener sends only these, so that the dialler detects a connection on which its messages
    /// no longer arrive.
    Pulse {
        /// Frames that the sender has received on this connection.
        received: u64,
    },
}

/// Encodes and decodes the frames of a link.
///
/// # Examples
///
/// ```
/// use {
///     bytes::BytesMut,
///     damaskrack_wire::{HelloFrame, PeerCodec, PeerFrame},
///     tokio_util::codec::{Decoder, Encoder},
/// };
///
/// let hello = PeerFrame::Hello(HelloFrame::dialler("entry-1".parse()?, 7));
/// let mut buffer = BytesMut::new();
/// let mut codec = PeerCodec::new();
/// codec.encode(hello.clone(), &mut buffer)?;
/// assert_eq!(codec.decode(&mut buffer)?, Some(hello));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct PeerCodec {
    framing: LengthDelimitedCodec,
}

impl PeerCodec {
    /// Creates a codec with the default limit.
    #[must_use]
    pub fn new() -> Self {
        Self::with_limit(MAX_FRAME_BYTES)
    }

    /// Creates a codec that rejects frames longer than `max_bytes`.
    #[must_use]
    pub fn with_limit(max_bytes: usize) -> Self {
        Self { framing: LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec() }
    }
}

impl Default for PeerCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Encoder<PeerFrame> for PeerCodec {
    type Error = WireError;

    fn encode(&mut self, frame: PeerFrame, buffer: &mut BytesMut) -> Result<(), WireError> {
        let bytes = FrameProto::from(frame).encode_to_vec();
        if bytes.len() > self.framing.max_frame_length() {
            return Err(WireError::TooLong { bytes: bytes.len() });
        }
        Ok(self.framing.encode(Bytes::from(bytes), buffer)?)
    }
}

impl Decoder for PeerCodec {
    type Item = PeerFrame;
    type Error = WireError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<PeerFrame>, WireError> {
        match self.framing.decode(buffer)? {
            Some(bytes) => FrameProto::decode(bytes)?.try_into().map(Some),
            None => Ok(None),
        }
    }
}
