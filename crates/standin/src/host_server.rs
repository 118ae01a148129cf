//! HTTP server of the host list.

use {
    crate::{
        HostTable,
        common_clock::common_now_ms,
        connection_gate::ConnectionGate,
        http_server::{ServedCall, SharedState, StandinServer, respond_served},
    },
    damaskrack_model::WorkerName,
    damaskrack_outside::{HostRow, HostState},
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::{DefineSingleRoute, DrawRoutes, FromState},
        router::{Router, build_router},
        state::State,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Changes to the host list and its faults; omitted settings stay unchanged.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::HostFaults;
///
/// let faults: HostFaults = serde_json::from_str(r#"{"mark":{"a1-1":"leaving"}}"#)?;
/// assert_eq!(faults.mark.len(), 1);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostFaults {
    /// Whether reads of the list are refused.
    pub outage: Option<bool>,
    /// Time until later changes become visible, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Hosts whose state changes, with the new state.
    pub mark: BTreeMap<WorkerName, HostState>,
    /// Hosts that are added or replaced.
    pub put: Vec<HostRow>,
    /// Hosts that are removed from the list.
    pub remove: Vec<WorkerName>,
}

#[derive(Debug)]
struct HostService {
    table: Mutex<HostTable>,
    gate: ConnectionGate,
}

impl HostService {
    fn lock(&self) -> MutexGuard<'_, HostTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running host list; dropping it closes its port and connections.
#[derive(Debug)]
pub struct HostServer {
    service: Arc<HostService>,
    server: StandinServer,
}

impl HostServer {
    /// Listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    ///
    /// # Examples
    ///
    /// ```
    /// use {
    ///     damaskrack_outside::{HostList, HttpHosts},
    ///     damaskrack_standin::{HostServer, HostTable},
    /// };
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// let server = HostServer::start("127.0.0.1:0".parse()?, HostTable::new(0)).await?;
    /// let hosts = HttpHosts::new(server.address());
    /// assert_eq!(hosts.read(1_000).await, Some(Vec::new()));
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(address: SocketAddr, table: HostTable) -> io::Result<Self> {
        let gate = ConnectionGate::new(usize::MAX);
        let service = Arc::new(HostService { table: Mutex::new(table), gate: gate.clone() });
        let server = StandinServer::start(address, build_routes(&service), gate).await?;
        Ok(Self { service, server })
    }

    /// Returns the server's listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Applies changes to the list and its faults.
    pub fn change_faults(&self, faults: &HostFaults) {
        let now_ms = common_now_ms();
        let mut table = self.service.lock();
        if let Some(is_out) = faults.outage {
            table.set_outage(is_out);
        }
        if let Some(lag_ms) = faults.lag_ms {
            table.set_lag_ms(lag_ms);
        }
        for row in &faults.put {
            table.put(row.clone(), now_ms);
        }
        for (worker, host_state) in &faults.mark {
            table.mark(worker, *host_state, now_ms);
        }
        for worker in &faults.remove {
            table.remove(worker, now_ms);
        }
    }
}

fn build_routes(service: &Arc<HostService>) -> Router {
    let middleware = StateMiddleware::new(SharedState::new(Arc::clone(service)));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/v1/hosts").to_async(serve_list);
    })
}

async fn serve_list(state: State) -> HandlerResult {
    let service = SharedState::<HostService>::borrow_from(&state).clone();
    let rows = service.lock().read(common_now_ms());
    let served = rows.map_or(ServedCall::Refused, ServedCall::Answered);
    respond_served(state, &served, &service.gate)
}
