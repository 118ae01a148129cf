//! A store, a host list and workers in one process.

use {
    crate::{
        CheckpointPlace, HostFaults, HostServer, HostTable, ObservedRun, PlatformAddresses,
        PlatformFaults, PlatformPlan, StandinError, StoreFaults, StoreServer, StoreStats,
        WorkerFaults, WorkerPlan, WorkerServer, WriteRecord, control_server::start_control,
        http_server::StandinServer, standin_parts::StandinParts,
    },
    damaskrack_model::{NameError, WorkerName, ZoneName},
    damaskrack_outside::{HostRow, HostState},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{net::SocketAddr, sync::Arc},
};

/// Exclusive upper bound of the workers' random clock offsets, in milliseconds.
const MAX_CLOCK_OFFSET_MS: u64 = 1_000_000_000;

/// A store, a host list and workers, each on its own port; dropping it closes them.
#[derive(Debug)]
pub struct StandinPlatform {
    parts: Arc<StandinParts>,
    control: StandinServer,
    rows: Vec<HostRow>,
}

impl StandinPlatform {
    /// Starts the servers described by the plan.
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot listen on its address.
    ///
    /// # Examples
    ///
    /// ```
    /// use {
    ///     damaskrack_outside::{HostList, HttpHosts},
    ///     damaskrack_standin::{PlatformPlan, StandinPlatform},
    /// };
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// let platform = StandinPlatform::start(PlatformPlan::new(2, 1, 2)).await?;
    /// let hosts = HttpHosts::new(platform.hosts_address());
    /// assert_eq!(hosts.read(1_000).await.map(|rows| rows.len()), Some(4));
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(plan: PlatformPlan) -> Result<Self, StandinError> {
        let mut parts = StandinParts::default();
        let mut rows = Vec::new();
        let mut builder = WorkerBuilder::new(&plan);
        for location in builder.locations()? {
            let (row, server) = builder.start(location).await?;
            parts.workers.insert(row.worker.clone(), server);
            rows.push(row);
        }
        let store_address = plan.address(plan.store_port);
        parts.store = Some(StoreServer::start(store_address, plan.store.clone(), plan.seed).await?);
        let table = HostTable::with_rows(rows.iter().cloned(), plan.host_lag_ms);
        parts.hosts = Some(HostServer::start(plan.address(plan.hosts_port), table).await?);
        Self::from_parts(parts, rows, plan.address(plan.control_port)).await
    }

    /// Wraps running stand-ins and starts their control server.
    pub(crate) async fn from_parts(
        parts: StandinParts,
        rows: Vec<HostRow>,
        control: SocketAddr,
    ) -> Result<Self, StandinError> {
        let parts = Arc::new(parts);
        let control = start_control(control, &parts).await?;
        Ok(Self { parts, control, rows })
    }

