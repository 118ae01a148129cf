//! Framing of a link: a 4-byte length, then one protocol-buffer frame.
//!
//! The length limit applies in both directions: a corrupt length cannot make a daemon allocate
//! memory, and a message that the peer would reject fails at the sender, which can count it.

use {
    crate::{HelloFrame, PeerMessage, WireError, proto::FrameProto},
    bytes::{Buf, Bytes, BytesMut},
    prost::Message,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Largest frame that is not charged to a [`FrameBudget`], in bytes. A hello has some hundred bytes.
pub const SMALL_FRAME_BYTES: usize = 16_384;
/// Length of a frame's head, in bytes.
const HEAD_BYTES: usize = 4;

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
    reservation: Option<FrameReservation>,
}

/// Memory for the large frames that are being received on all connections.
#[derive(Debug)]
pub struct FrameBudget {
    available: AtomicUsize,
}

impl FrameBudget {
    /// Creates a budget of so many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self { available: AtomicUsize::new(bytes) }
    }

    fn reserve(&self, bytes: usize) -> bool {
        let take = |available: usize| available.checked_sub(bytes);
        self.available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// The part of a budget that a connection's present frame takes.
#[derive(Debug)]
struct FrameReservation {
    budget: Arc<FrameBudget>,
    bytes: usize,
    is_in_frame: bool,
}

impl FrameReservation {
    /// Reserves the space of the frame whose head comes first in the buffer, if it is large.
    fn begin_frame(&mut self, buffer: &BytesMut, max_bytes: usize) -> Result<(), WireError> {
        if self.is_in_frame || buffer.len() < HEAD_BYTES {
            return Ok(());
        }
        self.is_in_frame = true;
        let bytes = usize::try_from(buffer.as_ref().get_u32()).unwrap_or(usize::MAX);
        if bytes <= SMALL_FRAME_BYTES || bytes > max_bytes {
            // The framing refuses a frame that is too long.
            return Ok(());
        }
        if !self.budget.reserve(bytes) {
            return Err(WireError::NoSpace { bytes });
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Ends a frame. The buffer of a large one goes with it.
    fn end_frame(&mut self, buffer: &mut BytesMut) {
        self.is_in_frame = false;
        if self.bytes > 0 {
            *buffer = BytesMut::from(&buffer[..]);
        }
        self.release();
    }

    fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.available.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for FrameReservation {
    fn drop(&mut self) {
        self.release();
    }
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
        let framing = LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec();
        Self { framing, reservation: None }
    }

    /// Creates a codec with the default limit that charges the frames which it receives to a budget, and
    /// fails if there is no space for one.
    ///
    /// ```
    /// use {
    ///     bytes::BytesMut,
    ///     damaskrack_wire::{FrameBudget, PeerCodec},
    ///     std::sync::Arc,
    ///     tokio_util::codec::Decoder,
    /// };
    ///
    /// let budget = Arc::new(FrameBudget::new(30_000));
    /// let mut head = BytesMut::from(&20_000_u32.to_be_bytes()[..]);
    /// let mut first = PeerCodec::with_budget(budget.clone());
    /// assert!(first.decode(&mut head.clone()).is_ok());
    /// assert!(PeerCodec::with_budget(budget.clone()).decode(&mut head.clone()).is_err());
    /// drop(first);
    /// assert!(PeerCodec::with_budget(budget).decode(&mut head).is_ok());
    /// ```
    #[must_use]
    pub fn with_budget(budget: Arc<FrameBudget>) -> Self {
        let reservation = Some(FrameReservation { budget, bytes: 0, is_in_frame: false });
        Self { reservation, ..Self::new() }
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
        if let Some(reservation) = &mut self.reservation {
            reservation.begin_frame(buffer, self.framing.max_frame_length())?;
        }
        let frame = self.framing.decode(buffer)?;
        if let (Some(reservation), true) = (&mut self.reservation, frame.is_some()) {
            reservation.end_frame(buffer);
        }
        match frame {
            Some(bytes) => FrameProto::decode(bytes)?.try_into().map(Some),
            None => Ok(None),
        }
    }
}
