//! The stand-ins that run in one process.

use {
    crate::{
        HostFaults, HostServer, ObservedRun, StoreFaults, StoreServer, StoreStats, WorkerFaults,
        WorkerServer, WriteRecord,
    },
    damaskrack_model::WorkerName,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Changes to the faults of the stand-ins in a process: the body of `POST /v1/faults`.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::PlatformFaults;
///
/// let text = r#"{"store":{"outage":true},"workers":{"a1-1":{"freeze":true}}}"#;
/// let faults: PlatformFaults = serde_json::from_str(text)?;
/// assert_eq!(faults.workers.len(), 1);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the store.
    pub store: StoreFaults,
    /// Faults of the host list.
    pub hosts: HostFaults,
    /// Faults of all workers.
    pub all_workers: WorkerFaults,
    /// Faults of individual workers; applied after those of all workers.
    pub workers: BTreeMap<WorkerName, WorkerFaults>,
}

/// The stand-ins that run in one process.
#[derive(Debug, Default)]
pub(crate) struct StandinParts {
    pub(crate) store: Option<StoreServer>,
    pub(crate) hosts: Option<HostServer>,
    pub(crate) workers: BTreeMap<WorkerName, WorkerServer>,
}

impl StandinParts {
    /// Applies the changes. If a named worker does not exist, returns it and changes nothing.
    pub(crate) fn change_faults(&self, faults: &PlatformFaults) -> Result<(), WorkerName> {
        let unknown = faults.workers.keys().find(|worker| !self.workers.contains_key(*worker));
        if let Some(worker) = unknown {
            return Err(worker.clone());
        }
        if let Some(store) = &self.store {
            store.change_faults(&faults.store);
        }
        if let Some(hosts) = &self.hosts {
            hosts.change_faults(&faults.hosts);
        }
        if faults.all_workers != WorkerFaults::default() {
            self.workers.values().for_each(|worker| worker.change_faults(&faults.all_workers));
        }
        for (worker, worker_faults) in &faults.workers {
            if let Some(server) = self.workers.get(worker) {
                server.change_faults(worker_faults);
            }
        }
        Ok(())
    }

    pub(crate) fn observed_runs(&self) -> Vec<ObservedRun> {
        let mut runs: Vec<_> = self.workers.values().flat_map(WorkerServer::observations).collect();
        runs.sort_by_key(|run| run.start_ms);
        runs
    }

    pub(crate) fn store_stats(&self) -> StoreStats {
        self.store.as_ref().map(StoreServer::stats).unwrap_or_default()
    }

    pub(crate) fn store_history(&self) -> Vec<WriteRecord> {
        self.store.as_ref().map(StoreServer::history).unwrap_or_default()
    }
}
