//! The store over HTTP and JSON.

use {
    crate::{
        PlatformStore, StoreCall, StoreError, StoreReply,
        http_client::{AddressClient, CallEnd},
    },
    std::net::SocketAddr,
};

/// A store that takes a [`StoreCall`] as the JSON body of `POST /v1/store`.
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
    /// Makes a client; connects only when it is used.
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
        let deadline_ms = timeout_ms.saturating_add(wait_of(call));
        match self.client.post("/v1/store", body, deadline_ms).await {
            CallEnd::Answered(body) => serde_json::from_slice(&body).map_err(|_| StoreError::Lost),
            CallEnd::NotServed => Err(StoreError::Unavailable),
            CallEnd::Lost => Err(StoreError::Lost),
        }
    }
}

fn wait_of(call: &StoreCall) -> u64 {
    match call {
        StoreCall::Watch { wait_ms, .. } => *wait_ms,
        _ => 0,
    }
}
