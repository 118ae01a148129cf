//! Learning the speeds of workers and the run times of queues from completed tasks.
//!
//! Estimates of run times are rough, and a few tasks take several times as long as others of their step. The
//! tasks of one step share the error of its estimate, so a task is compared with those of its step that
//! completed before, each corrected by the speed of its worker; the first ones are compared with the
//! usual ratio of run time to estimate in the queue. Members of a gang advance together at the speed of the
//! slowest worker, so they say nothing about any one worker, and only the queue learns from them.

use {
    super::{CellCore, run_times::MIN_PERCENT},
    crate::{
        AttemptKey, WorkerKey,
        table::{AttemptEntry, LogEstimate, SpeedClass, StepRatio},
    },
    rustc_hash::FxHashMap,
};

/// Variance of the logarithms of run times within a step: a quarter up or down.
const TASK_VARIANCE: f64 = 0.06;
/// Minimum expected run time of a sample, in milliseconds. Of shorter tasks, the time until the leader learns
/// of start and end is too large a part.
const MIN_EXPECTED_MS: f64 = 200.0;
/// Minimum observed run time, in milliseconds; logarithms need a positive one.
const MIN_RUN_MS: u64 = 20;
/// Interval between two reviews of all classes, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 250;
/// Interval between two summaries in the log, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 10_000;

/// Variance of the logarithms of the workers' speeds, beyond that of their errors, from which a service counts as
/// uneven: speeds by an eighth up or down.
const UNEVEN_VARIANCE: f64 = 0.016;
/// Variance below which it is even again.
const EVEN_VARIANCE: f64 = 0.008;

/// State of the reviews of all workers' speeds.
#[derive(Debug, Default)]
pub(super) struct SpeedReview {
    reviewed_ms: u64,
    summarized_ms: u64,
    /// The workers of some service are shown to differ in speed.
    is_uneven: bool,
    /// Some worker is degraded.
    has_degraded: bool,
    /// Number of changes of class.
    changes: u64,
}

impl SpeedReview {
    /// Returns whether the workers of some service are shown to differ in speed.
    pub(super) fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Returns whether some worker is slower than usual at present.
    pub(super) fn has_degraded(&self) -> bool {
        self.has_degraded
    }
}

/// A run time compared with an estimate.
#[derive(Debug, Clone, Copy)]
struct RunSample {
    /// Logarithm of the ratio of run time to estimate.
    log_ratio: f64,
    /// Logarithm of that ratio on an average worker, as far as it is known.
    expected: LogEstimate,
    /// The worker has run all tasks that this comes from, so a comparison says nothing about it.
    is_of_own_worker: bool,
}

impl RunSample {
    /// Returns how much longer the task takes than on an average worker, as a logarithm.
    fn log_slowness(&self) -> f64 {
        self.log_ratio - self.expected.mean()
    }

    /// Returns the variance of the error of that logarithm.
    fn variance(&self) -> f64 {
        TASK_VARIANCE + self.expected.variance()
    }
}

/// Sums over the workers of one service of which enough is known.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceSpeeds {
    workers: usize,
    log_slowness: f64,
    /// Squares of the logarithms, less the variances of their errors.
    unevenness: f64,
    excess: f64,
}

impl ServiceSpeeds {
    fn mean(&self, sum: f64) -> f64 {
        sum / self.workers.max(1) as f64
    }
}

impl CellCore {
    /// Learns from the run time of a task that has completed.
    pub(super) fn record_run(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let run_ms = attempt.run_ms(self.time.now_ms);
        let Some(sample) = self.run_sample(attempt, run_ms) else { return };
        match attempt.is_gang_member {
            true => self.record_gang_run(key, &sample),
            false => self.record_single_run(key, &sample),
        }
    }

