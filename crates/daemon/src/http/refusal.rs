//! Error responses to requests that never reached the core.

use {
    super::{body::BodyError, header::HeaderError, response::json_response, work::WorkBodyError},
    damaskrack_model::{AnswerReason, WorkAnswer},
    gotham::helpers::http::Body,
    http::{HeaderValue, Response, StatusCode, header::CONNECTION},
};

/// A refused request's status, reason and detail. The request had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HttpRefusal {
    status: StatusCode,
    reason: AnswerReason,
    detail: String,
    is_closing: bool,
}

impl HttpRefusal {
    /// Creates a refusal that keeps the connection open.
    pub(crate) fn new(status: StatusCode, reason: AnswerReason, detail: impl Into<String>) -> Self {
        Self { status, reason, detail: detail.into(), is_closing: false }
    }

    /// Creates the refusal of a malformed request.
    pub(crate) fn malformed(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, AnswerReason::Invalid, detail)
    }

    /// Converts the refusal to a JSON response.
    pub(crate) fn into_response(self) -> Response<Body> {
        let answer = WorkAnswer::refused(self.reason, &self.detail);
        let mut response = json_response(self.status, &answer);
        if self.is_closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl From<serde_json::Error> for HttpRefusal {
    fn from(error: serde_json::Error) -> Self {
        Self::malformed(error.to_string())
    }
}

impl From<HeaderError> for HttpRefusal {
    fn from(fault: HeaderError) -> Self {
        Self::malformed(fault.0)
    }
}

impl From<WorkBodyError> for HttpRefusal {
    fn from(fault: WorkBodyError) -> Self {
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, AnswerReason::Invalid, fault.0)
    }
}

impl From<BodyError> for HttpRefusal {
    fn from(fault: BodyError) -> Self {
        let mut reason = AnswerReason::Invalid;
        let (status, detail) = match fault {
            BodyError::NoSpace => {
                reason = AnswerReason::Overloaded;
                let detail = "too many bodies are being received";
                (StatusCode::SERVICE_UNAVAILABLE, detail.to_owned())
            }
            BodyError::TooLong(limit) => {
                (StatusCode::PAYLOAD_TOO_LARGE, format!("the body has more than {limit} bytes"))
            }
            BodyError::TooSlow => {
                (StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time".to_owned())
            }
            BodyError::Incomplete => {
                (StatusCode::BAD_REQUEST, "the connection ended inside the body".to_owned())
            }
            BodyError::NotUtf8(offset) => {
                (StatusCode::BAD_REQUEST, format!("the body is not UTF-8 at byte {offset}"))
            }
        };
        // The unread rest of the body would be parsed as the next request.
        Self { is_closing: true, ..Self::new(status, reason, detail) }
    }
}
