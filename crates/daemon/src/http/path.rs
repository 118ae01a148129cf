//! Validates a request's path before it is routed.

use {super::refusal::HttpRefusal, http::Uri};

/// Refuses a path that is not UTF-8 once percent-decoded. The router would drop such a segment and
/// route the remaining path, which the caller did not request.
pub(crate) fn check_path(uri: &Uri) -> Result<(), HttpRefusal> {
    match std::str::from_utf8(&percent_decode(uri.path().as_bytes())) {
        Ok(_) => Ok(()),
        Err(_) => Err(HttpRefusal::malformed("the path is not UTF-8")),
    }
}

/// Decodes `%XX`; a `%` without two hexadecimal digits after it is kept.
fn percent_decode(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((&byte, tail)) = rest.split_first() {
        let mut code = [0];
        let is_code = byte == b'%'
            && tail.get(..2).is_some_and(|digits| hex::decode_to_slice(digits, &mut code).is_ok());
        decoded.push(if is_code { code[0] } else { byte });
        rest = if is_code { &tail[2..] } else { tail };
    }
    decoded
}
