//! Measured rates of a class of work.
//!
//! Sums that fade with time give rates that neither jump with a single start nor keep an old state for long.

use super::wait_averages::WaitAverages;

/// Time in which a sum fades to 37 % of itself, in milliseconds. A few gangs a second then make a
/// rate that is steady within a fifth, and the rate follows a burst of some seconds.
const FADE_MS: f64 = 5_000.0;
/// Minimum time for which a rate must have been observed, in milliseconds. It covers several of the
/// longest calls to the adviser, within which nothing starts.
const MIN_OBSERVED_MS: f64 = 1_500.0;
/// Smallest part of a class's rate that refused jobs are expected to get, as overloads end.
const MIN_SPARE_PART: f64 = 0.25;
/// Smallest rate of a class, as a share of the capacity, so that no estimate is infinite.
const MIN_RATE: f64 = 0.001;

/// What a class has been measured to start and to admit. Work is a share of the capacity multiplied
/// by a time in milliseconds.
#[derive(Debug, Default)]
pub(super) struct ClassRates {
    measured_ms: Option<u64>,
    /// Steps waited at the last measurement.
    was_waiting: bool,
    /// Work started since the last measurement.
    started: f64,
    /// Work admitted since the last measurement.
    admitted: f64,
    /// Faded sum of the work started while steps waited.
    started_sum: f64,
    /// Faded sum of the time for which steps waited, in milliseconds.
    waiting_ms: f64,
    /// Faded sum of the admitted work.
    admitted_sum: f64,
    /// Faded sum of all time, in milliseconds.
    observed_ms: f64,
    /// Refused work that is expected to come back.
    refused: f64,
    /// Recent waits of the steps of the class.
    pub(super) waits: WaitAverages,
}

impl ClassRates {
    /// Records work that starts; negative for work that was not started after all.
    pub(super) fn record_start(&mut self, work: f64) {
        self.started += work;
    }

    /// Records work that is admitted.
    pub(super) fn record_admission(&mut self, work: f64) {
        self.admitted += work;
    }

    /// Records refused work, which is expected to come back.
    pub(super) fn record_refusal(&mut self, work: f64) {
        self.refused += work;
    }

    /// Adds the time since the last measurement to the sums.
    pub(super) fn measure(&mut self, now_ms: u64, is_waiting: bool) {
        let elapsed_ms = now_ms.saturating_sub(self.measured_ms.unwrap_or(now_ms)) as f64;
        let keep = (-elapsed_ms / FADE_MS).exp();
        let served = self.rate().unwrap_or(0.0) * self.spare_part() * elapsed_ms;
        self.refused = (self.refused - served).max(0.0) * keep.sqrt();
        self.started_sum *= keep;
        self.waiting_ms *= keep;
        self.admitted_sum = self.admitted_sum * keep + self.admitted;
        self.observed_ms = self.observed_ms * keep + elapsed_ms.min(FADE_MS);
        if self.was_waiting {
            self.started_sum += self.started;
            self.waiting_ms += elapsed_ms.min(FADE_MS);
        } else if !is_waiting {
            self.waits.fade(keep);
        }
        (self.started, self.admitted) = (0.0, 0.0);
        self.was_waiting = is_waiting;
        self.measured_ms = Some(now_ms);
    }

    /// Returns the share of the capacity at which work starts while steps wait, once it has been
    /// observed for some time.
    pub(super) fn rate(&self) -> Option<f64> {
        let is_known = self.waiting_ms >= MIN_OBSERVED_MS;
        is_known.then(|| (self.started_sum / self.waiting_ms).max(MIN_RATE))
    }

    /// Returns the part of the rate that admitted jobs leave to those that come back after a refusal.
    pub(super) fn spare_part(&self) -> f64 {
        let Some(rate) = self.rate().filter(|_| self.observed_ms > 0.0) else { return 1.0 };
        (1.0 - self.admitted_sum / self.observed_ms / rate).clamp(MIN_SPARE_PART, 1.0)
    }

    /// Returns the refused work that is expected to come back.
    pub(super) fn refused(&self) -> f64 {
        self.refused
    }
}
