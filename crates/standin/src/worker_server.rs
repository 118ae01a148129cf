//! HTTP server of a worker.

use {
    crate::{
        CheckpointPlace, ObservedRun, WorkerFaults, WorkerPlan,
        http_server::{
            SharedState, StandinServer, read_json, respond_bad_request, respond_json,
            respond_served, run_to_completion,
        },
        worker_service::WorkerService,
    },
    damaskrack_outside::WorkerCall,
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

/// A running worker; dropping it closes its port and connections.
#[derive(Debug)]
pub struct WorkerServer {
    service: Arc<WorkerService>,
    server: StandinServer,
    tasks: JoinHandle<()>,
}

impl WorkerServer {
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
    ///     damaskrack_model::Resources,
    ///     damaskrack_standin::{CheckpointPlace, WorkerPlan, WorkerServer},
    /// };
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// let plan = WorkerPlan::new("w1".parse()?, "a".parse()?, Resources::ZERO, 7);
    /// let place = CheckpointPlace::default();
    /// let server = WorkerServer::start("127.0.0.1:0".parse()?, plan, place).await?;
    /// assert!(server.observations().is_empty());
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(
        address: SocketAddr,
        plan: WorkerPlan,
        checkpoints: CheckpointPlace,
    ) -> io::Result<Self> {
        let service = Arc::new(WorkerService::new(plan, checkpoints));
        let gate = service.gate().clone();
        let server = StandinServer::start(address, build_routes(&service), gate).await?;
        let task_service = Arc::clone(&service);
        let tasks = tokio::spawn(async move { task_service.run_task_timer().await });
        Ok(Self { service, server, tasks })
    }

    /// Returns the worker's listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.service.gate().len()
    }

    /// Changes the faults that the worker injects.
    pub fn change_faults(&self, faults: &WorkerFaults) {
        self.service.change_faults(faults);
    }

    /// Returns all runs since the server was started, in order of start.
    #[must_use]
    pub fn observations(&self) -> Vec<ObservedRun> {
        self.service.observations()
    }

    /// Returns the output of each observed run's script, in the order of the runs.
    #[must_use]
    pub fn outputs(&self) -> Vec<String> {
        self.service.outputs()
    }
}

impl Drop for WorkerServer {
    fn drop(&mut self) {
        self.tasks.abort();
    }
}

fn build_routes(service: &Arc<WorkerService>) -> Router {
    let middleware = StateMiddleware::new(SharedState::new(Arc::clone(service)));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.post("/v1/worker").to_async(serve_call);
        route.get("/v1/observer").to_async(serve_observer);
    })
}

async fn serve_call(mut state: State) -> HandlerResult {
    let service = SharedState::<WorkerService>::borrow_from(&state).clone();
    match read_json::<WorkerCall>(&mut state).await {
        Ok(call) => {
            let call_service = service.clone();
            let served = run_to_completion(async move { call_service.call(&call).await }).await;
            respond_served(state, &served, service.gate())
        }
        Err(reason) => respond_bad_request(state, reason),
    }
}

async fn serve_observer(state: State) -> HandlerResult {
    let service = SharedState::<WorkerService>::borrow_from(&state).clone();
    respond_json(state, &service.observations())
}
