//! Reads a request's body within its bounds.

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

/// Longest time that the rest of a refused body is read for, in milliseconds. A sender that is
/// cut off while it still writes may never see the refusal.
const DRAIN_TIMEOUT_MS: u64 = 500;
/// Most bytes of a refused body that are read, as a multiple of the bound.
const MAX_DRAIN_FACTOR: usize = 64;

/// Why a body cannot be used. The request had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than the bound, in bytes.
    TooLong(usize),
    /// It did not arrive in time.
    TooSlow,
    /// The connection ended inside it.
    Incomplete,
    /// It is not UTF-8; the first such byte is at this place.
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

async fn read_bytes(body: &mut Body, bound: usize) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > bound {
                return Err(BodyError::TooLong(bound));
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

/// Reads and drops the rest of a body, within bounds.
async fn drain(body: &mut Body, bound: usize) {
    let read = async {
        let mut left = bound.saturating_mul(MAX_DRAIN_FACTOR);
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(length) {
                Some(rest) => left = rest,
                None => break,
            }
        }
    };
    let _ = timeout(Duration::from_millis(DRAIN_TIMEOUT_MS), read).await;
}
