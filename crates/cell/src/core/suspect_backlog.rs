//! What placements left waiting, as far as the number of probations depends on it.

/// Time for which little of the capacity has to be in use until suspects get all idle workers, in
/// milliseconds.
const LOW_USE_MS: u64 = 1_000;

/// Steps that placements left waiting.
#[derive(Debug, Default)]
pub(super) struct SuspectBacklog {
    /// Number of steps with suspects that waited at the last placement.
    waiting: usize,
    /// Other steps waited then, for capacity or tickets.
    have_others_waited: bool,
    /// The same of the present placement, so far.
    blocked: usize,
    has_others: bool,
    /// Suspects have waited since this leader began.
    have_suspects_waited: bool,
    /// Since when little of the capacity has been in use, once suspects have waited.
    low_use_since_ms: Option<u64>,
}

impl SuspectBacklog {
    /// Begins a placement. `is_use_low` tells whether little of the capacity is in use; it matters only
    /// once suspects have waited.
    pub(super) fn begin(&mut self, now_ms: u64, is_use_low: bool) {
        self.waiting = std::mem::take(&mut self.blocked);
        self.have_others_waited = std::mem::take(&mut self.has_others);
        self.low_use_since_ms = match is_use_low {
            true => self.low_use_since_ms.or(Some(now_ms)),
            false => None,
        };
    }

    /// Returns whether suspects have waited since this leader began.
    pub(super) fn have_suspects_waited(&self) -> bool {
        self.have_suspects_waited
    }

    /// Returns whether steps without suspects waited at the last placement.
    pub(super) fn have_others_waited(&self) -> bool {
        self.have_others_waited
    }

    /// Records that a step's suspects wait for workers.
    pub(super) fn record_suspects(&mut self) {
        self.blocked += 1;
        self.have_suspects_waited = true;
    }

    /// Records that a step without suspects waits.
    pub(super) fn record_other(&mut self) {
        self.has_others = true;
    }

    /// Returns the number of steps with suspects that waited at the last placement.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns whether little of the capacity has been in use for some time.
    pub(super) fn has_use_been_low(&self, now_ms: u64) -> bool {
        self.low_use_since_ms.is_some_and(|since_ms| now_ms >= since_ms + LOW_USE_MS)
    }
}
