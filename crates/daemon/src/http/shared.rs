//! What handlers find in a request's state.

use {
    crate::{clock::DaemonClock, dispatcher::CallDispatcher, metrics::MetricRegistry},
    damaskrack_manifest::KeyEntry,
    gotham::state::StateData,
    slog::Logger,
    std::{sync::Arc, time::Duration},
};

/// Shared by all requests of a port.
#[derive(Debug, Clone)]
pub(crate) struct HttpShared {
    pub(crate) dispatcher: Arc<CallDispatcher>,
    pub(crate) metrics: Arc<MetricRegistry>,
    pub(crate) logger: Logger,
    pub(crate) clock: DaemonClock,
    /// Keys that operators show.
    pub(crate) operator_keys: Arc<[KeyEntry]>,
    /// Longest body, in bytes.
    pub(crate) body_bytes: usize,
    /// Longest time until a body is complete.
    pub(crate) body_timeout: Duration,
    /// Most tasks of one job.
    pub(crate) tasks_per_job: u32,
}

impl StateData for HttpShared {}
