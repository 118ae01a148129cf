//! Tests of the stand-ins over loopback, through the HTTP clients that the daemon uses.

use {
    damaskrack_model::{AttemptId, Epoch, RackName, Resources, TaskResult, WorkerName},
    damaskrack_outside::{
        HostList, HostRow, HostState, HttpHosts, HttpStore, HttpWorker, PlatformStore,
        StartOutcome, StartRequest, StoreCall, StoreError, StoreReply, WorkerBody, WorkerCall,
        WorkerClient, WorkerError, WorkerReport,
    },
    damaskrack_standin::{HostFaults, PlatformPlan, StandinPlatform, StoreFaults, WorkerFaults},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const TIMEOUT_MS: u64 = 2_000;

async fn platform() -> StandinPlatform {
    let plan = PlatformPlan::new(2, 1, 1).with_host_lag_ms(200);
    StandinPlatform::start(plan).await.expect("the stand-ins listen on loopback")
}

fn put(key: &str, expected: u64) -> StoreCall {
    StoreCall::Put { key: key.to_owned(), expected, value: "x".to_owned(), lease: 0 }
}

fn watch(since: u64, wait_ms: u64) -> StoreCall {
    StoreCall::Watch { prefixes: vec!["owner/".to_owned()], since, wait_ms }
}

async fn revision_of(store: &HttpStore, key: &str) -> u64 {
    match store.call(&StoreCall::Get { key: key.to_owned() }, TIMEOUT_MS).await {
        Ok(StoreReply::Entries { entries, .. }) => entries.first().map_or(0, |e| e.revision),
        result => panic!("unexpected result of a read: {result:?}"),
    }
}

#[tokio::test]
async fn a_lost_answer_took_effect() {
    let platform = platform().await;
    let store = HttpStore::new(platform.store_address());
    platform.change_store(&StoreFaults { lose_answers: Some(1.0), ..StoreFaults::default() });
    assert_eq!(store.call(&put("a", 0), TIMEOUT_MS).await, Err(StoreError::Lost));
    platform.change_store(&StoreFaults { lose_answers: Some(0.0), ..StoreFaults::default() });
    assert_eq!(revision_of(&store, "a").await, 1);
    assert_eq!(platform.store_stats().lost_answers, 1);
}

#[tokio::test]
async fn a_late_write_takes_effect_after_its_caller_gave_up() {
    let platform = platform().await;
    let store = HttpStore::new(platform.store_address());
    platform.change_store(&StoreFaults { delay_ms: Some(400), ..StoreFaults::default() });
    assert_eq!(store.call(&put("a", 0), 50).await, Err(StoreError::Lost));
    platform.change_store(&StoreFaults { delay_ms: Some(0), ..StoreFaults::default() });
    assert_eq!(revision_of(&store, "a").await, 0);
    sleep(Duration::from_millis(400)).await;
    assert_eq!(revision_of(&store, "a").await, 1);
}

#[tokio::test]
async fn a_write_wakes_a_waiting_watch() {
    let platform = platform().await;
    let store = HttpStore::new(platform.store_address());
    let start = Instant::now();
    let waiting = watch(0, 10_000);
    let (watch_result, put_result) = tokio::join!(store.call(&waiting, TIMEOUT_MS), async {
        sleep(Duration::from_millis(100)).await;
        store.call(&put("owner/rack/a1", 0), TIMEOUT_MS).await
    });
    assert_eq!(put_result, Ok(StoreReply::Written { revision: 1 }));
    let Ok(StoreReply::Events { events, revision: 1 }) = watch_result else {
        panic!("unexpected result of the watch: {watch_result:?}");
    };
    assert_eq!(events[0].key, "owner/rack/a1");
    assert!(start.elapsed() < Duration::from_secs(5));
    assert_eq!(platform.store_stats().watch, 1, "a waiting watch counts as one call");
}

#[tokio::test]
async fn a_watch_without_news_ends_in_time_with_the_current_revision() {
    let platform = platform().await;
    let store = HttpStore::new(platform.store_address());
    assert!(store.call(&put("other", 0), TIMEOUT_MS).await.is_ok());
    let start = Instant::now();
    let result = store.call(&watch(0, 150), TIMEOUT_MS).await;
    assert_eq!(result, Ok(StoreReply::Events { events: Vec::new(), revision: 1 }));
    assert!(start.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn a_lease_lapses_without_any_call() {
    let platform = platform().await;
    let store = HttpStore::new(platform.store_address());
    let grant = StoreCall::LeaseGrant { ttl_ms: 150 };
    let Ok(StoreReply::Lease { lease }) = store.call(&grant, TIMEOUT_MS).await else {
        panic!("the lease was not granted");
    };
    let member =
        StoreCall::Put { key: "owner/x".to_owned(), expected: 0, value: "x".to_owned(), lease };
    assert!(store.call(&member, TIMEOUT_MS).await.is_ok());
    let result = store.call(&watch(1, 5_000), TIMEOUT_MS).await;
    let Ok(StoreReply::Events { events, .. }) = result else {
        panic!("unexpected result of the watch: {result:?}")
    };
    assert_eq!((events[0].key.as_str(), events[0].value.as_deref()), ("owner/x", None));
}

#[tokio::test]
async fn an_outage_refuses_calls_and_waiting_watches() {
    let platform = platform().await;
    let store = HttpStore::new(platform.store_address());
    let outage = |is_out| StoreFaults { outage: Some(is_out), ..StoreFaults::default() };
    let waiting = watch(0, 10_000);
    let (watch_result, put_result) = tokio::join!(store.call(&waiting, TIMEOUT_MS), async {
        sleep(Duration::from_millis(100)).await;
        platform.change_store(&outage(true));
        store.call(&put("a", 0), TIMEOUT_MS).await
    });
    assert_eq!(watch_result, Err(StoreError::Unavailable));
    assert_eq!(put_result, Err(StoreError::Unavailable));
    platform.change_store(&outage(false));
    assert_eq!(revision_of(&store, "a").await, 0, "a refused write has no effect");
}

#[tokio::test]
async fn a_megabyte_is_stored_and_more_is_refused() {
    let platform = platform().await;
    let store = HttpStore::new(platform.store_address());
    let put_bytes = |count: usize| {
        let value = "\n".repeat(count);
        StoreCall::Put { key: "a".to_owned(), expected: 0, value, lease: 0 }
    };
    let result = store.call(&put_bytes(1_000_001), 10_000).await;
    assert_eq!(result, Err(StoreError::Unavailable));
    let result = store.call(&put_bytes(1_000_000), 10_000).await;
    assert_eq!(result, Ok(StoreReply::Written { revision: 1 }));
}

#[tokio::test]
async fn the_host_list_lags_and_has_outages() {
    let platform = platform().await;
    let hosts = HttpHosts::new(platform.hosts_address());
    let worker: WorkerName = "a1-1".parse().unwrap();
    let mark = [(worker.clone(), HostState::Leaving)].into();
    platform.change_hosts(&HostFaults { mark, ..HostFaults::default() });
    let state = |rows: Option<Vec<HostRow>>| {
        rows.and_then(|rows| rows.into_iter().find(|row| row.worker == worker)).map(|r| r.state)
    };
    assert_eq!(state(hosts.read(TIMEOUT_MS).await), Some(HostState::Live));
    sleep(Duration::from_millis(250)).await;
    assert_eq!(state(hosts.read(TIMEOUT_MS).await), Some(HostState::Leaving));
    platform.change_hosts(&HostFaults { outage: Some(true), ..HostFaults::default() });
    assert_eq!(hosts.read(TIMEOUT_MS).await, None);
}

/// A worker of a running platform with a client that acts as its rack owner.
struct OwnedWorker {
    platform: StandinPlatform,
    link: HttpWorker,
    address: SocketAddr,
    name: WorkerName,
}

impl OwnedWorker {
    async fn start() -> Self {
        let platform = platform().await;
        let row = platform.rows()[0].clone();
        Self { platform, link: HttpWorker::new(), address: row.address, name: row.worker }
    }

    fn change(&self, faults: &WorkerFaults) {
        self.platform.change_worker(&self.name, faults).expect("the worker exists");
    }

    async fn call(&self, call: &WorkerCall, timeout_ms: u64) -> Result<WorkerBody, WorkerError> {
        self.link.call(self.address, call, timeout_ms).await.map(|reply| reply.body)
    }

    async fn clock_ms(&self) -> u64 {
        let result = self.link.call(self.address, &sync(0, 0, 0), TIMEOUT_MS).await;
        result.expect("the worker responds").clock_ms
    }

    async fn report(&self, seen: u64, wait_ms: u64) -> WorkerReport {
        match self.call(&sync(0, seen, wait_ms), TIMEOUT_MS).await {
            Ok(WorkerBody::Report(report)) => report,
            result => panic!("unexpected result of a sync: {result:?}"),
        }
    }

    async fn run(&self, task: u32, payload: &str, lease_ms: u64) -> StartOutcome {
        let call = start_call(task, payload, self.clock_ms().await + lease_ms);
        match self.call(&call, TIMEOUT_MS).await {
            Ok(WorkerBody::Starts { verdicts }) => verdicts[0],
            result => panic!("unexpected result of a start: {result:?}"),
        }
    }
}

fn rack() -> RackName {
    "a1".parse().expect("a name")
}

fn sync(lease_until_ms: u64, seen: u64, wait_ms: u64) -> WorkerCall {
    let (rack, epoch, acks) = (rack(), Epoch(1), Vec::new());
    WorkerCall::Sync { rack, epoch, lease_until_ms, acks, seen, wait_ms }
}

fn start_call(task: u32, payload: &str, lease_until_ms: u64) -> WorkerCall {
    let job = "harbour~checks~00000000000000ff".parse().expect("a job id");
    let attempt = AttemptId { job, task, epoch: Epoch(1), number: 0 };
    let (resources, payload) = (Resources::ZERO, payload.to_owned());
    let orders = vec![StartRequest { attempt, resources, payload, preemptible: false }];
    WorkerCall::Start { rack: rack(), epoch: Epoch(1), orders, lease_until_ms }
}

#[tokio::test]
async fn the_end_of_a_task_wakes_a_waiting_sync() {
    let worker = OwnedWorker::start().await;
    let outcome = worker.run(0, r#"{"run_ms":150,"output":"text"}"#, 5_000).await;
    assert_eq!(outcome, StartOutcome::Started);
    let number = worker.report(0, 0).await.number;
    let start = Instant::now();
    let report = worker.report(number, 10_000).await;
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    assert_eq!(report.ended[0].output, "text");
}

#[tokio::test]
async fn a_task_lapses_without_any_call() {
    let worker = OwnedWorker::start().await;
    worker.run(0, r#"{"run_ms":null}"#, 100).await;
    sleep(Duration::from_millis(300)).await;
    let runs = worker.platform.observed_runs();
    assert_eq!(runs[0].result, Some(TaskResult::Lapsed));
}

#[tokio::test]
async fn a_start_that_waited_in_a_frozen_worker_is_expired() {
    let worker = OwnedWorker::start().await;
    let call = start_call(0, "late", worker.clock_ms().await + 300);
    worker.change(&WorkerFaults { freeze: Some(true), ..WorkerFaults::default() });
    assert_eq!(worker.call(&call, 100).await, Err(WorkerError::Lost));
    sleep(Duration::from_millis(300)).await;
    worker.change(&WorkerFaults { freeze: Some(false), ..WorkerFaults::default() });
    let report = worker.report(0, 0).await;
    assert!(report.running.is_empty() && report.ended.is_empty());
    assert!(worker.platform.observed_runs().is_empty());
}

#[tokio::test]
async fn a_start_that_waited_but_kept_its_lease_is_carried_out_unheard() {
    let worker = OwnedWorker::start().await;
    let call = start_call(0, "late", worker.clock_ms().await + 5_000);
    worker.change(&WorkerFaults { freeze: Some(true), ..WorkerFaults::default() });
    assert_eq!(worker.call(&call, 100).await, Err(WorkerError::Lost));
    worker.change(&WorkerFaults { freeze: Some(false), ..WorkerFaults::default() });
    sleep(Duration::from_millis(100)).await;
    assert_eq!(worker.report(0, 0).await.ended[0].output, "echo:late");
}

#[tokio::test]
async fn a_cut_worker_goes_on_and_is_reached_again() {
    let worker = OwnedWorker::start().await;
    worker.run(0, r#"{"run_ms":200,"output":"alone"}"#, 5_000).await;
    worker.change(&WorkerFaults { cut: Some(true), ..WorkerFaults::default() });
    assert_eq!(worker.call(&sync(0, 0, 0), 150).await, Err(WorkerError::Lost));
    assert_eq!(worker.call(&sync(0, 0, 0), 150).await, Err(WorkerError::Lost));
    worker.change(&WorkerFaults { cut: Some(false), ..WorkerFaults::default() });
    assert_eq!(worker.report(0, 0).await.ended[0].output, "alone");
}

#[tokio::test]
async fn silent_connections_are_replaced_after_one_loss() {
    let worker = OwnedWorker::start().await;
    worker.report(0, 0).await;
    worker.change(&WorkerFaults { silence: true, ..WorkerFaults::default() });
    assert_eq!(worker.call(&sync(0, 0, 0), 150).await, Err(WorkerError::Lost));
    worker.report(0, 0).await;
}

#[tokio::test]
async fn a_lost_answer_to_a_start_took_effect() {
    let worker = OwnedWorker::start().await;
    let call = start_call(0, "once", worker.clock_ms().await + 5_000);
    worker.change(&WorkerFaults { lose_answers: Some(1.0), ..WorkerFaults::default() });
    assert_eq!(worker.call(&call, TIMEOUT_MS).await, Err(WorkerError::Lost));
    worker.change(&WorkerFaults { lose_answers: Some(0.0), ..WorkerFaults::default() });
    let again = worker.call(&call, TIMEOUT_MS).await;
    assert_eq!(again, Ok(WorkerBody::Starts { verdicts: vec![StartOutcome::Started] }));
    assert_eq!(worker.platform.observed_runs().len(), 1);
}

#[tokio::test]
async fn workers_clocks_differ_from_each_other() {
    let worker = OwnedWorker::start().await;
    let other = worker.platform.rows()[1].address;
    let reply = worker.link.call(other, &sync(0, 0, 0), TIMEOUT_MS).await;
    let other_ms = reply.map(|reply| reply.clock_ms).unwrap();
    assert!(worker.clock_ms().await.abs_diff(other_ms) > 1_000);
}

#[tokio::test]
async fn a_worker_accepts_64_connections_in_all() {
    let worker = OwnedWorker::start().await;
    let mut links = Vec::new();
    let number = worker.report(0, 0).await.number;
    for _ in 0..70 {
        let address = worker.address;
        links.push(tokio::spawn(async move {
            HttpWorker::new().call(address, &sync(0, number, 300), 1_000).await
        }));
    }
    let mut answered = 0;
    for link in links {
        answered += usize::from(link.await.unwrap().is_ok());
    }
    assert!(answered <= 64, "{answered} responses");
    assert!(answered >= 60, "{answered} responses");
}
