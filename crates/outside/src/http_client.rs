//! HTTP to one address, with a truthful verdict on every call.
//!
//! A connection can go silent for good while new ones work, and every pooled connection to the
//! same address may have gone the same way. After a timeout the whole pool of the address is
//! therefore replaced; the calls that still wait on the old connections keep them until they end.
//!
//! A call that is given up leaves its connection to a background task to close. Its place counts
//! as taken until that is surely done, so that a burst of timeouts does not open twice the allowed
//! number of connections.

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

/// Body of a 503 by which a server states that it did not carry out the call.
///
/// Any other 503 may come from something between the two ends that had already passed the call
/// on, and proves nothing.
pub const NOT_SERVED: &str = "not served";

/// Longest time to establish a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which an unused connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Most unused connections kept to an address.
const MAX_IDLE: usize = 8;
/// Most calls on the way to an address; with the unused connections they make 64.
const MAX_CALLS: usize = 56;
/// Time for which the place of a call that was given up stays taken, in milliseconds.
const CLOSE_GRACE_MS: u64 = 100;
/// Longest deadline, in milliseconds; longer ones are shortened to it.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Longest accepted answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// How a call ended.
#[derive(Debug)]
pub(crate) enum CallEnd {
    /// The server answered 200 with this body.
    Answered(Bytes),
    /// The call was not sent, or the server stated that it did not carry it out.
    NotServed,
    /// The call may have been carried out.
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
    /// Makes a client; connects only when it is used.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pool: Mutex::new(PooledClient { client: build_client(), generation: 0 }),
            calls: Arc::new(Semaphore::new(MAX_CALLS)),
        }
    }

    /// Tells whether no call is on the way and every given-up connection is closed.
    pub(crate) fn is_idle(&self) -> bool {
        self.calls.available_permits() == MAX_CALLS
    }

    /// Reads a path.
    pub(crate) async fn get(&self, path: &str, deadline_ms: u64) -> CallEnd {
        self.call(Method::GET, path, Bytes::new(), deadline_ms).await
    }

    /// Sends a JSON body to a path.
    pub(crate) async fn post(&self, path: &str, body: Vec<u8>, deadline_ms: u64) -> CallEnd {
        self.call(Method::POST, path, body.into(), deadline_ms).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes, deadline_ms: u64) -> CallEnd {
        let due = Instant::now() + Duration::from_millis(deadline_ms.min(MAX_DEADLINE_MS));
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(uri);
        let request = request.header(CONTENT_TYPE, "application/json").body(Full::new(body));
        let Ok(request) = request else { return CallEnd::NotServed };
        let place = Arc::clone(&self.calls).acquire_owned();
        let Ok(Ok(place)) = timeout_at(due, place).await else { return CallEnd::NotServed };
        // Calls whose deadlines pass together free their places just then; a call that takes over
        // such a place would be sent with no time left, and be lost instead of not sent.
        if Instant::now() >= due {
            return CallEnd::NotServed;
        }
        let (client, generation) = self.current_client();
        match timeout_at(due, exchange(&client, request)).await {
            Ok(end) => end,
            Err(_) => {
                self.replace_client(generation);
                free_later(place);
                CallEnd::Lost
            }
        }
    }

    fn current_client(&self) -> (HttpClient, u64) {
        let pool = self.lock_pool();
        (pool.client.clone(), pool.generation)
    }

    /// Drops the pool that a call timed out on, unless another call has done so already.
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

fn free_later(place: OwnedSemaphorePermit) {
    tokio::spawn(async move {
        sleep(Duration::from_millis(CLOSE_GRACE_MS)).await;
        drop(place);
    });
}

fn build_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_max_idle_per_host(MAX_IDLE)
        .build(connector)
}

async fn exchange(client: &HttpClient, request: Request<Full<Bytes>>) -> CallEnd {
    match client.request(request).await {
        Ok(response) => read_answer(response).await,
        Err(error) if error.is_connect() => CallEnd::NotServed,
        Err(_) => CallEnd::Lost,
    }
}

async fn read_answer(response: Response<Incoming>) -> CallEnd {
    let (head, body) = response.into_parts();
    let Ok(body) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
        return CallEnd::Lost;
    };
    let body = body.to_bytes();
    match head.status {
        StatusCode::OK => CallEnd::Answered(body),
        StatusCode::SERVICE_UNAVAILABLE if body == NOT_SERVED => CallEnd::NotServed,
        _ => CallEnd::Lost,
    }
}
