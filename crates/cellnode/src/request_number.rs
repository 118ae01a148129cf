//! Numbers of the leader's requests whose responses go to whoever leads when they arrive.
//!
//! A request may outlast its leader, and the daemon then sends the response to the next one. A counter
//! alone begins anew with each leader, so the response would be taken for one to another request. The
//! number therefore has the term as well, and only the leader of that term can read the counter.

/// Number of a request, which no other request of any leader has.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct RequestNumber {
    /// Term of the leader that sent the request.
    #[prost(uint64, tag = "1")]
    term: u64,
    /// Number of the request among those of its leader.
    #[prost(uint64, tag = "2")]
    number: u64,
}

impl RequestNumber {
    pub(crate) fn new(term: u64, number: u64) -> Self {
        Self { term, number }
    }

    /// Returns the request's number among those of the leader of a term; `None` if another leader
    /// sent it.
    pub(crate) fn in_term(self, term: u64) -> Option<u64> {
        (self.term == term).then_some(self.number)
    }
}

#[cfg(test)]
mod tests;
