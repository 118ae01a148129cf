//! HTTP server and response helpers that all stand-ins share.

use {
    crate::connection_gate::ConnectionGate,
    gotham::{
        handler::HandlerResult,
        helpers::http::{Body, response::create_response},
        router::Router,
        state::{FromState, State, StateData, client_addr},
    },
    http::StatusCode,
    http_body_util::{BodyExt, Limited},
    serde::{Serialize, de::DeserializeOwned},
    std::{future, io, net::SocketAddr, ops::Deref, sync::Arc},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Maximum length of a request body, in bytes: fits a value of 1 MB with every byte escaped.
const MAX_BODY_BYTES: usize = 7 << 20;

/// State that all requests of a server share.
#[derive(Debug)]
pub(crate) struct SharedState<T>(Arc<T>);

impl<T> SharedState<T> {
    pub(crate) fn new(inner: Arc<T>) -> Self {
        Self(inner)
    }
}

impl<T> Clone for SharedState<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Deref for SharedState<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T: Send + Sync + 'static> StateData for SharedState<T> {}

/// Outcome of a call to a stand-in.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ServedCall<T> {
    /// The call took effect and its response is sent.
    Answered(T),
    /// The call took effect, but its connection closes without a response.
    Dropped,
    /// The call had no effect.
    Refused,
}

/// A running server; dropping it closes its port and its connections.
#[derive(Debug)]
pub(crate) struct StandinServer {
    address: SocketAddr,
    gate: ConnectionGate,
    accept: JoinHandle<()>,
}

impl StandinServer {
    /// Listens on `address`; port 0 selects a free port.
    pub(crate) async fn start(
        address: SocketAddr,
        router: Router,
        gate: ConnectionGate,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let wrap_gate = gate.clone();
        let wrap = move |stream| future::ready(wrap_gate.admit(stream).ok_or(()));
        let accept = tokio::spawn(async move { gotham::bind_server(listener, router, wrap).await });
        Ok(Self { address, gate, accept })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.accept.abort();
        self.gate.close_all();
    }
}

/// Runs a call to completion even if its client disconnects, as a real server does: a late write
/// still takes effect.
pub(crate) async fn run_to_completion<T: Send + 'static>(
    call: impl Future<Output = ServedCall<T>> + Send + 'static,
) -> ServedCall<T> {
    tokio::spawn(call).await.unwrap_or(ServedCall::Dropped)
}

/// Parses a request's body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T, String> {
    let body = Limited::new(Body::take_from(state), MAX_BODY_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Responds with JSON.
pub(crate) fn respond_json(state: State, value: &impl Serialize) -> HandlerResult {
    match serde_json::to_vec(value) {
        Ok(body) => respond(state, StatusCode::OK, mime::APPLICATION_JSON, body),
        Err(error) => {
            let body = error.to_string().into_bytes();
            respond(state, StatusCode::INTERNAL_SERVER_ERROR, mime::TEXT_PLAIN, body)
        }
    }
}

/// Responds with status 400 and the reason.
pub(crate) fn respond_bad_request(state: State, reason: String) -> HandlerResult {
    respond(state, StatusCode::BAD_REQUEST, mime::TEXT_PLAIN, reason.into_bytes())
}

/// Responds according to the outcome of a call, or closes its connection.
pub(crate) fn respond_served(
    state: State,
    served: &ServedCall<impl Serialize>,
    gate: &ConnectionGate,
) -> HandlerResult {
    match served {
        ServedCall::Answered(reply) => respond_json(state, reply),
        ServedCall::Refused => respond_not_served(state),
        ServedCall::Dropped => {
            if let Some(address) = client_addr(&state) {
                gate.close(address);
            }
            respond_not_served(state)
        }
    }
}

fn respond_not_served(state: State) -> HandlerResult {
    let body = damaskrack_outside::NOT_SERVED.as_bytes().to_vec();
    respond(state, StatusCode::SERVICE_UNAVAILABLE, mime::TEXT_PLAIN, body)
}

fn respond(state: State, status: StatusCode, kind: mime::Mime, body: Vec<u8>) -> HandlerResult {
    let response = create_response(&state, status, kind, body);
    Ok((state, response))
}
