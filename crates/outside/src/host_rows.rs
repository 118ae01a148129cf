//! Decoding of the host list, row by row: a row that cannot be decoded costs no other one.

use crate::HostRow;

/// Decodes the rows of a JSON array and leaves out those that are not valid; `None` if the text is no array.
pub(crate) fn decode_rows(text: &[u8]) -> Option<Vec<HostRow>> {
    let rows = split_rows(text.trim_ascii())?;
    Some(rows.into_iter().filter_map(|row| serde_json::from_slice(row).ok()).collect())
}

/// Splits an array at its own commas, whatever its rows contain.
fn split_rows(array: &[u8]) -> Option<Vec<&[u8]>> {
    let rows = array.strip_prefix(b"[")?.strip_suffix(b"]")?;
    let mut found = Vec::new();
    let (mut start, mut depth) = (0, 0_usize);
    let (mut is_text, mut is_escaped) = (false, false);
    for (index, byte) in rows.iter().enumerate() {
        match (is_text, byte) {
            (true, _) if is_escaped => is_escaped = false,
            (true, b'\\') => is_escaped = true,
            (_, b'"') => is_text = !is_text,
            (true, _) => {}
            (false, b'[' | b'{') => depth += 1,
            (false, b']' | b'}') => depth = depth.checked_sub(1)?,
            (false, b',') if depth == 0 => {
                found.push(&rows[start..index]);
                start = index + 1;
            }
            (false, _) => {}
        }
    }
    found.push(&rows[start..]);
    (depth == 0 && !is_text).then_some(found)
}

#[cfg(test)]
mod tests;
