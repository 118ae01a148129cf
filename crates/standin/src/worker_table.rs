//! State machine of a worker, independent of the HTTP server and the system clock.
//!
//! The worker's own clock has an offset from the time passed to the methods, so that code which
//! assumes synchronised clocks fails in tests. A task whose lease expires ends at the expiry time,
//! however late that is detected: a frozen host runs nothing, and a real worker checks its leases
//! before anything else when it resumes.

use {
    crate::{CheckpointPlace, ObservedRun, TaskScript},
    damaskrack_model::{AttemptId, Epoch, Resources, TaskResult, WorkerName, ZoneName},
    damaskrack_outside::{
        EndedAttempt, RunningAttempt, StartOutcome, StartRequest, WorkerBody, WorkerCall,
        WorkerReply, WorkerReport,
    },
    std::collections::BTreeMap,
};

/// How long an acknowledged attempt is remembered, in milliseconds, so that a delayed start
/// request does not run it again.
const ACKNOWLEDGED_RETENTION_MS: u64 = 60_000;

/// Run time of every task on a worker that fails everything, in milliseconds.
const FAILING_RUN_MS: u64 = 1;

/// Configuration of a worker.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Total resources.
    pub capacity: Resources,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Random number that identifies this boot.
    pub boot: u64,
    /// Offset of the worker's clock from the common clock, in milliseconds.
    pub clock_offset_ms: u64,
    /// Age of a task at which its usage is first reported, in milliseconds.
    pub usage_lag_ms: u64,
}

impl WorkerPlan {
    /// Number of slots of a platform worker.
    pub const SLOTS: u32 = 8;
    /// Number of connections that a platform worker accepts.
    pub const CONNECTIONS: usize = 64;

    /// Creates a plan with the platform's usual limits.
    #[must_use]
    pub fn new(worker: WorkerName, zone: ZoneName, capacity: Resources, boot: u64) -> Self {
        Self {
            worker,
            zone,
            capacity,
            slots: Self::SLOTS,
            boot,
            clock_offset_ms: boot % 1_000_000_000,
            usage_lag_ms: 1_000,
        }
    }
}

#[derive(Debug)]
struct TaskEntry {
    request: StartRequest,
    script: TaskScript,
    start_ms: u64,
    /// When the task finishes if it is not ended earlier, on the common clock.
    finish_ms: Option<u64>,
    /// When the task's lease expires, on the worker's clock.
    lease_until_ms: u64,
    reported_use: Resources,
    next_sample_ms: Option<u64>,
    is_throttled: bool,
    /// Index of the task's [`ObservedRun`].
    observation: usize,
}

impl TaskEntry {
    fn actual_usage(&self) -> Resources {
        let declared = self.request.resources;
        let usage = self.script.usage.unwrap_or(declared);
        if !self.is_throttled {
            return usage;
        }
        Resources {
            millicores: usage.millicores.min(declared.millicores),
            memory_bytes: usage.memory_bytes.min(declared.memory_bytes),
            accelerators: usage.accelerators.min(declared.accelerators),
        }
    }
}

/// The tasks of one worker, the highest epoch it has accepted, and the runs observed so far.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_model::{Epoch, Resources},
///     damaskrack_outside::{WorkerBody, WorkerCall},
///     damaskrack_standin::{CheckpointPlace, WorkerPlan, WorkerTable},
/// };
///
/// let plan = WorkerPlan::new("w1".parse()?, "a".parse()?, Resources::ZERO, 7);
/// let mut table = WorkerTable::new(plan, CheckpointPlace::default());
/// let sync = |epoch| WorkerCall::Sync {
///     rack: "r1".parse().unwrap(),
///     epoch: Epoch(epoch),
///     lease_until_ms: 0,
///     acks: Vec::new(),
///     seen: 0,
///     wait_ms: 0,
/// };
/// assert!(matches!(table.handle(&sync(2), 0).body, WorkerBody::Report(_)));
/// assert_eq!(table.handle(&sync(1), 0).body, WorkerBody::Stale { epoch: Epoch(2) });
/// # Ok::<(), damaskrack_model::NameError>(())
/// ```
#[derive(Debug)]
pub struct WorkerTable {
    plan: WorkerPlan,
    checkpoints: CheckpointPlace,
    highest_epoch: Epoch,
    report_number: u64,
    running: BTreeMap<AttemptId, TaskEntry>,
    ended: BTreeMap<AttemptId, EndedAttempt>,
    acknowledged: BTreeMap<AttemptId, u64>,
    observations: Vec<ObservedRun>,
    outputs: Vec<String>,
    frozen_since_ms: Option<u64>,
    is_failing: bool,
}

