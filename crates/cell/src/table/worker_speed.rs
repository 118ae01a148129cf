//! How fast a worker is, compared with the others of its service.
//!
//! Two estimates answer two questions. The long-term one is the speed of the machine. The recent one is how
//! much slower than that the last tasks were: it reacts within a few samples, and returns to zero by itself,
//! as a worker that gets no work yields no samples.

use {
    super::{LogEstimate, stored_variance},
    crate::WorkerSpeedRecord,
};

/// Variance of the speed of a worker that nothing is known of: speeds by a factor of three either way are
/// within two deviations.
const INITIAL_VARIANCE: f64 = 0.3;
/// Variance that the speed keeps after a restart: the machine is the same, but may run other things.
const RESTART_VARIANCE: f64 = 0.05;
/// Increase of the variance with each sample. It lets a speed that changed for good be learned within some
/// hundred samples.
const DRIFT_VARIANCE: f64 = 0.000_2;
/// Variance of the recent excess before a sample.
const RECENT_VARIANCE: f64 = 0.05;
/// Increase of its variance with each sample, which makes the last four or so count.
const RECENT_DRIFT_VARIANCE: f64 = 0.02;
/// Bound on a sample of the recent excess.
const MAX_RECENT_SAMPLE: f64 = 1.5;
/// Recent excess from which a worker is degraded: a factor of two.
const DEGRADED_EXCESS: f64 = 0.7;
/// Recent excess below which a degraded worker counts as recovered.
const RECOVERED_EXCESS: f64 = 0.5;
/// Number of samples in a row with such an excess that make a worker degraded. Where one task in thirty takes
/// several times as long, four in a row happen by chance once in a million tasks.
const DEGRADED_SAMPLES: u32 = 4;
/// Variance up to which a sample counts among these: its step has others to compare with, or its queue has
/// good estimates.
const MAX_CERTAIN_VARIANCE: f64 = 0.15;
/// Excess from which a task that is still running is a sample.
const OVERDUE_EXCESS: f64 = 1.0;
/// Time without samples after which the recent excess begins to fade, in milliseconds.
const MAX_IDLE_MS: u64 = 2_000;
/// Time in which it then halves, in milliseconds. A degraded worker gets hardly any work, so this decides
/// when it is tried again: five seconds later.
const EXCESS_HALF_LIFE_MS: f64 = 5_000.0;
/// Logarithm of the slowness from which a worker belongs to another class than the average ones, a
/// difference of a quarter.
const CLASS_BOUND: f64 = 0.223;
/// Logarithm by which the slowness must return past [`CLASS_BOUND`] for the worker to be average again.
const CLASS_HYSTERESIS: f64 = 0.08;
/// Logarithm of the slowness by which workers of one level differ at most. Smaller differences hardly decide
/// whether a job ends in time, so packing decides among such workers.
const LEVEL_WIDTH: f64 = 0.12;
/// Number of standard deviations by which the slowness must be beyond a bound.
const SURE_DEVIATIONS: f64 = 2.0;
/// Standard deviation up to which the speed says enough to decide the class, after some seven samples: the
/// first ones may be stragglers.
const KNOWN_DEVIATION: f64 = 0.12;

/// Change of the logarithm that is worth a write to the store: a tenth.
const NOTICEABLE_CHANGE: f64 = 0.1;

/// Class of a worker's speed within its service, which operators see. Of the order of workers, only `Degraded`
/// and, for steps without a deadline, `Slow` decide part; levels and the likely slowness decide the rest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpeedClass {
    Fast,
    #[default]
    Average,
    Slow,
    /// Slower than it usually is, at present.
    Degraded,
}

impl SpeedClass {
    /// Returns the name in the log.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Average => "average",
            Self::Slow => "slow",
            Self::Degraded => "degraded",
        }
    }
}

