//! Receives a body within its size, its time and the budgets for bodies.
//!
//! A body whose size is declared is admitted with that size. One of unknown size begins as a small one and
//! is admitted once more, with the largest size, when it grows beyond that. The bytes are kept in pieces
//! until the body is complete, because a buffer that doubles needs up to three times the bytes.

use {
    crate::{BodyGuard, ClientEvent, ConnectionHandle, ConnectionPhase, RequestMonitor},
    std::{
        future::poll_fn,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Size of the pieces in which a body is kept until it is complete, in bytes.
const PIECE_BYTES: usize = 16_384;

/// The connection ended inside a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenBody;

/// Where the data of a body comes from.
pub trait BodySource: Send {
    /// A part of the body.
    type Data: AsRef<[u8]> + Send;

    /// Returns the next part, `None` at the end.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Self::Data, BrokenBody>>>;
}

/// Why a body was not received. The request had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The connection ended before it was complete.
    Incomplete,
    /// It is larger than the limit.
    TooLarge,
    /// It did not arrive in time.
    Late,
    /// There was no space for it, or its space was given to another one.
    NoSpace,
}

/// A complete body. What it was charged is reserved until the guard is dropped.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// The reservation.
    pub guard: BodyGuard,
}

/// Size and time that a body may have.
#[derive(Debug, Clone, Copy)]
pub struct BodyBounds {
    /// Largest size, in bytes.
    pub max_bytes: usize,
    /// Size that the client has declared, in bytes.
    pub declared: Option<u64>,
    /// Time for waiting and receiving.
    pub timeout: Duration,
}

/// Receives a complete body.
///
/// # Errors
///
/// Returns why it was not received. The connection must then be closed after the response; some of what the
/// client still sends is read first, so that it gets the response.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_listen::{
///         BodyBounds, BodyError, BodySource, BrokenBody, ClientEvents, ClientGate, ClientLimits,
///         ConnectionLimits, HostResources, RequestMonitor, receive_body,
///     },
///     std::{task::{Context, Poll}, time::Duration},
/// };
///
/// struct Parts(Vec<&'static str>);
///
/// impl BodySource for Parts {
///     type Data = &'static str;
///
///     fn poll_data(&mut self, _: &mut Context<'_>) -> Poll<Option<Result<&'static str, BrokenBody>>> {
///         Poll::Ready(self.0.pop().map(Ok))
///     }
/// }
///
/// let bodies = ClientLimits::for_host(HostResources::default())?.bodies;
/// let logger = slog::Logger::root(slog::Discard, slog::o!());
/// let events = ClientEvents::new("callers", logger, |_| {});
/// let gate = ClientGate::new(ConnectionLimits::of(1), bodies, events);
/// let connection = gate.admit([127, 0, 0, 1].into()).expect("a connection");
/// let monitor = RequestMonitor::new(connection.handle());
/// let bounds = BodyBounds { max_bytes: 5, declared: None, timeout: Duration::from_secs(1) };
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
/// runtime.block_on(async {
///     let body = receive_body(Parts(vec!["lo", "hel"]), &monitor, bounds).await;
///     assert_eq!(body.expect("a body").bytes, b"hello");
///     let error = receive_body(Parts(vec!["long", "too "]), &monitor, bounds).await.err();
///     assert_eq!(error, Some(BodyError::TooLarge));
/// });
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub async fn receive_body<S: BodySource>(
    source: S,
    monitor: &RequestMonitor,
    bounds: BodyBounds,
) -> Result<ReceivedBody, BodyError> {
    let handle = monitor.handle();
    let limit = bounds.max_bytes.min(handle.max_body_bytes());
    if bounds.declared.is_some_and(|length| length > limit as u64) {
        return Err(refuse(monitor, BodyError::TooLarge));
    }
    handle.set_phase(ConnectionPhase::Receiving);
    let reader = BodyReader { source, handle, limit };
    let declared = bounds.declared.and_then(|length| usize::try_from(length).ok());
    let received = timeout(bounds.timeout, reader.receive(declared)).await;
    handle.set_phase(ConnectionPhase::Working);
    received.unwrap_or(Err(BodyError::Late)).map_err(|error| refuse(monitor, error))
}