impl WorkerTable {
    /// Creates an idle worker.
    #[must_use]
    pub fn new(plan: WorkerPlan, checkpoints: CheckpointPlace) -> Self {
        Self {
            plan,
            checkpoints,
            highest_epoch: Epoch(0),
            report_number: 1,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            observations: Vec::new(),
            outputs: Vec::new(),
            frozen_since_ms: None,
            is_failing: false,
        }
    }

    /// Executes a call and returns its response immediately, also for a `Sync`;
    /// [`WorkerTable::poll`] tells whether the `Sync` has to wait. Must not be called while the
    /// worker is frozen.
    pub fn handle(&mut self, call: &WorkerCall, now_ms: u64) -> WorkerReply {
        self.advance(now_ms);
        let epoch = epoch_of(call);
        if epoch < self.highest_epoch {
            return self.answer(call, now_ms);
        }
        self.highest_epoch = epoch;
        match call {
            WorkerCall::Start { orders, lease_until_ms, .. } => {
                let start = |request| self.start(request, *lease_until_ms, now_ms);
                let verdicts = orders.iter().map(start).collect();
                self.reply(WorkerBody::Starts { verdicts }, now_ms)
            }
            WorkerCall::Sync { lease_until_ms, acks, .. } => {
                self.renew(*lease_until_ms);
                self.acknowledge(acks, now_ms);
                self.answer(call, now_ms)
            }
            WorkerCall::Stop { attempts, checkpoint, .. } => {
                attempts.iter().for_each(|attempt| self.stop(attempt, *checkpoint, now_ms));
                self.answer(call, now_ms)
            }
            WorkerCall::Throttle { attempts, .. } => {
                attempts.iter().for_each(|attempt| self.throttle(attempt, now_ms));
                self.answer(call, now_ms)
            }
        }
    }

    /// Returns the response to a waiting `Sync` if the report differs from the one that its sender
    /// has seen or the epoch is higher, and `None` if it has to wait. Changes nothing.
    #[must_use]
    pub fn poll(&self, call: &WorkerCall, now_ms: u64) -> Option<WorkerReply> {
        let is_waiting = match call {
            WorkerCall::Sync { seen, epoch, .. } => {
                *seen == self.report_number && *epoch >= self.highest_epoch
            }
            _ => false,
        };
        (!is_waiting).then(|| self.answer(call, now_ms))
    }

    /// Returns the current response to a call that has been executed. Changes nothing.
    #[must_use]
    pub fn answer(&self, call: &WorkerCall, now_ms: u64) -> WorkerReply {
        if epoch_of(call) < self.highest_epoch {
            return self.reply(WorkerBody::Stale { epoch: self.highest_epoch }, now_ms);
        }
        let body = match call {
            WorkerCall::Sync { .. } => WorkerBody::Report(self.report(now_ms)),
            _ => WorkerBody::Accepted,
        };
        self.reply(body, now_ms)
    }