    fn record_single_run(&mut self, key: AttemptKey, sample: &RunSample) {
        let attempt = &self.attempts[key];
        let (phase, worker, is_overdue) = (attempt.phase, attempt.worker, attempt.is_overdue);
        let speed = &mut self.workers[worker].speed;
        let corrected = sample.log_ratio - speed.log_slowness();
        let variance = TASK_VARIANCE + speed.variance();
        if !is_overdue && !sample.is_of_own_worker {
            speed.record_recent(sample.log_slowness(), sample.variance());
        }
        if !sample.is_of_own_worker {
            speed.record_run(sample.log_slowness(), sample.variance());
        }
        let mut log_ratio = sample.expected;
        log_ratio.update(corrected, variance);
        let job = &mut self.jobs[phase.job];
        let entry = &mut job.phases[phase.phase];
        let is_sole = entry.run_ratio.is_none() || sample.is_of_own_worker;
        let sole_worker = is_sole.then_some(worker);
        entry.run_ratio = Some(StepRatio { log_ratio, sole_worker });
        if entry.unfinished <= 1 {
            self.run_times.record(&job.record.queue, &log_ratio);
        }
    }

    /// Learns from the first end of a gang's members: the gang took as long as its slowest worker made it.
    fn record_gang_run(&mut self, key: AttemptKey, sample: &RunSample) {
        let phase = self.attempts[key].phase;
        let entry = &self.jobs[phase.job].phases[phase.phase];
        if entry.run_ratio.is_some() {
            return;
        }
        let members = entry.tasks.iter().filter_map(|task| task.attempt);
        let workers = members.map(|member| &self.workers[self.attempts[member].worker]);
        let slowest = workers.map(|worker| worker.speed.log_slowness()).fold(f64::MIN, f64::max);
        let log_ratio = LogEstimate::new(sample.log_ratio - slowest, TASK_VARIANCE);
        let job = &mut self.jobs[phase.job];
        job.phases[phase.phase].run_ratio = Some(StepRatio { log_ratio, sole_worker: None });
        self.run_times.record(&job.record.queue, &log_ratio);
    }

    /// Learns from a task that is running, once it has taken or will take far longer than usual. So a worker
    /// that has become slow shows before its tasks end.
    pub(super) fn review_running(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        if attempt.is_overdue || attempt.is_gang_member {
            return;
        }
        let run_ms = match (attempt.run_ms(self.time.now_ms), attempt.percent) {
            (run_ms, percent) if percent >= MIN_PERCENT => run_ms * 100 / u64::from(percent),
            (run_ms, _) => run_ms,
        };
        let Some(sample) = self.run_sample(attempt, run_ms) else { return };
        let worker = attempt.worker;
        let speed = &mut self.workers[worker].speed;
        let is_overdue = speed.is_overdue(sample.log_slowness(), sample.variance());
        if is_overdue && !sample.is_of_own_worker {
            speed.record_recent(sample.log_slowness(), sample.variance());
            self.attempts[key].is_overdue = true;
        }
    }

    /// Returns the sample of a run time, unless it says nothing.
    fn run_sample(&self, attempt: &AttemptEntry, run_ms: u64) -> Option<RunSample> {
        let phase = attempt.phase;
        let job = &self.jobs[phase.job];
        let entry = &job.phases[phase.phase];
        let step = &job.record.steps[entry.step];
        let is_too_short = self.expected_run_ms(phase) < MIN_EXPECTED_MS;
        if run_ms < MIN_RUN_MS || step.is_service || is_too_short {
            return None;
        }
        let log_ratio = (run_ms as f64 / step.estimate_ms as f64).ln();
        let of_queue = || self.run_times.of(&job.record.queue).of_a_step();
        Some(RunSample {
            log_ratio,
            expected: entry.run_ratio.map_or_else(of_queue, |ratio| ratio.log_ratio),
            is_of_own_worker: entry
                .run_ratio
                .is_some_and(|ratio| ratio.sole_worker == Some(attempt.worker)),
        })
    }

