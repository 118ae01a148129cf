//! Distinguishes a caller that has disconnected from one that has only closed its sending side.
//!
//! Both look the same to a reader: the stream reaches its end. A caller with a half-closed
//! connection still waits for its response and must get it, while work of a disconnected caller
//! should not be started. HTTP/1.1 allows any number of interim responses before the final one, so
//! while a request waits an interim response is written at an interval: a host whose connection is
//! closed resets it, and the next write fails.

use {
    gotham::state::StateData,
    http::Version,
    std::{
        future::Future,
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Instant, Sleep, sleep},
    },
};

/// The interim response that probes the connection.
const PROBE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
/// Interval of interim responses, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 200;

/// No request is waiting: the end of the stream ends the connection.
const IDLE: u8 = 0;
/// A request is waiting for its response.
const WAITING: u8 = 1;
/// A request of a protocol version without interim responses is waiting for its response.
const WAITING_WITHOUT_PROBES: u8 = 2;

/// Whether a request of a connection has been received completely and waits for its response.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitFlag(Arc<AtomicU8>);

impl StateData for WaitFlag {}

/// Clears the flag when dropped.
#[derive(Debug)]
pub(crate) struct WaitGuard<'a>(&'a WaitFlag);

impl WaitFlag {
    /// Sets the flag until the guard is dropped.
    pub(crate) fn begin_wait(&self, version: Version) -> WaitGuard<'_> {
        let state = if version == Version::HTTP_11 { WAITING } else { WAITING_WITHOUT_PROBES };
        self.0.store(state, Ordering::Release);
        WaitGuard(self)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.0.store(IDLE, Ordering::Release);
    }
}

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    inner: TcpStream,
    flag: WaitFlag,
    is_eof: bool,
    probe_due: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Wraps a connection whose waiting requests set `flag`.
    pub(crate) fn new(inner: TcpStream, flag: WaitFlag) -> Self {
        Self { inner, flag, is_eof: false, probe_due: Box::pin(sleep(Duration::ZERO)) }
    }

    fn poll_after_eof(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            match self.flag.0.load(Ordering::Acquire) {
                WAITING => {}
                WAITING_WITHOUT_PROBES => return Poll::Pending,
                _ => return Poll::Ready(Ok(())),
            }
            ready!(self.probe_due.as_mut().poll(cx));
            let next = Instant::now() + Duration::from_millis(PROBE_INTERVAL_MS);
            self.probe_due.as_mut().reset(next);
            match self.inner.try_write(PROBE) {
                Ok(written) if written == PROBE.len() => {}
                Ok(_) => return Poll::Ready(Err(ErrorKind::ConnectionReset.into())),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_eof {
            return self.poll_after_eof(cx);
        }
        let before = buffer.filled().len();
        let had_capacity = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        if buffer.filled().len() > before || !had_capacity {
            return Poll::Ready(Ok(()));
        }
        self.is_eof = true;
        self.poll_after_eof(cx)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