    /// Ends tasks whose run time is over or whose lease has expired, and takes usage samples that
    /// are due.
    pub fn advance(&mut self, now_ms: u64) {
        if self.frozen_since_ms.is_some() {
            return;
        }
        let mut due: Vec<_> = self
            .running
            .iter()
            .map(|(attempt, entry)| (self.scheduled_end(entry), attempt.clone()))
            .filter(|((end_ms, _), _)| *end_ms <= now_ms)
            .collect();
        due.sort_by_key(|((end_ms, _), _)| *end_ms);
        for ((end_ms, result), attempt) in due {
            self.end(&attempt, result, end_ms);
        }
        self.sample_usage(now_ms);
        self.acknowledged.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Returns the next time at which [`WorkerTable::advance`] has work, on the common clock.
    #[must_use]
    pub fn next_event_ms(&self) -> Option<u64> {
        if self.frozen_since_ms.is_some() {
            return None;
        }
        let next_event_of = |entry: &TaskEntry| {
            self.scheduled_end(entry).0.min(entry.next_sample_ms.unwrap_or(u64::MAX))
        };
        self.running.values().map(next_event_of).min()
    }

    /// Freezes the worker like a paused machine, or resumes it. While it is frozen, tasks make no
    /// progress and [`WorkerTable::handle`] must not be called.
    pub fn set_frozen(&mut self, is_frozen: bool, now_ms: u64) {
        match (self.frozen_since_ms, is_frozen) {
            (None, true) => {
                self.advance(now_ms);
                self.frozen_since_ms = Some(now_ms);
            }
            (Some(since_ms), false) => {
                self.frozen_since_ms = None;
                self.delay_finish_times(now_ms.saturating_sub(since_ms));
                self.advance(now_ms);
            }
            _ => {}
        }
    }

    /// Sets whether tasks started from now on fail immediately.
    pub fn set_failing(&mut self, is_failing: bool) {
        self.is_failing = is_failing;
    }

    /// Restarts the worker: running tasks end, and past attempts and the epoch are forgotten.
    pub fn restart(&mut self, boot: u64, now_ms: u64) {
        self.set_frozen(false, now_ms);
        let attempts: Vec<_> = self.running.keys().cloned().collect();
        for attempt in attempts {
            self.end(&attempt, TaskResult::Lapsed, now_ms);
        }
        self.ended.clear();
        self.acknowledged.clear();
        self.highest_epoch = Epoch(0);
        self.plan.boot = boot;
    }

    /// Returns whether the worker is frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        self.frozen_since_ms.is_some()
    }

    /// Returns the number of the current report.
    #[must_use]
    pub fn report_number(&self) -> u64 {
        self.report_number
    }

    /// Returns the worker's plan.
    #[must_use]
    pub fn plan(&self) -> &WorkerPlan {
        &self.plan
    }

    /// Returns all runs since the stand-in was created, in order of start.
    #[must_use]
    pub fn observations(&self) -> &[ObservedRun] {
        &self.observations
    }

    /// Returns the output of each observed run's script, in the order of the runs.
    #[must_use]
    pub fn outputs(&self) -> &[String] {
        &self.outputs
    }

