//! Tests what the clients report about calls without a usable response, with raw TCP servers.

use {
    damaskrack_model::Epoch,
    damaskrack_outside::{
        HostList, HttpHosts, HttpStore, HttpWorker, PlatformStore, StoreCall, StoreError,
        StoreReply, WorkerBody, WorkerCall, WorkerClient, WorkerError, WorkerReply,
    },
    damaskrack_ports::PortReservation,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::sleep,
    },
};

/// How a raw server handles its connections.
#[derive(Debug, Clone, Copy)]
enum Behaviour {
    CloseAtOnce,
    CloseAfterRequest,
    Silent,
    Status(&'static str, &'static str),
    /// Responds after a delay, except on connections that were silenced.
    Works,
}

const WORKER_REPLY: &str = r#"{"clock_ms":5,"boot":1,"body":{"body":"accepted"}}"#;

#[derive(Default)]
struct OpenCount {
    now: AtomicUsize,
    peak: AtomicUsize,
}

impl OpenCount {
    fn add(&self) {
        let now = self.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(now, Ordering::SeqCst);
    }

    fn remove(&self) {
        self.now.fetch_sub(1, Ordering::SeqCst);
    }
}

struct RawServer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    /// Number of open connections, and its maximum so far.
    open: Arc<OpenCount>,
    /// Connections with a lower number are silent.
    first_working: Arc<AtomicUsize>,
}

impl RawServer {
    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Silences all connections that have been opened so far.
    fn silence(&self) {
        self.first_working.store(self.connections(), Ordering::SeqCst);
    }
}

async fn start_server(behaviour: Behaviour) -> RawServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    let (connections, first_working) = (Arc::default(), Arc::default());
    let open = Arc::new(OpenCount::default());
    let (counter, first) = (Arc::clone(&connections), Arc::clone(&first_working));
    let open_count = Arc::clone(&open);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let number = AtomicUsize::fetch_add(&counter, 1, Ordering::SeqCst);
            let (first, open_count) = (Arc::clone(&first), Arc::clone(&open_count));
            open_count.add();
            tokio::spawn(async move {
                serve(stream, behaviour, number, first).await;
                open_count.remove();
            });
        }
    });
    RawServer { address, connections, open, first_working }
}

async fn serve(
    mut stream: TcpStream,
    behaviour: Behaviour,
    number: usize,
    first_working: Arc<AtomicUsize>,
) {
    if matches!(behaviour, Behaviour::CloseAtOnce) {
        return;
    }
    while read_request(&mut stream).await {
        match behaviour {
            Behaviour::CloseAtOnce | Behaviour::CloseAfterRequest => return,
            Behaviour::Silent => {}
            Behaviour::Status(status, body) => write_response(&mut stream, status, body).await,
            Behaviour::Works => {
                sleep(Duration::from_millis(20)).await;
                if number >= first_working.load(Ordering::SeqCst) {
                    write_response(&mut stream, "200 OK", WORKER_REPLY).await;
                }
            }
        }
    }
}

/// Reads one small request. Returns whether there was one.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 4_096];
    matches!(stream.read(&mut buffer).await, Ok(count) if count > 0)
}

async fn write_response(stream: &mut TcpStream, status: &str, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
    // The client may have closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
}

fn put_call() -> StoreCall {
    StoreCall::Put { key: "a".to_owned(), expected: 0, value: "1".to_owned(), lease: 0 }
}

fn stop_call() -> WorkerCall {
    let rack = "r1".parse().expect("a valid name");
    WorkerCall::Stop { rack, epoch: Epoch(1), attempts: Vec::new(), checkpoint: false }
}

async fn put(address: SocketAddr, timeout_ms: u64) -> Result<StoreReply, StoreError> {
    HttpStore::new(address).call(&put_call(), timeout_ms).await
}

#[tokio::test]
async fn a_closed_port_was_not_sent_to() {
    let closed = PortReservation::any().expect("a free port");
    let address = closed.address();
    assert_eq!(put(address, 1_000).await, Err(StoreError::Unavailable));
    let worker_result = HttpWorker::new().call(address, &stop_call(), 1_000).await;
    assert_eq!(worker_result, Err(WorkerError::Unreachable));
    assert_eq!(HttpHosts::new(address).read(1_000).await, None);
}

