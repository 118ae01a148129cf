//! HTTP server for fault injection, counters and observed runs.
//!
//! It has a port of its own, so that faults can be ended while a stand-in's own port is cut or
//! frozen.

use {
    crate::{
        connection_gate::ConnectionGate,
        http_server::{SharedState, StandinServer, read_json, respond_bad_request, respond_json},
        standin_parts::{PlatformFaults, StandinParts},
    },
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::{DefineSingleRoute, DrawRoutes, FromState},
        router::{Router, build_router},
        state::State,
    },
    std::{io, net::SocketAddr, sync::Arc},
};

/// Starts the control server of `parts`.
pub(crate) async fn start_control(
    address: SocketAddr,
    parts: &Arc<StandinParts>,
) -> io::Result<StandinServer> {
    let gate = ConnectionGate::new(usize::MAX);
    StandinServer::start(address, build_routes(parts), gate).await
}

fn build_routes(parts: &Arc<StandinParts>) -> Router {
    let middleware = StateMiddleware::new(SharedState::new(Arc::clone(parts)));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.post("/v1/faults").to_async(serve_faults);
        route.get("/v1/stats").to_async(serve_stats);
        route.get("/v1/history").to_async(serve_history);
        route.get("/v1/observer").to_async(serve_observer);
    })
}

async fn serve_faults(mut state: State) -> HandlerResult {
    let parts = SharedState::<StandinParts>::borrow_from(&state).clone();
    let faults = match read_json::<PlatformFaults>(&mut state).await {
        Ok(faults) => faults,
        Err(reason) => return respond_bad_request(state, reason),
    };
    match parts.change_faults(&faults) {
        Ok(()) => respond_json(state, &faults),
        Err(worker) => respond_bad_request(state, format!("there is no worker {worker}")),
    }
}

async fn serve_stats(state: State) -> HandlerResult {
    let parts = SharedState::<StandinParts>::borrow_from(&state).clone();
    respond_json(state, &parts.store_stats())
}

async fn serve_history(state: State) -> HandlerResult {
    let parts = SharedState::<StandinParts>::borrow_from(&state).clone();
    respond_json(state, &parts.store_history())
}

async fn serve_observer(state: State) -> HandlerResult {
    let parts = SharedState::<StandinParts>::borrow_from(&state).clone();
    respond_json(state, &parts.observed_runs())
}
