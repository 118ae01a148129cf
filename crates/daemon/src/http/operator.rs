//! Routes and handlers of the operators' port.

use {
    super::{
        HttpShared,
        body::{BodyText, read_text},
        header::{HeaderError, presented_key, single_header},
        refusal::HttpRefusal,
        response::{ROUTER_ERROR_STATUSES, add_refusal_body, answer_status, json_response},
    },
    crate::calls::CallResponse,
    damaskrack_manifest::{KeyCheckOutcome, check_key},
    damaskrack_model::{AnswerReason, OutcomeKind},
    damaskrack_node::OperatorRequest,
    gotham::{
        handler::HandlerError,
        helpers::http::Body,
        prelude::{DefineSingleRoute, DrawRoutes},
        router::{Router, builder::build_simple_router},
        state::{FromState, State},
    },
    http::{
        HeaderMap, HeaderValue, Response, StatusCode,
        header::{ETAG, IF_MATCH},
    },
    serde::Deserialize,
    serde_json::{Value, json},
};

/// A manifest with the version that it replaces.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PutBody {
    base: u64,
    manifest: Value,
}

/// Creates the router of the operators' port.
pub(crate) fn operator_router() -> Router {
    build_simple_router(|route| {
        for status in ROUTER_ERROR_STATUSES {
            route.add_response_extender(status, add_refusal_body);
        }
        route.get("/healthz").to_async_borrowing(get_health);
        route.get("/readyz").to_async_borrowing(get_ready);
        route.put("/v1/manifest").to_async_borrowing(put_manifest);
        route.get("/v1/manifest").to_async_borrowing(get_manifest);
        route.get("/v1/state").to_async_borrowing(get_state);
    })
}

async fn get_health(state: &mut State) -> Result<Response<Body>, HandlerError> {
    let shared = HttpShared::borrow_from(state);
    Ok(probe_response(shared.dispatcher.is_alive(shared.clock.now())))
}

async fn get_ready(state: &mut State) -> Result<Response<Body>, HandlerError> {
    Ok(probe_response(HttpShared::borrow_from(state).dispatcher.is_ready()))
}

fn probe_response(is_healthy: bool) -> Response<Body> {
    let status = if is_healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, &json!({ "ok": is_healthy }))
}

async fn put_manifest(state: &mut State) -> Result<Response<Body>, HandlerError> {
    Ok(put_authorized(state).await.unwrap_or_else(HttpRefusal::into_response))
}

async fn get_manifest(state: &mut State) -> Result<Response<Body>, HandlerError> {
    Ok(get_authorized(state).await.unwrap_or_else(HttpRefusal::into_response))
}

async fn get_state(state: &mut State) -> Result<Response<Body>, HandlerError> {
    Ok(dump_authorized(state).await.unwrap_or_else(HttpRefusal::into_response))
}

async fn put_authorized(state: &mut State) -> Result<Response<Body>, HttpRefusal> {
    authorize_operator(state)?;
    let base = match_version(HeaderMap::borrow_from(state))?;
    let BodyText { text, _guard: guard } = read_text(state).await?;
    let request = put_request(base, text)?;
    let shared = HttpShared::borrow_from(state).clone();
    let response = shared.dispatcher.dispatch_operator(request).await;
    // The core keeps one manifest; this one has taken its space until here.
    drop(guard);
    Ok(change_response(&response))
}

/// Takes the base version from `If-Match`, in which case the body is the manifest, or else both
/// from the body.
fn put_request(base: Option<u64>, text: String) -> serde_json::Result<OperatorRequest> {
    match base {
        Some(base) => {
            serde_json::from_str::<serde::de::IgnoredAny>(&text)?;
            Ok(OperatorRequest::ManifestPut { base, json: text })
        }
        None => {
            let body: PutBody = serde_json::from_str(&text)?;
            let json = body.manifest.to_string();
            Ok(OperatorRequest::ManifestPut { base: body.base, json })
        }
    }
}

fn match_version(headers: &HeaderMap) -> Result<Option<u64>, HeaderError> {
    let Some(text) = single_header(headers, &IF_MATCH)? else { return Ok(None) };
    let malformed = |_| HeaderError("expected a manifest version in `If-Match`".to_owned());
    text.trim_matches('"').parse().map(Some).map_err(malformed)
}

async fn get_authorized(state: &mut State) -> Result<Response<Body>, HttpRefusal> {
    authorize_operator(state)?;
    let shared = HttpShared::borrow_from(state).clone();
    let response = shared.dispatcher.dispatch_operator(OperatorRequest::ManifestGet).await;
    if response.answer.outcome != OutcomeKind::Done {
        return Ok(change_response(&response));
    }
    let manifest: Value = serde_json::from_str(&response.answer.detail).unwrap_or(Value::Null);
    let body = json!({ "version": response.version, "manifest": manifest });
    Ok(with_version(json_response(StatusCode::OK, &body), response.version))
}

async fn dump_authorized(state: &mut State) -> Result<Response<Body>, HttpRefusal> {
    authorize_operator(state)?;
    let shared = HttpShared::borrow_from(state).clone();
    match shared.dispatcher.dump().await {
        Some(tables) => Ok(json_response(StatusCode::OK, &tables)),
        None => Err(HttpRefusal::new(
            StatusCode::SERVICE_UNAVAILABLE,
            AnswerReason::Overloaded,
            "the daemon is too busy for a dump or is shutting down",
        )),
    }
}

fn change_response(response: &CallResponse) -> Response<Body> {
    let body = json!({
        "version": response.version,
        "outcome": response.answer.outcome,
        "reason": response.answer.reason,
        "detail": response.answer.detail,
    });
    with_version(json_response(answer_status(&response.answer), &body), response.version)
}

fn with_version(mut response: Response<Body>, version: u64) -> Response<Body> {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

/// Refuses a request without a valid operator key. The key is compared in constant time.
fn authorize_operator(state: &State) -> Result<(), HttpRefusal> {
    let shared = HttpShared::borrow_from(state);
    let key = presented_key(HeaderMap::borrow_from(state))?;
    let presented = key.as_ref().map_or("", |key| &key.text);
    match check_key(&shared.operator_keys, presented, shared.clock.now().0) {
        KeyCheckOutcome::Valid { .. } => Ok(()),
        KeyCheckOutcome::Refused => {
            shared.metrics.count("operator.key_refused", 1);
            let detail = "no operator's key was shown";
            Err(HttpRefusal::new(StatusCode::UNAUTHORIZED, AnswerReason::KeyRefused, detail))
        }
    }
}
