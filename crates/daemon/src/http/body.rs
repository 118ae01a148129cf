//! Reads a request's body within its size and time limits.

use {
    super::HttpShared,
    bytes::{Bytes, BytesMut},
    gotham::{
        helpers::http::Body,
        state::{FromState, State},
    },
    http::{HeaderMap, header::CONTENT_LENGTH},
    http_body_util::BodyExt,
    std::time::Duration,
    tokio::time::timeout,
};

/// Timeout for draining the rest of a refused body, in milliseconds. A client whose connection is
/// closed while it still sends may never read the response.
const DRAIN_TIMEOUT_MS: u64 = 500;
/// Maximum number of bytes drained from a refused body, as a multiple of the size limit.
const MAX_DRAIN_FACTOR: usize = 64;

/// Error of reading a body. The request had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than this limit, in bytes.
    TooLong(usize),
    /// It did not arrive within the timeout.
    TooSlow,
    /// The connection ended before the body was complete.
    Incomplete,
    /// It is not UTF-8; the first invalid byte is at this offset.
    NotUtf8(usize),
}

/// Reads the whole body as text.
pub(crate) async fn read_text(state: &mut State) -> Result<String, BodyError> {
    let shared = HttpShared::borrow_from(state).clone();
    let declared = declared_length(HeaderMap::borrow_from(state));
    let Some(mut body) = Body::try_take_from(state) else { return Err(BodyError::Incomplete) };
    if declared.is_some_and(|length| length > shared.body_bytes as u64) {
        drain(&mut body, shared.body_bytes).await;
        return Err(BodyError::TooLong(shared.body_bytes));
    }
    let read = read_bytes(&mut body, shared.body_bytes);
    let result = timeout(shared.body_timeout, read).await.unwrap_or(Err(BodyError::TooSlow));
    if matches!(result, Err(BodyError::TooLong(_))) {
        drain(&mut body, shared.body_bytes).await;
    }
    String::from_utf8(result?.into())
        .map_err(|error| BodyError::NotUtf8(error.utf8_error().valid_up_to()))
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn read_bytes(body: &mut Body, limit: usize) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > limit {
                return Err(BodyError::TooLong(limit));
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

/// Reads and drops the rest of a body, within limits.
async fn drain(body: &mut Body, limit: usize) {
    let read = async {
        let mut remaining = limit.saturating_mul(MAX_DRAIN_FACTOR);
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match remaining.checked_sub(length) {
                Some(rest) => remaining = rest,
                None => break,
            }
        }
    };
    let _ = timeout(Duration::from_millis(DRAIN_TIMEOUT_MS), read).await;
}