/// The learned speed of a worker. Values are logarithms of how much longer tasks take than on an average
/// worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WorkerSpeed {
    long_term: LogEstimate,
    /// Excess of the last samples over the long-term value.
    recent: LogEstimate,
    /// Number of the last samples that were far above the long-term value.
    slow_samples: u32,
    /// Time for which there has been no sample, in milliseconds.
    idle_ms: u64,
    // The values that placements use follow from the above at each review.
    slowness: f64,
    /// Long-term logarithm in units of [`LEVEL_WIDTH`].
    level: i16,
    /// Long-term slowness with one standard deviation more.
    likely_slowness: f64,
    /// Class by the long-term value.
    lasting_class: SpeedClass,
    is_degraded: bool,
    /// Long-term logarithm and class that the store has.
    stored: (f64, SpeedClass),
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            long_term: LogEstimate::new(0.0, INITIAL_VARIANCE),
            recent: LogEstimate::new(0.0, RECENT_VARIANCE),
            slow_samples: 0,
            idle_ms: 0,
            slowness: 1.0,
            level: 0,
            likely_slowness: INITIAL_VARIANCE.sqrt().exp(),
            lasting_class: SpeedClass::Average,
            is_degraded: false,
            stored: (0.0, SpeedClass::Average),
        }
    }
}

/// Returns whether an error of some variance is small enough for a sample to count by itself.
fn is_certain(variance: f64) -> bool {
    variance <= MAX_CERTAIN_VARIANCE
}

impl WorkerSpeed {
    /// Restores the speed that a former leader has stored.
    pub(crate) fn restore(record: &WorkerSpeedRecord) -> Self {
        let long_term = LogEstimate::restore(record.log_slowness, record.variance);
        let lasting_class = match (record.is_fast, record.is_slow) {
            (true, false) => SpeedClass::Fast,
            (false, true) => SpeedClass::Slow,
            _ => SpeedClass::Average,
        };
        let stored = (long_term.mean(), lasting_class);
        let mut speed = Self { long_term, lasting_class, stored, ..Self::default() };
        speed.update_derived();
        speed
    }

    /// Returns the record for the store.
    pub(crate) fn record(&self, worker: &str) -> WorkerSpeedRecord {
        WorkerSpeedRecord {
            worker: worker.to_owned(),
            log_slowness: self.long_term.stored_mean(),
            variance: stored_variance(self.long_term.variance()),
            is_fast: self.lasting_class == SpeedClass::Fast,
            is_slow: self.lasting_class == SpeedClass::Slow,
        }
    }

    /// Records that the store has the present value.
    pub(crate) fn record_stored(&mut self) {
        self.stored = (self.long_term.mean(), self.lasting_class);
    }

    /// Returns whether the value differs from the one in the store so much that the next leader should know.
    pub(crate) fn has_noticeable_change(&self) -> bool {
        let (mean, class) = self.stored;
        let change = (self.long_term.mean() - mean).abs();
        self.is_known() && (class != self.lasting_class || change >= NOTICEABLE_CHANGE)
    }

    /// Returns the long-term logarithm.
    pub(crate) fn log_slowness(&self) -> f64 {
        self.long_term.mean()
    }

    /// Returns the variance of the long-term logarithm.
    pub(crate) fn variance(&self) -> f64 {
        self.long_term.variance()
    }

    /// Returns how many times as long tasks take on the worker as on an average one, as of the last review.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the slowness that the worker most likely did not exceed at the last review, so that one of which
    /// little is known does not count as fast.
    pub(crate) fn likely_slowness(&self) -> f64 {
        self.likely_slowness
    }

    /// Returns the level of the slowness at the last review. Workers of one level count as equally fast.
    pub(crate) fn level(&self) -> i16 {
        self.level
    }

    /// Returns the class.
    pub(crate) fn class(&self) -> SpeedClass {
        if self.is_degraded { SpeedClass::Degraded } else { self.lasting_class }
    }

    /// Returns whether enough is known of the worker to decide its class.
    pub(crate) fn is_known(&self) -> bool {
        self.long_term.deviation() <= KNOWN_DEVIATION
    }

    /// Returns whether something has been learned that the next leader, or the next process on the machine,
    /// should know.
    pub(crate) fn is_worth_keeping(&self) -> bool {
        self.long_term.variance() <= INITIAL_VARIANCE / 2.0
    }

    /// Returns the recent excess.
    pub(crate) fn excess(&self) -> f64 {
        self.recent.mean()
    }

