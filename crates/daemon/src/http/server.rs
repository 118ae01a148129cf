//! Accepts HTTP connections, within limits, and shuts them down gracefully.

use {
    super::{
        HttpShared,
        body::ClientConnection,
        path::check_path,
        stream::{CallerStream, WaitFlag},
    },
    bytes::Bytes,
    damaskrack_listen::{
        ClientEvent, ClientGate, ConnectionGuard, LimitedStream, RequestMonitor, StreamTimeouts,
        accept_until, serve_until,
    },
    damaskrack_model::{AnswerReason, WorkAnswer},
    gotham::{helpers::http::Body, router::Router, service::call_handler, state::State},
    http::{HeaderValue, Request, Response, header::CONNECTION},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// Maximum number of excess connections that are sent a refusal at a time; more are just closed.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Timeout for refusing a connection, in milliseconds.
const REFUSAL_TIMEOUT_MS: u64 = 500;
/// Time for which an idle connection is kept open once the daemon has stopped, in milliseconds.
const CLOSE_GRACE_MS: u64 = 150;
/// Timeout for writing responses once the daemon has stopped, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 3_000;

/// Maximum size of the headers of a request, in bytes. Ordinary ones have less than 1 KB.
const MAX_HEADER_BYTES: usize = 16_384;
/// Size of a connection's buffers, in bytes: the largest headers and some of a body. The default of hyper
/// is 417,792 bytes a connection and direction.
const BUFFER_BYTES: usize = MAX_HEADER_BYTES + 4_096;
/// Time after which a client that takes no byte of a response is disconnected, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 15_000;

/// Limits of a port.
#[derive(Debug, Clone)]
pub(crate) struct ServerLimits {
    /// Admits connections and bodies.
    pub(crate) gate: Arc<ClientGate>,
    /// Timeout for a request's headers to be complete.
    pub(crate) header_timeout: Duration,
}

/// The HTTP server of one port.
#[derive(Debug, Clone)]
pub(crate) struct HttpServer {
    pub(crate) router: Arc<RouterCell>,
    pub(crate) shared: HttpShared,
    pub(crate) limits: ServerLimits,
    /// Cancelled to end each connection as soon as its requests have been responded to.
    pub(crate) stop: CancellationToken,
}

/// Wraps a router to implement `Debug`, which gotham does not.
pub(crate) struct RouterCell(pub(crate) Router);

impl std::fmt::Debug for RouterCell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RouterCell")
    }
}

impl HttpServer {
    /// Serves until `stop` is cancelled and all connections have ended or timed out.
    pub(crate) async fn run(self, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        let mut refusals = JoinSet::new();
        accept_until(listener, &self.stop, &self.shared.logger, |socket, peer| {
            while tasks.try_join_next().is_some() {}
            while refusals.try_join_next().is_some() {}
            if let Some(guard) = self.limits.gate.admit(peer.ip()) {
                tasks.spawn(self.clone().serve(socket, peer, guard));
            } else {
                self.shared.metrics.count("http.connections_refused", 1);
                if refusals.len() < MAX_CONCURRENT_REFUSALS {
                    refusals.spawn(refuse(socket));
                }
            }
        })
        .await;
        let all = async { while tasks.join_next().await.is_some() {} };
        let _ = timeout(Duration::from_millis(DRAIN_TIMEOUT_MS), all).await;
    }

    /// Serves a connection until it ends, or is closed for another one.
    async fn serve(self, socket: TcpStream, peer: SocketAddr, guard: ConnectionGuard) {
        let _ = socket.set_nodelay(true);
        let flag = WaitFlag::default();
        let monitor = RequestMonitor::new(guard.handle());
        let timeouts = StreamTimeouts {
            header: self.limits.header_timeout,
            write: Duration::from_millis(WRITE_TIMEOUT_MS),
        };
        let stream = CallerStream::new(socket, flag.clone());
        let stream = LimitedStream::new(stream, monitor.clone(), timeouts);
        let service = service_fn(|request| self.handle(request, peer, &flag, &monitor));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_header_size(MAX_HEADER_BYTES)
            .max_buf_size(BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let served = serve_until(connection, &self.stop, Duration::from_millis(CLOSE_GRACE_MS));
        tokio::select! {
            served = served => match served {
                Err(error) if error.is_parse_too_large() => {
                    monitor.handle().record(ClientEvent::HeadersTooLarge);
                }
                // Any other failure concerns the client only.
                _ => {}
            },
            () = guard.cut() => {}
        }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        flag: &WaitFlag,
        monitor: &RequestMonitor,
    ) -> anyhow::Result<Response<Body>> {
        monitor.begin_request();
        let response = self.route(request, peer, flag, monitor).await;
        monitor.end_request();
        response
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        flag: &WaitFlag,
        monitor: &RequestMonitor,
    ) -> anyhow::Result<Response<Body>> {
        let mut response = match check_path(request.uri()) {
            Ok(()) => {
                let mut state = State::from_request(request, peer);
                state.put(self.shared.clone());
                state.put(flag.clone());
                state.put(ClientConnection(monitor.clone()));
                call_handler(self.router.0.clone(), AssertUnwindSafe(state)).await?
            }
            Err(refusal) => refusal.into_response(),
        };
        // A connection that is kept alive would be closed at exit, perhaps while the next request
        // is in transit.
        if self.shared.dispatcher.is_shutting_down() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

/// Sends a refusal to a connection beyond the limit without reading its request.
async fn refuse(socket: TcpStream) {
    let _ = timeout(Duration::from_millis(REFUSAL_TIMEOUT_MS), write_refusal(socket)).await;
}

async fn write_refusal(mut socket: TcpStream) -> std::io::Result<()> {
    let detail = "too many connections are open";
    let answer = WorkAnswer::refused(AnswerReason::Overloaded, detail);
    let body = Bytes::from(serde_json::to_vec(&answer).unwrap_or_default());
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).await?;
    socket.write_all(&body).await?;
    socket.shutdown().await?;
    // Closing with unread input would reset the connection before the client reads the response.
    let mut rest = [0; 1_024];
    while socket.read(&mut rest).await? > 0 {}
    Ok(())
}
