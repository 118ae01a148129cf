//! HTTP client for one address that reports for every call whether it may have been executed.
//!
//! A connection can stop responding for good while new ones work, and all pooled connections to the
//! same address may be affected at once. After a timeout the whole pool of the address is therefore
//! replaced; calls that still wait on the old connections keep them until they end.
//!
//! The connection of a call that timed out is closed by a background task. The call's permit is
//! released only after a delay in which that has surely happened, so that a burst of timeouts does
//! not open twice the allowed number of connections.

use {
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, sleep, timeout_at},
    },
};

/// Body of a 503 response by which a server states that it did not execute the call.
///
/// Any other 503 may come from an intermediary that had already forwarded the call, and proves
/// nothing.
pub const NOT_SERVED: &str = "not served";

/// Timeout for connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which an idle connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of idle connections to an address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Maximum number of calls in flight to an address. With the idle connections they make 64.
const MAX_CALLS: usize = 56;
/// Delay before the permit of a call that timed out is released, in milliseconds.
const CLOSE_DELAY_MS: u64 = 100;
/// Upper bound to which longer deadlines are reduced, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Outcome of a call.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The server responded with status 200 and this body.
    Answered(Bytes),
    /// The call was not sent, or the server stated that it did not execute it.
    NotServed,
    /// The call may have been executed, but there is no usable response.
    Lost,
}

#[derive(Debug)]
struct PooledClient {
    client: HttpClient,
    generation: u64,
}

/// A client of one address with a bounded number of connections.
#[derive(Debug)]
pub(crate) struct AddressClient {
    address: SocketAddr,
    pool: Mutex<PooledClient>,
    calls: Arc<Semaphore>,
}

impl AddressClient {
    /// Creates a client. Connects on the first call.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pool: Mutex::new(PooledClient { client: build_client(), generation: 0 }),
            calls: Arc::new(Semaphore::new(MAX_CALLS)),
        }
    }

    /// Returns whether no call is in flight and the connections of all calls that timed out are
    /// closed.
    pub(crate) fn is_idle(&self) -> bool {
        self.calls.available_permits() == MAX_CALLS
    }

    /// Sends a GET request to a path.
    pub(crate) async fn get(&self, path: &str, deadline_ms: u64) -> CallOutcome {
        self.call(Method::GET, path, Bytes::new(), deadline_ms).await
    }

    /// Sends a POST request with a JSON body to a path.
    pub(crate) async fn post(&self, path: &str, body: Vec<u8>, deadline_ms: u64) -> CallOutcome {
        self.call(Method::POST, path, body.into(), deadline_ms).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes, deadline_ms: u64) -> CallOutcome {
        let deadline = Instant::now() + Duration::from_millis(deadline_ms.min(MAX_DEADLINE_MS));
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(uri);
        let request = request.header(CONTENT_TYPE, "application/json").body(Full::new(body));
        let Ok(request) = request else { return CallOutcome::NotServed };
        let permit = Arc::clone(&self.calls).acquire_owned();
        let Ok(Ok(permit)) = timeout_at(deadline, permit).await else {
            return CallOutcome::NotServed;
        };
        // Calls with the same deadline release their permits just as it passes. A call that
        // acquires such a permit would be sent with no time left and be lost instead of not sent.
        if Instant::now() >= deadline {
            return CallOutcome::NotServed;
        }
        let (client, generation) = self.current_client();
        match timeout_at(deadline, send_request(&client, request)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.replace_client(generation);
                release_later(permit);
                CallOutcome::Lost
            }
        }
    }

    fn current_client(&self) -> (HttpClient, u64) {
        let pool = self.lock_pool();
        (pool.client.clone(), pool.generation)
    }

    /// Replaces the pool in which a call timed out, unless another call has replaced it already.
    fn replace_client(&self, generation: u64) {
        let mut pool = self.lock_pool();
        if pool.generation == generation {
            *pool = PooledClient { client: build_client(), generation: generation + 1 };
        }
    }

    fn lock_pool(&self) -> MutexGuard<'_, PooledClient> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn release_later(permit: OwnedSemaphorePermit) {
    tokio::spawn(async move {
        sleep(Duration::from_millis(CLOSE_DELAY_MS)).await;
        drop(permit);
    });
}

fn build_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(connector)
}

async fn send_request(client: &HttpClient, request: Request<Full<Bytes>>) -> CallOutcome {
    match client.request(request).await {
        Ok(response) => read_response(response).await,
        Err(error) if error.is_connect() => CallOutcome::NotServed,
        Err(_) => CallOutcome::Lost,
    }
}

async fn read_response(response: Response<Incoming>) -> CallOutcome {
    let (head, body) = response.into_parts();
    let Ok(body) = Limited::new(body, MAX_RESPONSE_BYTES).collect().await else {
        return CallOutcome::Lost;
    };
    let body = body.to_bytes();
    match head.status {
        StatusCode::OK => CallOutcome::Answered(body),
        StatusCode::SERVICE_UNAVAILABLE if body == NOT_SERVED => CallOutcome::NotServed,
        _ => CallOutcome::Lost,
    }
}
