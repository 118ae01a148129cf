//! Workers over HTTP and JSON.
//!
//! Each worker has its own HTTP client, so that an unresponsive worker does not use up the
//! connections of others.

use {
    crate::{
        WorkerCall, WorkerClient, WorkerError, WorkerReply,
        http_client::{AddressClient, CallOutcome},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

type ClientMap = HashMap<SocketAddr, Arc<AddressClient>>;

/// Sends each [`WorkerCall`] to its worker as the JSON body of `POST /v1/worker`.
///
/// # Examples
///
/// ```
/// use damaskrack_outside::{HttpWorker, WorkerCall, WorkerError, WorkerClient};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let link = HttpWorker::new();
/// let call = WorkerCall::Sync {
///     rack: "r1".parse()?,
///     epoch: Default::default(),
///     lease_until_ms: 0,
///     acks: Vec::new(),
///     seen: 0,
///     wait_ms: 0,
/// };
/// let result = link.call("127.0.0.1:9".parse()?, &call, 1_000).await;
/// assert_eq!(result, Err(WorkerError::Unreachable));
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Default)]
pub struct HttpWorker {
    clients: Mutex<ClientMap>,
}

impl HttpWorker {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn client(&self, address: SocketAddr) -> Arc<AddressClient> {
        let new_client = || Arc::new(AddressClient::new(address));
        self.lock_clients().entry(address).or_insert_with(new_client).clone()
    }

    /// Removes the client of an unreachable worker; otherwise the map would grow with every worker
    /// that ever existed. A client in use stays, because a new one would count its connections from
    /// 0.
    fn remove_unused(&self, address: SocketAddr, client: Arc<AddressClient>) {
        let mut clients = self.lock_clients();
        drop(client);
        if clients.get(&address).is_some_and(is_unused) {
            clients.remove(&address);
        }
    }

    fn lock_clients(&self) -> MutexGuard<'_, ClientMap> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait::async_trait]
impl WorkerClient for HttpWorker {
    async fn call(
        &self,
        address: SocketAddr,
        call: &WorkerCall,
        timeout_ms: u64,
    ) -> Result<WorkerReply, WorkerError> {
        let Ok(body) = serde_json::to_vec(call) else {
            return Err(WorkerError::Unreachable);
        };
        let client = self.client(address);
        let deadline_ms = timeout_ms.saturating_add(sync_wait_ms(call));
        match client.post("/v1/worker", body, deadline_ms).await {
            CallOutcome::Answered(body) => {
                serde_json::from_slice(&body).map_err(|_| WorkerError::Lost)
            }
            CallOutcome::NotServed => {
                self.remove_unused(address, client);
                Err(WorkerError::Unreachable)
            }
            CallOutcome::Lost => Err(WorkerError::Lost),
        }
    }
}

fn is_unused(client: &Arc<AddressClient>) -> bool {
    Arc::strong_count(client) == 1 && client.is_idle()
}

fn sync_wait_ms(call: &WorkerCall) -> u64 {
    match call {
        WorkerCall::Sync { wait_ms, .. } => *wait_ms,
        _ => 0,
    }
}