    /// Reviews the speeds of all workers, if the last review was some time ago.
    pub(super) fn review_worker_speeds(&mut self) {
        let elapsed_ms = self.time.now_ms.saturating_sub(self.speed_review.reviewed_ms);
        if elapsed_ms < REVIEW_INTERVAL_MS {
            return;
        }
        self.speed_review.reviewed_ms = self.time.now_ms;
        let services = self.service_speeds();
        self.center_speeds(&services);
        let mut changed: Vec<(WorkerKey, SpeedClass)> = Vec::new();
        let limit = if self.speed_review.is_uneven { EVEN_VARIANCE } else { UNEVEN_VARIANCE };
        let is_uneven = services.values().any(|sums| sums.mean(sums.unevenness) > limit);
        let mut has_degraded = false;
        for (key, worker) in &mut self.workers {
            let service = services.get(&worker.report.service).copied().unwrap_or_default();
            let former = worker.speed.review(elapsed_ms, service.mean(service.excess));
            has_degraded |= worker.speed.class() == SpeedClass::Degraded;
            changed.extend(former.map(|former| (key, former)));
        }
        self.speed_review.is_uneven = is_uneven;
        self.speed_review.has_degraded = has_degraded;
        self.speed_review.changes += changed.len() as u64;
        for (key, former) in changed {
            self.log_speed_change(key, former);
        }
        self.summarize_speeds();
        self.review_stored_speeds();
    }

    /// Sums up the workers of each service of which enough is known.
    fn service_speeds(&self) -> FxHashMap<String, ServiceSpeeds> {
        let mut services: FxHashMap<String, ServiceSpeeds> = FxHashMap::default();
        for worker in self.workers.values().filter(|worker| worker.speed.is_worth_keeping()) {
            if !services.contains_key(&worker.report.service) {
                services.insert(worker.report.service.clone(), ServiceSpeeds::default());
            }
            if let Some(sums) = services.get_mut(&worker.report.service) {
                sums.workers += 1;
                let log_slowness = worker.speed.log_slowness();
                sums.log_slowness += log_slowness;
                sums.unevenness += log_slowness * log_slowness - worker.speed.variance();
                sums.excess += worker.speed.excess();
            }
        }
        services
    }

    /// Moves speeds so that the known workers of each service are average on average, and the run times of its
    /// queues the other way.
    fn center_speeds(&mut self, services: &FxHashMap<String, ServiceSpeeds>) {
        for worker in self.workers.values_mut().filter(|worker| worker.speed.is_worth_keeping()) {
            if let Some(sums) = services.get(&worker.report.service) {
                worker.speed.shift(-sums.mean(sums.log_slowness));
            }
        }
        for (name, queue) in &self.config.queues {
            if let Some(sums) = services.get(&queue.service) {
                self.run_times.shift(name, sums.mean(sums.log_slowness));
            }
        }
    }

    fn log_speed_change(&mut self, key: WorkerKey, former: SpeedClass) {
        let worker = &self.workers[key];
        let id = worker.report.id.clone();
        let speed = &worker.speed;
        let detail = format!(
            "class={} former={} slowness={:.2} excess={:.2}",
            speed.class().name(),
            former.name(),
            speed.log_slowness().exp(),
            speed.excess().exp()
        );
        self.log("worker_speed_changed", id, detail);
    }

    /// Logs the number of workers of each class, now and then while the speeds of a service are shown to differ.
    fn summarize_speeds(&mut self) {
        let now_ms = self.time.now_ms;
        let is_due = now_ms >= self.speed_review.summarized_ms + SUMMARY_INTERVAL_MS;
        if !is_due || !self.speed_review.is_uneven {
            return;
        }
        self.speed_review.summarized_ms = now_ms;
        let count = |class: SpeedClass| {
            let classes = self.workers.values().map(|worker| worker.speed.class());
            classes.filter(|own| *own == class).count()
        };
        let detail = format!(
            "fast={} average={} slow={} degraded={} changes={}",
            count(SpeedClass::Fast),
            count(SpeedClass::Average),
            count(SpeedClass::Slow),
            count(SpeedClass::Degraded),
            self.speed_review.changes
        );
        self.log("worker_speeds", "", detail);
    }
}
