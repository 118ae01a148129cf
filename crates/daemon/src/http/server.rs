//! Accepts connections, within limits, and lets them end gracefully.

use {
    super::{
        HttpShared,
        path::check_path,
        stream::{CallerStream, WaitFlag},
    },
    bytes::Bytes,
    damaskrack_listen::{accept_until, serve_until},
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

/// Connections beyond the bound that are refused with an answer at a time; more are just closed.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Longest time to refuse a connection, in milliseconds.
const REFUSAL_TIMEOUT_MS: u64 = 500;
/// Time for which an idle connection is kept once the daemon has stopped, in milliseconds.
const CLOSE_GRACE_MS: u64 = 150;
/// Longest time for answers to be written once the daemon has stopped, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 3_000;

/// Bounds of a port.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLimits {
    /// Most open connections.
    pub(crate) connections: usize,
    /// Longest time until a request's headers are complete.
    pub(crate) header_timeout: Duration,
}

/// One port.
#[derive(Debug, Clone)]
pub(crate) struct HttpServer {
    pub(crate) router: Arc<OpaqueRouter>,
    pub(crate) shared: HttpShared,
    pub(crate) limits: ServerLimits,
    /// Cancelled when connections are to end as soon as their requests are answered.
    pub(crate) stop: CancellationToken,
}

/// A router, which cannot be shown.
pub(crate) struct OpaqueRouter(pub(crate) Router);

impl std::fmt::Debug for OpaqueRouter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OpaqueRouter")
    }
}

impl HttpServer {
    /// Serves until it is stopped and its connections have ended.
    pub(crate) async fn run(self, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        let mut refusals = JoinSet::new();
        accept_until(listener, &self.stop, &self.shared.logger, |socket, peer| {
            while tasks.try_join_next().is_some() {}
            while refusals.try_join_next().is_some() {}
            if tasks.len() < self.limits.connections {
                tasks.spawn(self.clone().serve(socket, peer));
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

    async fn serve(self, socket: TcpStream, peer: SocketAddr) {
        let _ = socket.set_nodelay(true);
        let flag = WaitFlag::default();
        let stream = TokioIo::new(CallerStream::new(socket, flag.clone()));
        let service = service_fn(|request| self.handle(request, peer, &flag));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .serve_connection(stream, service);
        serve_until(connection, &self.stop, Duration::from_millis(CLOSE_GRACE_MS)).await;
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        flag: &WaitFlag,
    ) -> anyhow::Result<Response<Body>> {
        let mut response = match check_path(request.uri()) {
            Ok(()) => {
                let mut state = State::from_request(request, peer);
                state.put(self.shared.clone());
                state.put(flag.clone());
                call_handler(self.router.0.clone(), AssertUnwindSafe(state)).await?
            }
            Err(refusal) => refusal.into_response(),
        };
        // A kept connection would be closed at exit, perhaps with the next request on its way.
        if self.shared.dispatcher.is_shutting_down() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

/// Answers a connection beyond the bound without reading its request.
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
    // Unread input would reset the connection before the answer is read.
    let mut rest = [0; 1_024];
    while socket.read(&mut rest).await? > 0 {}
    Ok(())
}
