//! Reads payloads that daemons have stored apart from the rows of their jobs.

use {
    crate::{CellStore, payload_cache::PayloadCache, rows::payload_key},
    rustc_hash::FxHashMap,
    slog::{Logger, warn},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::OnceCell,
};

/// A read that the tasks of one job share.
type SharedRead = Arc<OnceCell<Arc<str>>>;

#[derive(Debug, Default)]
struct PayloadState {
    known: PayloadCache,
    reading: FxHashMap<String, SharedRead>,
}

/// The payloads in the store, with those that were read last.
pub(crate) struct PayloadStore {
    store: Arc<dyn CellStore>,
    state: Mutex<PayloadState>,
    logger: Logger,
}

impl PayloadStore {
    pub(crate) fn new(store: Arc<dyn CellStore>, logger: Logger) -> Arc<Self> {
        Arc::new(Self { store, state: Mutex::default(), logger })
    }

    fn lock(&self) -> MutexGuard<'_, PayloadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the payload of a job; `None` if it cannot be read now. Tasks of a job that start
    /// together cause one read.
    pub(crate) async fn get(&self, job: &str) -> Option<Arc<str>> {
        let shared = {
            let mut state = self.lock();
            if let Some(payload) = state.known.get(job) {
                return Some(payload.clone());
            }
            state.reading.entry(job.to_owned()).or_default().clone()
        };
        let payload = shared.get_or_try_init(|| self.read(job)).await.ok().cloned();
        let mut state = self.lock();
        state.reading.remove(job);
        if let Some(payload) = &payload {
            state.known.insert(job, payload.clone());
        }
        payload
    }

    async fn read(&self, job: &str) -> Result<Arc<str>, ()> {
        let item = self.store.get(&payload_key(job)).await;
        let text = match &item {
            Ok(Some(item)) => std::str::from_utf8(&item.value).ok(),
            _ => None,
        };
        if text.is_none() {
            let is_missing = matches!(item, Ok(None));
            warn!(self.logger, "payload_not_read"; "job" => job, "missing" => is_missing);
        }
        text.map(Arc::from).ok_or(())
    }
}
