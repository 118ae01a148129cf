//! HTTP client of the callers and operators.

use {
    damaskrack_manifest::ManifestDocument,
    damaskrack_model::{AnswerReason, OutcomeKind},
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
    serde::{Deserialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Timeout of a call, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 30_000;

/// Outcome of a call.
#[derive(Debug)]
pub(crate) enum CallOutcome<T> {
    /// No connection was established; nothing was sent.
    Unreachable,
    /// The connection ended or the call timed out before a complete response.
    Broken,
    /// A complete response.
    Answered(T),
}

/// Parameters of an HTTP call.
#[derive(Debug)]
pub(crate) struct ApiCall<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) key: Option<&'a str>,
    pub(crate) idempotency_key: Option<&'a str>,
    pub(crate) body: String,
}

/// Response to a read of the manifest.
#[derive(Debug, Deserialize)]
pub(crate) struct ManifestResponse {
    pub(crate) version: u64,
    pub(crate) manifest: Option<ManifestDocument>,
}

/// Response to a change of the manifest.
#[derive(Debug, Deserialize)]
pub(crate) struct ChangeResponse {
    pub(crate) version: u64,
    pub(crate) outcome: OutcomeKind,
    pub(crate) reason: AnswerReason,
}

/// HTTP client for daemons.
#[derive(Debug, Clone)]
pub(crate) struct ApiClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl ApiClient {
    pub(crate) fn new() -> Self {
        Self::with_idle(0)
    }

    /// Makes a client that keeps up to `idle` connections to an address for reuse.
    pub(crate) fn with_idle(idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(idle).build(connector);
        Self { client }
    }

    /// Makes a call and reads the complete response, whatever its status.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &ApiCall<'_>,
    ) -> CallOutcome<T> {
        let Some(request) = build_request(address, call) else { return CallOutcome::Unreachable };
        let response = self.exchange(request);
        match timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), response).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::Broken,
        }
    }

    async fn exchange<T: DeserializeOwned>(&self, request: Request<Full<Bytes>>) -> CallOutcome<T> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return CallOutcome::Unreachable,
            Err(_) => return CallOutcome::Broken,
        };
        let Ok(body) = response.into_body().collect().await else { return CallOutcome::Broken };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(answer) => CallOutcome::Answered(answer),
            Err(_) => CallOutcome::Broken,
        }
    }

    /// Tells whether a daemon reports that it is ready for callers.
    pub(crate) async fn is_ready(&self, operator: SocketAddr) -> bool {
        let uri = format!("http://{operator}/readyz");
        let Ok(request) = Request::get(uri).body(Full::default()) else { return false };
        let response = timeout(Duration::from_millis(500), self.client.request(request)).await;
        matches!(response, Ok(Ok(response)) if response.status().is_success())
    }
}

fn build_request(address: SocketAddr, call: &ApiCall<'_>) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header(CONTENT_TYPE, "application/json");
    if let Some(key) = call.key {
        builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    if let Some(key) = call.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::new(call.body.clone().into())).ok()
}
