//! Carries out the decisions on connections and frames of other daemons.

use {
    crate::{
        PeerLimits,
        frame::frame_codec,
        peer_admission::{PeerAdmission, PeerVerdict, SMALL_FRAME_BYTES},
    },
    bytes::{Buf, Bytes, BytesMut},
    cadence::{CountedExt, StatsdClient},
    slog::{Logger, info},
    std::{
        collections::BTreeMap,
        io::{self, ErrorKind},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Length of a frame's head, in bytes.
const HEAD_BYTES: usize = 4;
/// Interval of log lines about one kind of event, in seconds.
const LOG_INTERVAL_S: u64 = 10;

/// A refusal, or the end of a connection by this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PeerEvent {
    /// A new connection was closed because all are taken.
    ConnectionRefused,
    /// A connection without a frame was closed for a new one.
    ConnectionCut,
    /// A frame was too large, or there was no space for it.
    FrameRefused,
    /// No frame was complete in time.
    Silent,
    /// The daemon took no frames.
    FrameUnread,
}

impl PeerEvent {
    /// Returns the name of the event's counter, which is also its name in the log.
    fn name(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "peer.connection_refused",
            Self::ConnectionCut => "peer.connection_cut",
            Self::FrameRefused => "peer.frame_refused",
            Self::Silent => "peer.silent",
            Self::FrameUnread => "peer.frame_unread",
        }
    }
}

#[derive(Debug, Default)]
struct GateState {
    admission: PeerAdmission,
    cuts: BTreeMap<u64, Arc<Notify>>,
    logged: BTreeMap<PeerEvent, Instant>,
}

/// Admits connections and large frames of other daemons.
#[derive(Debug, Default)]
pub(crate) struct PeerGate {
    state: Mutex<GateState>,
    metrics: Option<Arc<StatsdClient>>,
}

impl PeerGate {
    pub(crate) fn new(limits: PeerLimits, metrics: Arc<StatsdClient>) -> Arc<Self> {
        let admission = PeerAdmission::new(limits);
        let state = Mutex::new(GateState { admission, ..GateState::default() });
        Arc::new(Self { state, metrics: Some(metrics) })
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an event, and logs its kind at most once in an interval.
    pub(crate) fn record(&self, event: PeerEvent, logger: &Logger) {
        if let Some(metrics) = &self.metrics {
            // A metric that is lost has been reported by the client.
            let _ = metrics.incr(event.name());
        }
        let mut state = self.lock();
        let interval = Duration::from_secs(LOG_INTERVAL_S);
        if state.logged.get(&event).is_none_or(|logged| logged.elapsed() >= interval) {
            state.logged.insert(event, Instant::now());
            info!(logger, "peer_limit"; "event" => event.name());
        }
    }

    /// Admits a connection, or returns `None`.
    pub(crate) fn admit(self: &Arc<Self>, logger: &Logger) -> Option<PeerPermit> {
        let verdict = self.lock().admission.admit();
        let id = match verdict {
            PeerVerdict::Admit(id) => id,
            PeerVerdict::Replace { admitted, cut } => {
                if let Some(signal) = self.lock().cuts.get(&cut) {
                    signal.notify_one();
                }
                self.record(PeerEvent::ConnectionCut, logger);
                admitted
            }
            PeerVerdict::Refuse => {
                self.record(PeerEvent::ConnectionRefused, logger);
                return None;
            }
        };
        let cut = Arc::new(Notify::new());
        self.lock().cuts.insert(id, cut.clone());
        Some(PeerPermit { gate: self.clone(), id, cut })
    }
}

/// An admitted connection, which is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct PeerPermit {
    gate: Arc<PeerGate>,
    id: u64,
    cut: Arc<Notify>,
}

impl PeerPermit {
    /// Records that the connection has sent a frame.
    pub(crate) fn identify(&self) {
        self.gate.lock().admission.identify(self.id);
    }

    /// Waits until the connection is to be closed for another one.
    pub(crate) async fn cut(&self) {
        self.cut.notified().await;
    }

    /// Returns the codec of the connection.
    pub(crate) fn codec(&self) -> ReservingCodec {
        ReservingCodec {
            framing: frame_codec(),
            gate: self.gate.clone(),
            id: self.id,
            is_in_frame: false,
            reserved: 0,
        }
    }
}

impl Drop for PeerPermit {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.admission.remove(self.id);
        state.cuts.remove(&self.id);
    }
}

/// A codec that reserves the space of a large frame before it is received.
#[derive(Debug)]
pub(crate) struct ReservingCodec {
    framing: LengthDelimitedCodec,
    gate: Arc<PeerGate>,
    id: u64,
    is_in_frame: bool,
    reserved: usize,
}

impl ReservingCodec {
    fn reserve(&mut self, bytes: usize) -> io::Result<()> {
        if bytes <= SMALL_FRAME_BYTES || bytes > self.framing.max_frame_length() {
            // The framing refuses a frame that is too long.
            return Ok(());
        }
        if !self.gate.lock().admission.reserve(self.id, bytes) {
            return Err(ErrorKind::QuotaExceeded.into());
        }
        self.reserved = bytes;
        Ok(())
    }

    fn release(&mut self) {
        let reserved = std::mem::take(&mut self.reserved);
        self.gate.lock().admission.release(reserved);
    }
}

impl Decoder for ReservingCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if !self.is_in_frame && buffer.len() >= HEAD_BYTES {
            let length = buffer.as_ref().get_u32();
            self.reserve(usize::try_from(length).unwrap_or(usize::MAX))?;
            self.is_in_frame = true;
        }
        let Some(frame) = self.framing.decode(buffer)? else { return Ok(None) };
        self.is_in_frame = false;
        if self.reserved == 0 {
            return Ok(Some(frame));
        }
        // The buffer of a large frame goes with the frame.
        *buffer = BytesMut::from(&buffer[..]);
        self.release();
        Ok(Some(frame))
    }
}

impl Encoder<Bytes> for ReservingCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        self.framing.encode(frame, buffer)
    }
}

impl Drop for ReservingCodec {
    fn drop(&mut self) {
        self.release();
    }
}
