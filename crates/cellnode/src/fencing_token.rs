//! Terms of leaders, and the fencing tokens of their requests.
//!
//! A worker does nothing for a token below the highest that it has seen. The upper half of a token is the
//! number of the leader's term, the lower half orders the requests of the term. In rows, a term is the
//! highest token that its leader may use. So a leader of a version that numbers its terms one by one, and
//! uses the term as the token of all requests, also has higher tokens than its predecessors.

/// Number of bits that order the requests of a term.
const FENCE_BITS: u32 = u32::BITS;

/// Returns the term of a leader that follows one with this term.
pub(crate) fn next_term(former: u64) -> u64 {
    let number = (former >> FENCE_BITS) + 1;
    (number << FENCE_BITS) | u64::from(u32::MAX)
}

/// Returns the token of a request with a fence.
pub(crate) fn fencing_token(term: u64, fence: u32) -> u64 {
    (term >> FENCE_BITS << FENCE_BITS) | u64::from(fence)
}

#[cfg(test)]
mod tests;
