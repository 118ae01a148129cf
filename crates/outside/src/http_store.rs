//! The store over HTTP and JSON.

use {
    crate::{
        PlatformStore, StoreCall, StoreError, StoreReply,
        http_client::{AddressClient, CallOutcome},
    },
    std::net::SocketAddr,
};

/// Sends each [`StoreCall`] to the store as the JSON body of `POST /v1/store`.
///
/// # Examples
///
/// ```
/// use damaskrack_outside::{HttpStore, PlatformStore, StoreCall, StoreError};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), std::net::AddrParseError> {
/// let store = HttpStore::new("127.0.0.1:9".parse()?);
/// let call = StoreCall::Get { key: "manifest/head".to_owned() };
/// assert_eq!(store.call(&call, 1_000).await, Err(StoreError::Unavailable));
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct HttpStore {
    client: AddressClient,
}

impl HttpStore {
    /// Creates a client. Connects on the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: AddressClient::new(address) }
    }
}

#[async_trait::async_trait]
impl PlatformStore for HttpStore {
    async fn call(&self, call: &StoreCall, timeout_ms: u64) -> Result<StoreReply, StoreError> {
        let Ok(body) = serde_json::to_vec(call) else {
            return Err(StoreError::Unavailable);
        };
        let deadline_ms = timeout_ms.saturating_add(watch_wait_ms(call));
        match self.client.post("/v1/store", body, deadline_ms).await {
            CallOutcome::Answered(body) => {
                serde_json::from_slice(&body).map_err(|_| StoreError::Lost)
            }
            CallOutcome::NotServed => Err(StoreError::Unavailable),
            CallOutcome::Lost => Err(StoreError::Lost),
        }
    }
}

fn watch_wait_ms(call: &StoreCall) -> u64 {
    match call {
        StoreCall::Watch { wait_ms, .. } => *wait_ms,
        _ => 0,
    }
}
