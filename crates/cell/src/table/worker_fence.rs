//! The order of the requests to a worker, across its incarnations.

/// Largest number of a fence.
const MAX_NUMBER: u32 = u32::MAX;

/// The number that requests to a worker carry beside the leader's term. A worker does nothing for a
/// number below the highest that it has seen.
///
/// An acknowledgement of ends without a response may be carried out late, and then by another
/// incarnation under the same id, which counts its ends anew. It must not discard ends that nobody has
/// read. So every start request has a higher number than all acknowledgements whose responses are
/// missing, and so has every request to a new incarnation: whoever has run something for this leader
/// refuses them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerFence {
    number: u32,
    /// An acknowledgement with this number has no response yet.
    has_open_acknowledgement: bool,
}

impl WorkerFence {
    /// Returns a fence whose requests supersede those of this one.
    pub(crate) fn next(mut self) -> Self {
        self.advance();
        self
    }

    /// Returns the number of the next request.
    pub(crate) fn number(self) -> u32 {
        self.number
    }

    /// Returns whether a request with a number is refused once a later one has been carried out.
    pub(crate) fn supersedes(self, number: u32) -> bool {
        number < self.number
    }

    /// Returns the number of a start request sent now.
    pub(crate) fn number_for_start(&mut self) -> u32 {
        if self.has_open_acknowledgement {
            self.advance();
        }
        self.number
    }

    /// Returns whether an acknowledgement can be superseded by later requests.
    pub(crate) fn allows_acknowledgement(self) -> bool {
        self.number < MAX_NUMBER
    }

    /// Records that an acknowledgement is sent with the current number.
    pub(crate) fn open_acknowledgement(&mut self) {
        self.has_open_acknowledgement = true;
    }

    /// Records that an acknowledgement with this number has had its response, so it will not be
    /// carried out any more.
    pub(crate) fn close_acknowledgement(&mut self, number: u32) {
        if number == self.number {
            self.has_open_acknowledgement = false;
        }
    }

    /// Makes all later requests supersede the former ones.
    pub(crate) fn advance(&mut self) {
        self.number = self.number.saturating_add(1);
        self.has_open_acknowledgement = false;
    }
}
