//! Carries out the core's calls to the platform.
//!
//! Every call results in an input for the core, even if a client hangs or too many calls are in
//! flight, because the core waits for the result of each call number that it has issued.

use {
    damaskrack_node::NodeInput,
    damaskrack_outside::{
        HostList, PlatformStore, StoreCall, StoreError, WorkerCall, WorkerClient, WorkerError,
    },
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc::Sender},
        time::{MissedTickBehavior, interval, timeout},
    },
};

/// Maximum number of calls in flight to the store, and the same to the workers.
const MAX_CALLS_IN_FLIGHT: usize = 4_096;
/// Time beyond a call's own timeout after which it is abandoned, in milliseconds.
const ADAPTER_GRACE_MS: u64 = 500;

/// Clients of the platform's services.
#[derive(Clone)]
pub struct PlatformLinks {
    /// The key-value service.
    pub store: Arc<dyn PlatformStore>,
    /// The host list.
    pub hosts: Arc<dyn HostList>,
    /// The workers.
    pub workers: Arc<dyn WorkerClient>,
}

impl std::fmt::Debug for PlatformLinks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformLinks")
    }
}

/// Spawns a task for each call to the platform.
#[derive(Debug)]
pub(crate) struct PlatformDispatcher {
    clients: PlatformLinks,
    inbox: Sender<NodeInput>,
    store_permits: Arc<Semaphore>,
    worker_permits: Arc<Semaphore>,
}

impl PlatformDispatcher {
    /// Creates a dispatcher that sends results to `inbox`.
    pub(crate) fn new(clients: PlatformLinks, inbox: Sender<NodeInput>) -> Self {
        Self {
            clients,
            inbox,
            store_permits: Arc::new(Semaphore::new(MAX_CALLS_IN_FLIGHT)),
            worker_permits: Arc::new(Semaphore::new(MAX_CALLS_IN_FLIGHT)),
        }
    }

    /// Starts a store call. Returns its result at once if too many calls are in flight.
    pub(crate) fn call_store(
        &self,
        call: u64,
        request: StoreCall,
        timeout_ms: u64,
    ) -> Option<NodeInput> {
        let Ok(permit) = self.store_permits.clone().try_acquire_owned() else {
            return Some(NodeInput::Store { call, result: Err(StoreError::Unavailable) });
        };
        let (store, inbox) = (self.clients.store.clone(), self.inbox.clone());
        let wait_ms = store_wait_ms(&request);
        tokio::spawn(async move {
            let _permit = permit;
            let outcome =
                with_timeout(timeout_ms + wait_ms, store.call(&request, timeout_ms)).await;
            let result = outcome.unwrap_or(Err(StoreError::Lost));
            let _ = inbox.send(NodeInput::Store { call, result }).await;
        });
        None
    }

    /// Starts a worker call. Returns its result at once if too many calls are in flight.
    pub(crate) fn call_worker(
        &self,
        call: u64,
        address: SocketAddr,
        request: WorkerCall,
        timeout_ms: u64,
    ) -> Option<NodeInput> {
        let Ok(permit) = self.worker_permits.clone().try_acquire_owned() else {
            return Some(NodeInput::Worker { call, result: Err(WorkerError::Unreachable) });
        };
        let (workers, inbox) = (self.clients.workers.clone(), self.inbox.clone());
        let wait_ms = worker_wait_ms(&request);
        tokio::spawn(async move {
            let _permit = permit;
            let work = workers.call(address, &request, timeout_ms);
            let outcome = with_timeout(timeout_ms + wait_ms, work).await;
            let result = outcome.unwrap_or(Err(WorkerError::Lost));
            let _ = inbox.send(NodeInput::Worker { call, result }).await;
        });
        None
    }

    /// Returns the numbers of store calls and worker calls in flight.
    pub(crate) fn in_flight(&self) -> (usize, usize) {
        let count = |permits: &Semaphore| MAX_CALLS_IN_FLIGHT - permits.available_permits();
        (count(&self.store_permits), count(&self.worker_permits))
    }
}

/// Reads the host list at a fixed interval.
pub(crate) async fn poll_hosts(
    hosts: Arc<dyn HostList>,
    inbox: Sender<NodeInput>,
    interval_ms: u64,
) {
    let mut ticks = interval(Duration::from_millis(interval_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let rows = with_timeout(interval_ms, hosts.read(interval_ms)).await.flatten();
        if let Some(rows) = rows
            && inbox.send(NodeInput::Hosts { rows }).await.is_err()
        {
            return;
        }
    }
}

async fn with_timeout<T>(millis: u64, work: impl Future<Output = T>) -> Option<T> {
    timeout(Duration::from_millis(millis.saturating_add(ADAPTER_GRACE_MS)), work).await.ok()
}

fn store_wait_ms(call: &StoreCall) -> u64 {
    match call {
        StoreCall::Watch { wait_ms, .. } => *wait_ms,
        _ => 0,
    }
}

fn worker_wait_ms(call: &WorkerCall) -> u64 {
    match call {
        WorkerCall::Sync { wait_ms, .. } => *wait_ms,
        _ => 0,
    }
}
