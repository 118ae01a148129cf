//! Accepts connections until shutdown.

use {
    crate::syn_filter::drop_new_syns,
    slog::{Logger, warn},
    std::{
        io::{self, ErrorKind},
        net::{self, SocketAddr},
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
};

/// Delay before retrying after a failed accept, such as a lack of file descriptors, in
/// milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;
/// Interval of log lines about failed accepts, in seconds.
const ACCEPT_LOG_INTERVAL_S: u64 = 10;
/// Time for handshakes in progress to complete, in milliseconds. A handshake that found the accept
/// queue full completes with its client's first retransmission, after 200 ms.
const HANDSHAKE_WAIT_MS: u64 = 300;

/// Passes every connection to `handle` until `stop` is cancelled, then closes the listener without
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
///     let mut accepted = 0;
///     let logger = slog::Logger::root(slog::Discard, slog::o!());
///     accept_until(listener, &stop, &logger, |_, _| accepted += 1).await;
///     assert_eq!(accepted, 1);
///     Ok::<_, std::io::Error>(())
/// })?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn accept_until(
    listener: TcpListener,
    stop: &CancellationToken,
    logger: &Logger,
    mut handle: impl FnMut(TcpStream, SocketAddr),
) {
    let mut logged: Option<Instant> = None;
    let log_interval = Duration::from_secs(ACCEPT_LOG_INTERVAL_S);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, peer)) => handle(socket, peer),
                Err(error) => {
                    if logged.is_none_or(|logged| logged.elapsed() >= log_interval) {
                        logged = Some(Instant::now());
                        warn!(logger, "accept_failed"; "error" => %error);
                    }
                    sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }
    if let Err(error) = drain_and_close(listener, &mut handle).await {
        warn!(logger, "listener_closed_at_once"; "error" => %error);
    }
}

/// Accepts the queued connections and those that handshakes in progress add, then closes the
/// listener.
async fn drain_and_close(
    listener: TcpListener,
    handle: &mut impl FnMut(TcpStream, SocketAddr),
) -> io::Result<()> {
    drop_new_syns(&listener)?;
    // The runtime's listener may report an empty queue before it has polled the socket.
    let listener = listener.into_std()?;
    accept_queued(&listener, handle)?;
    sleep(Duration::from_millis(HANDSHAKE_WAIT_MS)).await;
    accept_queued(&listener, handle)
}

fn accept_queued(
    listener: &net::TcpListener,
    handle: &mut impl FnMut(TcpStream, SocketAddr),
) -> io::Result<()> {
    loop {
        match listener.accept() {
            Ok((socket, peer)) => {
                socket.set_nonblocking(true)?;
                handle(TcpStream::from_std(socket)?, peer);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}