    /// Returns the listen addresses of all servers.
    #[must_use]
    pub fn addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            control: self.control.address(),
            store: self.parts.store.as_ref().map(StoreServer::address),
            hosts: self.parts.hosts.as_ref().map(HostServer::address),
            workers: self.rows.clone(),
        }
    }

    /// Returns the store's listen address.
    ///
    /// # Panics
    ///
    /// Panics if the platform was started without a store, which [`StandinPlatform::start`] never
    /// does.
    #[must_use]
    pub fn store_address(&self) -> SocketAddr {
        self.parts.store.as_ref().map(StoreServer::address).expect("a platform has a store")
    }

    /// Returns the host list's listen address.
    ///
    /// # Panics
    ///
    /// Panics if the platform was started without a host list, which [`StandinPlatform::start`]
    /// never does.
    #[must_use]
    pub fn hosts_address(&self) -> SocketAddr {
        self.parts.hosts.as_ref().map(HostServer::address).expect("a platform has a host list")
    }

    /// Returns the control server's listen address.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the workers as listed by the host list at the start.
    #[must_use]
    pub fn rows(&self) -> &[HostRow] {
        &self.rows
    }

    /// Changes the faults that the stand-ins inject.
    ///
    /// # Errors
    ///
    /// Returns an error if a named worker does not exist; nothing is changed in that case.
    pub fn change_faults(&self, faults: &PlatformFaults) -> Result<(), StandinError> {
        self.parts.change_faults(faults).map_err(StandinError::UnknownWorker)
    }

    /// Changes the faults that the store injects.
    pub fn change_store(&self, faults: &StoreFaults) {
        if let Some(store) = &self.parts.store {
            store.change_faults(faults);
        }
    }

    /// Changes the host list and its faults.
    pub fn change_hosts(&self, faults: &HostFaults) {
        if let Some(hosts) = &self.parts.hosts {
            hosts.change_faults(faults);
        }
    }

    /// Changes the faults that a worker injects.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker does not exist.
    pub fn change_worker(
        &self,
        worker: &WorkerName,
        faults: &WorkerFaults,
    ) -> Result<(), StandinError> {
        match self.parts.workers.get(worker) {
            Some(server) => {
                server.change_faults(faults);
                Ok(())
            }
            None => Err(StandinError::UnknownWorker(worker.clone())),
        }
    }

    /// Returns all runs that the workers recorded, in order of start.
    #[must_use]
    pub fn observed_runs(&self) -> Vec<ObservedRun> {
        self.parts.observed_runs()
    }

    /// Returns the store's call counters.
    #[must_use]
    pub fn store_stats(&self) -> StoreStats {
        self.parts.store_stats()
    }

    /// Returns the writes of ownership records and of the manifest's head, oldest first.
    #[must_use]
    pub fn store_history(&self) -> Vec<WriteRecord> {
        self.parts.store_history()
    }
}

#[derive(Debug)]
struct WorkerLocation {
    zone: ZoneName,
    rack: String,
    worker: WorkerName,
}

#[derive(Debug)]
struct WorkerBuilder<'a> {
    plan: &'a PlatformPlan,
    checkpoints: CheckpointPlace,
    random: SmallRng,
}

impl<'a> WorkerBuilder<'a> {
    fn new(plan: &'a PlatformPlan) -> Self {
        let random = SmallRng::seed_from_u64(plan.seed);
        Self { plan, checkpoints: CheckpointPlace::default(), random }
    }

    fn locations(&self) -> Result<Vec<WorkerLocation>, NameError> {
        let mut locations = Vec::new();
        for letter in ('a'..='z').take(self.plan.zones as usize) {
            for rack_number in 1..=self.plan.racks_per_zone {
                for worker_number in 1..=self.plan.workers_per_rack {
                    let rack = format!("{letter}{rack_number}");
                    let worker = WorkerName::new(&format!("{rack}-{worker_number}"))?;
                    let zone = ZoneName::new(&format!("zone-{letter}"))?;
                    locations.push(WorkerLocation { zone, rack, worker });
                }
            }
        }
        Ok(locations)
    }

    async fn start(
        &mut self,
        location: WorkerLocation,
    ) -> Result<(HostRow, WorkerServer), StandinError> {
        let plan = self.plan;
        let worker_plan = WorkerPlan {
            slots: plan.slots,
            clock_offset_ms: self.random.random_range(0..MAX_CLOCK_OFFSET_MS),
            usage_lag_ms: plan.usage_lag_ms,
            ..WorkerPlan::new(
                location.worker.clone(),
                location.zone.clone(),
                plan.capacity,
                self.random.random(),
            )
        };
        let checkpoints = self.checkpoints.clone();
        let server = WorkerServer::start(plan.address(0), worker_plan, checkpoints).await?;
        let row = HostRow {
            worker: location.worker,
            rack: location.rack.parse()?,
            zone: location.zone,
            address: server.address(),
            capacity: plan.capacity,
            state: HostState::Live,
        };
        Ok((row, server))
    }
}
