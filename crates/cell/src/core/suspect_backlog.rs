//! Steps that a placement left waiting, as far as the number of probations depends on them.

/// Steps that could not be placed.
#[derive(Debug, Default)]
pub(super) struct SuspectBacklog {
    /// Number of steps with suspects that waited at the last placement.
    pub(super) waiting: usize,
    /// Other steps waited for capacity then.
    pub(super) is_capacity_scarce: bool,
    /// The same of the present placement, so far.
    blocked: usize,
    has_others: bool,
}

impl SuspectBacklog {
    /// Begins a placement.
    pub(super) fn begin(&mut self) {
        self.waiting = std::mem::take(&mut self.blocked);
        self.is_capacity_scarce = std::mem::take(&mut self.has_others);
    }

    /// Records that a step's suspects wait for workers.
    pub(super) fn record_suspects(&mut self) {
        self.blocked += 1;
    }

    /// Records that a step without suspects waits for capacity.
    pub(super) fn record_other(&mut self) {
        self.has_others = true;
    }
}
