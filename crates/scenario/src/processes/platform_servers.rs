//! Servers of the stand-ins, with the host names that scripts use.

use {
    crate::script::CellPlan,
    damaskrack_model::WorkerName,
    damaskrack_outside::{HostRow, HostState},
    damaskrack_ownership::{OwnerRecord, PieceName},
    damaskrack_standin::{
        CheckpointPlace, HostServer, HostTable, StorePlan, StoreServer, WorkerPlan, WorkerServer,
    },
    rand::{Rng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
    },
};

/// Upper bound of the offset of a worker's clock, in milliseconds.
const MAX_CLOCK_OFFSET_MS: u64 = 1_000_000_000;

/// Servers of the store, the host list and the workers.
#[derive(Debug)]
pub(crate) struct PlatformServers {
    pub(crate) store: StoreServer,
    pub(crate) hosts: HostServer,
    pub(crate) workers: Vec<(WorkerName, WorkerServer)>,
}

impl PlatformServers {
    pub(crate) async fn start(cell: &CellPlan, rng: &mut SmallRng) -> anyhow::Result<Self> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = StoreServer::start(any_port, StorePlan::default(), rng.random()).await?;
        let checkpoints = CheckpointPlace::default();
        let (mut workers, mut rows) = (Vec::new(), Vec::new());
        for index in 0..cell.racks * cell.workers_per_rack {
            let rack_index = index / cell.workers_per_rack;
            let worker: WorkerName = format!("worker-{}", index + 1).parse()?;
            let zone = format!("zone-{}", rack_index % cell.zones + 1);
            let plan = WorkerPlan {
                slots: cell.slots,
                clock_offset_ms: rng.random_range(0..MAX_CLOCK_OFFSET_MS),
                ..WorkerPlan::new(worker.clone(), zone.parse()?, cell.capacity, rng.random())
            };
            let server = WorkerServer::start(any_port, plan, checkpoints.clone()).await?;
            rows.push(HostRow {
                worker: worker.clone(),
                rack: format!("rack-{}", rack_index + 1).parse()?,
                zone: zone.parse()?,
                address: server.address(),
                capacity: cell.capacity,
                state: HostState::Live,
            });
            workers.push((worker, server));
        }
        let table = HostTable::with_rows(rows, cell.host_lag_ms);
        let hosts = HostServer::start(any_port, table).await?;
        Ok(Self { store, hosts, workers })
    }

    /// Returns the latest ownership record of each piece.
    pub(crate) fn owners(&self) -> BTreeMap<PieceName, OwnerRecord> {
        let mut owners = BTreeMap::new();
        for write in self.store.history() {
            let record = write.value.as_deref().map(OwnerRecord::from_json);
            if let (Some(piece), Some(Ok(record))) = (PieceName::from_store_key(&write.key), record)
            {
                owners.insert(piece, record);
            }
        }
        owners
    }
}
