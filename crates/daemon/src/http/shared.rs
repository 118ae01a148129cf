//! State that handlers take from gotham's request state.

use {
    crate::{clock::DaemonClock, dispatcher::CallDispatcher, metrics::MetricRegistry},
    damaskrack_manifest::KeyEntry,
    gotham::state::StateData,
    slog::Logger,
    std::{sync::Arc, time::Duration},
};

/// State shared by all requests of a port.
#[derive(Debug, Clone)]
pub(crate) struct HttpShared {
    pub(crate) dispatcher: Arc<CallDispatcher>,
    pub(crate) metrics: Arc<MetricRegistry>,
    pub(crate) logger: Logger,
    pub(crate) clock: DaemonClock,
    /// Keys of operators.
    pub(crate) operator_keys: Arc<[KeyEntry]>,
    /// Maximum length of a body, in bytes.
    pub(crate) body_bytes: usize,
    /// Timeout for a body to be complete.
    pub(crate) body_timeout: Duration,
    /// Maximum number of tasks of one job.
    pub(crate) tasks_per_job: u32,
}

impl StateData for HttpShared {}
