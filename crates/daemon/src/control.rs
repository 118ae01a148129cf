//! Requests to the driver itself.

use tokio::sync::oneshot::Sender;

/// A request that the driver handles without the core.
#[derive(Debug)]
pub(crate) enum ControlRequest {
    /// Returns the state of the core and the daemon, as JSON.
    Dump(Sender<serde_json::Value>),
    /// Writes the state of the core and the daemon to the log.
    LogDump,
    /// Starts a graceful shutdown.
    Shutdown,
}
