//! HTTP client for daemons, with failover between addresses.
//!
//! A call moves on to the next address if the connection failed, because nothing was sent, or if
//! the daemon responds that it is leaving or isolated, because it did nothing. After any other
//! failure the daemon may have acted on the call, so the call is not sent again.

use {
    crate::{ExitStatus, error::CliError},
    anyhow::Context,
    damaskrack_model::{AnswerReason, OutcomeKind, WorkAnswer},
    http::{
        Method, Request, StatusCode,
        header::{AUTHORIZATION, CONTENT_TYPE},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Bytes,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Timeout for connecting to one address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Longest excerpt of a response body in an error message, in characters.
const MAX_EXCERPT_CHARS: usize = 200;

/// An HTTP call, without the address that it is sent to.
#[derive(Debug)]
pub(crate) struct ApiCall<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) body: Option<String>,
    pub(crate) idempotency_key: Option<&'a str>,
}

impl<'a> ApiCall<'a> {
    pub(crate) fn new(method: Method, path: &'a str) -> Self {
        Self { method, path, body: None, idempotency_key: None }
    }

    pub(crate) fn with_body(mut self, body: String) -> Self {
        self.body = Some(body);
        self
    }

    pub(crate) fn with_idempotency_key(mut self, key: &'a str) -> Self {
        self.idempotency_key = Some(key);
        self
    }
}

/// Status and body of a daemon's response.
#[derive(Debug)]
pub(crate) struct ApiResponse {
    pub(crate) status: StatusCode,
    pub(crate) text: String,
}

impl ApiResponse {
    /// Deserializes the body.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, CliError> {
        serde_json::from_str(&self.text).map_err(|error| {
            let excerpt: String = self.text.chars().take(MAX_EXCERPT_CHARS).collect();
            CliError::new(
                ExitStatus::Unknown,
                format!("cannot read the answer (HTTP {}): {error}: {excerpt}", self.status),
                "check that the address is the right port of a daemon of this version",
            )
        })
    }

    /// Returns whether the daemon did nothing because it is leaving or isolated, in which case
    /// another daemon may accept the call.
    fn should_try_next_address(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE
            && serde_json::from_str::<WorkAnswer>(&self.text).is_ok_and(|answer| {
                answer.outcome == OutcomeKind::NotRun
                    && matches!(answer.reason, AnswerReason::Leaving | AnswerReason::Isolated)
            })
    }

    /// Deserializes the body of a success response; any other response becomes an error.
    pub(crate) fn parse_or_refusal<T: DeserializeOwned>(&self) -> Result<T, CliError> {
        if self.status.is_success() {
            return self.parse();
        }
        let answer: WorkAnswer = self.parse()?;
        Err(CliError::new(
            ExitStatus::from(answer.outcome),
            format!("{}: {}", answer.reason, answer.detail),
            crate::answer::hint_for(answer.reason),
        ))
    }
}

/// Why a call got no response.
enum CallError {
    /// The connection failed, so nothing was sent.
    Unreachable(String),
    /// The call was sent, or may have been.
    ResponseLost(String),
}

/// A client of the caller ports or of the operator ports of the daemons.
#[derive(Debug)]
pub(crate) struct ApiClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    key: Option<String>,
    timeout: Duration,
    /// Option and variable that set the addresses, for hints.
    address_setting: &'static str,
}

impl ApiClient {
    pub(crate) fn new(
        addresses: &[SocketAddr],
        key: Option<&str>,
        timeout_ms: u64,
        address_setting: &'static str,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            addresses: addresses.to_vec(),
            key: key.map(str::to_owned),
            timeout: Duration::from_millis(timeout_ms),
            address_setting,
        }
    }

    /// Returns the addresses in the order in which they are tried.
    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends a call to the first address whose daemon is reachable and accepts calls.
    pub(crate) async fn call(&self, call: &ApiCall<'_>) -> anyhow::Result<ApiResponse> {
        let mut problems = Vec::new();
        let mut refusal = None;
        for &address in &self.addresses {
            let request = self.request(address, call)?;
            match self.send(request).await {
                Ok(answer) if answer.should_try_next_address() => refusal = Some(answer),
                Ok(answer) => return Ok(answer),
                Err(CallError::Unreachable(problem)) => {
                    problems.push(format!("{address}: {problem}"));
                }
                Err(CallError::ResponseLost(problem)) => {
                    return Err(self.lost_response_error(address, call, &problem).into());
                }
            }
        }
        refusal.ok_or_else(|| self.unreachable_error(&problems.join("; ")).into())
    }

    /// Sends a call to one address.
    pub(crate) async fn call_at(
        &self,
        address: SocketAddr,
        call: &ApiCall<'_>,
    ) -> anyhow::Result<ApiResponse> {
        match self.send(self.request(address, call)?).await {
            Ok(answer) => Ok(answer),
            Err(CallError::Unreachable(problem)) => {
                Err(self.unreachable_error(&format!("{address}: {problem}")).into())
            }
            Err(CallError::ResponseLost(problem)) => {
                Err(self.lost_response_error(address, call, &problem).into())
            }
        }
    }

    fn request(
        &self,
        address: SocketAddr,
        call: &ApiCall<'_>,
    ) -> anyhow::Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(&call.method)
            .uri(format!("http://{address}{}", call.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(idempotency_key) = call.idempotency_key {
            builder = builder.header("idempotency-key", idempotency_key);
        }
        let body = call.body.clone().unwrap_or_default();
        builder.body(Full::from(body)).map_err(|_| {
            let problem = "the key or the idempotency key has characters that HTTP cannot carry";
            CliError::new(ExitStatus::Usage, problem, "use printable ASCII only").into()
        })
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<ApiResponse, CallError> {
        match timeout(self.timeout, self.send_without_timeout(request)).await {
            Ok(result) => result,
            Err(_) => {
                let millis = self.timeout.as_millis();
                Err(CallError::ResponseLost(format!("no answer within {millis} ms")))
            }
        }
    }

    async fn send_without_timeout(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<ApiResponse, CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            let problem = root_cause_message(&error);
            if error.is_connect() {
                CallError::Unreachable(problem)
            } else {
                CallError::ResponseLost(problem)
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let bytes = body.map_err(|error| CallError::ResponseLost(error.to_string()))?.to_bytes();
        let text = String::from_utf8(bytes.to_vec())
            .context("the answer is not UTF-8")
            .map_err(|error| CallError::ResponseLost(error.to_string()))?;
        Ok(ApiResponse { status: parts.status, text })
    }

    fn unreachable_error(&self, problem: &str) -> CliError {
        let hint = format!("name the address of a running daemon by {}", self.address_setting);
        CliError::new(ExitStatus::Unreachable, format!("no daemon reached: {problem}"), hint)
    }

    fn lost_response_error(
        &self,
        address: SocketAddr,
        call: &ApiCall<'_>,
        problem: &str,
    ) -> CliError {
        let problem = format!("{address}: {problem}");
        if call.method.is_safe() {
            return self.unreachable_error(&problem);
        }
        let hint = match call.idempotency_key {
            Some(key) => format!(
                "hand the same work in again with --idempotency-key {key}; if it was accepted, \
                 you get the first answer"
            ),
            None => "look at what is in force before you repeat it".to_owned(),
        };
        CliError::new(
            ExitStatus::Unknown,
            format!("the answer was lost, so it may have taken effect: {problem}"),
            hint,
        )
    }
}

/// Returns the message of the innermost error; the outer ones only say that a call failed.
fn root_cause_message(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
