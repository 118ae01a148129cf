//! Questions to the driver itself.

use tokio::sync::oneshot::Sender;

/// A question that the core does not see.
#[derive(Debug)]
pub(crate) enum ControlRequest {
    /// Asks for every table, as JSON.
    Dump(Sender<serde_json::Value>),
    /// Asks for every table in the log.
    LogDump,
    /// Asks for a graceful shutdown.
    Shutdown,
}
