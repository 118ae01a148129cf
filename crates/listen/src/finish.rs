//! The end of a connection.

use {
    hyper_util::server::graceful::GracefulConnection, std::time::Duration, tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Serves a connection until it ends. Once `stop` is cancelled it is served for `grace` longer, as a
/// request may be on its way on a connection that looks idle, and then ends with the answer that is
/// under way.
///
/// A connection that fails concerns its client only, so how it ends is not told.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_listen::serve_until,
///     hyper::{Response, server::conn::http1, service::service_fn},
///     hyper_util::rt::TokioIo,
///     std::{convert::Infallible, time::Duration},
///     tokio_util::sync::CancellationToken,
/// };
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
/// runtime.block_on(async {
///     let (_client, server) = tokio::io::duplex(64);
///     let service = service_fn(|_| async { Ok::<_, Infallible>(Response::new(String::new())) });
///     let connection = http1::Builder::new().serve_connection(TokioIo::new(server), service);
///     let stop = CancellationToken::new();
///     stop.cancel();
///     serve_until(connection, &stop, Duration::from_millis(1)).await;
/// });
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn serve_until(
    connection: impl GracefulConnection,
    stop: &CancellationToken,
    grace: Duration,
) {
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => {}
    }
    tokio::select! {
        _ = connection.as_mut() => return,
        () = sleep(grace) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
