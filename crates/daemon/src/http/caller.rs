//! Routes and handlers of the callers' port.

use {
    super::{
        HttpShared,
        body::read_text,
        header::{idempotency_key, presented_key},
        refusal::HttpRefusal,
        response::{ROUTER_ERROR_STATUSES, add_refusal_body, answer_response},
        stream::WaitFlag,
        work::WorkBody,
    },
    damaskrack_model::{AnswerReason, JobId, OutcomeKind, WorkAnswer},
    damaskrack_node::CallerRequest,
    gotham::{
        handler::HandlerError,
        helpers::http::Body,
        prelude::{DefineSingleRoute, DrawRoutes},
        router::{Router, builder::build_simple_router, response::StaticResponseExtender},
        state::{FromState, State, StateData},
    },
    http::{HeaderMap, Response, StatusCode, Version},
    serde::Deserialize,
};

/// Path parameters of the job routes.
#[derive(Debug, Deserialize)]
struct JobPath {
    job: String,
}

impl StateData for JobPath {}

impl StaticResponseExtender for JobPath {
    type ResBody = Body;

    fn extend(_: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

/// Operation of a request on an existing job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobOperation {
    Query,
    Cancel,
}

/// Creates the router of the callers' port.
pub(crate) fn caller_router() -> Router {
    build_simple_router(|route| {
        for status in ROUTER_ERROR_STATUSES {
            route.add_response_extender(status, add_refusal_body);
        }
        route.post("/v1/requests").to_async_borrowing(post_request);
        route.post("/v1/jobs").to_async_borrowing(post_job);
        route.get("/v1/jobs/:job").with_path_extractor::<JobPath>().to_async_borrowing(get_job);
        route
            .delete("/v1/jobs/:job")
            .with_path_extractor::<JobPath>()
            .to_async_borrowing(delete_job);
    })
}

async fn post_request(state: &mut State) -> Result<Response<Body>, HandlerError> {
    Ok(submit(state, true).await.unwrap_or_else(HttpRefusal::into_response))
}

async fn post_job(state: &mut State) -> Result<Response<Body>, HandlerError> {
    Ok(submit(state, false).await.unwrap_or_else(HttpRefusal::into_response))
}

async fn get_job(state: &mut State) -> Result<Response<Body>, HandlerError> {
    Ok(handle_job(state, JobOperation::Query).await.unwrap_or_else(HttpRefusal::into_response))
}

async fn delete_job(state: &mut State) -> Result<Response<Body>, HandlerError> {
    Ok(handle_job(state, JobOperation::Cancel).await.unwrap_or_else(HttpRefusal::into_response))
}

async fn submit(state: &mut State, is_waiting: bool) -> Result<Response<Body>, HttpRefusal> {
    let headers = HeaderMap::borrow_from(state);
    let (key, idempotency_key) = (presented_key(headers)?, idempotency_key(headers)?);
    let received = read_text(state).await?;
    let body: WorkBody = serde_json::from_str(&received.text)?;
    drop(received);
    let max_tasks = HttpShared::borrow_from(state).tasks_per_job;
    let (queue, spec) = if is_waiting { body.into_request()? } else { body.into_job(max_tasks)? };
    let request = CallerRequest::Submit { key, queue, idempotency_key, is_waiting, spec };
    Ok(answer_response(&dispatch(state, request).await))
}

async fn handle_job(
    state: &mut State,
    operation: JobOperation,
) -> Result<Response<Body>, HttpRefusal> {
    let key = presented_key(HeaderMap::borrow_from(state))?;
    let path = JobPath::borrow_from(state);
    let job: JobId = path.job.parse().map_err(|_| {
        let detail = "not a job id; expected TEAM~QUEUE~16 hexadecimal digits";
        HttpRefusal::new(StatusCode::NOT_FOUND, AnswerReason::UnknownJob, detail)
    })?;
    let request = match operation {
        JobOperation::Query => CallerRequest::Query { key, job },
        JobOperation::Cancel => CallerRequest::Cancel { key, job },
    };
    Ok(answer_response(&dispatch(state, request).await))
}

/// Sends a request to the core and waits for its answer. If the caller disconnects meanwhile, the
/// core is told.
async fn dispatch(state: &mut State, request: CallerRequest) -> WorkAnswer {
    let shared = HttpShared::borrow_from(state).clone();
    let flag = WaitFlag::borrow_from(state).clone();
    let _waiting = flag.begin_wait(*Version::borrow_from(state));
    let started = shared.clock.now();
    let answer = shared.dispatcher.dispatch_caller(request).await;
    shared.metrics.count(outcome_metric(answer.outcome), 1);
    shared.metrics.timing("caller.answer_ms", shared.clock.now().since(started));
    answer
}

fn outcome_metric(outcome: OutcomeKind) -> &'static str {
    match outcome {
        OutcomeKind::Done => "caller.done",
        OutcomeKind::Failed => "caller.failed",
        OutcomeKind::NotRun => "caller.not_run",
        OutcomeKind::Unknown => "caller.unknown",
    }
}
