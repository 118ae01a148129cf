//! A fake daemon with scripted responses, and helpers that run the tool.

use {
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::{Bytes, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        net::SocketAddr,
        process::{Command, Stdio},
        sync::{Arc, Mutex},
        thread,
    },
    tokio::{net::TcpListener, runtime::Builder},
};

/// A request that the fake daemon received.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedRequest {
    /// Method and path, such as `GET /v1/state`.
    pub(crate) request_line: String,
    pub(crate) authorization: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: String,
}

/// HTTP status and body of a response; `None` closes the connection without a response.
pub(crate) type FakeResponse = Option<(u16, String)>;

/// A fake daemon on its own loopback port.
#[derive(Debug)]
pub(crate) struct FakeDaemon {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeDaemon {
    /// Starts a daemon; `respond` gets each request and the number of requests before it.
    pub(crate) fn start(
        respond: impl Fn(&ReceivedRequest, usize) -> FakeResponse + Send + Sync + 'static,
    ) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a socket option");
        let address = listener.local_addr().expect("an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let handler =
            Arc::new(FakeHandler { respond: Box::new(respond), received: received.clone() });
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(serve(listener, handler));
        });
        Self { address, received }
    }

    /// Starts a daemon that sends the same response to every request.
    pub(crate) fn responding_with(status: u16, body: &str) -> Self {
        let body = body.to_owned();
        Self::start(move |_, _| Some((status, body.clone())))
    }

    /// Returns the requests received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("no panic in the daemon").clone()
    }

    /// Returns the method and path of each request received so far.
    pub(crate) fn request_lines(&self) -> Vec<String> {
        self.received().into_iter().map(|request| request.request_line).collect()
    }
}

type ResponseFn = dyn Fn(&ReceivedRequest, usize) -> FakeResponse + Send + Sync;

struct FakeHandler {
    respond: Box<ResponseFn>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

async fn serve(listener: std::net::TcpListener, handler: Arc<FakeHandler>) {
    let listener = TcpListener::from_std(listener).expect("a listener");
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| handle_request(request, handler.clone()));
            // Closing the connection without a response is an error here.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle_request(
    request: Request<Incoming>,
    handler: Arc<FakeHandler>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.expect("a body").to_bytes();
    let header = |name: &str| {
        parts.headers.get(name).map(|value| value.to_str().expect("UTF-8 text").to_owned())
    };
    let request = ReceivedRequest {
        request_line: format!("{} {}", parts.method, parts.uri.path()),
        authorization: header("authorization"),
        idempotency_key: header("idempotency-key"),
        body: String::from_utf8(body.to_vec()).expect("UTF-8 text"),
    };
    let count = {
        let mut received = handler.received.lock().expect("no panic in the daemon");
        received.push(request.clone());
        received.len() - 1
    };
    match (handler.respond)(&request, count) {
        Some((status, body)) => {
            let response = Response::builder().status(status).body(Full::from(body));
            Ok(response.expect("a response"))
        }
        None => Err(std::io::Error::other("closed without a response")),
    }
}

/// Exit code and output of a run of the tool.
#[derive(Debug)]
pub(crate) struct ToolRun {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Runs the tool with only the given environment variables.
pub(crate) fn run_tool(args: &[&str], variables: &[(&str, &str)]) -> ToolRun {
    let output = Command::new(env!("CARGO_BIN_EXE_damaskrack"))
        .args(args)
        .env_clear()
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .output()
        .expect("the tool runs");
    ToolRun {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).expect("UTF-8 text"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8 text"),
    }
}

/// Runs the tool with a key and with one daemon as both caller and operator address.
pub(crate) fn run_against(daemon: &FakeDaemon, args: &[&str]) -> ToolRun {
    let address = daemon.address.to_string();
    run_tool(
        args,
        &[
            ("DAMASKRACK_ADDRESS", &address),
            ("DAMASKRACK_OPERATOR_ADDRESS", &address),
            ("DAMASKRACK_KEY", "office.s3cret"),
        ],
    )
}
