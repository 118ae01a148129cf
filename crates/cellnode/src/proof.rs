//! What the store has lately shown a leader.

use {
    crate::boot_ms,
    std::sync::{Mutex, MutexGuard, PoisonError},
};

#[derive(Debug)]
struct ProofState {
    proven_ms: u64,
    has_fault: bool,
    /// How long the last call took that showed it.
    answer_ms: u64,
}

/// When the store last showed that this daemon leads, and whether calls fail.
#[derive(Debug)]
pub(crate) struct LeadProof {
    state: Mutex<ProofState>,
}

impl LeadProof {
    /// A daemon that was elected by a call sent at this time, in milliseconds since the host's boot.
    pub(crate) fn new(asked_ms: u64) -> Self {
        Self {
            state: Mutex::new(ProofState { proven_ms: asked_ms, has_fault: false, answer_ms: 0 }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ProofState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a call sent at `asked_ms` showed that this daemon leads.
    pub(crate) fn note_proof(&self, asked_ms: u64) {
        let mut state = self.lock();
        state.proven_ms = state.proven_ms.max(asked_ms);
        state.has_fault = false;
        state.answer_ms = boot_ms().saturating_sub(asked_ms);
    }

    /// Takes in that a call had no usable answer.
    pub(crate) fn note_fault(&self) {
        self.lock().has_fault = true;
    }

    /// Time since the last proof, in milliseconds, counted from the asking.
    pub(crate) fn age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.lock().proven_ms)
    }

    /// How long the store took to answer the last proof, in milliseconds.
    pub(crate) fn answer_ms(&self) -> u64 {
        self.lock().answer_ms
    }

    /// Tells whether a call has failed since the last proof.
    pub(crate) fn has_fault(&self) -> bool {
        self.lock().has_fault
    }
}
