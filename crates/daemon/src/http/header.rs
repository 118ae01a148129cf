//! Parses the request headers that the daemon uses.

use {
    damaskrack_node::PresentedKey,
    http::{HeaderMap, HeaderName, header::AUTHORIZATION},
};

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Scheme of the `Authorization` header, including the space after it.
const BEARER: &str = "bearer ";

/// Message about an invalid header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeaderError(pub(crate) String);

/// Returns the value of a header that may occur once only. Implementations differ in which of two
/// values they use, so a request with both is refused.
pub(crate) fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(HeaderError(format!("the header `{name}` stands more than once")));
    }
    let not_text = |_| HeaderError(format!("the header `{name}` is not visible ASCII text"));
    value.to_str().map(Some).map_err(not_text)
}

/// Returns the key of `Authorization: Bearer KEY`.
pub(crate) fn presented_key(headers: &HeaderMap) -> Result<Option<PresentedKey>, HeaderError> {
    let Some(text) = single_header(headers, &AUTHORIZATION)? else { return Ok(None) };
    match text.split_at_checked(BEARER.len()) {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case(BEARER) && !key.trim().is_empty() => {
            Ok(Some(PresentedKey { text: key.trim().to_owned() }))
        }
        _ => Err(HeaderError("expected `Authorization: Bearer NAME.SECRET`".to_owned())),
    }
}

/// Returns the value of `Idempotency-Key`, the caller's own name for its work.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, HeaderError> {
    let name = HeaderName::from_static("idempotency-key");
    match single_header(headers, &name)? {
        None => Ok(None),
        Some(text) if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            let bound = MAX_IDEMPOTENCY_KEY_BYTES;
            Err(HeaderError(format!("the header `{name}` must have 1 to {bound} bytes")))
        }
        Some(text) => Ok(Some(text.to_owned())),
    }
}