    /// Applies the run time of a completed task, as a logarithm relative to an average worker.
    pub(crate) fn record_run(&mut self, sample: f64, sample_variance: f64) {
        self.long_term.widen(DRIFT_VARIANCE, INITIAL_VARIANCE);
        self.long_term.update(sample, sample_variance);
    }

    /// Applies the same, or the run time that a running task will have at least, to the recent excess.
    pub(crate) fn record_recent(&mut self, sample: f64, sample_variance: f64) {
        let excess = sample - self.long_term.mean();
        self.idle_ms = 0;
        if is_certain(sample_variance) {
            let is_slow = excess >= DEGRADED_EXCESS;
            self.slow_samples = if is_slow { self.slow_samples.saturating_add(1) } else { 0 };
        }
        self.recent.widen(RECENT_DRIFT_VARIANCE, INITIAL_VARIANCE);
        let excess = excess.clamp(-MAX_RECENT_SAMPLE, MAX_RECENT_SAMPLE);
        self.recent.update(excess, sample_variance + self.long_term.variance());
    }

    /// Returns whether a run time that has not ended yet is far longer than usual. A sample counts by what is
    /// known at its time, so it must be certain.
    pub(crate) fn is_overdue(&self, sample: f64, sample_variance: f64) -> bool {
        is_certain(sample_variance) && sample - self.long_term.mean() >= OVERDUE_EXCESS
    }

    /// Keeps the speed for another process on the same machine, with less certainty.
    pub(crate) fn restart(&mut self) {
        self.long_term.widen(RESTART_VARIANCE, INITIAL_VARIANCE);
        self.recent = LogEstimate::new(0.0, RECENT_VARIANCE);
        self.slow_samples = 0;
        self.is_degraded = false;
    }

    /// Returns the speed for another process on the same machine.
    pub(crate) fn restarted(mut self) -> Self {
        self.restart();
        self
    }

    /// Moves the value, as the average of the service has been found to lie elsewhere.
    pub(crate) fn shift(&mut self, offset: f64) {
        self.long_term.shift(offset);
    }

    /// Decides the class and the values for placements anew; `common_excess` is the recent excess of the whole service. Returns the former
    /// class if it changed.
    pub(crate) fn review(&mut self, elapsed_ms: u64, common_excess: f64) -> Option<SpeedClass> {
        let former = self.class();
        self.idle_ms = self.idle_ms.saturating_add(elapsed_ms);
        if self.idle_ms > MAX_IDLE_MS {
            self.recent.decay((-(elapsed_ms as f64) / EXCESS_HALF_LIFE_MS).exp2());
        }
        let excess = self.recent.mean() - common_excess;
        self.is_degraded = match self.is_degraded {
            true => excess > RECOVERED_EXCESS,
            false => self.slow_samples >= DEGRADED_SAMPLES && excess > DEGRADED_EXCESS,
        };
        self.lasting_class = self.next_lasting_class();
        self.update_derived();
        (former != self.class()).then_some(former)
    }

    /// Updates the values that placements use.
    fn update_derived(&mut self) {
        let excess = if self.is_degraded { self.recent.mean().max(0.0) } else { 0.0 };
        self.slowness = (self.long_term.mean() + excess).exp();
        // A float-to-integer cast saturates.
        self.level = (self.long_term.mean() / LEVEL_WIDTH).round() as i16;
        self.likely_slowness = (self.long_term.mean() + self.long_term.deviation()).exp();
    }

    /// Returns the class by the long-term value. Both ways, a change needs certainty.
    fn next_lasting_class(&self) -> SpeedClass {
        let (mean, margin) = (self.long_term.mean(), SURE_DEVIATIONS * self.long_term.deviation());
        let kept = CLASS_BOUND - CLASS_HYSTERESIS;
        if !self.is_known() {
            return self.lasting_class;
        }
        match self.lasting_class {
            SpeedClass::Slow if mean + margin > kept => SpeedClass::Slow,
            SpeedClass::Fast if mean - margin < -kept => SpeedClass::Fast,
            _ if mean - margin > CLASS_BOUND => SpeedClass::Slow,
            _ if mean + margin < -CLASS_BOUND => SpeedClass::Fast,
            _ => SpeedClass::Average,
        }
    }
}
