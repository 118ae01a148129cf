//! The life of a listener.

use {
    crate::quiet::refuse_new,
    slog::{Logger, warn},
    std::{
        io::{self, ErrorKind},
        net::{self, SocketAddr},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
};

/// Wait after a failure to accept, such as a lack of file descriptors, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// Time for handshakes that have begun to end, in milliseconds. One that found the queue full ends
/// with its client's first repetition, after 200 ms.
const HANDSHAKE_MS: u64 = 300;

/// Hands every connection to `take` until `stop` is cancelled, then closes the listener without
/// resetting a connection.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_listen::accept_until,
///     tokio::net::{TcpListener, TcpStream},
///     tokio_util::sync::CancellationToken,
/// };
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
/// runtime.block_on(async {
///     let listener = TcpListener::bind("127.0.0.1:0").await?;
///     let _client = TcpStream::connect(listener.local_addr()?).await?;
///     let stop = CancellationToken::new();
///     stop.cancel();
///     let mut taken = 0;
///     let logger = slog::Logger::root(slog::Discard, slog::o!());
///     accept_until(listener, &stop, &logger, |_, _| taken += 1).await;
///     assert_eq!(taken, 1);
///     Ok::<_, std::io::Error>(())
/// })?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn accept_until(
    listener: TcpListener,
    stop: &CancellationToken,
    logger: &Logger,
    mut take: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, peer)) => take(socket, peer),
                Err(error) => {
                    warn!(logger, "accept_failed"; "error" => %error);
                    sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }
    if let Err(error) = close_gently(listener, &mut take).await {
        warn!(logger, "listener_closed_at_once"; "error" => %error);
    }
}

/// Takes what is queued, and what the handshakes that have begun add to it.
async fn close_gently(
    listener: TcpListener,
    take: &mut impl FnMut(TcpStream, SocketAddr),
) -> io::Result<()> {
    refuse_new(&listener)?;
    // The runtime's listener may say that nothing is queued when it has only not looked yet.
    let listener = listener.into_std()?;
    take_queued(&listener, take)?;
    sleep(Duration::from_millis(HANDSHAKE_MS)).await;
    take_queued(&listener, take)
}

fn take_queued(
    listener: &net::TcpListener,
    take: &mut impl FnMut(TcpStream, SocketAddr),
) -> io::Result<()> {
    loop {
        match listener.accept() {
            Ok((socket, peer)) => {
                socket.set_nonblocking(true)?;
                take(TcpStream::from_std(socket)?, peer);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}
