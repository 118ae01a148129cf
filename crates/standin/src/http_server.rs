//! What the HTTP sides of all stand-ins share.

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

/// Longest accepted body, in bytes: a value of a megabyte in which every byte is escaped.
const MAX_BODY_BYTES: usize = 7 << 20;

/// Something that all requests of a server share.
#[derive(Debug)]
pub(crate) struct Shared<T>(Arc<T>);

impl<T> Shared<T> {
    pub(crate) fn new(inner: Arc<T>) -> Self {
        Self(inner)
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T: Send + Sync + 'static> StateData for Shared<T> {}

/// How a stand-in ends a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ServedCall<T> {
    /// It took effect and is answered.
    Answered(T),
    /// It took effect and its connection closes without an answer.
    Dropped,
    /// It took no effect.
    Refused,
}

/// A listening server; dropping it closes its port and its connections.
#[derive(Debug)]
pub(crate) struct StandinServer {
    address: SocketAddr,
    gate: ConnectionGate,
    accept: JoinHandle<()>,
}

impl StandinServer {
    /// Listens on `address`; port 0 takes a free one.
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

/// Carries a call to its end even if its client gives up meanwhile, as a real server does: a late
/// write still takes effect.
pub(crate) async fn finish<T: Send + 'static>(
    call: impl Future<Output = ServedCall<T>> + Send + 'static,
) -> ServedCall<T> {
    tokio::spawn(call).await.unwrap_or(ServedCall::Dropped)
}

/// Reads a request's body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T, String> {
    let body = Limited::new(Body::take_from(state), MAX_BODY_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Answers with JSON.
pub(crate) fn answer_json(state: State, value: &impl Serialize) -> HandlerResult {
    match serde_json::to_vec(value) {
        Ok(body) => answer(state, StatusCode::OK, mime::APPLICATION_JSON, body),
        Err(error) => {
            let body = error.to_string().into_bytes();
            answer(state, StatusCode::INTERNAL_SERVER_ERROR, mime::TEXT_PLAIN, body)
        }
    }
}

/// Answers that the request is malformed.
pub(crate) fn answer_bad_request(state: State, reason: String) -> HandlerResult {
    answer(state, StatusCode::BAD_REQUEST, mime::TEXT_PLAIN, reason.into_bytes())
}

/// Answers a call as the stand-in decided.
pub(crate) fn answer_served(
    state: State,
    served: &ServedCall<impl Serialize>,
    gate: &ConnectionGate,
) -> HandlerResult {
    match served {
        ServedCall::Answered(reply) => answer_json(state, reply),
        ServedCall::Refused => answer_not_served(state),
        ServedCall::Dropped => {
            if let Some(address) = client_addr(&state) {
                gate.close(address);
            }
            answer_not_served(state)
        }
    }
}

fn answer_not_served(state: State) -> HandlerResult {
    let body = damaskrack_outside::NOT_SERVED.as_bytes().to_vec();
    answer(state, StatusCode::SERVICE_UNAVAILABLE, mime::TEXT_PLAIN, body)
}

fn answer(state: State, status: StatusCode, kind: mime::Mime, body: Vec<u8>) -> HandlerResult {
    let response = create_response(&state, status, kind, body);
    Ok((state, response))
}
