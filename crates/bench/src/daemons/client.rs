//! Callers, and the balancer that chooses a daemon for them.

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
const RUN_MS: u64 = 20;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for an operator's call.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum CallEnd {
    Done,
    /// Refused as not run.
    NotRun,
    /// Answered as failed or unknown, or with another status.
    Other,
    /// No answer in time.
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

    /// Tells the balancer whether a daemon is to get requests.
    pub(super) fn set_live(&self, index: usize, is_live: bool) {
        if let Some(flag) = self.live.get(index) {
            flag.store(is_live, Ordering::Relaxed);
        }
    }

    pub(super) fn is_live(&self, index: usize) -> bool {
        self.live.get(index).is_some_and(|flag| flag.load(Ordering::Relaxed))
    }

    fn choose(&self) -> SocketAddr {
        let count = self.addresses.len();
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let order = (start..start + count).map(|index| index % count);
        let live = order.clone().find(|&index| self.is_live(index));
        self.addresses[live.unwrap_or(start % count)]
    }

    /// Hands in a request for a team and waits for its answer.
    pub(super) async fn request(&self, team: usize, limit: Duration) -> CallEnd {
        let body = json!({
            "queue": format!("queue-{team}"),
            "resources": { "millicores": 500, "memory_bytes": 64 << 20, "accelerators": 0 },
            "idempotent": true,
            "expected_ms": RUN_MS,
            "payload": format!("{{\"run_ms\":{RUN_MS},\"output\":\"clear\"}}"),
        });
        let address = self.choose();
        let key = caller_key(team);
        let call = self.call(Method::POST, address, "/v1/requests", &key, body.to_string());
        match timeout(limit, call).await {
            Err(_) => CallEnd::Late,
            Ok(Err(_)) => CallEnd::Broken,
            Ok(Ok((_, text))) => read_end(&text),
        }
    }

    /// Reads JSON from an operator's port.
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

    /// Sends JSON to an operator's port.
    pub(super) async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        body: String,
    ) -> Result<()> {
        let call = self.call(Method::PUT, address, path, key, body);
        let (is_good, text) = timeout(OPERATOR_TIMEOUT, call).await??;
        if is_good { Ok(()) } else { bail!("refused: {text}") }
    }

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
        let is_good = response.status().is_success();
        let bytes = response.into_body().collect().await?.to_bytes();
        Ok((is_good, String::from_utf8_lossy(&bytes).into_owned()))
    }
}

fn read_end(text: &str) -> CallEnd {
    let answer: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    match answer.get("outcome").and_then(Value::as_str) {
        Some("done") => CallEnd::Done,
        Some("not_run") => CallEnd::NotRun,
        _ => CallEnd::Other,
    }
}
