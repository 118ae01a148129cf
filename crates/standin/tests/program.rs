//! Tests of the `damaskrack-standin` program as a separate process.

use {
    bytes::Bytes,
    damaskrack_model::Epoch,
    damaskrack_outside::{
        HostList, HttpHosts, HttpStore, HttpWorker, PlatformStore, StoreCall, StoreError,
        StoreReply, WorkerCall, WorkerClient,
    },
    damaskrack_standin::{ObservedRun, PlatformAddresses, StoreStats},
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        process::{Child, Command, Stdio},
    },
};

const TIMEOUT_MS: u64 = 5_000;

/// A running program; dropping it kills the process.
struct Program {
    child: Child,
    addresses: PlatformAddresses,
}

impl Program {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_damaskrack-standin"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("its output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("it prints a line");
        let addresses = serde_json::from_str(&line).expect("the line is JSON");
        Self { child, addresses }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn exchange(address: SocketAddr, path: &str, body: Option<&str>) -> (StatusCode, Bytes) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = Full::new(Bytes::from(body.unwrap_or_default().to_owned()));
    let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    let request = request.body(body).expect("the request is well formed");
    let response = client.request(request).await.expect("the control server responds");
    let status = response.status();
    (status, response.into_body().collect().await.expect("the response is complete").to_bytes())
}

#[tokio::test]
async fn a_platform_is_served_and_switched() {
    let program = Program::start(&["platform", "--zones", "2", "--racks-per-zone", "1"]);
    let addresses = &program.addresses;
    let rows = HttpHosts::new(addresses.hosts.unwrap()).read(TIMEOUT_MS).await.unwrap();
    assert_eq!(rows.len(), 16);
    assert_eq!(rows.len(), addresses.workers.len());

    let store = HttpStore::new(addresses.store.unwrap());
    let get = StoreCall::Get { key: "a".to_owned() };
    let empty = StoreReply::Entries { entries: Vec::new(), revision: 0 };
    assert_eq!(store.call(&get, TIMEOUT_MS).await, Ok(empty));
    let control = addresses.control;
    let (status, _) = exchange(control, "/v1/faults", Some(r#"{"store":{"outage":true}}"#)).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(store.call(&get, TIMEOUT_MS).await, Err(StoreError::Unavailable));

    let (_, body) = exchange(control, "/v1/stats", None).await;
    let stats: StoreStats = serde_json::from_slice(&body).unwrap();
    assert_eq!((stats.get, stats.refused), (2, 1));
    let (_, body) = exchange(control, "/v1/observer", None).await;
    assert_eq!(serde_json::from_slice::<Vec<ObservedRun>>(&body).unwrap(), []);
}

#[tokio::test]
async fn wrong_switches_are_refused_whole() {
    let program = Program::start(&["store"]);
    let control = program.addresses.control;
    let unknown = r#"{"store":{"outage":true},"workers":{"w9":{"freeze":true}}}"#;
    for body in [unknown, r#"{"store":{"outrage":true}}"#, "{"] {
        let (status, _) = exchange(control, "/v1/faults", Some(body)).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{body}");
    }
    let store = HttpStore::new(program.addresses.store.unwrap());
    assert!(store.call(&StoreCall::List { prefix: String::new() }, TIMEOUT_MS).await.is_ok());
}

#[tokio::test]
async fn a_single_worker_and_a_host_list_of_it_are_served() {
    let arguments = ["worker", "--name", "w1", "--rack", "r1", "--zone", "a", "--boot", "77"];
    let worker = Program::start(&arguments);
    let sync = WorkerCall::Sync {
        rack: "r1".parse().unwrap(),
        epoch: Epoch(1),
        lease_until_ms: 0,
        acks: Vec::new(),
        seen: 0,
        wait_ms: 0,
    };
    let row = &worker.addresses.workers[0];
    let reply = HttpWorker::new().call(row.address, &sync, TIMEOUT_MS).await;
    assert_eq!(reply.map(|reply| reply.boot), Ok(77));

    let path = std::env::temp_dir().join(format!("damaskrack-rows-{}.json", std::process::id()));
    std::fs::write(&path, serde_json::to_string(&worker.addresses.workers).unwrap()).unwrap();
    let list = Program::start(&["hosts", "--rows", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    let rows = HttpHosts::new(list.addresses.hosts.unwrap()).read(TIMEOUT_MS).await;
    assert_eq!(rows, Some(worker.addresses.workers.clone()));
}