/// Counts a body that is not received, and lets its client read the response.
fn refuse(monitor: &RequestMonitor, error: BodyError) -> BodyError {
    match error {
        BodyError::TooLarge => monitor.handle().record(ClientEvent::BodyTooLarge),
        BodyError::Late => monitor.handle().record(ClientEvent::BodyLate),
        // The gate has counted the first; the second is a client that went away.
        BodyError::NoSpace | BodyError::Incomplete => {}
    }
    monitor.linger();
    error
}

/// How far a body has been read.
enum Progress<D> {
    Complete,
    /// The next data would make it larger than the limit.
    Full(D),
}

/// Reads one body.
struct BodyReader<'a, S> {
    source: S,
    handle: &'a ConnectionHandle,
    limit: usize,
}

impl<S: BodySource> BodyReader<'_, S> {
    async fn receive(mut self, declared: Option<usize>) -> Result<ReceivedBody, BodyError> {
        match declared {
            Some(length) => {
                let guard = admit(self.handle, length).await?;
                self.finish(guard, BodyPieces::default(), length).await
            }
            None => self.receive_unknown().await,
        }
    }

    /// Receives a body of unknown size.
    async fn receive_unknown(&mut self) -> Result<ReceivedBody, BodyError> {
        let small_bytes = self.handle.small_body_bytes().min(self.limit);
        let small = admit(self.handle, small_bytes).await?;
        let mut pieces = BodyPieces::default();
        let Progress::Full(data) = self.collect(&small, &mut pieces, small_bytes).await? else {
            return finish(small, pieces);
        };
        if pieces.length + data.as_ref().len() > self.limit {
            return Err(BodyError::TooLarge);
        }
        // The first reservation is held until the larger one is there.
        let large = tokio::select! {
            biased;
            () = small.cut() => return Err(BodyError::NoSpace),
            large = admit(self.handle, self.limit) => large?,
        };
        pieces.extend(data.as_ref());
        drop((small, data));
        self.finish(large, pieces, self.limit).await
    }

    async fn finish(
        &mut self,
        guard: BodyGuard,
        mut pieces: BodyPieces,
        limit: usize,
    ) -> Result<ReceivedBody, BodyError> {
        match self.collect(&guard, &mut pieces, limit).await? {
            Progress::Complete => finish(guard, pieces),
            Progress::Full(_) => Err(BodyError::TooLarge),
        }
    }

    /// Reads until the body is complete or would be larger than `limit`.
    async fn collect(
        &mut self,
        guard: &BodyGuard,
        pieces: &mut BodyPieces,
        limit: usize,
    ) -> Result<Progress<S::Data>, BodyError> {
        loop {
            let data = tokio::select! {
                biased;
                () = guard.cut() => return Err(BodyError::NoSpace),
                data = poll_fn(|cx| self.source.poll_data(cx)) => data,
            };
            let Some(data) = data else { return Ok(Progress::Complete) };
            let data = data.map_err(|BrokenBody| BodyError::Incomplete)?;
            guard.record_progress();
            if pieces.length + data.as_ref().len() > limit {
                return Ok(Progress::Full(data));
            }
            pieces.extend(data.as_ref());
        }
    }
}

async fn admit(handle: &ConnectionHandle, bytes: usize) -> Result<BodyGuard, BodyError> {
    handle.admit_body(bytes).await.map_err(|_| BodyError::NoSpace)
}

fn finish(guard: BodyGuard, pieces: BodyPieces) -> Result<ReceivedBody, BodyError> {
    match guard.complete(pieces.length) {
        true => Ok(ReceivedBody { bytes: pieces.join(), guard }),
        false => Err(BodyError::NoSpace),
    }
}

/// The received part of a body.
#[derive(Debug, Default)]
struct BodyPieces {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    length: usize,
}

impl BodyPieces {
    /// Copies data, so that the connection can use its buffer again.
    fn extend(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            if self.last.len() == PIECE_BYTES {
                let next = Vec::with_capacity(PIECE_BYTES);
                self.full.push(std::mem::replace(&mut self.last, next));
            }
            let (now, later) = data.split_at(data.len().min(PIECE_BYTES - self.last.len()));
            self.last.extend_from_slice(now);
            data = later;
        }
    }

    fn join(self) -> Vec<u8> {
        if self.full.is_empty() {
            return self.last;
        }
        let mut bytes = Vec::with_capacity(self.length);
        for piece in self.full.into_iter().chain([self.last]) {
            bytes.extend_from_slice(&piece);
        }
        bytes
    }
}
