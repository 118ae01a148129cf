//! A TCP stream that can be silenced or closed without a response.
//!
//! A silent stream still reads and discards incoming data, like a middlebox that has lost the
//! connection's state, and so detects when its client disconnects.

use {
    futures_util::task::AtomicWaker,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Size of the buffer for data that a silent stream discards, in bytes.
const SCRATCH_BYTES: usize = 4_096;

/// State of a connection; it only ever advances to a later variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ConnectionMode {
    /// Passes data through.
    Open = 0,
    /// Discards data in both directions, permanently.
    Silent = 1,
    /// Ends without sending another byte.
    Closed = 2,
}

/// Sets the mode of a connection from outside the task that serves it.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSwitch {
    mode: AtomicU8,
    reader: AtomicWaker,
}

impl ConnectionSwitch {
    pub(crate) fn set(&self, mode: ConnectionMode) {
        self.mode.fetch_max(mode as u8, Ordering::AcqRel);
        self.reader.wake();
    }

    fn mode(&self) -> ConnectionMode {
        match self.mode.load(Ordering::Acquire) {
            0 => ConnectionMode::Open,
            1 => ConnectionMode::Silent,
            _ => ConnectionMode::Closed,
        }
    }
}

/// A stream with its switch and a guard that is dropped with it.
#[derive(Debug)]
pub(crate) struct GatedStream<G> {
    stream: TcpStream,
    switch: Arc<ConnectionSwitch>,
    _guard: G,
}

impl<G> GatedStream<G> {
    pub(crate) fn new(stream: TcpStream, switch: Arc<ConnectionSwitch>, guard: G) -> Self {
        Self { stream, switch, _guard: guard }
    }

    /// Reads and discards data until the peer closes the connection.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [0; SCRATCH_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<G: Unpin> AsyncRead for GatedStream<G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.switch.reader.register(cx.waker());
        match self.switch.mode() {
            ConnectionMode::Open => Pin::new(&mut self.stream).poll_read(cx, buf),
            ConnectionMode::Silent => self.poll_discard(cx),
            ConnectionMode::Closed => Poll::Ready(Ok(())),
        }
    }
}

impl<G: Unpin> AsyncWrite for GatedStream<G> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.switch.mode() {
            ConnectionMode::Open => Pin::new(&mut self.stream).poll_write(cx, buf),
            ConnectionMode::Silent => Poll::Ready(Ok(buf.len())),
            ConnectionMode::Closed => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
