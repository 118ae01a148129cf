//! Converts the core's answers to HTTP responses.
//!
//! Every response of the callers' port, including those to malformed requests, has the same JSON
//! form, so that a client needs one parser and a refusal always says whether the work was run.

use {
    super::refusal::HttpRefusal,
    bytes::Bytes,
    damaskrack_model::{AnswerReason, OutcomeKind, WorkAnswer},
    gotham::{helpers::http::Body, state::State},
    http::{
        HeaderValue, Response, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER},
    },
    http_body_util::{BodyExt, Full},
    serde::Serialize,
};

/// Time after which a caller should retry a request that was shed, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Statuses that the router itself responds with.
pub(crate) const ROUTER_ERROR_STATUSES: [StatusCode; 3] =
    [StatusCode::NOT_FOUND, StatusCode::METHOD_NOT_ALLOWED, StatusCode::BAD_REQUEST];

/// Creates a JSON response.
pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
        let seconds = HeaderValue::from_static(RETRY_AFTER_S);
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Creates the response to a caller.
pub(crate) fn answer_response(answer: &WorkAnswer) -> Response<Body> {
    json_response(answer_status(answer), answer)
}

/// Returns the HTTP status for an answer.
pub(crate) fn answer_status(answer: &WorkAnswer) -> StatusCode {
    match answer.outcome {
        OutcomeKind::Done => done_status(answer.reason),
        OutcomeKind::Failed => StatusCode::OK,
        OutcomeKind::NotRun => refusal_status(answer.reason),
        OutcomeKind::Unknown => StatusCode::BAD_GATEWAY,
    }
}

fn done_status(reason: AnswerReason) -> StatusCode {
    match reason {
        AnswerReason::Accepted | AnswerReason::Spreading => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    }
}

fn refusal_status(reason: AnswerReason) -> StatusCode {
    match reason {
        AnswerReason::Accepted | AnswerReason::Spreading => StatusCode::ACCEPTED,
        AnswerReason::KeyRefused => StatusCode::UNAUTHORIZED,
        AnswerReason::UnknownQueue | AnswerReason::UnknownJob => StatusCode::NOT_FOUND,
        AnswerReason::Cancelled | AnswerReason::Conflict => StatusCode::CONFLICT,
        AnswerReason::Invalid | AnswerReason::TooLarge | AnswerReason::AboveLimit => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        AnswerReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        AnswerReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        AnswerReason::Ok
        | AnswerReason::Isolated
        | AnswerReason::Leaving
        | AnswerReason::StoreUnavailable
        | AnswerReason::TaskFailed
        | AnswerReason::Lost => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Gives the router's own error responses the same JSON form as all others.
pub(crate) fn add_refusal_body(_: &mut State, response: &mut Response<Body>) {
    if response.headers().contains_key(CONTENT_TYPE) {
        return;
    }
    let detail = match response.status() {
        StatusCode::NOT_FOUND => "there is nothing at this path",
        StatusCode::METHOD_NOT_ALLOWED => "this path does not take this method",
        _ => "the request cannot be understood",
    };
    let filled = HttpRefusal::new(response.status(), AnswerReason::Invalid, detail);
    let (head, body) = filled.into_response().into_parts();
    response.headers_mut().extend(head.headers);
    *response.body_mut() = body;
}
