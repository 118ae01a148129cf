//! How fast workers are, from the run time of their tasks against the estimates.
//!
//! Estimates are rough, but they are equally rough on every worker: the usual ratio of a queue's
//! run times to their estimates shows how far they are off, and a worker whose tasks take a
//! multiple of that is slow, though its health may look good.

use {super::CellCore, crate::AttemptKey};

/// Weight of a new sample in a worker's slowness.
const WORKER_WEIGHT: f64 = 0.25;
/// Weight of a new sample in a queue's usual ratio.
const QUEUE_WEIGHT: f64 = 0.02;
/// Range of a sample, so that one wrong estimate does not decide.
const SAMPLE_RANGE: (f64, f64) = (0.2, 8.0);
/// Slowness from which a worker gets work only when no other has room.
const SLOW_LIMIT: f64 = 2.2;
/// Shortest run that tells something, in milliseconds.
const MIN_RUN_MS: u64 = 300;
/// Least progress that tells something, in percent.
const MIN_PERCENT: u32 = 5;

/// Tells whether a worker of this slowness counts as slow.
pub(super) fn is_slow(slowness: f64) -> bool {
    slowness > SLOW_LIMIT
}

impl CellCore {
    /// Takes a sample from an attempt that has run for some time and come so far.
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
            self.note(event, id, format!("slowness={slowness:.1}"));
        }
    }
}
