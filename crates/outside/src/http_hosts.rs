//! The host list over HTTP and JSON.

use {
    crate::{
        HostList, HostRow,
        host_rows::decode_rows,
        http_client::{AddressClient, CallOutcome},
    },
    std::net::SocketAddr,
};

/// Reads the host list as a JSON array of [`HostRow`] from `GET /v1/hosts`.
///
/// # Examples
///
/// ```
/// use damaskrack_outside::{HostList, HttpHosts};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), std::net::AddrParseError> {
/// let hosts = HttpHosts::new("127.0.0.1:9".parse()?);
/// assert_eq!(hosts.read(1_000).await, None);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct HttpHosts {
    client: AddressClient,
}

impl HttpHosts {
    /// Creates a client. Connects on the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: AddressClient::new(address) }
    }
}

#[async_trait::async_trait]
impl HostList for HttpHosts {
    async fn read(&self, timeout_ms: u64) -> Option<Vec<HostRow>> {
        match self.client.get("/v1/hosts", timeout_ms).await {
            CallOutcome::Answered(body) => decode_rows(&body),
            CallOutcome::NotServed | CallOutcome::Lost => None,
        }
    }
}
