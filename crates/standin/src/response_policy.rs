//! Delays and losses of responses.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Changes to the response faults; omitted settings stay unchanged.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ResponseFaults {
    pub(crate) delay_ms: Option<u64>,
    pub(crate) jitter_ms: Option<u64>,
    pub(crate) lose_answers: Option<f64>,
}

/// Delays before and after one call takes effect, and whether its response is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponsePlan {
    pub(crate) before_ms: u64,
    pub(crate) after_ms: u64,
    pub(crate) is_lost: bool,
}

/// Draws a random [`ResponsePlan`] for each call.
#[derive(Debug)]
pub(crate) struct ResponsePolicy {
    delay_ms: u64,
    jitter_ms: u64,
    lose_answers: f64,
    random: SmallRng,
}

impl ResponsePolicy {
    pub(crate) fn new(seed: u64) -> Self {
        let random = SmallRng::seed_from_u64(seed);
        Self { delay_ms: 0, jitter_ms: 0, lose_answers: 0.0, random }
    }

    pub(crate) fn change(&mut self, faults: ResponseFaults) {
        self.delay_ms = faults.delay_ms.unwrap_or(self.delay_ms);
        self.jitter_ms = faults.jitter_ms.unwrap_or(self.jitter_ms);
        self.lose_answers = faults.lose_answers.unwrap_or(self.lose_answers).clamp(0.0, 1.0);
    }

    pub(crate) fn draw(&mut self) -> ResponsePlan {
        let jitter_ms = self.random.random_range(0..=self.jitter_ms);
        let delay_ms = self.delay_ms.saturating_add(jitter_ms);
        let before_ms = delay_ms / 2;
        let is_lost = self.random.random_bool(self.lose_answers);
        ResponsePlan { before_ms, after_ms: delay_ms - before_ms, is_lost }
    }
}
