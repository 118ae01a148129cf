//! A scripted core, an unavailable platform and a raw HTTP client.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

pub mod program;

use {
    damaskrack_daemon::{
        DaemonConfig, DaemonLog, DaemonServer, IntervalSettings, LimitSettings, NodeCore,
        OperatorKey, PlatformLinks,
    },
    damaskrack_manifest::make_key,
    damaskrack_model::{AnswerReason, ClockTime, OutcomeKind, WorkAnswer},
    damaskrack_node::{CallerRequest, NodeAction, NodeInput, OperatorRequest},
    damaskrack_outside::{
        HostList, HostRow, PlatformStore, StoreCall, StoreError, StoreReply, WorkerCall,
        WorkerClient, WorkerError, WorkerReply,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

/// Key of the tests' operators.
pub const OPERATOR_KEY: &str = "ops.0123456789abcdef";
/// Timeout of every wait in the tests.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle by which a test observes and controls a scripted core.
#[derive(Debug, Clone, Default)]
pub struct CoreProbe {
    inputs: Arc<Mutex<Vec<NodeInput>>>,
    actions: Arc<Mutex<Vec<NodeAction>>>,
    is_unready: Arc<AtomicBool>,
}

impl CoreProbe {
    /// Makes the core return an action in its next tick.
    pub fn act(&self, action: NodeAction) {
        self.actions.lock().unwrap().push(action);
    }

    pub fn set_ready(&self, is_ready: bool) {
        self.is_unready.store(!is_ready, Ordering::Release);
    }

    pub fn inputs(&self) -> Vec<NodeInput> {
        self.inputs.lock().unwrap().clone()
    }

    pub fn count(&self, is_wanted: impl Fn(&NodeInput) -> bool) -> usize {
        self.inputs.lock().unwrap().iter().filter(|input| is_wanted(input)).count()
    }

    /// Waits until `count` inputs of a kind have arrived.
    pub async fn wait_for(&self, count: usize, is_wanted: impl Fn(&NodeInput) -> bool) {
        let due = Instant::now() + TEST_TIMEOUT;
        while self.count(&is_wanted) < count {
            assert!(Instant::now() < due, "only {:?}", self.inputs());
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the call numbers of the callers' requests that have arrived.
    pub fn caller_calls(&self) -> Vec<u64> {
        let number = |input: &NodeInput| match input {
            NodeInput::Caller { call, .. } => Some(*call),
            _ => None,
        };
        self.inputs().iter().filter_map(number).collect()
    }

    /// Returns the number of submissions that have arrived.
    pub fn submits(&self) -> usize {
        self.count(is_submit)
    }
}

pub fn is_submit(input: &NodeInput) -> bool {
    matches!(input, NodeInput::Caller { request: CallerRequest::Submit { .. }, .. })
}

type CoreScript = Box<dyn FnMut(&NodeInput) -> Vec<NodeAction> + Send>;

/// A core whose actions come from a script.
pub struct ScriptedCore {
    probe: CoreProbe,
    script: CoreScript,
}

impl NodeCore for ScriptedCore {
    fn tick(&mut self, _: ClockTime, inputs: Vec<NodeInput>) -> Vec<NodeAction> {
        let mut actions = std::mem::take(&mut *self.probe.actions.lock().unwrap());
        for input in inputs {
            actions.extend((self.script)(&input));
            self.probe.inputs.lock().unwrap().push(input);
        }
        actions
    }

    fn is_ready(&self) -> bool {
        !self.probe.is_unready.load(Ordering::Acquire)
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "scripted": true })
    }
}

/// Responds to each submission with its payload and exits on a shutdown.
pub fn echo_script(input: &NodeInput) -> Vec<NodeAction> {
    match input {
        NodeInput::Caller { call, request } => vec![echo_answer(*call, request)],
        NodeInput::Operator { call, request } => vec![operator_answer(*call, request)],
        NodeInput::Shutdown => vec![NodeAction::Exit],
        _ => Vec::new(),
    }
}

pub fn echo_answer(call: u64, request: &CallerRequest) -> NodeAction {
    let detail = match request {
        CallerRequest::Submit { spec, .. } => spec.payload.clone(),
        CallerRequest::Query { job, .. } | CallerRequest::Cancel { job, .. } => job.to_string(),
    };
    let answer = WorkAnswer::new(OutcomeKind::Done, AnswerReason::Ok, &detail);
    NodeAction::CallerAnswer { call, answer }
}

fn operator_answer(call: u64, request: &OperatorRequest) -> NodeAction {
    let (version, answer) = match request {
        OperatorRequest::ManifestPut { base: 1, .. } => {
            (2, WorkAnswer::new(OutcomeKind::Done, AnswerReason::Ok, "accepted"))
        }
        OperatorRequest::ManifestPut { .. } => {
            (1, WorkAnswer::refused(AnswerReason::Conflict, "the manifest has version 1"))
        }
        OperatorRequest::ManifestGet => {
            (1, WorkAnswer::new(OutcomeKind::Done, AnswerReason::Ok, r#"{"teams":[]}"#))
        }
    };
    NodeAction::OperatorAnswer { call, version, answer }
}

/// A platform on which every call fails.
#[derive(Debug)]
pub struct UnavailablePlatform;

#[async_trait::async_trait]
impl PlatformStore for UnavailablePlatform {
    async fn call(&self, _: &StoreCall, _: u64) -> Result<StoreReply, StoreError> {
        Err(StoreError::Unavailable)
    }
}

#[async_trait::async_trait]
impl HostList for UnavailablePlatform {
    async fn read(&self, _: u64) -> Option<Vec<HostRow>> {
        None
    }
}

#[async_trait::async_trait]
impl WorkerClient for UnavailablePlatform {
    async fn call(
        &self,
        _: SocketAddr,
        _: &WorkerCall,
        _: u64,
    ) -> Result<WorkerReply, WorkerError> {
        Err(WorkerError::Unreachable)
    }
}

pub fn unavailable_platform() -> PlatformLinks {
    let platform = Arc::new(UnavailablePlatform);
    PlatformLinks { store: platform.clone(), hosts: platform.clone(), workers: platform }
}

/// Returns a configuration with short timeouts and small limits.
pub fn test_config(member: &str) -> DaemonConfig {
    let key = make_key(
        &"ops".parse().unwrap(),
        &"operators".parse().unwrap(),
        "0123456789abcdef",
        &[7; 16],
    );
    DaemonConfig::new(member.parse().unwrap(), "zone-a".parse().unwrap())
        .with_operator_key(OperatorKey { name: key.name, salt: key.salt, hash: key.hash })
        .with_intervals(IntervalSettings {
            link_silence_ms: 400,
            header_timeout_ms: 400,
            body_timeout_ms: 400,
            shutdown_ms: 5_000,
            ..IntervalSettings::default()
        })
        .with_limits(LimitSettings { body_bytes: 2_048, ..LimitSettings::default() })
}

/// Starts a daemon with a scripted core.
pub async fn start_with(
    config: DaemonConfig,
    script: impl FnMut(&NodeInput) -> Vec<NodeAction> + Send + 'static,
) -> (DaemonServer, CoreProbe) {
    let probe = CoreProbe::default();
    let core = ScriptedCore { probe: probe.clone(), script: Box::new(script) };
    let logger = DaemonLog::discard().logger;
    let server =
        DaemonServer::start_with_core(config, logger, unavailable_platform(), |_| Box::new(core))
            .await
            .unwrap();
    (server, probe)
}

/// Starts a daemon that responds to each submission with its payload.
pub async fn start_echo() -> (DaemonServer, CoreProbe) {
    start_with(test_config("entry-1"), echo_script).await
}

/// A response as read from the socket.
#[derive(Debug, Clone)]
pub struct RawResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl RawResponse {
    /// Skips interim responses and splits the final one.
    fn parse(text: &str) -> Option<Self> {
        let (head, rest) = text.split_once("\r\n\r\n")?;
        let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
        if status < 200 {
            return Self::parse(rest);
        }
        Some(Self { status, head: head.to_lowercase(), body: rest.to_owned() })
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not JSON: {self:?}"))
    }

    /// Asserts that it is a refusal in the common JSON form, with `part` in its detail.
    pub fn assert_refusal(&self, status: u16, part: &str) {
        assert_eq!(self.status, status, "{self:?}");
        assert_eq!(self.json()["outcome"], "not_run", "{self:?}");
        assert!(self.json()["detail"].as_str().unwrap().contains(part), "{self:?}");
    }
}

/// Reads until the server closes the connection; `None` if there is no complete response.
pub async fn read_response(socket: &mut TcpStream) -> Option<RawResponse> {
    let mut bytes = Vec::new();
    let _ = timeout(TEST_TIMEOUT, socket.read_to_end(&mut bytes))
        .await
        .expect("the connection was not closed in time");
    RawResponse::parse(&String::from_utf8(bytes).unwrap())
}

/// Sends bytes and reads the response.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Option<RawResponse> {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let _ = socket.write_all(bytes).await;
    read_response(&mut socket).await
}

/// Creates a request whose connection is closed after the response.
pub fn request_bytes(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         content-length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends a request and reads the response.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> RawResponse {
    let bytes = request_bytes(method, path, headers, body.as_bytes());
    send_raw(address, &bytes).await.expect("no response")
}

/// Sends a request to a daemon that may be down; `None` if the connection ended without a complete
/// response.
pub async fn try_send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<Option<RawResponse>> {
    let mut socket = TcpStream::connect(address).await?;
    let bytes = request_bytes(method, path, headers, body.as_bytes());
    if socket.write_all(&bytes).await.is_err() {
        return Ok(None);
    }
    Ok(read_response(&mut socket).await)
}

/// Submits a request that waits for its result.
pub async fn post(address: SocketAddr, body: &str) -> RawResponse {
    send(address, "POST", "/v1/requests", "", body).await
}

/// Returns a request body with this payload.
pub fn work_body(payload: &str) -> String {
    serde_json::json!({ "queue": "checks", "payload": payload }).to_string()
}
