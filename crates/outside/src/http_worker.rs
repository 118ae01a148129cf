//! Workers over HTTP and JSON.
//!
//! Each worker has a client of its own, so that a silent worker costs the others no connection.

use {
    crate::{
        WorkerCall, WorkerClient, WorkerError, WorkerReply,
        http_client::{AddressClient, CallEnd},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

type ClientRows = HashMap<SocketAddr, Arc<AddressClient>>;

/// Workers that take a [`WorkerCall`] as the JSON body of `POST /v1/worker`.
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
    clients: Mutex<ClientRows>,
}

impl HttpWorker {
    /// Makes a client without any connection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn client(&self, address: SocketAddr) -> Arc<AddressClient> {
        let new_client = || Arc::new(AddressClient::new(address));
        self.lock_clients().entry(address).or_insert_with(new_client).clone()
    }

    /// Forgets the client of a worker that cannot be reached; otherwise the table would keep every
    /// worker that ever was. A client in use stays, because a new one would count its connections
    /// from 0.
    fn forget(&self, address: SocketAddr, client: Arc<AddressClient>) {
        let mut clients = self.lock_clients();
        drop(client);
        if clients.get(&address).is_some_and(is_unused) {
            clients.remove(&address);
        }
    }

    fn lock_clients(&self) -> MutexGuard<'_, ClientRows> {
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
        let deadline_ms = timeout_ms.saturating_add(wait_of(call));
        match client.post("/v1/worker", body, deadline_ms).await {
            CallEnd::Answered(body) => serde_json::from_slice(&body).map_err(|_| WorkerError::Lost),
            CallEnd::NotServed => {
                self.forget(address, client);
                Err(WorkerError::Unreachable)
            }
            CallEnd::Lost => Err(WorkerError::Lost),
        }
    }
}

fn is_unused(client: &Arc<AddressClient>) -> bool {
    Arc::strong_count(client) == 1 && client.is_idle()
}

fn wait_of(call: &WorkerCall) -> u64 {
    match call {
        WorkerCall::Sync { wait_ms, .. } => *wait_ms,
        _ => 0,
    }
}