#[tokio::test]
async fn a_connection_closed_before_or_after_the_request_is_lost() {
    for behaviour in [Behaviour::CloseAtOnce, Behaviour::CloseAfterRequest] {
        let server = start_server(behaviour).await;
        assert_eq!(put(server.address, 1_000).await, Err(StoreError::Lost), "{behaviour:?}");
        let worker_result = HttpWorker::new().call(server.address, &stop_call(), 1_000).await;
        assert_eq!(worker_result, Err(WorkerError::Lost), "{behaviour:?}");
    }
}

#[tokio::test]
async fn only_an_explicit_503_counts_as_not_served() {
    let cases = [
        (Behaviour::Status("503 Service Unavailable", "not served"), StoreError::Unavailable),
        (Behaviour::Status("503 Service Unavailable", "upstream timed out"), StoreError::Lost),
        (Behaviour::Status("500 Internal Server Error", "not served"), StoreError::Lost),
        (Behaviour::Status("200 OK", "no json"), StoreError::Lost),
    ];
    for (behaviour, failure) in cases {
        let server = start_server(behaviour).await;
        assert_eq!(put(server.address, 1_000).await, Err(failure), "{behaviour:?}");
    }
}

#[tokio::test]
async fn a_silent_server_is_lost_at_the_deadline() {
    let server = start_server(Behaviour::Silent).await;
    let start = Instant::now();
    assert_eq!(put(server.address, 200).await, Err(StoreError::Lost));
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(200), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
}

#[tokio::test]
async fn a_watch_waits_beyond_its_timeout() {
    let server = start_server(Behaviour::Silent).await;
    let watch = StoreCall::Watch { prefixes: Vec::new(), since: 0, wait_ms: 300 };
    let start = Instant::now();
    let end = HttpStore::new(server.address).call(&watch, 100).await;
    assert_eq!(end, Err(StoreError::Lost));
    assert!(start.elapsed() >= Duration::from_millis(400));
}

#[tokio::test]
async fn connections_are_reused() {
    let server = start_server(Behaviour::Works).await;
    let link = HttpWorker::new();
    for _ in 0..5 {
        let end = link.call(server.address, &stop_call(), 1_000).await;
        assert_eq!(end.map(|reply| reply.body), Ok(WorkerBody::Accepted));
    }
    assert_eq!(server.connections(), 1);
}

#[tokio::test]
async fn a_pool_of_silent_connections_costs_one_timeout() {
    let server = start_server(Behaviour::Works).await;
    let link = Arc::new(HttpWorker::new());
    let calls: Vec<_> = (0..4).map(|_| spawn_stop(&link, server.address, 1_000)).collect();
    for call in calls {
        assert!(call.await.expect("the call does not panic").is_ok());
    }
    assert_eq!(server.connections(), 4);
    server.silence();
    let lost = link.call(server.address, &stop_call(), 200).await;
    assert_eq!(lost, Err(WorkerError::Lost));
    let next = link.call(server.address, &stop_call(), 200).await;
    assert_eq!(next.map(|reply| reply.body), Ok(WorkerBody::Accepted));
    assert_eq!(server.connections(), 5);
}

#[tokio::test]
async fn at_most_64_connections_are_open_to_one_worker() {
    let server = start_server(Behaviour::Silent).await;
    let link = Arc::new(HttpWorker::new());
    let mut unsent = 0;
    for _wave in 0..3 {
        let calls: Vec<_> = (0..100).map(|_| spawn_stop(&link, server.address, 300)).collect();
        for call in calls {
            match call.await.expect("the call does not panic") {
                Err(WorkerError::Unreachable) => unsent += 1,
                Err(WorkerError::Lost) => {}
                Ok(reply) => panic!("a silent worker replied {reply:?}"),
            }
        }
    }
    let peak = server.open.peak.load(Ordering::SeqCst);
    assert!(peak <= 64, "{peak} connections at once");
    assert!(server.connections() > 64, "later waves use new connections");
    assert!(unsent > 0, "calls beyond the bound were never sent");
}

type StopHandle = JoinHandle<Result<WorkerReply, WorkerError>>;

fn spawn_stop(link: &Arc<HttpWorker>, address: SocketAddr, timeout_ms: u64) -> StopHandle {
    let link = Arc::clone(link);
    tokio::spawn(async move { link.call(address, &stop_call(), timeout_ms).await })
}
