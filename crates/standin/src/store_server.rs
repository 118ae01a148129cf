//! HTTP server of the store.

use {
    crate::{
        StoreFaults, StorePlan, StoreStats, WriteRecord,
        http_server::{
            SharedState, StandinServer, read_json, respond_bad_request, respond_served,
            run_to_completion,
        },
        store_service::StoreService,
    },
    damaskrack_outside::StoreCall,
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::{DefineSingleRoute, DrawRoutes, FromState},
        router::{Router, build_router},
        state::State,
    },
    std::{io, net::SocketAddr, sync::Arc},
    tokio::task::JoinHandle,
};

/// A running store; dropping it closes its port and connections.
#[derive(Debug)]
pub struct StoreServer {
    service: Arc<StoreService>,
    server: StandinServer,
    leases: JoinHandle<()>,
}

impl StoreServer {
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
    ///     damaskrack_outside::{HttpStore, PlatformStore, StoreCall, StoreReply},
    ///     damaskrack_standin::{StorePlan, StoreServer},
    /// };
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// let server = StoreServer::start("127.0.0.1:0".parse()?, StorePlan::default(), 1).await?;
    /// let store = HttpStore::new(server.address());
    /// let reply = store.call(&StoreCall::Get { key: "a".to_owned() }, 1_000).await;
    /// assert_eq!(reply, Ok(StoreReply::Entries { entries: Vec::new(), revision: 0 }));
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(address: SocketAddr, plan: StorePlan, seed: u64) -> io::Result<Self> {
        let service = Arc::new(StoreService::new(plan, seed));
        let gate = service.gate().clone();
        let server = StandinServer::start(address, build_routes(&service), gate).await?;
        let lease_service = Arc::clone(&service);
        let leases = tokio::spawn(async move { lease_service.run_lease_timer().await });
        Ok(Self { service, server, leases })
    }

    /// Returns the store's listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults that the store injects.
    pub fn change_faults(&self, faults: &StoreFaults) {
        self.service.change_faults(faults);
    }

    /// Returns the call counters.
    #[must_use]
    pub fn stats(&self) -> StoreStats {
        self.service.stats()
    }

    /// Returns the writes of ownership records and of the manifest's head, oldest first.
    #[must_use]
    pub fn history(&self) -> Vec<WriteRecord> {
        self.service.history()
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.leases.abort();
    }
}

fn build_routes(service: &Arc<StoreService>) -> Router {
    let middleware = StateMiddleware::new(SharedState::new(Arc::clone(service)));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.post("/v1/store").to_async(serve_call);
    })
}

async fn serve_call(mut state: State) -> HandlerResult {
    let service = SharedState::<StoreService>::borrow_from(&state).clone();
    match read_json::<StoreCall>(&mut state).await {
        Ok(call) => {
            let call_service = service.clone();
            let served = run_to_completion(async move { call_service.call(&call).await }).await;
            respond_served(state, &served, service.gate())
        }
        Err(reason) => respond_bad_request(state, reason),
    }
}
