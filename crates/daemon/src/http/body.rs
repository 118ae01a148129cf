//! Reads a request's body within its size and time limits and the budgets for bodies.

use {
    super::HttpShared,
    bytes::Bytes,
    damaskrack_listen::{
        BodyBounds, BodyError as ReceiveError, BodyGuard, BodySource, BrokenBody, ReceivedBody,
        RequestMonitor, receive_body,
    },
    gotham::{
        helpers::http::Body,
        state::{FromState, State, StateData},
    },
    http::{HeaderMap, header::CONTENT_LENGTH},
    hyper::body::Body as _,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Error of reading a body. The request had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than this limit, in bytes.
    TooLong(usize),
    /// It did not arrive within the timeout.
    TooSlow,
    /// The connection ended before the body was complete.
    Incomplete,
    /// There was no space for it, or its space was given to another one.
    NoSpace,
    /// It is not UTF-8; the first invalid byte is at this offset.
    NotUtf8(usize),
}

/// The monitor of a request's connection, in gotham's state.
#[derive(Debug, Clone)]
pub(crate) struct ClientConnection(pub(crate) RequestMonitor);

impl StateData for ClientConnection {}

/// A body as text. Its space is reserved until the guard is dropped.
#[derive(Debug)]
pub(crate) struct BodyText {
    pub(crate) text: String,
    pub(crate) _guard: BodyGuard,
}

/// The body of a request.
struct RequestBody(Body);

impl BodySource for RequestBody {
    type Data = Bytes;

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenBody>>> {
        loop {
            let frame = match ready!(Pin::new(&mut self.0).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Poll::Ready(Some(Err(BrokenBody))),
                None => return Poll::Ready(None),
            };
            if let Ok(data) = frame.into_data() {
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }
}

/// Reads the whole body as text.
pub(crate) async fn read_text(state: &mut State) -> Result<BodyText, BodyError> {
    let (max_bytes, timeout) = {
        let shared = HttpShared::borrow_from(state);
        (shared.body_bytes, shared.body_timeout)
    };
    let ClientConnection(monitor) = ClientConnection::borrow_from(state).clone();
    let declared = declared_length(HeaderMap::borrow_from(state));
    let Some(body) = Body::try_take_from(state) else { return Err(BodyError::Incomplete) };
    let bounds = BodyBounds { max_bytes, declared, timeout };
    let received = receive_body(RequestBody(body), &monitor, bounds).await;
    let ReceivedBody { bytes, guard } = received.map_err(|error| match error {
        ReceiveError::Incomplete => BodyError::Incomplete,
        ReceiveError::TooLarge => BodyError::TooLong(max_bytes),
        ReceiveError::Late => BodyError::TooSlow,
        ReceiveError::NoSpace => BodyError::NoSpace,
    })?;
    let text = String::from_utf8(bytes)
        .map_err(|error| BodyError::NotUtf8(error.utf8_error().valid_up_to()))?;
    Ok(BodyText { text, _guard: guard })
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
