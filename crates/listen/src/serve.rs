//! Serves a connection until shutdown.

use {
    hyper_util::server::graceful::GracefulConnection, std::time::Duration, tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Serves a connection until it ends. After `stop` is cancelled, serves it for another `grace`,
/// because a request may be in flight on a connection that looks idle, and then closes it after the
/// response in progress.
///
/// # Errors
///
/// Returns why the connection failed, which concerns its client only.
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
///     serve_until(connection, &stop, Duration::from_millis(1)).await.is_ok()
/// });
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn serve_until<C: GracefulConnection>(
    connection: C,
    stop: &CancellationToken,
    grace: Duration,
) -> Result<(), C::Error> {
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return result,
        () = stop.cancelled() => {}
    }
    tokio::select! {
        result = connection.as_mut() => return result,
        () = sleep(grace) => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