    /// Returns the time of the worker's own clock.
    #[must_use]
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_add(self.plan.clock_offset_ms)
    }

    /// Returns when, on the common clock, and with which result a task ends without intervention.
    fn scheduled_end(&self, entry: &TaskEntry) -> (u64, TaskResult) {
        let lease_end_ms = entry.lease_until_ms.saturating_sub(self.plan.clock_offset_ms);
        match entry.finish_ms {
            Some(finish_ms) if finish_ms <= lease_end_ms => (finish_ms, entry.script.result()),
            _ => (lease_end_ms, TaskResult::Lapsed),
        }
    }

    fn start(&mut self, request: &StartRequest, lease_until_ms: u64, now_ms: u64) -> StartOutcome {
        if self.is_known(&request.attempt) {
            return StartOutcome::Started;
        }
        if lease_until_ms <= self.clock_ms(now_ms) {
            return StartOutcome::Expired;
        }
        if !self.has_free_capacity(request.resources) {
            return StartOutcome::Full;
        }
        let entry = self.create_entry(request, lease_until_ms, now_ms);
        self.running.insert(request.attempt.clone(), entry);
        self.report_number += 1;
        StartOutcome::Started
    }

    fn create_entry(
        &mut self,
        request: &StartRequest,
        lease_until_ms: u64,
        now_ms: u64,
    ) -> TaskEntry {
        let mut script = TaskScript::parse(&request.payload);
        if let Some(remaining_ms) = self.checkpoints.load(&request.attempt) {
            script.run_ms = script.run_ms.map(|run_ms| run_ms.min(remaining_ms));
        }
        if self.is_failing {
            script.is_failing = true;
            script.run_ms = Some(FAILING_RUN_MS);
        }
        let entry = TaskEntry {
            request: request.clone(),
            start_ms: now_ms,
            finish_ms: script.run_ms.map(|run_ms| now_ms.saturating_add(run_ms)),
            script,
            lease_until_ms,
            reported_use: Resources::ZERO,
            next_sample_ms: Some(now_ms.saturating_add(self.plan.usage_lag_ms)),
            is_throttled: false,
            observation: self.observations.len(),
        };
        self.outputs.push(entry.script.output.clone());
        self.observations.push(ObservedRun {
            worker: self.plan.worker.clone(),
            zone: self.plan.zone.clone(),
            attempt: request.attempt.clone(),
            resources: request.resources,
            peak_use: entry.actual_usage(),
            start_ms: now_ms,
            end_ms: None,
            result: None,
        });
        entry
    }

    fn is_known(&self, attempt: &AttemptId) -> bool {
        self.running.contains_key(attempt)
            || self.ended.contains_key(attempt)
            || self.acknowledged.contains_key(attempt)
    }

    fn has_free_capacity(&self, resources: Resources) -> bool {
        let entries = self.running.values();
        let used =
            entries.fold(resources, |sum, entry| sum.saturating_add(entry.request.resources));
        self.running.len() < self.plan.slots as usize && self.plan.capacity.covers(used)
    }

    /// Extends all leases; a delayed renewal never shortens one.
    fn renew(&mut self, lease_until_ms: u64) {
        for entry in self.running.values_mut() {
            entry.lease_until_ms = entry.lease_until_ms.max(lease_until_ms);
        }
    }

    /// Removes acknowledged attempts from the report. The report number stays the same: otherwise
    /// a waiting `Sync` would return at once because of its own acknowledgements.
    fn acknowledge(&mut self, acks: &[AttemptId], now_ms: u64) {
        for attempt in acks {
            if self.ended.remove(attempt).is_some() {
                self.acknowledged
                    .insert(attempt.clone(), now_ms.saturating_add(ACKNOWLEDGED_RETENTION_MS));
            }
        }
    }

    fn stop(&mut self, attempt: &AttemptId, checkpoint: bool, now_ms: u64) {
        let Some(entry) = self.running.get(attempt) else { return };
        if checkpoint && let Some(finish_ms) = entry.finish_ms {
            self.checkpoints.save(attempt, finish_ms.saturating_sub(now_ms));
        }
        self.end(attempt, TaskResult::Stopped, now_ms);
    }

    fn throttle(&mut self, attempt: &AttemptId, now_ms: u64) {
        if let Some(entry) = self.running.get_mut(attempt) {
            entry.is_throttled = true;
            entry.next_sample_ms = Some(now_ms.saturating_add(self.plan.usage_lag_ms));
        }
    }

    fn end(&mut self, attempt: &AttemptId, result: TaskResult, end_ms: u64) {
        let Some(entry) = self.running.remove(attempt) else { return };
        let observation = &mut self.observations[entry.observation];
        observation.end_ms = Some(end_ms);
        observation.result = Some(result);
        let is_complete = matches!(result, TaskResult::Succeeded | TaskResult::Failed);
        if is_complete {
            self.checkpoints.forget(attempt);
        }
        let output = if is_complete { entry.script.output } else { String::new() };
        self.ended
            .insert(attempt.clone(), EndedAttempt { attempt: attempt.clone(), result, output });
        self.report_number += 1;
    }

    fn sample_usage(&mut self, now_ms: u64) {
        for entry in self.running.values_mut() {
            if entry.next_sample_ms.is_none_or(|sample_ms| sample_ms > now_ms) {
                continue;
            }
            entry.next_sample_ms = None;
            let usage = entry.actual_usage();
            if usage != entry.reported_use {
                entry.reported_use = usage;
                self.report_number += 1;
            }
        }
    }

    fn delay_finish_times(&mut self, pause_ms: u64) {
        for entry in self.running.values_mut() {
            entry.finish_ms = entry.finish_ms.map(|finish_ms| finish_ms.saturating_add(pause_ms));
        }
    }

    fn report(&self, now_ms: u64) -> WorkerReport {
        let running = self.running.values().map(|entry| RunningAttempt {
            attempt: entry.request.attempt.clone(),
            resources: entry.request.resources,
            age_ms: now_ms.saturating_sub(entry.start_ms),
            usage: entry.reported_use,
            preemptible: entry.request.preemptible,
        });
        WorkerReport {
            number: self.report_number,
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
            capacity: self.plan.capacity,
            slots: self.plan.slots,
        }
    }

    fn reply(&self, body: WorkerBody, now_ms: u64) -> WorkerReply {
        WorkerReply { clock_ms: self.clock_ms(now_ms), boot: self.plan.boot, body }
    }
}

fn epoch_of(call: &WorkerCall) -> Epoch {
    match call {
        WorkerCall::Start { epoch, .. }
        | WorkerCall::Sync { epoch, .. }
        | WorkerCall::Stop { epoch, .. }
        | WorkerCall::Throttle { epoch, .. } => *epoch,
    }
}
