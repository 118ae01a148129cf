//! Detection of slow workers from the run times of their tasks.
//!
//! Estimates of run times are rough, but equally rough on every worker. The average ratio of run
//! time to estimate in a queue corrects for that; a worker whose tasks take a multiple of it is
//! slow, even if it reports good health.

use {super::CellCore, crate::AttemptKey};

/// Weight of a new sample in a worker's slowness.
const WORKER_WEIGHT: f64 = 0.25;
/// Weight of a new sample in a queue's average ratio.
const QUEUE_WEIGHT: f64 = 0.02;
/// Range that samples are clamped to, so that a single wrong estimate has little effect.
const SAMPLE_RANGE: (f64, f64) = (0.2, 8.0);
/// Slowness above which a worker gets work only if no other has free capacity.
const SLOW_LIMIT: f64 = 2.2;
/// Minimum run time of a sample, in milliseconds.
const MIN_RUN_MS: u64 = 300;
/// Minimum progress of a sample, in percent.
const MIN_PERCENT: u32 = 5;

/// Returns whether a worker of this slowness counts as slow.
pub(super) fn is_slow(slowness: f64) -> bool {
    slowness > SLOW_LIMIT
}

impl CellCore {
    /// Updates the averages of an attempt's worker and queue from its run time and progress.
    pub(super) fn sample_worker_speed(&mut self, key: AttemptKey, run_ms: u64, percent: u32) {
        let Some(attempt) = self.attempts.get(key) else { return };
        if run_ms < MIN_RUN_MS || percent < MIN_PERCENT {
            return;
        }
        let job = &self.jobs[attempt.phase.job];
        let step = &job.record.steps[job.phases[attempt.phase.phase].step];
        if step.is_service || step.estimate_ms == 0 {
            return;
        }
        let total_ms = run_ms as f64 * 100.0 / f64::from(percent);
        let ratio = total_ms / step.estimate_ms as f64;
        let queue_ratio = self.estimate_ratio.entry(job.record.queue.clone()).or_insert(1.0);
        let sample = (ratio / *queue_ratio).clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        *queue_ratio += (ratio.min(*queue_ratio * SAMPLE_RANGE.1) - *queue_ratio) * QUEUE_WEIGHT;
        let worker = &mut self.workers[attempt.worker];
        let was_slow = is_slow(worker.slowness);
        worker.slowness += (sample - worker.slowness) * WORKER_WEIGHT;
        let slowness = worker.slowness;
        if was_slow != is_slow(slowness) {
            let id = worker.report.id.clone();
            let event = if was_slow { "worker_fast_again" } else { "worker_slow" };
            self.log(event, id, format!("slowness={slowness:.1}"));
        }
    }
}
