//! HTTP client of the daemons with the load balancer that chooses a daemon for each request.

use {
    super::cell::caller_key,
    anyhow::{Result, bail},
    http::{
        Method, Request,
        header::{AUTHORIZATION, CONTENT_TYPE},
    },
    http_body_util::{BodyExt, Full},
    hyper::body::Bytes,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// Run time of a request on its worker, in milliseconds.
const REQUEST_RUN_MS: u64 = 20;

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call to the operator interface.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum CallOutcome {
    Done,
    /// The response says that the request was not run.
    NotRun,
    /// The response says failed or unknown, or cannot be read.
    Other,
    /// No response before the timeout.
    Late,
    /// The connection failed.
    Broken,
}

/// A client of all daemons, cheap to clone.
#[derive(Debug, Clone)]
pub(super) struct CellClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Arc<Vec<SocketAddr>>,
    live: Arc<Vec<AtomicBool>>,
    next: Arc<AtomicUsize>,
}

impl CellClient {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            live: Arc::new(addresses.iter().map(|_| AtomicBool::new(true)).collect()),
            addresses: Arc::new(addresses),
            next: Arc::default(),
        }
    }

    /// Sets whether the load balancer sends requests to a daemon.
    pub(super) fn set_live(&self, index: usize, is_live: bool) {
        if let Some(flag) = self.live.get(index) {
            flag.store(is_live, Ordering::Relaxed);
        }
    }

    pub(super) fn is_live(&self, index: usize) -> bool {
        self.live.get(index).is_some_and(|flag| flag.load(Ordering::Relaxed))
    }

    /// Chooses the next live daemon in round-robin order.
    fn choose(&self) -> SocketAddr {
        let count = self.addresses.len();
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let order = (start..start + count).map(|index| index % count);
        let live = order.clone().find(|&index| self.is_live(index));
        self.addresses[live.unwrap_or(start % count)]
    }

    /// Sends a request of a team and waits for its outcome.
    pub(super) async fn request(&self, team: usize, limit: Duration) -> CallOutcome {
        let body = json!({
            "queue": format!("queue-{team}"),
            "resources": { "millicores": 500, "memory_bytes": 64 << 20, "accelerators": 0 },
            "idempotent": true,
            "expected_ms": REQUEST_RUN_MS,
            "payload": format!("{{\"run_ms\":{REQUEST_RUN_MS},\"output\":\"clear\"}}"),
        });
        let address = self.choose();
        let key = caller_key(team);
        let call = self.call(Method::POST, address, "/v1/requests", &key, body.to_string());
        match timeout(limit, call).await {
            Err(_) => CallOutcome::Late,
            Ok(Err(_)) => CallOutcome::Broken,
            Ok(Ok((_, text))) => parse_outcome(&text),
        }
    }

    /// Gets JSON from the operator interface of a daemon.
    pub(super) async fn get_json(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
    ) -> Result<Value> {
        let call = self.call(Method::GET, address, path, key, String::new());
        let (_, text) = timeout(OPERATOR_TIMEOUT, call).await??;
        Ok(serde_json::from_str(&text)?)
    }

    /// Puts JSON to the operator interface of a daemon.
    pub(super) async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        body: String,
    ) -> Result<()> {
        let call = self.call(Method::PUT, address, path, key, body);
        let (is_success, text) = timeout(OPERATOR_TIMEOUT, call).await??;
        if is_success { Ok(()) } else { bail!("refused: {text}") }
    }

    /// Sends a request; returns whether its status is a success and the body of the response.
    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        key: &str,
        body: String,
    ) -> Result<(bool, String)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .body(Full::from(body))?;
        let response = self.client.request(request).await?;
        let is_success = response.status().is_success();
        let bytes = response.into_body().collect().await?.to_bytes();
        Ok((is_success, String::from_utf8_lossy(&bytes).into_owned()))
    }
}

fn parse_outcome(text: &str) -> CallOutcome {
    let response: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    match response.get("outcome").and_then(Value::as_str) {
        Some("done") => CallOutcome::Done,
        Some("not_run") => CallOutcome::NotRun,
        _ => CallOutcome::Other,
    }
}
