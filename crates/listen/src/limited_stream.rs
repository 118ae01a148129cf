//! A connection that bounds the time for headers and for unread responses.
//!
//! hyper has one timeout for headers, which also bounds how long a connection may be idle, and none for
//! writing.

use {
    crate::{ClientEvent, ConnectionHandle, ConnectionPhase},
    std::{
        future::Future,
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::{Sleep, sleep},
    },
};

/// Longest time for which what a client still sends is read after its request was refused, in
/// milliseconds. Closing a connection with unread data could lose the response.
const LINGER_MS: u64 = 500;
/// The most that is read then, in bytes: some bodies of the largest size.
const LINGER_BYTES: usize = 1 << 20;
/// Size of the buffer for reading it, in bytes.
const LINGER_BUFFER_BYTES: usize = 4_096;

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct StreamTimeouts {
    /// From the first byte of a request to the end of its headers.
    pub header: Duration,
    /// For any byte of a response to be taken.
    pub write: Duration,
}

/// What the requests of a connection tell its stream.
#[derive(Debug, Clone)]
pub struct RequestMonitor {
    handle: ConnectionHandle,
    shared: Arc<MonitorState>,
}

#[derive(Debug, Default)]
struct MonitorState {
    /// Number of requests whose headers are complete.
    requests: AtomicU64,
    is_working: AtomicBool,
    is_lingering: AtomicBool,
}

impl RequestMonitor {
    /// Creates a monitor of a connection without requests.
    #[must_use]
    pub fn new(handle: ConnectionHandle) -> Self {
        Self { handle, shared: Arc::default() }
    }

    /// Returns the handle of the connection.
    #[must_use]
    pub fn handle(&self) -> &ConnectionHandle {
        &self.handle
    }

    /// Records that the headers of a request are complete.
    pub fn begin_request(&self) {
        self.shared.requests.fetch_add(1, Ordering::Relaxed);
        self.shared.is_working.store(true, Ordering::Relaxed);
        self.handle.set_phase(ConnectionPhase::Working);
    }

    /// Records that the response to a request is being sent.
    pub fn end_request(&self) {
        self.shared.is_working.store(false, Ordering::Relaxed);
        self.handle.set_phase(ConnectionPhase::Waiting);
    }

    /// Makes the connection read some of what the client still sends before it is closed.
    pub fn linger(&self) {
        self.shared.is_lingering.store(true, Ordering::Relaxed);
    }
}

/// Time until which the headers of a request must be complete.
#[derive(Debug)]
struct HeaderDue {
    /// Number of requests before this one.
    request: u64,
    timer: Pin<Box<Sleep>>,
}

/// What is left of a lingering close.
#[derive(Debug)]
struct Linger {
    remaining: usize,
    timer: Pin<Box<Sleep>>,
}

/// A connection with timeouts.
#[derive(Debug)]
pub struct LimitedStream<S> {
    inner: S,
    monitor: RequestMonitor,
    timeouts: StreamTimeouts,
    header_due: Option<HeaderDue>,
    write_due: Option<Pin<Box<Sleep>>>,
    linger: Option<Linger>,
}

impl<S> LimitedStream<S> {
    /// Wraps a connection.
    pub fn new(inner: S, monitor: RequestMonitor, timeouts: StreamTimeouts) -> Self {
        Self { inner, monitor, timeouts, header_due: None, write_due: None, linger: None }
    }

    /// Starts the timeout of a request's headers with its first bytes.
    fn record_read(&mut self) {
        let shared = &self.monitor.shared;
        if shared.is_working.load(Ordering::Relaxed) {
            return;
        }
        let request = shared.requests.load(Ordering::Relaxed);
        if self.header_due.as_ref().is_none_or(|due| due.request != request) {
            let timer = Box::pin(sleep(self.timeouts.header));
            self.header_due = Some(HeaderDue { request, timer });
        }
    }

    fn poll_header_due(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let shared = &self.monitor.shared;
        let request = shared.requests.load(Ordering::Relaxed);
        match &mut self.header_due {
            Some(due) if due.request == request => due.timer.as_mut().poll(cx),
            _ => Poll::Pending,
        }
    }

    /// Bounds how long a write may make no progress.
    fn bound_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_due = None;
            return written;
        }
        let limit = self.timeouts.write;
        let timer = self.write_due.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        self.monitor.handle.record(ClientEvent::ResponseUnread);
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> LimitedStream<S> {
    /// Reads and drops what the client still sends, within bounds.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            remaining: LINGER_BYTES,
            timer: Box::pin(sleep(Duration::from_millis(LINGER_MS))),
        });
        if linger.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut space = [0; LINGER_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buffer));
            let length = buffer.filled().len();
            if read.is_err() || length == 0 || length > linger.remaining {
                return Poll::Ready(());
            }
            linger.remaining -= length;
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.record_read();
        }
        if read.is_ready() {
            return read;
        }
        ready!(self.poll_header_due(cx));
        self.monitor.handle.record(ClientEvent::HeadersLate);
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.bound_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.bound_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
        if self.monitor.shared.is_lingering.load(Ordering::Relaxed) {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
